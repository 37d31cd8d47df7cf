"""Responses that the gateway generates itself, and logging of calls."""

from __future__ import annotations

import json
import logging
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, results
from balsamloom_gateway import (
    attempts,
    balancer,
    conversations,
    crash_ledger,
    interfaces,
    listeners,
    metrics,
    traffic,
)
from balsamloom_workspaces import scopes

_JSON_FIELD = (b"Content-Type", b"application/json")
_AUTHENTICATION_FIELD = (b"WWW-Authenticate", b"Bearer")


class Call(NamedTuple):
    """Request that was read and has a route.

    ``body`` is the body to send to a server. ``recorder`` stores the turn if
    the call is part of a conversation. ``key`` identifies what the caller
    sent over its retries. ``workspace`` is that of the caller's key, ``None``
    if the configuration asks for no key.
    """

    request: listeners.Request
    response: listeners.Response
    metadata: traffic.CallMetadata
    route: traffic.Route
    body: bytes
    arrived_ms: float
    until_ms: float
    configuration: traffic.Configuration
    key: crash_ledger.RequestKey
    recorder: conversations.TurnRecorder | None = None
    workspace: traffic.Workspace | None = None

    @property
    def scope(self) -> scopes.Scope:
        """Return the owner of the identifiers that the caller sent."""
        return scope_of(self.configuration, self.workspace)

    @property
    def stored_id(self) -> str:
        """Return the identifier under which the call's turn is stored."""
        return self.scope.identifier(self.metadata.request_id)

    def program_left_ms(self, now_ms: float) -> float | None:
        """Return the time to the program's deadline, ``None`` if unknown."""
        left_ms = self.metadata.program_deadline_ms
        if left_ms is None:
            return None
        return left_ms - (now_ms - self.arrived_ms)


def scope_of(
    configuration: traffic.Configuration, workspace: traffic.Workspace | None
) -> scopes.Scope:
    """Return the owner of a caller's identifiers.

    :param workspace: that of the caller's key, ``None`` without one.
    """
    if configuration.workspaces is None:
        return scopes.UNSCOPED
    return scopes.Scope(workspace.name if workspace else "")


