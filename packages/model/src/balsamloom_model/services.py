"""Simulated tool servers with slots and a bounded queue."""

from __future__ import annotations

import collections
from collections.abc import Callable

from balsamloom_gateway import traffic
from balsamloom_model import deployments, engines, simulation

QueuedCall = tuple[float, Callable[[bool], None]]


class ToolServer:
    """Tool server that runs a limited number of calls at a time.

    :param server: registration of the server.
    :param fleet: number of slots and length of the queue.
    :param sim: simulation that the server is part of.
    :param noise: slow periods of its host.
    """

    def __init__(
        self,
        server: traffic.BackendServer,
        fleet: deployments.ServiceFleet,
        sim: simulation.Simulation,
        noise: engines.SlowPeriods,
    ) -> None:
        self.server = server
        self.running = 0
        self.waiting: collections.deque[QueuedCall] = collections.deque()
        self._fleet = fleet
        self._sim = sim
        self._noise = noise

    def submit(self, work_ms: float, on_end: Callable[[bool], None]) -> bool:
        """Run or enqueue a call; return False if the queue is full."""
        if self.running < self._fleet.slots:
            self._begin(work_ms, on_end)
            return True
        if len(self.waiting) >= self._fleet.queue:
            return False
        self.waiting.append((work_ms, on_end))
        return True

    def load(self) -> traffic.ServerLoad:
        """Return the load that the server reports with a response."""
        factor = self._noise.factor(self._sim.clock.now_ms())
        return traffic.ServerLoad(
            self.running, len(self.waiting), self._fleet.slots, factor
        )

    def _begin(self, work_ms: float, on_end: Callable[[bool], None]) -> None:
        self.running += 1
        factor = self._noise.factor(self._sim.clock.now_ms())
        self._sim.schedule(work_ms * factor, lambda: self._end(on_end))

    def _end(self, on_end: Callable[[bool], None]) -> None:
        self.running -= 1
        on_end(True)
        if self.waiting and self.running < self._fleet.slots:
            self._begin(*self.waiting.popleft())
