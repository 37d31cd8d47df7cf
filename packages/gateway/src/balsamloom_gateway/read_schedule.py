"""When to read the store's records, and when a copy of them is too old."""

from __future__ import annotations

from typing import NamedTuple

# Read intervals as fractions of the bound on a view's age.
STORE_FRACTION = 0.3
PEER_FRACTION = 0.2
# Greatest age of a copy, in store read intervals: of the first reader, and
# added at each level of readers after it.
MAX_AGE_INTERVALS = 2.0
LEVEL_AGE_INTERVALS = 0.15
# Time left for an answer when a member ends a wait, in store read intervals.
MARGIN_INTERVALS = 0.25
# Greatest age of a revision seen in another answer of the store, in store
# read intervals.
OBSERVATION_AGE_INTERVALS = 0.3
# Least pause between reads of a member that does not wait for news.
MIN_PAUSE_MS = 200.0


class Intervals(NamedTuple):
    """Pause after a read from the store and after one from a member.

    The second one applies to members that do not wait for news.
    """

    store_ms: float
    peer_ms: float

    @property
    def observation_age_ms(self) -> float:
        """Return how old a revision seen in another answer may be."""
        return self.store_ms * OBSERVATION_AGE_INTERVALS

    def max_age_ms(self, level: int) -> float:
        """Return the age at which a copy is too old.

        Readers of later levels wait longer, so that those before them read
        the store first and pass on what they get.

        :param level: number of members between the reader and the store.
        """
        intervals = MAX_AGE_INTERVALS + level * LEVEL_AGE_INTERVALS
        return self.store_ms * intervals

    def store_wait_ms(self, age_ms: float | None) -> float:
        """Return how long the store may wait for a change before it answers.

        :param age_ms: age of the copy, ``None`` without one.
        """
        if age_ms is None:
            return 0.0
        return max(self.store_ms - age_ms, 0.0)

    def source_wait_ms(self, level: int, age_ms: float | None) -> float:
        """Return how long a source may wait for news before it answers.

        :param age_ms: age of the reader's copy, ``None`` without one.
        """
        if age_ms is None:
            return 0.0
        margin_ms = self.store_ms * MARGIN_INTERVALS
        return max(self.max_age_ms(level) - margin_ms - age_ms, 0.0)

    def pause_ms(self, level: int, age_ms: float) -> float:
        """Return the pause before a source that does not wait is read again.

        :param age_ms: age of the source's copy.
        """
        left_ms = self.max_age_ms(level) - age_ms
        return min(max(left_ms, MIN_PAUSE_MS), self.peer_ms)


def intervals(bound_ms: float) -> Intervals:
    """Return the read intervals that keep a view within an age bound.

    :param bound_ms: time within which every member must know a change.
    """
    return Intervals(bound_ms * STORE_FRACTION, bound_ms * PEER_FRACTION)
