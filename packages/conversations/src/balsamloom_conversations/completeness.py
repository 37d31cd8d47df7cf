"""What a storage host may say of its disk, and on which evidence.

An acknowledged record lies on as many hosts as there are copies. A host that
has lost its disk, or records on it, lacks some of those that it acknowledged
until it has examined other hosts. Readers count the hosts that may lack
records, so a host says that it lacks none only on evidence, and the statement
is as durable as the records. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
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


class Source(NamedTuple):
    """Another host as it was found in a round of examining all of them.

    ``is_read`` says that all of its records were examined and those that
    were missing here fetched. ``claim`` is what it says of its own disk,
    both before and after that; ``None`` if it did not say or the statement
    changed meanwhile. Without ``is_up`` it is expected to store nothing.
    """

    name: str
    is_read: bool
    is_up: bool
    claim: Claim | None = None


def judge(
    own: Claim, sources: Sequence[Source], copies: int, is_disk_old: bool
) -> Claim:
    """Return what a host may say of its disk after a round.

    The host itself is one of those that may lack a record, so fewer others
    than ``copies`` less one may not have been read or lack records.

    :param own: what it has said so far.
    :param sources: all other registered hosts.
    :param copies: number of hosts that acknowledge a record.
    :param is_disk_old: whether the disk has been in use for longer than any
        record is kept, so that nothing of an earlier disk can be missing.
    """
    if not sources and not is_disk_old:
        return own
    replaced = _still_replaced(own, sources)
    without_turns = [one.name for one in sources if not _has_turns(one)]
    without_usage = [
        one.name
        for one in sources
        if not _has_usage(one) and one.name not in replaced
    ]
    # Whatever another host has was examined, or nothing can be missing.
    has_all = is_disk_old or all(source.is_read for source in sources)
    has_turns = own.has_turns or has_all or len(without_turns) + 1 < copies
    has_usage = own.has_usage or has_all or len(without_usage) + 1 < copies
    if has_usage and len(without_usage) < copies:
        # No record lies on these hosts alone, so this one has all of them.
        replaced |= {
            one.name
            for one in sources
            if not one.is_up and one.name in without_usage
        }
    return own._replace(
        has_turns=has_turns, has_usage=has_usage, replaced_hosts=replaced
    )


def _still_replaced(own: Claim, sources: Sequence[Source]) -> frozenset[str]:
    """Return the replaced hosts, also those that other hosts replaced."""
    replaced = own.replaced_hosts
    for source in sources:
        if source.claim is not None and _has_usage(source):
            replaced |= source.claim.replaced_hosts
    gone = {source.name for source in sources if not source.is_read}
    return replaced & gone


def _has_turns(source: Source) -> bool:
    claim = source.claim
    return source.is_read and claim is not None and claim.has_turns


def _has_usage(source: Source) -> bool:
    claim = source.claim
    return source.is_read and claim is not None and claim.has_usage
