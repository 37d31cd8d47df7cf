"""Serves callers' requests: route, budget, server, answer."""

from __future__ import annotations

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budgets,
    dispatch,
    estimates,
    fleet,
    interfaces,
    ledger,
    ledger_book,
    listeners,
    planner,
    responses,
    routes,
)

# Advice to callers when nothing better is known.
STARTING_RETRY_MS = 500.0
BUDGET_RETRY_MS = 500.0


class Proxy:
    """Handler of callers' requests.

    :param view: configuration and servers.
    :param dispatcher: sends calls to servers.
    :param accounts: budgets of programs.
    :param responder: gives final answers and logs.
    :param codec: header fields.
    :param clock: time source.
    """

    def __init__(
        self,
        view: fleet.Fleet,
        dispatcher: dispatch.Dispatcher,
        accounts: budgets.Budgets,
        responder: responses.Responder,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = view
        self._dispatcher = dispatcher
        self._budgets = accounts
        self._responder = responder
        self._codec = codec
        self._clock = clock

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one request."""
        call = self._read_call(request, reply)
        if call is not None:
            self._serve(call)

    def _read_call(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> responses.Call | None:
        """Read a request and find its route.

        :return: ``None`` if the request has its final answer.
        """
        arrived_ms = self._clock.now_ms()
        try:
            metadata = self._codec.decode_call(request.headers)
        except interfaces.InvalidCallError as error:
            self._responder.reject(request, reply, 400, str(error))
            return None
        in_force = self._fleet.in_force
        if in_force is None:
            reason = "no configuration is known yet"
            request_id = metadata.request_id
            self._responder.refuse(
                reply, request_id, reason, STARTING_RETRY_MS
            )
            return None
        configuration = in_force.configuration
        host = request.headers.get(b"Host", b"").decode("latin-1")
        route = in_force.table.find(host, request.path)
        if route is None:
            reason = f"no route in version {configuration.version}"
            self._responder.reject(request, reply, 404, reason)
            return None
        try:
            body = request.read_body()
        except listeners.BodyTooLargeError as error:
            self._responder.reject(request, reply, 413, str(error))
            return None
        except listeners.MalformedBodyError as error:
            self._responder.reject(request, reply, 400, str(error))
            return None
        left_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            left_ms = min(left_ms, metadata.deadline_ms)
        until_ms = arrived_ms + left_ms
        return responses.Call(
            request,
            reply,
            metadata,
            route,
            body,
            arrived_ms,
            until_ms,
            configuration,
        )

    def _serve(self, call: responses.Call) -> None:
        target = _target(call)
        if call.metadata.token_budget is None:
            self._dispatcher.run(call, target)
            return
        result = self._budgets.reserve(
            call.metadata, self._turn_request(call, target)
        )
        match result:
            case budgets.Grant():
                self._run_turn(call, target, result)
            case ledger.Exhausted():
                self._responder.end(call, 402, "the token budget is spent")
            case ledger_book.Unrecorded(reason):
                self._responder.refuse(
                    call.reply,
                    call.metadata.request_id,
                    f"the token budget cannot be recorded: {reason}",
                    BUDGET_RETRY_MS,
                )

    def _run_turn(
        self,
        call: responses.Call,
        target: dispatch.Target,
        grant: budgets.Grant,
    ) -> None:
        profile = target.profile._replace(recent_servers=grant.recent_servers)
        planned = grant.plan.server_id if grant.plan else None
        ended = dispatch.Ended(grant.tokens, planner.NOT_RUN)
        try:
            ended = self._dispatcher.run(
                call, target._replace(profile=profile, planned_server=planned)
            )
        finally:
            self._budgets.settle(grant, ended.tokens, ended.report)

    def _turn_request(
        self, call: responses.Call, target: dispatch.Target
    ) -> planner.TurnRequest:
        profile = target.profile
        return planner.TurnRequest(
            target.service,
            profile.prompt,
            profile.prompt_tokens,
            profile.output_tokens,
            call.until_ms - self._clock.now_ms(),
        )


def _target(call: responses.Call) -> dispatch.Target:
    """Return the service of a call and what it needs there."""
    metadata = call.metadata
    service = routes.choose_service(
        call.route, metadata.program_id or metadata.request_id
    )
    spec = call.configuration.services.get(service)
    failure_ms = estimates.REPEATABLE_FAILURE_MS
    if not call.route.is_repeatable:
        failure_ms = estimates.FINAL_FAILURE_MS
    profile = estimates.CallProfile(failure_ms=failure_ms)
    if spec is not None and spec.engine is not None:
        profile = profile._replace(
            prompt=metadata.prompt,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.expected_output_tokens
            or metadata.max_output_tokens,
        )
    return dispatch.Target(service, spec, profile)
