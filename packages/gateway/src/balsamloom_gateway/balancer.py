"""Load balancing of calls over backend servers by estimated cost."""

from __future__ import annotations

import dataclasses
import math
import random
import threading
from collections.abc import Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    candidates,
    estimates,
    health,
    paced_servers,
    traffic,
)
from balsamloom_pacing import pace

COST_TIE_MS = 1.0
# The load of servers that other holders place turns on is known only in part.
UNKNOWN_LOAD_FACTOR = 2.0
_NO_SAMPLES = estimates.PrefillSamples()


@dataclasses.dataclass(frozen=True)
class Placement:
    """A call assigned to a server; ended with :meth:`Balancer.release`.

    ``missing_tokens`` must be prefilled. The call is overdue at ``due_ms``.
    ``usual_ms`` is its duration at a usual server that is idle.
    """

    server: traffic.BackendServer
    profile: estimates.CallProfile
    estimate_ms: float
    missing_tokens: int
    report_age_ms: float | None
    sent_ms: float
    due_ms: float
    usual_ms: float = 0.0


class Choice(NamedTuple):
    """Best server for a call, which is not recorded there yet.

    ``usual_ms`` is its duration at a usual server that is idle.
    """

    state: estimates.ServerState
    profile: estimates.CallProfile
    cost: estimates.Cost
    usual_ms: float = 0.0

    @property
    def server(self) -> traffic.BackendServer:
        """Return the server."""
        return self.state.server


_CostOfState = tuple[estimates.Cost, estimates.ServerState]


