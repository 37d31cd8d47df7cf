"""What a storage host may say of its disk, and on which evidence.

An acknowledged record lies on as many hosts as there are copies. A host that
has lost its disk, or records on it, lacks some of those that it acknowledged
until it has examined other hosts. Readers count the hosts that may lack
records, so a host says that it lacks none only on evidence, and the statement
is as durable as the records. This module performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple


class Claim(NamedTuple):
    """Statement of a storage host about its disk.

    With ``has_turns`` and ``has_usage`` it lacks no turn and no usage entry
    that it acknowledged, on this disk or an earlier one. ``replaced_hosts``
    are gone, and this host has the usage entries that they stored.
    ``losses`` counts how often records of this disk were lost.
    """

    has_turns: bool
    has_usage: bool
    replaced_hosts: frozenset[str] = frozenset()
    losses: int = 0

    def after_loss(self) -> Claim:
        """Return the statement after records of this disk were lost."""
        return Claim(False, False, losses=self.losses + 1)

    def common(self, other: Claim) -> Claim:
        """Return what both of two statements about a disk say."""
        return self._replace(
            has_turns=self.has_turns and other.has_turns,
            has_usage=self.has_usage and other.has_usage,
            replaced_hosts=self.replaced_hosts & other.replaced_hosts,
        )


NOTHING = Claim(has_turns=False, has_usage=False)
EVERYTHING = Claim(has_turns=True, has_usage=True)
