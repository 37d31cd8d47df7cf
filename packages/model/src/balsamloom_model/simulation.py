"""Simulated time and the queue of events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from balsamloom_core import clock as clocks

Action = Callable[[], None]


class SimulatedClock(clocks.Clock):
    """Time of a simulation; it moves from event to event."""

    def __init__(self) -> None:
        self.time_ms = 0.0

    def now_ms(self) -> float:
        """Return the time of the event in progress."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the same time as a whole number."""
        return int(self.time_ms)


class Simulation:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self.clock = SimulatedClock()
        self._queue: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def schedule(self, delay_ms: float, action: Action) -> None:
        """Run an action after a delay.

        Actions of the same time run in the order in which they were added.
        """
        due_ms = self.clock.time_ms + max(delay_ms, 0.0)
        heapq.heappush(self._queue, (due_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Run all actions that are due before a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            due_ms, _, action = heapq.heappop(self._queue)
            self.clock.time_ms = due_ms
            action()
