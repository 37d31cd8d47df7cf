"""Route of a request, and whose request it is."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from balsamloom_gateway import (
    callbacks,
    fleet,
    listeners,
    responses,
    routes,
    traffic,
)
from balsamloom_workspaces import credentials, identity

# Longest wait of a request for the first configuration of a process that has
# just started.
START_WAIT_MS = 200.0
# Sent as Retry-After when no better estimate is known.
NOT_READY_RETRY_AFTER_MS = 500.0


class Routing(NamedTuple):
    """Route of a request, its caller and the configuration that has both."""

    configuration: traffic.Configuration
    route: traffic.Route
    caller: identity.Decision[traffic.Workspace]


class Router:
    """Finds routes and callers of requests in the configuration in force.

    :param cluster_view: knows the configuration.
    :param responder: sends error responses.
    :param await_records: waits until the records of a time are known, up to
        another time; returns whether they are.
    """

    def __init__(
        self,
        cluster_view: fleet.Fleet,
        responder: responses.Responder,
        await_records: Callable[[float, float], bool],
    ) -> None:
        self._fleet = cluster_view
        self._responder = responder
        self._await_records = await_records
        # Returns whether this process may lack revocations of keys that it
        # must know.
        self.may_lack_revocations: Callable[[], bool] = callbacks.refuse
        # Returns whether its view of the records is as recent as settings ask.
        self.follows_records: Callable[[], bool] = callbacks.refuse

    def find(
        self,
        request: listeners.Request,
        response: listeners.Response,
        metadata: traffic.CallMetadata,
        arrived_ms: float,
    ) -> Routing | None:
        """Find the route of a request and whose request it is.

        :return: ``None`` if an error response was sent.
        """
        request_id = metadata.request_id
        request.credential = request.credential or credentials.from_field(
            request.headers.get(credentials.FIELD)
        )
        active = self._fleet.active_configuration
        if active is None:
            self._await_records(arrived_ms, arrived_ms + START_WAIT_MS)
            active = self._fleet.active_configuration
        if active is None:
            reason = "no configuration has been loaded yet"
            self._responder.send_unavailable(
                response, request_id, reason, NOT_READY_RETRY_AFTER_MS
            )
            return None
        routing = self._route(request, active)
        if metadata.continues_another and not _may_continue(routing, metadata):
            # What it continues was served, so its route or key may be newer
            # than the configuration that this process knows.
            left_ms = metadata.deadline_ms
            until_ms = math.inf if left_ms is None else arrived_ms + left_ms
            if not self._await_records(arrived_ms, until_ms):
                reason = "a newer configuration may be in force"
                self._responder.send_unavailable(
                    response, request_id, reason, NOT_READY_RETRY_AFTER_MS
                )
                return None
            active = self._fleet.active_configuration or active
            routing = self._route(request, active)
        if active.keys is not None:
            # No server, member or log line can get the key any more.
            request.headers.pop(credentials.FIELD, None)
        if routing is None:
            reason = f"no route in version {active.configuration.version}"
            self._responder.send_rejection(request, response, 404, reason)
            return None
        if self._is_unauthorized(request, response, metadata, routing.caller):
            return None
        return routing

    def _route(
        self, request: listeners.Request, active: fleet.ActiveConfiguration
    ) -> Routing | None:
        """Look a request up in a configuration; ``None`` without a route."""
        host = request.headers.get(b"Host", b"").decode("latin-1")
        route = active.table.find(host, request.path)
        if route is None:
            return None
        caller = identity.decide(
            request.credential or credentials.MissingKey(),
            active.keys,
            route.is_public,
            self.may_lack_revocations(),
        )
        return Routing(active.configuration, route, caller)

    def _is_unauthorized(
        self,
        request: listeners.Request,
        response: listeners.Response,
        metadata: traffic.CallMetadata,
        caller: identity.Decision[traffic.Workspace],
    ) -> bool:
        """Refuse a request whose caller is not known."""
        match caller:
            case identity.Unauthorized(reason, may_be_newer):
                if not may_be_newer or self.follows_records():
                    self._responder.send_rejection(
                        request, response, 401, reason
                    )
                    return True
                reason = "a newer configuration may have the key"
            case identity.Unsure(reason):
                pass
            case _:
                return False
        self._responder.send_unavailable(
            response, metadata.request_id, reason, NOT_READY_RETRY_AFTER_MS
        )
        return True


def _may_continue(
    routing: Routing | None, metadata: traffic.CallMetadata
) -> bool:
    """Return whether what a call continues could have been served so."""
    match routing:
        case None | Routing(caller=identity.Unauthorized(may_be_newer=True)):
            return False
        case Routing(route=route):
            is_turn = bool(metadata.previous_turn_id)
            return not is_turn or routes.is_conversation_route(route)
