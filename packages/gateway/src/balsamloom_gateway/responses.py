"""Answers that the process gives itself, and the log lines of each call."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    attempts,
    balancer,
    conversations,
    interfaces,
    listeners,
    metrics,
    traffic,
)


class Call(NamedTuple):
    """A request that was read and has a route.

    ``body`` is what a server gets. ``recorder`` keeps a turn whose answer is
    part of a conversation.
    """

    request: listeners.Request
    reply: listeners.Reply
    metadata: traffic.CallMetadata
    route: traffic.Route
    body: bytes
    arrived_ms: float
    until_ms: float
    configuration: traffic.Configuration
    recorder: conversations.TurnRecorder | None = None


class Responder:
    """Sends the process's own answers and logs what became of calls.

    :param codec: header fields.
    :param clock: time source.
    :param figures: counts answers and failures.
    """

    def __init__(
        self,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        figures: metrics.Metrics,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._figures = figures

    def refuse(
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

    def reject(
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

    def give_up(
        self,
        call: Call,
        decision: attempts.FinalFailure,
        retry_after_ms: float,
    ) -> None:
        """Give the final answer to a call that no server answered."""
        if decision.is_not_run:
            self.refuse(
                call.reply,
                call.metadata.request_id,
                decision.reason,
                retry_after_ms,
            )
            return
        status = 504 if self._clock.now_ms() >= call.until_ms else 502
        self.end(call, status, decision.reason)

    def end(self, call: Call, status: int, reason: str) -> None:
        """Give a final answer that is not a refusal to come back from."""
        fields = self._codec.own_answer(call.metadata.request_id, None)
        call.reply.send(status, fields)
        self.log_end(call, status, reason)

    def log_placement(self, call: Call, placement: balancer.Placement) -> None:
        """Log where a call is sent, and why."""
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

    def log_failure(
        self,
        call: Call,
        placement: balancer.Placement,
        reason: str,
        is_sent: bool,
        is_kept_channel: bool = False,
    ) -> None:
        """Log an attempt that brought no answer."""
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

    def log_end(
        self,
        call: Call,
        status: int,
        reason: str,
        first_ms: float | None = None,
        **fields: Any,
    ) -> None:
        """Log the final answer of a call."""
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
