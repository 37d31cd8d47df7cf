"""Simulated calls from an edge process to a server and back."""

from __future__ import annotations

import dataclasses
import itertools
import statistics
from collections.abc import Mapping
from typing import NamedTuple

from balsamloom_gateway import (
    balancer,
    candidates,
    estimates,
    health,
    recent_servers,
)
from balsamloom_model import (
    deployments,
    engines,
    programs,
    services,
    simulation,
)

ENGINE_SERVICE = "engines"
TOOL_SERVICE = "tools"
MAX_TOOL_ATTEMPTS = 4


class Edge(NamedTuple):
    """Edge process; its placer chooses the servers of tool calls."""

    placer: balancer.Balancer
    failure_domain: str


class Holder(NamedTuple):
    """Process that places turns, with preference for its server group."""

    placer: balancer.Balancer
    group: frozenset[str] | None


class TurnRecord(NamedTuple):
    """Time of a turn to its first event and its end, from its arrival."""

    first_ms: float
    total_ms: float


class Callbacks(NamedTuple):
    """Actions after a call has succeeded, or has been refused for good."""

    on_done: simulation.Action
    on_refused: simulation.Action


class ToolClient:
    """Sender of tool calls.

    :param sim: simulation that the calls are part of.
    :param deployment: network latencies.
    :param servers: tool servers by identifier.
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
        """Send a call to a server outside ``avoid``; retry refusals."""
        profile = estimates.CallProfile()
        placement = edge.placer.place(TOOL_SERVICE, profile, avoid)
        if isinstance(placement, candidates.NoServer):
            callbacks.on_refused()
            return
        server = self._servers[placement.server.server_id]
        latency_ms = network_latency_ms(
            self._deployment, edge.failure_domain, placement
        )

        def handle_response() -> None:
            edge.placer.record_load(placement, server.load())
            total_ms = self._sim.clock.now_ms() - placement.sent_ms
            observation = estimates.Observation(total_ms=total_ms)
            edge.placer.release(
                placement, health.Outcome.SUCCEEDED, observation
            )
            self._sim.schedule(
                self._deployment.caller_way_ms, callbacks.on_done
            )

        def handle_request() -> None:
            def end(_: bool) -> None:
                self._sim.schedule(latency_ms, handle_response)

            if not server.submit(work_ms, end):
                self._handle_refusal(
                    edge, placement, work_ms, callbacks, avoid
                )

        self._sim.schedule(latency_ms, handle_request)

    def _handle_refusal(
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
        if len(tried) >= MAX_TOOL_ATTEMPTS:
            callbacks.on_refused()
            return
        self.call(edge, work_ms, callbacks, tried)


@dataclasses.dataclass(eq=False)
class EngineCall:
    """Call of an engine for one turn.

    :param recent_servers: servers of the program's previous turns.
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
        """Send the turn to a server outside ``avoid``; retry refusals."""
        profile = estimates.CallProfile(
            self.turn.prompt,
            sum(part.tokens for part in self.turn.prompt),
            self.turn.output_tokens,
            self.recent_servers,
        )
        placement = self.holder.placer.place(
            ENGINE_SERVICE, profile, avoid, self.holder.group
        )
        if isinstance(placement, candidates.NoServer):
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
        self.recent_servers = recent_servers.add(
            self.recent_servers, placement.server.server_id
        )
        self.record = TurnRecord(
            first_ms - self._arrived_ms, now_ms - self._arrived_ms
        )
        self.sim.schedule(
            self.deployment.caller_way_ms, self.callbacks.on_done
        )

    def _step_ms(self) -> float | None:
        """Return the median time per token between events, in ms."""
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
    """Return the one-way latency to a server, in ms."""
    if failure_domain == placement.server.failure_domain:
        return 0.0
    return deployment.domain_way_ms
