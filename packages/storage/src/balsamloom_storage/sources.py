"""Other storage hosts as repair sees them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from balsamloom_conversations import completeness

# A host counts as down after this many rounds without an answer; the others
# then take over its turns.
DOWN_AFTER_MISSED_ROUNDS = 2
# Bounds the memory of a host that examines many turns.
MAX_LISTED_TURNS = 50_000


class Source:
    """Progress of fetching turns from another host."""

    def __init__(self, disk_id: str) -> None:
        self.disk_id = disk_id
        # Sequence number of the last turn that was examined.
        self.cursor = 0
        self.is_leaving = False
        self.missed_rounds = 0
        # Size of the turns listed and not yet fetched.
        self.missing_bytes = 0
        # Whether its usage entries were fetched.
        self.has_usage_fetched = False
        # Whether the last round examined all that it has.
        self.is_read = False
        # What it said of its disk before and after that.
        self.claim: completeness.Claim | None = None
        # Hosts that it has fenced for this one, and its own fences.
        self.fenced: frozenset[str] = frozenset()
        self.fences = completeness.Fences(is_complete=False)
        # Time of the first of the missed rounds.
        self.missed_since_ms = -math.inf

    def restart(self) -> None:
        """Have everything examined again."""
        self.cursor = 0
        self.has_usage_fetched = False
        self.claim = None

    def record_answer(self, is_read: bool) -> None:
        """Record that the host answered in this round."""
        self.missed_rounds = 0
        self.is_read = is_read

    def record_miss(self, now_ms: float) -> None:
        """Record that the host did not answer in this round."""
        if not self.missed_rounds:
            self.missed_since_ms = now_ms
        self.missed_rounds += 1

    @property
    def has_all_usage(self) -> bool:
        """Return whether it said that it lacks no usage entry."""
        return self.claim is not None and self.claim.has_usage

    @property
    def is_up(self) -> bool:
        """Return whether the host is expected to store turns."""
        return self.missed_rounds < DOWN_AFTER_MISSED_ROUNDS

    @property
    def is_active(self) -> bool:
        """Return whether the host is up and not leaving."""
        return self.is_up and not self.is_leaving

    def describe(self, name: str, long_ago_ms: float) -> completeness.Source:
        """Return what the last round has shown of the host.

        :param long_ago_ms: time at which whatever was stored has expired.
        """
        return completeness.Source(
            name,
            self.is_read,
            self.is_up,
            self.claim,
            self.fenced,
            not self.is_up and self.missed_since_ms < long_ago_ms,
        )


class ListedTurns:
    """Turns that other hosts list and this one need not store.

    A host that lost turns may have had one of the copies of such a turn, so
    it stores the turn unless enough others do.

    :param copies: number of hosts that must store a turn.
    """

    def __init__(self, copies: int) -> None:
        self._copies = copies
        self._hosts: dict[str, set[str]] = {}

    def add(self, host: str, turn_ids: Iterable[str]) -> list[str]:
        """Add turns that a host lists; return those for which no room is left.

        These are stored here.
        """
        rest: list[str] = []
        for turn_id in turn_ids:
            if turn_id in self._hosts or len(self._hosts) < MAX_LISTED_TURNS:
                self._hosts.setdefault(turn_id, set()).add(host)
            else:
                rest.append(turn_id)
        return rest

    def pop_short(self, host: str) -> list[str]:
        """Return the turns of a host that too few hosts list, and forget them.

        To be called when all hosts were asked.
        """
        found = [
            turn_id
            for turn_id, hosts in self._hosts.items()
            if host in hosts and len(hosts) < self._copies
        ]
        for turn_id in found:
            del self._hosts[turn_id]
        return found

    def clear(self) -> None:
        """Forget all turns."""
        self._hosts.clear()