class Balancer:
    """Chooses servers and updates its estimates from finished calls.

    :param clock: time source.
    :param failure_domain: failure domain of this process.
    :param generator: breaks ties between servers of equal cost.
    :param paced: limits calls to servers that have started or recovered;
        ``None`` if nothing does.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        failure_domain: str,
        generator: random.Random,
        paced: paced_servers.PacedServers | None = None,
    ) -> None:
        self._paced = paced
        self._clock = clock
        self._domain = failure_domain
        self._generator = generator
        self._lock = threading.Lock()
        self._servers: dict[str, estimates.ServerState] = {}
        self._by_service: dict[str, list[estimates.ServerState]] = {}
        self._samples: dict[str, estimates.PrefillSamples] = {}
        self._memory_tokens: dict[str, int] = {}

    def set_services(self, services: Iterable[traffic.Service]) -> None:
        """Set the prefix cache sizes of engines, for servers added later."""
        with self._lock:
            self._memory_tokens = {
                service.name: service.engine.memory_tokens
                for service in services
                if service.engine is not None
            }

    def set_servers(self, servers: Iterable[traffic.BackendServer]) -> None:
        """Replace the servers that may receive calls.

        The state of a server is kept while its incarnation and address stay.
        """
        with self._lock:
            previous = self._servers
            known_services = self._by_service.keys()
            self._servers = {}
            self._by_service = {}
            for server in servers:
                state = previous.get(server.server_id)
                if state is None or not _is_same_run(state.server, server):
                    state = self._new_state(server)
                    if server.service in known_services:
                        self._begin_pace(server, pace.Reason.STARTED)
                state.server = server
                self._servers[server.server_id] = state
                self._by_service.setdefault(server.service, []).append(state)
            if self._paced is not None:
                self._paced.keep_only(
                    [state.server for state in self._servers.values()]
                )

    def handle_limit_release(self, server_id: str) -> None:
        """Begin the pace of a server that no longer limits its rate."""
        with self._lock:
            state = self._servers.get(server_id)
            if state is None:
                return
            state.denied_until_ms = -math.inf
            self._begin_pace(state.server, pace.Reason.LIMIT_RELEASED)

    def place(
        self,
        service: str,
        profile: estimates.CallProfile,
        avoid: frozenset[str] = frozenset(),
        tracked: frozenset[str] | None = None,
    ) -> Placement | candidates.NoServer:
        """Choose a server and record the start of a call there.

        See :meth:`choose` for the parameters.
        """
        choice = self.choose(service, profile, avoid, tracked)
        if isinstance(choice, candidates.NoServer):
            return choice
        return self.start(choice)

    def choose(
        self,
        service: str,
        profile: estimates.CallProfile,
        avoid: frozenset[str] = frozenset(),
        tracked: frozenset[str] | None = None,
    ) -> Choice | candidates.NoServer:
        """Return the server with the least cost.

        :param avoid: servers that refused or failed this call before.
        :param tracked: servers whose load this balancer knows in full;
            ``None`` for all. Others cost more.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            usable = self._find_candidates(service, profile, avoid, now_ms)
            if usable.refusal is not None:
                return usable.refusal
            baseline = self._baseline(service)
            costs = self._costs(baseline, usable, profile, tracked, now_ms)
            cost, state = self._generator.choice(_cheapest(costs))
            usual_ms = estimates.usual_ms(state, profile, baseline)
            return Choice(state, profile, cost, usual_ms)

    def assess(
        self,
        service: str,
        profile: estimates.CallProfile,
        tracked: frozenset[str] | None = None,
    ) -> list[candidates.Assessment]:
        """Return what speaks for each server, by cost, and change nothing.

        See :meth:`choose` for the parameters; it decides by the same figures.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._by_service.get(service):
                return []
            usable = self._find_candidates(
                service, profile, frozenset(), now_ms
            )
            baseline = self._baseline(service)
            costs = self._costs(baseline, usable, profile, tracked, now_ms)
            chosen = {state for _, state in _cheapest(costs)}
            everything = usable._replace(states=self._by_service[service])
            found = [
                candidates.assess(
                    state,
                    cost,
                    usable,
                    state in chosen,
                    self._describe_pace(state.server, now_ms),
                    now_ms,
                )
                for cost, state in self._costs(
                    baseline, everything, profile, tracked, now_ms
                )
            ]
        found.sort(key=lambda one: (not one.is_chosen, one.cost.total_ms))
        return found

    def start(self, choice: Choice) -> Placement:
        """Record the start of a call at its server."""
        with self._lock:
            return self._record_start(choice, self._clock.now_ms())

    def has_alternative(
        self, service: str, placement: Placement, avoid: frozenset[str]
    ) -> bool:
        """Return whether a call could be retried on another server."""
        used = avoid | {placement.server.server_id}
        with self._lock:
            now_ms = self._clock.now_ms()
            states = self._by_service.get(service, [])
            return any(
                state.server.server_id not in used
                and placement.profile.allows(state.server)
                and not state.is_denied(now_ms)
                for state in states
            )

    def choose_planned(
        self, server_id: str, profile: estimates.CallProfile
    ) -> Choice | None:
        """Return a server that another process chose.

        :return: ``None`` if the server is unknown, ejected or of a version
            that may not run the call.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            state = self._servers.get(server_id)
            if state is None or state.health.is_ejected(now_ms):
                return None
            if not profile.allows(state.server):
                return None
            baseline = self._baseline(state.server.service)
            cost = self._cost(state, profile, baseline, now_ms)
            usual_ms = estimates.usual_ms(state, profile, baseline)
            return Choice(state, profile, cost, usual_ms)

    def deny(self, choice: Choice, retry_after_ms: float) -> None:
        """Exclude a server for a time in which its rate limit is reached."""
        with self._lock:
            now_ms = self._clock.now_ms()
            choice.state.denied_until_ms = now_ms + retry_after_ms

    def record_load(
        self, placement: Placement, load: traffic.ServerLoad | None
    ) -> None:
        """Store the load that a server reported with an answer's header."""
        if load is None:
            return
        with self._lock:
            state = self._state_of(placement)
            if state is not None:
                state.record_report(load, self._clock.now_ms())

    def release(
        self,
        placement: Placement,
        outcome: health.Outcome,
        observation: estimates.Observation,
    ) -> None:
        """Record the end of a call and update the server's estimates."""
        with self._lock:
            state = self._state_of(placement)
            if state is None:
                return
            now_ms = self._clock.now_ms()
            state.record_end(placement.due_ms)
            is_overdue = now_ms >= placement.due_ms
            if outcome is health.Outcome.ABANDONED and is_overdue:
                # The caller disconnected because the server did not answer.
                outcome = health.Outcome.FAILED
            self._update_estimates(state, placement, observation, now_ms)
            self._record_outcome(
                state, placement, outcome, observation, now_ms
            )

    def describe(self) -> list[dict[str, object]]:
        """Return the state of each server, for a state dump."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return [
                {
                    "server_id": state.server.server_id,
                    "service": state.server.service,
                    "in_flight": state.in_flight,
                    "load": state.load(now_ms),
                    "step_ms_per_token": round(state.step_average.value, 2),
                    "call_ms": round(state.call_average.value, 1),
                    "is_ejected": state.health.is_ejected(now_ms),
                    "pace": self._describe_pace(state.server, now_ms),
                }
                for state in self._servers.values()
            ]

    def _find_candidates(
        self,
        service: str,
        profile: estimates.CallProfile,
        avoid: frozenset[str],
        now_ms: float,
    ) -> candidates.Candidates:
        servers = self._by_service.get(service, [])
        return candidates.find(servers, profile, avoid, self._paced, now_ms)

    def _costs(
        self,
        baseline: estimates.Baseline,
        found: candidates.Candidates,
        profile: estimates.CallProfile,
        tracked: frozenset[str] | None,
        now_ms: float,
    ) -> list[_CostOfState]:
        return [
            (
                self._scaled_cost(
                    state,
                    profile,
                    baseline,
                    tracked,
                    now_ms,
                    state.server.server_id in found.probed,
                ),
                state,
            )
            for state in found.states
        ]

    def _new_state(
        self, server: traffic.BackendServer
    ) -> estimates.ServerState:
        memory_tokens = self._memory_tokens.get(
            server.service, estimates.DEFAULT_MEMORY_TOKENS
        )
        max_ejection_ms = health.MAX_EJECTION_MS
        if self._paced is not None:
            max_ejection_ms = paced_servers.MAX_EJECTION_MS
        return estimates.ServerState(server, memory_tokens, max_ejection_ms)

    def _begin_pace(
        self,
        server: traffic.BackendServer,
        reason: pace.Reason,
        from_ms: float | None = None,
    ) -> None:
        if self._paced is None:
            return
        now_ms = self._clock.now_ms()
        from_ms = now_ms if from_ms is None else from_ms
        self._paced.begin(server, reason, from_ms, now_ms)

    def _describe_pace(
        self, server: traffic.BackendServer, now_ms: float
    ) -> dict[str, object] | None:
        if self._paced is None:
            return None
        return self._paced.describe(server, now_ms)

    def _record_outcome(
        self,
        state: estimates.ServerState,
        placement: Placement,
        outcome: health.Outcome,
        observation: estimates.Observation,
        now_ms: float,
    ) -> None:
        """Record a call's end as evidence of its server's health."""
        ejected_until_ms = state.health.ejected_until_ms
        state.health.record(outcome, now_ms)
        if self._paced is None:
            return
        if state.health.ejected_until_ms > ejected_until_ms:
            self._begin_pace(
                state.server,
                pace.Reason.RETURNED,
                state.health.ejected_until_ms,
            )
        timing = None
        if outcome is health.Outcome.SUCCEEDED:
            timing = paced_servers.timing(
                now_ms - placement.sent_ms,
                placement.usual_ms,
                placement.profile,
                observation,
            )
        peers = self._by_service[state.server.service]
        self._paced.record(state, peers, outcome, timing, now_ms)

    def _baseline(self, service: str) -> estimates.Baseline:
        samples = self._samples.get(service, _NO_SAMPLES)
        return estimates.Baseline(
            self._by_service[service], samples.prefill_ratio()
        )

    def _cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        baseline: estimates.Baseline,
        now_ms: float,
        is_probed: bool = False,
    ) -> estimates.Cost:
        return estimates.cost(
            state, profile, baseline, self._domain, now_ms, is_probed
        )

    def _scaled_cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        baseline: estimates.Baseline,
        tracked: frozenset[str] | None,
        now_ms: float,
        is_probed: bool = False,
    ) -> estimates.Cost:
        """Return a cost that is higher if the load is not fully known."""
        found = self._cost(state, profile, baseline, now_ms, is_probed)
        if tracked is None or state.server.server_id in tracked:
            return found
        return found._replace(total_ms=found.total_ms * UNKNOWN_LOAD_FACTOR)

    def _state_of(self, placement: Placement) -> estimates.ServerState | None:
        state = self._servers.get(placement.server.server_id)
        if state is None or not _is_same_run(state.server, placement.server):
            return None
        return state

    def _record_start(self, choice: Choice, now_ms: float) -> Placement:
        state, profile, cost, _ = choice
        missing = state.missing_tokens(profile)
        due_ms = (
            now_ms
            + estimates.OVERDUE_FACTOR * cost.total_ms
            + estimates.OVERDUE_MARGIN_MS
        )
        state.record_start(due_ms)
        # Turns that follow at once can reuse a prefill in progress.
        state.cache.add(profile.prompt)
        state.add_prefill(cost.prefill_ms, now_ms)
        return Placement(
            state.server,
            profile,
            cost.total_ms,
            missing,
            state.report_age_ms(now_ms),
            now_ms,
            due_ms,
            choice.usual_ms,
        )

    def _update_estimates(
        self,
        state: estimates.ServerState,
        placement: Placement,
        observation: estimates.Observation,
        now_ms: float,
    ) -> None:
        if observation.step_ms_per_token is not None:
            state.step_average.add(observation.step_ms_per_token, now_ms)
        if observation.total_ms is not None:
            slowness = max(state.slowness(now_ms), 0.1)
            state.call_average.add(observation.total_ms / slowness, now_ms)
        if observation.first_event_ms is not None and state.step_average.count:
            samples = self._samples.setdefault(
                state.server.service, estimates.PrefillSamples()
            )
            samples.add(
                observation.first_event_ms,
                placement.missing_tokens,
                state.step_average.value,
            )


def _cheapest(costs: list[_CostOfState]) -> list[_CostOfState]:
    """Return the servers whose cost is the least or nearly so."""
    least_ms = min((cost.total_ms for cost, _ in costs), default=0.0)
    return [
        pair for pair in costs if pair[0].total_ms <= least_ms + COST_TIE_MS
    ]


def _is_same_run(
    one: traffic.BackendServer, other: traffic.BackendServer
) -> bool:
    return (one.incarnation, one.address) == (other.incarnation, other.address)
