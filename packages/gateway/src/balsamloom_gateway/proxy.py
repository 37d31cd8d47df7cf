"""Serves callers' requests: route, budget, server, answer."""

from __future__ import annotations

import logging
import threading
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    attempts,
    balancer,
    budgets,
    channels,
    fleet,
    health,
    interfaces,
    ledger,
    ledger_book,
    listeners,
    metrics,
    relay,
    routes,
    traffic,
)

CONNECT_TIMEOUT_MS = 1_000.0
POOL_IDLE_LIMIT_MS = 30_000.0
# A connection that a server has dropped silently looks open, so calls that
# may not be repeated use connections that were in use just before.
SAFE_IDLE_MS = 3_000.0
# Advice to callers when nothing better is known.
STARTING_RETRY_MS = 500.0
BUDGET_RETRY_MS = 500.0
REFUSED_RETRY_MS = 200.0


class Call(NamedTuple):
    """A request that was read and has a route."""

    request: listeners.Request
    reply: listeners.Reply
    metadata: traffic.CallMetadata
    route: traffic.Route
    body: bytes
    arrived_ms: float
    until_ms: float
    configuration: traffic.Configuration


class Proxy:
    """Handler of callers' requests.

    :param view: configuration and servers.
    :param servers: choice of servers.
    :param accounts: budgets of programs.
    :param codec: header fields.
    :param clock: time source.
    :param figures: counts answers and failures.
    """

    def __init__(
        self,
        view: fleet.Fleet,
        servers: balancer.Balancer,
        accounts: budgets.Budgets,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        figures: metrics.Metrics,
    ) -> None:
        self._figures = figures
        self._fleet = view
        self._balancer = servers
        self._budgets = accounts
        self._codec = codec
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], channels.ChannelPool] = {}

    def keep_pools_of(self, servers: list[traffic.BackendServer]) -> None:
        """Close idle connections to servers that get no more calls."""
        kept = {(server.server_id, server.incarnation) for server in servers}
        with self._lock:
            gone = [self._pools.pop(key) for key in set(self._pools) - kept]
        for pool in gone:
            pool.close()

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one request."""
        call = self._read_call(request, reply)
        if call is not None:
            self._serve(call)

    def _read_call(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> Call | None:
        """Read a request and find its route.

        :return: ``None`` if the request has its final answer.
        """
        arrived_ms = self._clock.now_ms()
        try:
            metadata = self._codec.decode_call(request.headers)
        except interfaces.InvalidCallError as error:
            self._reject(request, reply, 400, str(error))
            return None
        in_force = self._fleet.in_force
        if in_force is None:
            reason = "no configuration is known yet"
            request_id = metadata.request_id
            self._refuse(reply, request_id, reason, STARTING_RETRY_MS)
            return None
        configuration = in_force.configuration
        host = request.headers.get(b"Host", b"").decode("latin-1")
        route = in_force.table.find(host, request.path)
        if route is None:
            reason = f"no route in version {configuration.version}"
            self._reject(request, reply, 404, reason)
            return None
        try:
            body = request.read_body()
        except listeners.BodyTooLargeError as error:
            self._reject(request, reply, 413, str(error))
            return None
        except listeners.MalformedBodyError as error:
            self._reject(request, reply, 400, str(error))
            return None
        left_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            left_ms = min(left_ms, metadata.deadline_ms)
        until_ms = arrived_ms + left_ms
        return Call(
            request,
            reply,
            metadata,
            route,
            body,
            arrived_ms,
            until_ms,
            configuration,
        )

    def _serve(self, call: Call) -> None:
        if call.metadata.token_budget is None:
            self._attempt_all(call, None)
            return
        result = self._budgets.reserve(call.metadata)
        match result:
            case budgets.Grant():
                self._run_turn(call, result)
            case ledger.Exhausted():
                fields = self._codec.own_answer(call.metadata.request_id, None)
                call.reply.send(402, fields)
                self._log_end(call, 402, "the token budget is spent")
            case ledger_book.Unrecorded(reason):
                self._refuse(
                    call.reply,
                    call.metadata.request_id,
                    f"the token budget cannot be recorded: {reason}",
                    BUDGET_RETRY_MS,
                )

    def _run_turn(self, call: Call, grant: budgets.Grant) -> None:
        used_tokens = grant.tokens
        server_id = ""
        try:
            used_tokens, server_id = self._attempt_all(call, grant)
        finally:
            self._budgets.settle(grant, used_tokens, server_id)

    def _attempt_all(
        self, call: Call, grant: budgets.Grant | None
    ) -> tuple[int, str]:
        """Send a call until a server answers it or nothing is left to try.

        :return: tokens handed to the caller and the server that ran the call.
        """
        service = routes.choose_service(
            call.route, call.metadata.program_id or call.metadata.request_id
        )
        spec = call.configuration.services.get(service)
        profile = _profile(call, grant, spec)
        history = attempts.AttemptHistory(call.route)
        tried: frozenset[str] = frozenset()
        while True:
            placement = self._balancer.place(service, profile, tried)
            if isinstance(placement, balancer.NoServer):
                self._give_up(
                    call,
                    history.no_server(placement.reason),
                    placement.retry_after_ms,
                )
                return 0, ""
            self._log_placement(call, placement)
            outcome = self._attempt(call, placement, spec)
            match outcome:
                case relay.Relayed(tokens):
                    return tokens, placement.server.server_id
                case relay.Gone(tokens):
                    return tokens, placement.server.server_id
                case attempts.NotRun() | attempts.MayHaveRun():
                    tried |= {placement.server.server_id}
                    left_ms = call.until_ms - self._clock.now_ms()
                    decision = history.decide(outcome, left_ms)
            if isinstance(decision, attempts.GiveUp):
                self._give_up(call, decision, REFUSED_RETRY_MS)
                return 0, ""

    def _attempt(
        self,
        call: Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
    ) -> relay.Result:
        server = placement.server
        pool = self._pool(server)
        is_repeatable = call.route.kind is traffic.RouteKind.IDEMPOTENT
        left_ms = call.until_ms - self._clock.now_ms()
        try:
            channel, is_used = pool.take(
                min(CONNECT_TIMEOUT_MS, left_ms),
                None if is_repeatable else SAFE_IDLE_MS,
            )
        except channels.ConnectError as error:
            self._balancer.end(
                placement,
                health.Outcome.UNREACHABLE,
                balancer.Observation(),
                False,
            )
            self._log_failure(call, placement, str(error), is_sent=False)
            return attempts.NotRun(str(error))
        run = relay.Relay(
            call.request,
            call.reply,
            call.metadata,
            call.route,
            channel,
            self._codec,
            self._clock,
            spec.engine if spec else None,
        )
        head = self._request_head(call, server, spec)
        result = run.run(head + call.body, call.until_ms)
        if channel.is_reusable:
            pool.give_back(channel)
        else:
            channel.close()
        self._learn(placement, run, result)
        if isinstance(result, attempts.NotRun | attempts.MayHaveRun):
            self._log_failure(
                call,
                placement,
                result.reason,
                is_sent=isinstance(result, attempts.MayHaveRun),
                is_kept_channel=is_used,
            )
        else:
            self._log_end(
                call,
                run.status,
                run.end_reason,
                server_id=server.server_id,
                first_ms=run.first_ms(placement.sent_ms),
                events_relayed=run.event_count,
            )
        return result

    def _learn(
        self,
        placement: balancer.Placement,
        run: relay.Relay,
        result: relay.Result,
    ) -> None:
        self._balancer.answered(placement, run.load)
        has_begun = run.event_count > 0
        if has_begun:
            self._balancer.began(placement)
        self._balancer.end(
            placement,
            run.health_outcome(result),
            run.observation(placement.sent_ms),
            has_begun,
        )

    def _request_head(
        self,
        call: Call,
        server: traffic.BackendServer,
        spec: traffic.Service | None,
    ) -> bytes:
        has_engine = spec is not None and spec.engine is not None
        left_ms = call.until_ms - self._clock.now_ms()
        fields = self._codec.forwarded(
            call.request.headers,
            server.server_id,
            left_ms,
            call.route.priority if has_engine else None,
        )
        lines = [
            call.request.method + b" " + call.request.target + b" HTTP/1.1"
        ]
        lines.extend(name + b": " + value for name, value in fields)
        if call.body or call.request.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _pool(self, server: traffic.BackendServer) -> channels.ChannelPool:
        key = (server.server_id, server.incarnation)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                pool = channels.ChannelPool(
                    server.address, self._clock, POOL_IDLE_LIMIT_MS
                )
                self._pools[key] = pool
            return pool

    def _give_up(
        self, call: Call, decision: attempts.GiveUp, retry_after_ms: float
    ) -> None:
        if decision.is_not_run:
            self._refuse(
                call.reply,
                call.metadata.request_id,
                decision.reason,
                retry_after_ms,
            )
            return
        status = 504 if self._clock.now_ms() >= call.until_ms else 502
        fields = self._codec.own_answer(call.metadata.request_id, None)
        call.reply.send(status, fields)
        self._log_end(call, status, decision.reason)

    def _refuse(
        self,
        reply: listeners.Reply,
        request_id: str,
        reason: str,
        retry_after_ms: float,
    ) -> None:
        """Answer that a request has not run and when to come back."""
        reply.send(503, self._codec.own_answer(request_id, retry_after_ms))
        self._figures.note_answer("refused", 503, 0.0, None)
        events.log(
            events.Event.REQUEST_REFUSED,
            logging.WARNING,
            request_id=request_id,
            status=503,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def _reject(
        self,
        request: listeners.Request,
        reply: listeners.Reply,
        status: int,
        reason: str,
    ) -> None:
        """Answer a request that is not in the protocol or has no route."""
        identifier = request.headers.get(
            self._codec.request_id_field.title(), b""
        ).decode("latin-1")
        if status != 404:
            # The rest of the request may not have been read.
            reply.close_after()
        reply.send(status, self._codec.own_answer(identifier, None))
        events.log(
            events.Event.REQUEST_REFUSED,
            logging.WARNING,
            request_id=identifier,
            status=status,
            reason=reason,
            path=request.path,
        )

    def _log_placement(
        self, call: Call, placement: balancer.Placement
    ) -> None:
        events.log(
            events.Event.REQUEST_PLACED,
            request_id=call.metadata.request_id,
            program_id=call.metadata.program_id,
            route=call.route.name,
            version=call.configuration.version,
            server_id=placement.server.server_id,
            estimate_ms=round(placement.estimate_ms, 1),
            missing_tokens=placement.missing_tokens,
            report_age_ms=placement.report_age_ms,
            left_ms=round(call.until_ms - placement.sent_ms),
        )

    def _log_failure(
        self,
        call: Call,
        placement: balancer.Placement,
        reason: str,
        is_sent: bool,
        is_kept_channel: bool = False,
    ) -> None:
        self._figures.note_failure(call.route.kind.value, is_sent)
        events.log(
            events.Event.ATTEMPT_FAILED,
            logging.WARNING,
            request_id=call.metadata.request_id,
            server_id=placement.server.server_id,
            reason=reason,
            is_sent=is_sent,
            is_kept_channel=is_kept_channel,
        )

    def _log_end(
        self,
        call: Call,
        status: int,
        reason: str,
        first_ms: float | None = None,
        **fields: Any,
    ) -> None:
        total_ms = self._clock.now_ms() - call.arrived_ms
        kind = call.route.kind.value
        self._figures.note_answer(kind, status, total_ms, first_ms)
        events.log(
            events.Event.REQUEST_ENDED,
            request_id=call.metadata.request_id,
            program_id=call.metadata.program_id,
            status=status,
            reason=reason,
            duration_ms=round(total_ms, 1),
            first_ms=first_ms,
            **fields,
        )


def _profile(
    call: Call, grant: budgets.Grant | None, spec: traffic.Service | None
) -> balancer.CallProfile:
    if spec is None or spec.engine is None:
        return balancer.CallProfile()
    metadata = call.metadata
    return balancer.CallProfile(
        metadata.prompt,
        metadata.prompt_tokens,
        metadata.expected_output_tokens or metadata.max_output_tokens,
        grant.recent_servers if grant else (),
    )
