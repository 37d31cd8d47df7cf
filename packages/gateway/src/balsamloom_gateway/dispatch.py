"""Sends calls to servers until one answers or nothing is left to try."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    attempts,
    balancer,
    callbacks,
    channel_pool,
    channels,
    estimates,
    health,
    interfaces,
    planner,
    relay,
    responses,
    traffic,
)

# Connections take a few ms; one that takes longer lost its first packet or is
# cut, and another server answers sooner.
CONNECT_TIMEOUT_MS = 400.0
POOL_IDLE_LIMIT_MS = 30_000.0
# A connection that a server has dropped silently looks open, so calls that
# may not be repeated use connections that were in use just before.
SAFE_IDLE_MS = 3_000.0
# Advice to callers when servers refused their call.
REFUSED_RETRY_MS = 200.0


class Target(NamedTuple):
    """Where a call may run.

    ``planned_server`` was chosen by the holder of the call's program.
    """

    service: str
    spec: traffic.Service | None
    profile: estimates.CallProfile
    planned_server: str | None = None


class Ended(NamedTuple):
    """What became of a call.

    ``tokens`` may have been handed to the caller.
    """

    tokens: int
    report: planner.TurnReport


class _Attempt(NamedTuple):
    result: relay.Result
    report: planner.TurnReport


class Dispatcher:
    """Attempts of calls at servers.

    :param servers: choice of servers.
    :param responder: gives final answers and logs.
    :param codec: header fields.
    :param clock: time source.
    """

    def __init__(
        self,
        servers: balancer.Balancer,
        responder: responses.Responder,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
    ) -> None:
        self._balancer = servers
        self._responder = responder
        self._codec = codec
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], channel_pool.ChannelPool] = {}
        self.on_leaving: Callable[[str], None] = callbacks.ignore

    def keep_pools_of(self, servers: list[traffic.BackendServer]) -> None:
        """Close idle connections to servers that get no more calls."""
        kept = {(server.server_id, server.incarnation) for server in servers}
        with self._lock:
            gone = [self._pools.pop(key) for key in set(self._pools) - kept]
        for pool in gone:
            pool.close()

    def run(self, call: responses.Call, target: Target) -> Ended:
        """Send a call until a server answers it or nothing is left to try."""
        history = attempts.AttemptHistory(call.route)
        tried: frozenset[str] = frozenset()
        report = planner.NOT_RUN
        while True:
            placement = self._place(target, tried)
            if isinstance(placement, balancer.NoServer):
                self._responder.give_up(
                    call,
                    history.fail_without_server(placement.reason),
                    placement.retry_after_ms,
                )
                return Ended(0, report)
            self._responder.log_placement(call, placement)
            first_until_ms = call.until_ms
            if self._balancer.has_alternative(
                target.service, placement, tried
            ):
                first_until_ms = history.first_byte_deadline_ms(
                    call.until_ms, placement.due_ms, placement.estimate_ms
                )
            result, report = self._attempt(
                call, placement, target.spec, first_until_ms
            )
            match result:
                case relay.Relayed(tokens) | relay.Gone(tokens):
                    return Ended(tokens, report)
                case attempts.NotRun() | attempts.MayHaveRun():
                    tried |= {placement.server.server_id}
                    left_ms = call.until_ms - self._clock.now_ms()
                    decision = history.decide(result, left_ms)
            if isinstance(decision, attempts.FinalFailure):
                self._responder.give_up(call, decision, REFUSED_RETRY_MS)
                return Ended(0, report)

    def _place(
        self, target: Target, tried: frozenset[str]
    ) -> balancer.Placement | balancer.NoServer:
        """Use the planned server first, then choose from what is known."""
        if target.planned_server is not None and not tried:
            found = self._balancer.place_on(
                target.planned_server, target.profile
            )
            if found is not None:
                return found
        return self._balancer.place(target.service, target.profile, tried)

    def _attempt(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
        first_until_ms: float,
    ) -> _Attempt:
        """Send a call to a server.

        A kept connection that the server has dropped is no reason to give a
        call up that may be repeated: it is sent again on a new one.
        """
        pool = self._pool(placement.server)
        is_repeatable = call.route.is_repeatable
        try:
            channel, is_kept = pool.take(
                self._connect_timeout_ms(call),
                None if is_repeatable else SAFE_IDLE_MS,
            )
        except channels.ConnectError as error:
            return self._not_connected(
                call, placement, attempts.NotRun(str(error))
            )
        run, result = self._relay(
            call, placement, spec, channel, first_until_ms
        )
        if run.is_dropped and is_kept and is_repeatable:
            reason = "a kept connection was dropped"
            self._responder.log_failure(
                call, placement, reason, is_sent=True, is_kept_channel=True
            )
            try:
                channel = pool.connect(self._connect_timeout_ms(call))
            except channels.ConnectError as error:
                return self._not_connected(
                    call, placement, attempts.MayHaveRun(str(error))
                )
            is_kept = False
            run, result = self._relay(
                call, placement, spec, channel, first_until_ms
            )
        report = self._learn(placement, run, result)
        self._log(call, placement, run, result, is_kept)
        return _Attempt(result, report)

    def _relay(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        spec: traffic.Service | None,
        channel: channels.Channel,
        first_until_ms: float,
    ) -> tuple[relay.Relay, relay.Result]:
        """Send a call on a connection, which is kept if it can be."""
        run = relay.Relay(
            call.request,
            call.reply,
            call.metadata,
            call.route,
            channel,
            self._codec,
            self._clock,
            spec.engine if spec else None,
            call.recorder,
            lambda: self.on_leaving(placement.server.server_id),
        )
        head = self._request_head(call, placement.server, spec)
        result = run.run(head + call.body, call.until_ms, first_until_ms)
        self._pool(placement.server).give_back(channel)
        return run, result

    def _not_connected(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        result: attempts.Failure,
    ) -> _Attempt:
        report = planner.TurnReport(
            placement.server.server_id,
            health.Outcome.UNREACHABLE,
            estimates.Observation(),
        )
        self._balancer.release(placement, report.outcome, report.observation)
        is_sent = isinstance(result, attempts.MayHaveRun)
        self._responder.log_failure(call, placement, result.reason, is_sent)
        return _Attempt(result, report)

    def _connect_timeout_ms(self, call: responses.Call) -> float:
        left_ms = call.until_ms - self._clock.now_ms()
        return min(CONNECT_TIMEOUT_MS, left_ms)

    def _learn(
        self,
        placement: balancer.Placement,
        run: relay.Relay,
        result: relay.Result,
    ) -> planner.TurnReport:
        report = planner.TurnReport(
            placement.server.server_id,
            run.health_outcome(result),
            run.observation(placement.sent_ms),
            run.is_server_leaving,
        )
        self._balancer.record_load(placement, run.load)
        self._balancer.release(placement, report.outcome, report.observation)
        return report

    def _log(
        self,
        call: responses.Call,
        placement: balancer.Placement,
        run: relay.Relay,
        result: relay.Result,
        is_kept_channel: bool,
    ) -> None:
        match result:
            case attempts.NotRun(reason) | attempts.MayHaveRun(reason):
                is_sent = isinstance(result, attempts.MayHaveRun)
                self._responder.log_failure(
                    call, placement, reason, is_sent, is_kept_channel
                )
            case _:
                self._responder.log_end(
                    call,
                    run.status,
                    run.end_reason,
                    server_id=placement.server.server_id,
                    first_ms=run.first_ms(placement.sent_ms),
                    events_relayed=run.event_count,
                )

    def _request_head(
        self,
        call: responses.Call,
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

    def _pool(self, server: traffic.BackendServer) -> channel_pool.ChannelPool:
        key = (server.server_id, server.incarnation)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                pool = channel_pool.ChannelPool(
                    server.address, self._clock, POOL_IDLE_LIMIT_MS
                )
                self._pools[key] = pool
            return pool
