"""Hands requests over to other members while no server can be reached."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    attempts,
    callbacks,
    connection_pool,
    fleet,
    handover_messages,
    interfaces,
    member_paths,
    relay,
    responses,
    server_connections,
    server_paths,
    traffic,
)
from balsamloom_workspaces import credentials

# Members that are asked to serve one request.
MAX_MEMBERS = 3
CONNECT_TIMEOUT_MS = 250.0
# A connection that was idle for longer may be closed at the other end.
MAX_IDLE_MS = 3_000.0
RETRY_AFTER_MS = 200.0


class Handovers:
    """Hands requests over to members that reach backend servers.

    The member does all work on a request: routing, earlier turns, budget and
    dispatch. This process relays its answer as it would a server's.

    :param name: name of this member.
    :param view: registered members.
    :param paths: paths of this process to the servers.
    :param responder: sends refusals and logs.
    :param codec: codec of the header fields.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        view: fleet.Fleet,
        paths: server_paths.ServerPaths,
        responder: responses.Responder,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._fleet = view
        self._paths = paths
        # What members say of their paths.
        self.members = member_paths.MemberPaths(clock, random.Random())
        self._responder = responder
        self._codec = codec
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, connection_pool.ConnectionPool] = {}
        # Returns the members that cannot serve callers now.
        self.unavailable: Callable[[], frozenset[str]] = frozenset
        # Called with what a server said of itself to another member.
        self.on_answer: Callable[[str, traffic.AnswerMetadata], None] = (
            callbacks.ignore
        )

    def is_due(self, call: responses.Call, unreached: int = 0) -> bool:
        """Return whether another member should serve a call.

        A call that was handed over to this member goes back to the sender.

        :param unreached: attempts of this call that reached no server.
        """
        is_cut_off = self._paths.are_lost
        if unreached and not self._paths.can_connect:
            is_cut_off = True
        if not is_cut_off:
            return False
        if call.request.is_handed_over:
            return unreached > 0
        if not handover_messages.may_hand_over(call.request.target):
            return False
        return bool(self._candidates())

    def run(
        self, call: responses.Call, history: attempts.AttemptHistory
    ) -> None:
        """Let another member serve a call, or refuse it.

        :param call: call with the body that the caller sent.
        :param history: attempts of this process.
        """
        if call.request.is_handed_over:
            self._return(call, history)
            return
        reason = "no member reaches a backend server"
        retry_after_ms = RETRY_AFTER_MS
        for member in self._candidates()[:MAX_MEMBERS]:
            attempt = _Attempt(
                call, member, self._codec, self._clock, self.on_answer
            )
            result = attempt.run(self._pool(member), history.possible_runs)
            if isinstance(result, (relay.Delivery, relay.Disconnect)):
                self._responder.log_handover(
                    call, member.name, attempt.status, attempt.end_reason
                )
                return
            reason = result.reason
            retry_after_ms = attempt.codec.retry_after_ms or RETRY_AFTER_MS
            if not self._may_retry(call, member, attempt, result, history):
                break
        self._responder.send_failure(
            call,
            attempts.FinalFailure(not history.may_have_run, reason),
            retry_after_ms,
        )

    def _return(
        self, call: responses.Call, history: attempts.AttemptHistory
    ) -> None:
        """Refuse a call of another member, which may ask a third one."""
        has_run = history.possible_runs > call.request.possible_runs
        if not has_run:
            call.response.added_fields = handover_messages.answer_fields(
                call.metadata.request_id.encode("latin-1"),
                handover_messages.Outcome.CUT_OFF,
            )
        reason = "this process reaches no server"
        self._responder.send_failure(
            call, attempts.FinalFailure(not has_run, reason), RETRY_AFTER_MS
        )

    def _may_retry(
        self,
        call: responses.Call,
        member: traffic.Member,
        attempt: _Attempt,
        failure: attempts.Failure,
        history: attempts.AttemptHistory,
    ) -> bool:
        """Record a failure and return whether to ask another member."""
        outcome = attempt.codec.outcome
        events.log(
            events.Event.HANDOVER_FAILED,
            logging.WARNING,
            request_id=call.metadata.request_id,
            member=member.name,
            reason=failure.reason,
            is_sent=isinstance(failure, attempts.MayHaveRun),
            outcome=outcome.value,
        )
        if outcome is handover_messages.Outcome.CUT_OFF:
            self.members.record(member.name, False)
        left_ms = call.until_ms - self._clock.now_ms()
        decision = history.decide(failure, left_ms)
        if not history.may_have_run:
            call.request.take_back()
        # Other members would answer the same.
        is_answered = outcome is handover_messages.Outcome.ANSWERED
        return isinstance(decision, attempts.Retry) and not is_answered

    def _candidates(self) -> list[traffic.Member]:
        excluded = {self._name, *self.unavailable()}
        return self.members.order(self._fleet.members(), excluded)

    def _pool(self, member: traffic.Member) -> connection_pool.ConnectionPool:
        address = member.peer_address
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = connection_pool.ConnectionPool(
                    address, self._clock, MAX_IDLE_MS
                )
                self._pools[address] = pool
            return pool


class _Attempt:
    """One request to a member to serve a call."""

    def __init__(
        self,
        call: responses.Call,
        member: traffic.Member,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        on_answer: Callable[[str, traffic.AnswerMetadata], None],
    ) -> None:
        self._on_answer = on_answer
        self._call = call
        self._member = member
        self._headers = codec
        self._clock = clock
        self.codec = handover_messages.MemberAnswerCodec(codec)
        self.status = 0
        self.end_reason = ""

    def run(
        self, pool: connection_pool.ConnectionPool, possible_runs: int
    ) -> relay.Result:
        """Send the request and relay the member's answer."""
        call = self._call
        left_ms = call.until_ms - self._clock.now_ms()
        try:
            connection, _ = pool.acquire(min(CONNECT_TIMEOUT_MS, left_ms))
        except server_connections.ConnectError as error:
            return attempts.NotRun(str(error))
        attempt = relay.Relay(
            call.request,
            call.response,
            call.metadata,
            call.route,
            connection,
            self.codec,
            self._clock,
            engine=None,
            on_answer=self._record_answer,
        )
        call.request.pass_on()
        result = attempt.run(
            self._encode(possible_runs), call.until_ms, call.until_ms
        )
        self.status = attempt.status
        self.end_reason = attempt.end_reason
        if isinstance(result, attempts.NotRun):
            # A process of the release before does not identify its answers.
            connection.close()
        pool.release(connection)
        return result

    def _record_answer(self, answer: traffic.AnswerMetadata) -> None:
        """Record what a server announced, if the answer is a server's."""
        has_announcement = answer.is_leaving or answer.limit_per_s is not None
        if self.codec.server_id and has_announcement:
            self._on_answer(self.codec.server_id, answer)

    def _encode(self, possible_runs: int) -> bytes:
        call = self._call
        left_ms = call.until_ms - self._clock.now_ms()
        presented = call.request.credential or credentials.MissingKey()
        return handover_messages.encode_request(
            call.request.method,
            call.request.target,
            self._headers.handed_over_fields(call.request.headers, left_ms),
            call.body,
            handover_messages.Origin(
                call.configuration.version, possible_runs
            ),
            None if call.configuration.workspaces is None else presented,
        )
