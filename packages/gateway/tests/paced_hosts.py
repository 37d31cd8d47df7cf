"""Hosts that place calls alone on servers with given behaviour."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    candidates,
    estimates,
    health,
    paced_servers,
    traffic,
)

CALL_MS = 50.0
SLOTS = 6


@dataclasses.dataclass
class Server:
    """Server that runs calls side by side and lets others wait."""

    registration: traffic.BackendServer
    slowness: float = 1.0
    cold_calls: int = 0
    fails_every: int = 0
    is_up: Callable[[float], bool] = lambda _: True
    running: int = 0
    calls: int = 0

    def run(self, now_ms: float) -> tuple[float, health.Outcome]:
        """Return the duration and the outcome of a call that begins."""
        if not self.is_up(now_ms):
            return 0.1, health.Outcome.UNREACHABLE
        self.running += 1
        self.calls += 1
        queueing = max(self.running / SLOTS, 1.0)
        outcome = health.Outcome.SUCCEEDED
        if self.fails_every and self.calls % self.fails_every == 0:
            outcome = health.Outcome.FAILED
        slowness = 2.0 if self.calls <= self.cold_calls else self.slowness
        return CALL_MS * slowness * queueing, outcome


class Ended(NamedTuple):
    """Call that has ended."""

    server_id: str
    sent_ms: float
    ended_ms: float
    outcome: health.Outcome

    @property
    def duration_ms(self) -> float:
        """Return the time from sending the call to its end."""
        return self.ended_ms - self.sent_ms


class Hosts:
    """Hosts and servers of one service, on a manual clock."""

    def __init__(
        self, count: int, servers: int, is_pacing: bool = True
    ) -> None:
        self.clock = builders.manual_clock()
        self.servers = {
            f"s{number}": Server(builders.server(f"s{number}", slots=SLOTS))
            for number in range(servers)
        }
        self.ended: list[Ended] = []
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._random = random.Random(5)
        self.balancers = [
            self._new_balancer(number, count, is_pacing)
            for number in range(count)
        ]
        self.register()

    def register(self) -> None:
        """Tell all hosts of the servers."""
        for one in self.balancers:
            one.set_servers(
                server.registration for server in self.servers.values()
            )

    def start(self, server_id: str, **behaviour: object) -> Server:
        """Add or replace a server."""
        known = self.servers.get(server_id)
        run = known.registration.incarnation + 1 if known else 1
        self.servers[server_id] = Server(
            builders.server(server_id, slots=SLOTS, incarnation=run),
            **behaviour,
        )
        self.register()
        return self.servers[server_id]

    def run(self, calls_per_s: float, duration_ms: float) -> None:
        """Let callers send calls to hosts at random times."""
        end_ms = self.clock.now_ms() + duration_ms
        self._arrive(calls_per_s, end_ms)
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, event = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            event()
        self.clock.advance(end_ms - self.clock.now_ms())

    def since(self, since_ms: float) -> list[Ended]:
        """Return the calls that were sent since a time and have ended."""
        return [call for call in self.ended if call.sent_ms >= since_ms]

    def calls(self, server_id: str, since_ms: float) -> list[Ended]:
        """Return those of them that were sent to a server."""
        recent = self.since(since_ms)
        return [call for call in recent if call.server_id == server_id]

    def relative_share(self, server_id: str, since_ms: float) -> float:
        """Return a server's share of these calls relative to an even one."""
        calls = len(self.calls(server_id, since_ms))
        return calls * len(self.servers) / max(len(self.since(since_ms)), 1)

    def _new_balancer(
        self, number: int, count: int, is_pacing: bool
    ) -> balancer.Balancer:
        paced = paced_servers.PacedServers(
            f"m{number}", lambda: count, lambda *_: None
        )
        return balancer.Balancer(
            self.clock,
            "a",
            random.Random(number),
            paced if is_pacing else None,
        )

    def _after(self, delay_ms: float, event: Callable[[], None]) -> None:
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._order), event))

    def _arrive(self, calls_per_s: float, end_ms: float) -> None:
        def arrive() -> None:
            self._place()
            self._arrive(calls_per_s, end_ms)

        gap_ms = self._random.expovariate(calls_per_s / clocks.MS_PER_S)
        if self.clock.now_ms() + gap_ms < end_ms:
            self._after(gap_ms, arrive)

    def _place(self) -> None:
        chooser = self._random.choice(self.balancers)
        placed = chooser.place(builders.SERVICE, estimates.CallProfile())
        if isinstance(placed, candidates.NoServer):
            raise AssertionError(placed.reason)
        server = self.servers[placed.server.server_id]
        duration_ms, outcome = server.run(self.clock.now_ms())
        self._after(
            duration_ms, lambda: self._end(chooser, placed, server, outcome)
        )

    def _end(
        self,
        chooser: balancer.Balancer,
        placed: balancer.Placement,
        server: Server,
        outcome: health.Outcome,
    ) -> None:
        now_ms = self.clock.now_ms()
        observation = estimates.Observation()
        if outcome is not health.Outcome.UNREACHABLE:
            server.running -= 1
            chooser.record_load(
                placed,
                traffic.ServerLoad(
                    min(server.running, SLOTS),
                    max(server.running - SLOTS, 0),
                    SLOTS,
                    1.0,
                ),
            )
        if outcome is health.Outcome.SUCCEEDED:
            observation = estimates.Observation(
                total_ms=now_ms - placed.sent_ms
            )
        chooser.release(placed, outcome, observation)
        self.ended.append(
            Ended(placed.server.server_id, placed.sent_ms, now_ms, outcome)
        )
