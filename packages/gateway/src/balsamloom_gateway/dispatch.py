"""Dispatch of calls to backend servers, with retries on other servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    attempts,
    balancer,
    call_priorities,
    callbacks,
    candidates,
    connection_pool,
    crash_detection,
    estimates,
    handover_messages,
    health,
    interfaces,
    limited_placement,
    planner,
    rate_quota,
    relay,
    responses,
    send_permits,
    server_connections,
    server_paths,
    stream_versions,
    traffic,
    version_history,
)

# Connecting takes a few ms. A slower attempt lost its first packet or met a
# network partition, and another server answers sooner.
CONNECT_TIMEOUT_MS = 400.0
# A connection that a server has closed silently looks open, so calls that may
# not be repeated use only connections with a shorter idle time.
MAX_SAFE_IDLE_MS = 3_000.0
# Sent to callers whose call was refused by servers.
REFUSED_RETRY_AFTER_MS = 200.0


class Target(NamedTuple):
    """Service of a call and the properties that select its server.

    ``plan`` is from the holder of the call's program.
    """

    service: str
    spec: traffic.Service | None
    profile: estimates.CallProfile
    plan: planner.Plan | None = None


class Result(NamedTuple):
    """Result of a call.

    ``tokens`` is the number that the caller may have received. A call that
    is handed over has no answer yet.
    """

    tokens: int
    report: planner.TurnReport
    is_handed_over: bool = False


HANDED_OVER = Result(0, planner.NOT_RUN, is_handed_over=True)


class _AttemptResult(NamedTuple):
    result: relay.Result
    report: planner.TurnReport
    is_unreached: bool = False


class Dispatcher:
    """Sends calls to servers and retries failed attempts.

    :param servers: chooses the server of each attempt.
    :param responder: sends final answers and logs.
    :param permits: permits to send to servers that limit their rate.
    :param crashes: detects servers that crash under calls.
    :param streams: records at which version streams begin.
    :param paths: paths of this process to the servers.
    :param codec: encodes header fields.
    :param clock: time source.
    """

    def __init__(
        self,
        servers: balancer.Balancer,
        responder: responses.Responder,
        permits: send_permits.SendPermits,
        crashes: crash_detection.CrashDetector,
        streams: stream_versions.StreamVersions,
        paths: server_paths.ServerPaths,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
    ) -> None:
        self._paths = paths
        self._balancer = servers
        self._responder = responder
        self._permits = permits
        self._crashes = crashes
        self._streams = streams
        self._codec = codec
        self._clock = clock
        self.pools = connection_pool.ServerPools(clock)
        # Whether engines are told to serve programs with little time first.
        self.orders_by_program_time = False
        self.on_server_leaving: Callable[[str], None] = callbacks.ignore
        # Returns whether another member should serve a call, by the number of
        # its attempts that reached no server.
        self.should_hand_over: Callable[[responses.Call, int], bool] = (
            callbacks.refuse
        )

    def close_unused_pools(self, servers: list[traffic.BackendServer]) -> None:
        """Close idle connections to all servers but those given."""
        self.pools.keep_only(servers)

    def run(
        self,
        call: responses.Call,
        target: Target,
        history: attempts.AttemptHistory,
    ) -> Result:
        """Send a call until a server answers it or no retry is allowed.

        :param history: attempts of this call, to which this adds.
        """
        tried: frozenset[str] = frozenset()
        unreached = 0
        report = planner.NOT_RUN
        while True:
            placement = self._crashes.refusal(call) or self._place(
                target, tried, call.until_ms - self._clock.now_ms()
            )
            if isinstance(placement, candidates.NoServer):
                if unreached and self.should_hand_over(call, unreached):
                    return HANDED_OVER
                self._responder.send_failure(
                    call,
                    history.fail_without_server(placement.reason),
                    placement.retry_after_ms,
                )
                return Result(0, self._credible(report))
            self._responder.log_placement(call, placement)
            first_byte_until_ms = call.until_ms
            if self._balancer.has_alternative(
                target.service, placement, tried
            ):
                first_byte_until_ms = history.first_byte_deadline_ms(
                    call.until_ms, placement.due_ms, placement.estimate_ms
                )
            result, report, is_unreached = self._attempt(
                call, placement, target.spec, first_byte_until_ms
            )
            unreached += is_unreached
            match result:
                case relay.Delivery(tokens) | relay.Disconnect(tokens):
                    return Result(tokens, report)
                case attempts.NotRun() | attempts.MayHaveRun():
                    tried |= {placement.server.server_id}
                    left_ms = call.until_ms - self._clock.now_ms()
                    decision = history.decide(result, left_ms)
                    if not history.may_have_run:
                        call.request.take_back()
            if isinstance(decision, attempts.FinalFailure):
                self._responder.send_failure(
                    call, decision, REFUSED_RETRY_AFTER_MS
                )
                return Result(0, self._credible(report))
            if self.should_hand_over(call, unreached):
                return HANDED_OVER

    def _credible(self, report: planner.TurnReport) -> planner.TurnReport:
        """Return a report that blames no server for this process's paths."""
        return planner.NOT_RUN if self._paths.are_lost else report

    def _place(
        self, target: Target, tried: frozenset[str], left_ms: float
    ) -> balancer.Placement | candidates.NoServer:
        """Use the planned server first, then one that the balancer chooses.

        Waits if the server's rate limit allows the call only then.
        """
        plan = None if tried else target.plan
        if plan is not None and plan.permit is not None:
            planned = self._balancer.choose_planned(
                plan.server_id, target.profile
            )
            if planned is not None:
                self._clock.sleep(plan.permit.wait_ms)
                return self._balancer.start(planned)

        def choose(
            avoid: frozenset[str],
        ) -> balancer.Choice | candidates.NoServer:
            planned = None
            if plan is not None and plan.server_id not in avoid:
                planned = self._balancer.choose_planned(
                    plan.server_id, target.profile
                )
            return planned or self._balancer.choose(
                target.service, target.profile, tried | avoid
            )

        found = limited_placement.choose_permitted(
            self._balancer, self._permits, choose, left_ms
        )
        if isinstance(found, candidates.NoServer):
            return found
        self._clock.sleep(found.wait_ms)
        return self._balancer.start(found.choice)

    def _attempt(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
        first_byte_until_ms: float,
    ) -> _AttemptResult:
        """Send a call to a server.

        A repeatable call is sent again on a new connection if the server
        has closed the reused one.
        """
        pool = self.pools.get(placement.server)
        is_repeatable = call.route.is_repeatable
        try:
            connection, is_reused = pool.acquire(
                self._connect_timeout_ms(call),
                None if is_repeatable else MAX_SAFE_IDLE_MS,
            )
        except server_connections.ConnectError as error:
            return self._handle_unsent(
                call,
                placement,
                attempts.NotRun(str(error)),
                health.Outcome.UNREACHABLE,
            )
        if not is_reused:
            self._paths.record_connection()
        attempt, result = self._relay(
            call, placement, spec, connection, first_byte_until_ms
        )
        if attempt.is_closed_unanswered and is_reused and is_repeatable:
            return self._resend(
                call, placement, spec, result, first_byte_until_ms
            )
        report = self._record_result(call, placement, attempt, result)
        self._log_result(call, placement, attempt, result, is_reused)
        return _AttemptResult(result, report)

    def _resend(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
        first_result: relay.Result,
        first_byte_until_ms: float,
    ) -> _AttemptResult:
        """Send a call to the same server again, on a new connection.

        :param first_result: result on the reused connection, which the
            server closed. It may have run the call before that.
        """
        may_have_run = isinstance(first_result, attempts.MayHaveRun)
        self._responder.log_failure(
            call,
            placement,
            "the server closed a reused connection",
            is_sent=may_have_run,
            is_reused=True,
        )
        permit = self._permits.acquire(placement.server)
        if isinstance(permit, rate_quota.Denied):
            return self._handle_unsent(
                call,
                placement,
                _failure(
                    "the server has reached its rate limit", may_have_run
                ),
                health.Outcome.REFUSED,
            )
        pool = self.pools.get(placement.server)
        try:
            connection = pool.connect(self._connect_timeout_ms(call))
        except server_connections.ConnectError as error:
            is_refused = isinstance(
                error, server_connections.ConnectRefusedError
            )
            if may_have_run and is_refused:
                self._crashes.report(call, placement.server)
            return self._handle_unsent(
                call,
                placement,
                _failure(str(error), may_have_run),
                health.Outcome.UNREACHABLE,
            )
        self._paths.record_connection()
        attempt, result = self._relay(
            call, placement, spec, connection, first_byte_until_ms
        )
        report = self._record_result(call, placement, attempt, result)
        self._log_result(call, placement, attempt, result, is_reused=False)
        if may_have_run and isinstance(result, attempts.NotRun):
            # A refusal of the second request says nothing about the first.
            result = attempts.MayHaveRun(result.reason)
        return _AttemptResult(result, report)

    def _relay(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
        connection: server_connections.Connection,
        first_byte_until_ms: float,
    ) -> tuple[relay.Relay, relay.Result]:
        """Send a call on a connection and return it to its pool."""
        attempt = relay.Relay(
            call.request,
            call.response,
            call.metadata,
            call.route,
            connection,
            self._codec,
            self._clock,
            spec.engine if spec else None,
            call.recorder,
            lambda answer: self._take_answer(call, placement.server, answer),
            lambda: self._begin_stream(call, placement.server),
        )
        head = self._request_head(call, placement, spec)
        call.request.pass_on()
        result = attempt.run(
            head + call.body, call.until_ms, first_byte_until_ms
        )
        self.pools.get(placement.server).release(connection)
        return attempt, result

    def _begin_stream(
        self, call: responses.Call, server: traffic.BackendServer
    ) -> bool:
        """Record a stream; return whether its first event may be sent."""
        is_resumed = call.metadata.resumed_id is not None
        if is_resumed or not version_history.is_resumable(call.route):
            return True
        is_first = not call.request.possible_runs
        return self._streams.begin(call.stored_id, server, is_first)

    def _take_answer(
        self,
        call: responses.Call,
        server: traffic.BackendServer,
        answer: traffic.AnswerMetadata,
    ) -> None:
        self._paths.record_answer()
        self.record_answer(server, answer)
        if call.request.is_handed_over:
            call.response.added_fields = handover_messages.answer_fields(
                call.metadata.request_id.encode("latin-1"),
                handover_messages.Outcome.ANSWERED,
                server.server_id,
            )

    def record_answer(
        self, server: traffic.BackendServer, answer: traffic.AnswerMetadata
    ) -> None:
        """Record what a server says of itself in an answer."""
        if answer.is_leaving:
            self.on_server_leaving(server.server_id)
        self._permits.record(
            server, rate_quota.LimitReport(answer.limit_per_s, 0.0)
        )

    def _handle_unsent(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        result: attempts.Failure,
        outcome: health.Outcome,
    ) -> _AttemptResult:
        """End an attempt of which nothing was sent now.

        :param result: may say that an earlier send has run.
        """
        report = planner.TurnReport(
            placement.server.server_id, outcome, estimates.Observation()
        )
        self._balancer.release(placement, report.outcome, report.observation)
        is_unreached = outcome is health.Outcome.UNREACHABLE
        if is_unreached:
            self._paths.record_connect_failure(placement.server.server_id)
        is_sent = isinstance(result, attempts.MayHaveRun)
        self._responder.log_failure(call, placement, result.reason, is_sent)
        return _AttemptResult(result, report, is_unreached)

    def _connect_timeout_ms(self, call: responses.Call) -> float:
        left_ms = call.until_ms - self._clock.now_ms()
        return min(CONNECT_TIMEOUT_MS, left_ms)

    def _record_result(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        attempt: relay.Relay,
        result: relay.Result,
    ) -> planner.TurnReport:
        if attempt.is_connection_lost:
            self._crashes.check(
                call, placement.server, self.pools.get(placement.server)
            )
        answer = attempt.answer
        if attempt.is_silent:
            self._paths.record_silence(placement.server.server_id)
        report = planner.TurnReport(
            placement.server.server_id,
            attempt.health_outcome(result),
            attempt.observation(placement.sent_ms),
        )
        if answer is not None:
            limit = rate_quota.LimitReport(
                answer.limit_per_s, attempt.answer_age_ms
            )
            report = report._replace(
                is_server_leaving=answer.is_leaving, limit=limit
            )
            self._balancer.record_load(placement, answer.load)
        self._balancer.release(placement, report.outcome, report.observation)
        return report

    def _log_result(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        attempt: relay.Relay,
        result: relay.Result,
        is_reused: bool,
    ) -> None:
        match result:
            case attempts.NotRun(reason) | attempts.MayHaveRun(reason):
                is_sent = isinstance(result, attempts.MayHaveRun)
                self._responder.log_failure(
                    call, placement, reason, is_sent, is_reused
                )
            case relay.Delivery(tokens) | relay.Disconnect(tokens):
                if attempt.is_whole:
                    self._crashes.record_served(call)
                self._responder.log_end(
                    call,
                    attempt.status,
                    attempt.end_reason,
                    server_id=placement.server.server_id,
                    first_ms=attempt.time_to_first_byte_ms(placement.sent_ms),
                    events_relayed=attempt.event_count,
                    tokens=tokens,
                )

    def _request_head(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
    ) -> bytes:
        has_engine = spec is not None and spec.engine is not None
        left_ms = call.until_ms - self._clock.now_ms()
        workspace = call.workspace
        priority = None
        if has_engine:
            priority = call_priorities.engine_priority(
                call,
                placement.estimate_ms,
                self._clock.now_ms(),
                self.orders_by_program_time,
            )
        fields = self._codec.forwarded_fields(
            call.request.headers,
            placement.server.server_id,
            left_ms,
            priority,
            workspace.name if workspace else None,
        )
        lines = [
            call.request.method + b" " + call.request.target + b" HTTP/1.1"
        ]
        lines.extend(name + b": " + value for name, value in fields)
        if call.body or call.request.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _failure(reason: str, may_have_run: bool) -> attempts.Failure:
    if may_have_run:
        return attempts.MayHaveRun(reason)
    return attempts.NotRun(reason)