class Responder:
    """Sends the gateway's own responses and logs the outcome of calls.

    :param codec: encodes and decodes header fields.
    :param clock: time source.
    :param call_metrics: counts responses and failures.
    """

    def __init__(
        self,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        call_metrics: metrics.Metrics,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._metrics = call_metrics

    def send_unavailable(
        self,
        response: listeners.Response,
        request_id: str,
        reason: str,
        retry_after_ms: float,
    ) -> None:
        """Send a 503 for a request that was not run, with Retry-After."""
        response.send(
            503, self._codec.response_fields(request_id, retry_after_ms)
        )
        self._metrics.record_response("refused", 503, 0.0, None)
        events.log(
            events.Event.REQUEST_REFUSED,
            logging.WARNING,
            request_id=request_id,
            status=503,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def send_over_quota(self, call: Call, retry_after_ms: float) -> None:
        """Send a 429 for a call whose workspace has used up its quota."""
        identifier = call.metadata.request_id
        fields = self._codec.response_fields(identifier, retry_after_ms)
        call.response.send(429, fields)
        self.log_end(
            call,
            429,
            "the rate quota of the workspace is used up",
            retry_after_ms=round(retry_after_ms),
        )

    def send_rejection(
        self,
        request: listeners.Request,
        response: listeners.Response,
        status: int,
        reason: str,
    ) -> None:
        """Send an error for a request that is malformed or not allowed."""
        identifier = request.headers.get(
            self._codec.request_id_field.title(), b""
        ).decode("latin-1")
        fields = self._codec.response_fields(identifier, None)
        if status == 401:
            fields.append(_AUTHENTICATION_FIELD)
        elif status != 404:
            # Unread parts of the body would be parsed as a request.
            response.close_connection_after()
        response.send(status, fields)
        events.log(
            events.Event.REQUEST_REFUSED,
            logging.WARNING,
            request_id=identifier,
            status=status,
            reason=reason,
            path=request.path,
        )

    def send_failure(
        self,
        call: Call,
        decision: attempts.FinalFailure,
        retry_after_ms: float,
    ) -> None:
        """Send the error response to a call whose attempts all failed."""
        if decision.is_not_run:
            self.send_unavailable(
                call.response,
                call.metadata.request_id,
                decision.reason,
                retry_after_ms,
            )
            return
        status = 504 if self._clock.now_ms() >= call.until_ms else 502
        self.send_error(call, status, decision.reason)

    def send_refusal(self, call: Call, error: errors.BalsamloomError) -> None:
        """Send an error whose body says what the caller can do; log it."""
        status = results.info(error.code).http_status
        identifier = call.metadata.request_id
        fields = self._codec.response_fields(identifier, None)
        body = json.dumps(error.document(), separators=(",", ":")).encode()
        call.response.send(status, [*fields, _JSON_FIELD], body)
        self.log_end(call, status, error.message)

    def send_error(self, call: Call, status: int, reason: str) -> None:
        """Send an error response without Retry-After and log it."""
        fields = self._codec.response_fields(call.metadata.request_id, None)
        call.response.send(status, fields)
        self.log_end(call, status, reason)

    def log_placement(self, call: Call, placement: balancer.Placement) -> None:
        """Log the server chosen for a call and the estimates behind it."""
        events.log(
            events.Event.REQUEST_PLACED,
            request_id=call.metadata.request_id,
            program_id=call.metadata.program_id,
            route=call.route.name,
            **_workspace_field(call),
            version=call.configuration.version,
            max_attempts=call.route.max_attempts,
            server_id=placement.server.server_id,
            server_version=placement.server.version,
            resumed_id=call.metadata.resumed_id,
            estimate_ms=round(placement.estimate_ms, 1),
            missing_tokens=placement.missing_tokens,
            report_age_ms=placement.report_age_ms,
            left_ms=round(call.until_ms - placement.sent_ms),
            program_left_ms=call.program_left_ms(placement.sent_ms),
        )

    def log_failure(
        self,
        call: Call,
        placement: balancer.Placement,
        reason: str,
        is_sent: bool,
        is_reused: bool = False,
    ) -> None:
        """Log an attempt that returned no response."""
        self._metrics.record_failure(call.route.kind.value, is_sent)
        events.log(
            events.Event.ATTEMPT_FAILED,
            logging.WARNING,
            request_id=call.metadata.request_id,
            server_id=placement.server.server_id,
            reason=reason,
            is_sent=is_sent,
            is_kept_channel=is_reused,
        )

    def log_handover(
        self, call: Call, member: str, status: int, reason: str
    ) -> None:
        """Log the answer of another member, which logs the call itself."""
        total_ms = self._clock.now_ms() - call.arrived_ms
        kind = call.route.kind.value
        self._metrics.record_response(kind, status, total_ms, None)
        events.log(
            events.Event.REQUEST_HANDED_OVER,
            request_id=call.metadata.request_id,
            member=member,
            status=status,
            reason=reason,
            duration_ms=round(total_ms, 1),
            **_workspace_field(call),
        )

    def log_end(
        self,
        call: Call,
        status: int,
        reason: str,
        first_ms: float | None = None,
        **fields: Any,
    ) -> None:
        """Log the final response to a call."""
        total_ms = self._clock.now_ms() - call.arrived_ms
        kind = call.route.kind.value
        self._metrics.record_response(kind, status, total_ms, first_ms)
        events.log(
            events.Event.REQUEST_ENDED,
            request_id=call.metadata.request_id,
            program_id=call.metadata.program_id,
            status=status,
            reason=reason,
            duration_ms=round(total_ms, 1),
            first_ms=first_ms,
            **_workspace_field(call),
            **fields,
        )


def _workspace_field(call: Call) -> dict[str, Any]:
    """Return the log field that names a call's workspace, if it has one."""
    if call.workspace is None:
        return {}
    return {"workspace": call.workspace.name}


def history_too_long(
    history_bytes: int, body_bytes: int, limit_bytes: int
) -> errors.BalsamloomError:
    """Return the error for a turn that is too long with those before it."""
    return errors.BalsamloomError(
        results.ResultCode.HISTORY_TOO_LONG,
        f"the turns before this one have {history_bytes} bytes and its body"
        f" {body_bytes}; accepted: {limit_bytes} together. Send a shorter"
        " body, continue an earlier turn, or begin a new conversation",
    )
