"""Paces of a balancer's servers, in terms of its states and calls."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_gateway import estimates, health, traffic
from balsamloom_pacing import answers, pace, paces

# Ejections don't grow longer: the pace decides how often hosts try again.
MAX_EJECTION_MS = health.MIN_EJECTION_MS

_RESULTS = {
    health.Outcome.SUCCEEDED: answers.Result.ANSWERED,
    health.Outcome.FAILED: answers.Result.FAILED,
    health.Outcome.UNREACHABLE: answers.Result.FAILED,
    health.Outcome.REFUSED: answers.Result.REFUSED,
}


class Selection(NamedTuple):
    """Servers that may take a call.

    ``probed`` are the identifiers of those that may be tried whatever their
    record of failures.
    """

    states: list[estimates.ServerState]
    probed: frozenset[str]


class PacedServers:
    """Limits the calls to servers that have started or recovered.

    Not thread-safe; the balancer must hold its lock.

    :param member: name of this member.
    :param count_members: returns the number of members.
    :param on_change: called with each change of a pace and its reason.
    """

    def __init__(
        self,
        member: str,
        count_members: Callable[[], int],
        on_change: Callable[[str, str], object],
    ) -> None:
        self._paces = paces.Paces(member, count_members, on_change)

    def begin(
        self,
        server: traffic.BackendServer,
        reason: pace.Reason,
        from_ms: float,
        now_ms: float,
    ) -> None:
        """Begin the pace of a server, which gets no calls before a time."""
        self._paces.begin(
            server.service,
            _run(server),
            server.slots,
            reason,
            from_ms,
            now_ms,
        )

    def keep_only(self, servers: Sequence[traffic.BackendServer]) -> None:
        """Forget all servers but those given."""
        self._paces.keep_only(_run(server) for server in servers)

    def select(
        self,
        states: Sequence[estimates.ServerState],
        now_ms: float,
        is_retry: bool,
    ) -> Selection:
        """Return the servers that may take a call, at least one.

        :param states: servers of a service that could take it.
        :param is_retry: another server has turned the call away.
        """
        if not self._paces.has_paced_servers:
            return Selection(list(states), frozenset())
        selection = self._paces.select(
            [
                paces.Candidate(
                    _run(state.server),
                    state.in_flight,
                    state.load(now_ms) / max(state.server.slots, 1),
                )
                for state in states
            ],
            now_ms,
            is_retry,
        )
        return Selection(
            [
                state
                for state in states
                if _run(state.server) in selection.allowed
            ],
            frozenset(run.server_id for run in selection.probed),
        )

    def record(
        self,
        state: estimates.ServerState,
        peers: Sequence[estimates.ServerState],
        outcome: health.Outcome,
        timing: answers.Timing | None,
        now_ms: float,
    ) -> None:
        """Record the end of a call.

        Forgets the earlier speed of a server that serves like its peers now.

        :param peers: servers of the service.
        """
        result = _RESULTS.get(outcome)
        if result is None:
            return
        run = _run(state.server)
        evidence = answers.Evidence(result, timing)
        if self._paces.is_paced(run, now_ms):
            reports = [
                _load(peer, now_ms) for peer in peers if peer is not state
            ]
            evidence = evidence._replace(
                load=_load(state, now_ms),
                peer_loads=[load for load in reports if load is not None],
            )
        if self._paces.record(state.server.service, run, evidence, now_ms):
            state.forget_speed()

    def describe(
        self, server: traffic.BackendServer, now_ms: float
    ) -> dict[str, object] | None:
        """Return the pace of a server for a state dump, if it has one."""
        return self._paces.describe(_run(server), now_ms)


def timing(
    duration_ms: float,
    usual_ms: float,
    profile: estimates.CallProfile,
    observation: estimates.Observation,
) -> answers.Timing:
    """Return the timing of a call, whose output may differ from its profile.

    :param duration_ms: time from sending the call to its end.
    :param usual_ms: time that such a call takes at a usual server.
    """
    if observation.total_ms is not None:
        duration_ms = observation.total_ms
    elif (
        observation.first_event_ms is not None
        and observation.step_ms_per_token is not None
    ):
        generate_ms = observation.step_ms_per_token * profile.output_tokens
        duration_ms = observation.first_event_ms + generate_ms
    return answers.Timing(duration_ms, usual_ms)


def _run(server: traffic.BackendServer) -> paces.Run:
    return paces.Run(server.server_id, server.incarnation, server.address)


def _load(state: estimates.ServerState, now_ms: float) -> answers.Load | None:
    report = state.fresh_report(now_ms)
    return None if report is None else answers.Load(*report[:2])
