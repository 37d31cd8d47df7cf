"""Serves requests that other members hand over to this one."""

from __future__ import annotations

import logging
import threading

from balsamloom_core import events
from balsamloom_gateway import (
    draining,
    fleet,
    handover_messages,
    interfaces,
    listeners,
    server_paths,
)


class HandoverService:
    """Handler of the members' listener, with a limit on requests of others.

    :param serve: handles callers' requests.
    :param call_members: handles the members' own calls.
    :param paths: paths of this process to the servers.
    :param drain: planned stop of this process.
    :param view: configuration in use.
    :param codec: codec of the header fields.
    :param max_requests: requests of others that are served at a time.
    """

    def __init__(
        self,
        serve: listeners.Handler,
        call_members: listeners.Handler,
        paths: server_paths.ServerPaths,
        drain: draining.Drain,
        view: fleet.Fleet,
        codec: interfaces.HeaderCodec,
        max_requests: int,
    ) -> None:
        self._serve = serve
        self._call_members = call_members
        self._paths = paths
        self._drain = drain
        self._fleet = view
        self._codec = codec
        self._max_requests = max_requests
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no request of another member is in progress."""
        return not self._in_progress

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Handle a request or a call of another member."""
        if not handover_messages.is_handover(request.target):
            self._call_members(request, response)
            return
        with self._lock:
            is_full = self._in_progress >= self._max_requests
            self._in_progress += 1
        try:
            self._handle_request(request, response, is_full)
        finally:
            with self._lock:
                self._in_progress -= 1

    def _handle_request(
        self,
        request: listeners.Request,
        response: listeners.Response,
        is_full: bool,
    ) -> None:
        field = self._codec.request_id_field.title()
        request_id = request.headers.get(field, b"")
        try:
            origin = handover_messages.decode_origin(request.headers)
            request.credential = handover_messages.decode_credential(
                request.target, request.headers
            )
        except handover_messages.InvalidHandoverError:
            response.close_connection_after()
            response.send(400, ())
            return
        outcome, reason = self._judge(origin, is_full)
        response.added_fields = handover_messages.answer_fields(
            request_id, outcome
        )
        if outcome is not handover_messages.Outcome.ANSWERED:
            events.log(
                events.Event.HANDOVER_REFUSED,
                logging.WARNING,
                request_id=request_id.decode("latin-1"),
                reason=reason,
            )
            response.send(503, ())
            return
        request.is_handed_over = True
        request.possible_runs = origin.possible_runs
        request.target = handover_messages.decode_target(request.target)
        request.headers = handover_messages.callers_fields(request.headers)
        self._serve(request, response)

    def _judge(
        self, origin: handover_messages.Origin, is_full: bool
    ) -> tuple[handover_messages.Outcome, str]:
        """Decide whether to serve a request; return the reason if not."""
        refused = handover_messages.Outcome.REFUSED
        if self._paths.are_lost or not self._paths.can_connect:
            reason = "this process reaches no server"
            return handover_messages.Outcome.CUT_OFF, reason
        if self._drain.has_begun:
            return refused, "this process is stopping"
        if is_full:
            return refused, "too many requests of other members"
        active = self._fleet.active_configuration
        if active is None or active.configuration.version < origin.version:
            return refused, "the sender knows a newer configuration"
        return handover_messages.Outcome.ANSWERED, ""
