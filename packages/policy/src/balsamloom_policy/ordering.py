"""Queue of waiting calls and the order in which they get a slot."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterator
from typing import Protocol

from balsamloom_policy import calls, settings

MAX_LEVEL = 12
URGENT_PRIORITY = 0


@dataclasses.dataclass(frozen=True)
class AttainedService:
    """Least attained service of the whole program first, with ageing."""


@dataclasses.dataclass(frozen=True)
class Fifo:
    """First come, first served; baseline for comparison."""


Ordering = AttainedService | Fifo


class QueueEntry(Protocol):
    """A waiting call."""

    profile: calls.CallProfile
    queued_ms: float
    level: int
    is_queued: bool


def from_settings(values: settings.PolicySettings) -> Ordering:
    """Return the variant that the settings select."""
    if values.ordering == "attained_service":
        return AttainedService()
    return Fifo()


def queue_level(
    ordering: Ordering,
    profile: calls.CallProfile,
    values: settings.PolicySettings,
) -> int:
    """Return the queue level of a call; level 0 is served first.

    Each level ends at twice the attained service of the one before it. A new
    program starts some levels later: under overload it would otherwise
    displace running programs, whose work is lost if they end too late.
    """
    match ordering:
        case Fifo():
            return 0
        case AttainedService():
            if profile.is_new_program and not profile.is_urgent:
                return values.new_program_levels
            if profile.attained_ms < values.level_base_ms:
                return 0
            doublings = math.log2(profile.attained_ms / values.level_base_ms)
            return min(1 + int(doublings), MAX_LEVEL)


class Queue:
    """Waiting calls of one pool, in one queue per level and an urgent one.

    Removed entries stay in their queue until they reach its head, so that
    removal needs no search.
    """

    def __init__(self) -> None:
        self._urgent: collections.deque[QueueEntry] = collections.deque()
        self._levels: list[collections.deque[QueueEntry]] = [
            collections.deque() for _ in range(MAX_LEVEL + 1)
        ]
        self._counts = [0] * (MAX_LEVEL + 1)
        self._urgent_count = 0
        self.count = 0

    def push(self, ordering: Ordering, entry: QueueEntry) -> None:
        """Append a call to the queue of its level, or to the urgent one."""
        entry.is_queued = True
        self.count += 1
        if entry.profile.is_urgent and isinstance(ordering, AttainedService):
            self._urgent.append(entry)
            self._urgent_count += 1
            return
        self._levels[entry.level].append(entry)
        self._counts[entry.level] += 1

    def remove(self, ordering: Ordering, entry: QueueEntry) -> None:
        """Remove a call that was assigned, refused or cancelled."""
        if not entry.is_queued:
            return
        entry.is_queued = False
        self.count -= 1
        if entry.profile.is_urgent and isinstance(ordering, AttainedService):
            self._urgent_count -= 1
        else:
            self._counts[entry.level] -= 1

    def urgent_head(self) -> QueueEntry | None:
        """Return the urgent call that has waited longest."""
        return self._head(self._urgent)

    def heads(
        self, now_ms: float, values: settings.PolicySettings
    ) -> list[QueueEntry]:
        """Return the head of each level, in the order of service.

        A call gains one level per ``ageing_ms`` of waiting.
        """
        found = []
        for queue, count in zip(self._levels, self._counts, strict=True):
            head = self._head(queue) if count else None
            if head is not None:
                found.append(head)
        if len(found) > 1:
            found.sort(
                key=lambda entry: (
                    aged_level(entry, now_ms, values),
                    entry.queued_ms,
                )
            )
        return found

    def count_ahead(self, level: int, is_urgent: bool) -> int:
        """Return the number of waiting calls served before a new call."""
        if is_urgent:
            return self._urgent_count
        return self._urgent_count + sum(self._counts[: level + 1])

    def entries(self) -> Iterator[QueueEntry]:
        """Return all waiting calls, in no particular order."""
        for queue in (self._urgent, *self._levels):
            for entry in queue:
                if entry.is_queued:
                    yield entry

    def _head(self, queue: collections.deque[QueueEntry]) -> QueueEntry | None:
        while queue and not queue[0].is_queued:
            queue.popleft()
        return queue[0] if queue else None


def aged_level(
    entry: QueueEntry, now_ms: float, values: settings.PolicySettings
) -> float:
    """Return a call's level minus the levels gained by waiting."""
    return entry.level - (now_ms - entry.queued_ms) / values.ageing_ms


def engine_priority(
    ordering: Ordering,
    entry: QueueEntry,
    now_ms: float,
    values: settings.PolicySettings,
) -> int:
    """Return the priority for the engine; a lower number goes first."""
    match ordering:
        case Fifo():
            return URGENT_PRIORITY
        case AttainedService():
            if entry.profile.is_urgent:
                return URGENT_PRIORITY
            level = aged_level(entry, now_ms, values)
            return 1 + max(0, math.ceil(level))
