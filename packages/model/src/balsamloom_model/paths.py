"""Ways of calls from an edge process to a server and back."""

from __future__ import annotations

import dataclasses
import itertools
import statistics
from collections.abc import Mapping
from typing import NamedTuple

from balsamloom_gateway import balancer, estimates, health, ledger
from balsamloom_model import (
    deployments,
    engines,
    programs,
    services,
    simulation,
)

ENGINE_SERVICE = "engines"
TOOL_SERVICE = "tools"
# Servers that a tool call is sent to at most.
MAX_ATTEMPTS = 4


class Edge(NamedTuple):
    """An edge process; its placer chooses servers of tool calls."""

    placer: balancer.Balancer
    failure_domain: str


class Holder(NamedTuple):
    """A process that places turns, on servers of its group first."""

    placer: balancer.Balancer
    group: frozenset[str] | None


class TurnRecord(NamedTuple):
    """Times of one turn, from its arrival at an edge process."""

    first_ms: float
    total_ms: float


class Callbacks(NamedTuple):
    """What follows a call: its end, or a refusal by all servers."""

    on_done: simulation.Action
    on_refused: simulation.Action


class ToolClient:
    """Calls of plain services.

    :param sim: simulation that the calls are part of.
    :param deployment: times of the ways.
    :param servers: plain servers by identifier.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        deployment: deployments.Deployment,
        servers: Mapping[str, services.ToolServer],
    ) -> None:
        self._sim = sim
        self._deployment = deployment
        self._servers = servers

    def call(
        self,
        edge: Edge,
        work_ms: float,
        callbacks: Callbacks,
        avoid: frozenset[str] = frozenset(),
    ) -> None:
        """Send a call to a server that did not refuse it yet."""
        profile = estimates.CallProfile()
        placement = edge.placer.place(TOOL_SERVICE, profile, avoid)
        if isinstance(placement, balancer.NoServer):
            callbacks.on_refused()
            return
        server = self._servers[placement.server.server_id]
        latency_ms = network_latency_ms(
            self._deployment, edge.failure_domain, placement
        )

        def answered() -> None:
            edge.placer.record_load(placement, server.load())
            total_ms = self._sim.clock.now_ms() - placement.sent_ms
            observation = estimates.Observation(total_ms=total_ms)
            edge.placer.release(
                placement, health.Outcome.SUCCEEDED, observation
            )
            self._sim.schedule(
                self._deployment.caller_way_ms, callbacks.on_done
            )

        def arrive() -> None:
            def end(_: bool) -> None:
                self._sim.schedule(latency_ms, answered)

            if not server.submit(work_ms, end):
                self._refused(edge, placement, work_ms, callbacks, avoid)

        self._sim.schedule(latency_ms, arrive)

    def _refused(
        self,
        edge: Edge,
        placement: balancer.Placement,
        work_ms: float,
        callbacks: Callbacks,
        avoid: frozenset[str],
    ) -> None:
        server_id = placement.server.server_id
        edge.placer.record_load(placement, self._servers[server_id].load())
        edge.placer.release(
            placement, health.Outcome.REFUSED, estimates.Observation()
        )
        tried = avoid | {server_id}
        if len(tried) >= MAX_ATTEMPTS:
            callbacks.on_refused()
            return
        self.call(edge, work_ms, callbacks, tried)


@dataclasses.dataclass(eq=False)
class EngineCall:
    """One turn on its way through an edge process.

    :param recent_servers: servers of the program's last turns.
    """

    sim: simulation.Simulation
    deployment: deployments.Deployment
    servers: Mapping[str, engines.Engine]
    edge: Edge
    holder: Holder
    turn: programs.Turn
    recent_servers: tuple[str, ...]
    callbacks: Callbacks
    record: TurnRecord | None = None

    def __post_init__(self) -> None:
        self._arrived_ms = self.sim.clock.now_ms()
        self._event_times_ms: list[float] = []

    def attempt(self, avoid: frozenset[str] = frozenset()) -> None:
        """Send the turn to a server that did not refuse it yet."""
        profile = estimates.CallProfile(
            self.turn.prompt,
            sum(part.tokens for part in self.turn.prompt),
            self.turn.output_tokens,
            self.recent_servers,
        )
        placement = self.holder.placer.place(
            ENGINE_SERVICE, profile, avoid, self.holder.group
        )
        if isinstance(placement, balancer.NoServer):
            self.callbacks.on_refused()
            return
        latency_ms = network_latency_ms(
            self.deployment, self.edge.failure_domain, placement
        )
        self.sim.schedule(
            latency_ms, lambda: self._arrive(placement, avoid, latency_ms)
        )

    def _arrive(
        self,
        placement: balancer.Placement,
        avoid: frozenset[str],
        latency_ms: float,
    ) -> None:
        engine = self.servers[placement.server.server_id]
        request = engines.Request(
            self.turn.prompt,
            self.turn.output_tokens,
            lambda _: self._record_event(placement, engine),
            lambda _: self.sim.schedule(
                latency_ms, lambda: self._end(placement)
            ),
        )
        if engine.submit(request):
            return
        self.holder.placer.record_load(placement, engine.load())
        self.holder.placer.release(
            placement, health.Outcome.REFUSED, estimates.Observation()
        )
        self.attempt(avoid | {placement.server.server_id})

    def _record_event(
        self, placement: balancer.Placement, engine: engines.Engine
    ) -> None:
        if not self._event_times_ms:
            self.holder.placer.record_load(placement, engine.load())
        self._event_times_ms.append(self.sim.clock.now_ms())

    def _end(self, placement: balancer.Placement) -> None:
        now_ms = self.sim.clock.now_ms()
        first_ms = self._event_times_ms[0]
        self.holder.placer.release(
            placement,
            health.Outcome.SUCCEEDED,
            estimates.Observation(
                first_ms - placement.sent_ms, self._step_ms(), None
            ),
        )
        self.recent_servers = ledger.add_recent_server(
            self.recent_servers, placement.server.server_id
        )
        self.record = TurnRecord(
            first_ms - self._arrived_ms, now_ms - self._arrived_ms
        )
        self.sim.schedule(
            self.deployment.caller_way_ms, self.callbacks.on_done
        )

    def _step_ms(self) -> float | None:
        """Return the median pause between events for each token."""
        pairs = itertools.pairwise(self._event_times_ms)
        gaps_ms = [later - earlier for earlier, later in pairs]
        if not gaps_ms:
            return None
        per_event = self.deployment.engines.tokens_per_event
        return statistics.median(gaps_ms) / per_event


def network_latency_ms(
    deployment: deployments.Deployment,
    failure_domain: str,
    placement: balancer.Placement,
) -> float:
    """Return the time of one way to a server, in ms."""
    if failure_domain == placement.server.failure_domain:
        return 0.0
    return deployment.domain_way_ms
