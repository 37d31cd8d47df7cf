"""Discrete-event simulation: the clock and the event queue."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from balsamloom_core import clock as clocks

Action = Callable[[], None]


class SimulatedClock(clocks.Clock):
    """Clock that advances to the time of each event."""

    def __init__(self) -> None:
        self.time_ms = 0.0

    def now_ms(self) -> float:
        """Return the time of the current event."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the time of the current event in whole ms."""
        return int(self.time_ms)


class Simulation:
    """Event loop that runs actions by simulated time."""

    def __init__(self) -> None:
        self.clock = SimulatedClock()
        self._queue: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def schedule(self, delay_ms: float, action: Action) -> None:
        """Schedule an action after a delay; a negative delay counts as 0.

        Actions due at the same time run in the order of their scheduling.
        """
        due_ms = self.clock.time_ms + max(delay_ms, 0.0)
        heapq.heappush(self._queue, (due_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Run all actions that are due at or before a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            due_ms, _, action = heapq.heappop(self._queue)
            self.clock.time_ms = due_ms
            action()
