"""Serves callers' requests: route, budget, server, answer."""

from __future__ import annotations

import logging

from balsamloom_conversations import stream_output, turns
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    budget_ledger,
    budgets,
    conversations,
    dispatch,
    estimates,
    fleet,
    interfaces,
    ledger,
    listeners,
    planner,
    responses,
    routes,
    traffic,
)

# Advice to callers when nothing better is known.
STARTING_RETRY_MS = 500.0
BUDGET_RETRY_MS = 500.0
CHAIN_RETRY_MS = 300.0


class Proxy:
    """Handler of callers' requests.

    :param view: configuration and servers.
    :param dispatcher: sends calls to servers.
    :param accounts: budgets of programs.
    :param kept: turns of conversations.
    :param responder: gives final answers and logs.
    :param codec: header fields.
    :param clock: time source.
    """

    def __init__(
        self,
        view: fleet.Fleet,
        dispatcher: dispatch.Dispatcher,
        accounts: budgets.Budgets,
        kept: conversations.Conversations,
        responder: responses.Responder,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = view
        self._dispatcher = dispatcher
        self._budgets = accounts
        self._conversations = kept
        self._responder = responder
        self._codec = codec
        self._clock = clock

    def handle(
        self, request: listeners.Request, reply: listeners.Reply
    ) -> None:
        """Answer one request."""
        call = self._read_call(request, reply)
        if call is not None and _is_kept(call.route):
            call = self._join(call)
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

    def _join(self, call: responses.Call) -> responses.Call | None:
        """Put the turns before a turn in front of its input.

        :return: ``None`` if the request has its final answer.
        """
        metadata = call.metadata
        if not self._conversations.can_keep:
            # Its answer would have to be cut off at the end.
            self._responder.refuse(
                call.reply,
                metadata.request_id,
                "too few storage hosts are known to keep the turn",
                CHAIN_RETRY_MS,
            )
            return None
        group_id = metadata.program_id or metadata.request_id
        history = b""
        if metadata.previous_turn_id:
            found = self._read_chain(call, group_id)
            match found:
                case turns.Chain():
                    group_id, history = found.group_id, found.data
                case turns.Absent():
                    self._responder.end(call, 404, "no such previous turn")
                    return None
                case turns.Unsure(reason):
                    self._responder.refuse(
                        call.reply,
                        metadata.request_id,
                        f"the previous turn is not found: {reason}",
                        CHAIN_RETRY_MS,
                    )
                    return None
        body = history + call.body
        limit_bytes = call.configuration.limits.body_bytes
        if len(body) > limit_bytes:
            self._responder.end(call, 413, "the conversation is too long")
            return None
        turn = turns.Turn(
            metadata.request_id,
            metadata.previous_turn_id,
            group_id,
            call.body,
            b"",
            call.route.retention_ms,
        )
        output = stream_output.StreamOutput(limit_bytes)
        recorder = conversations.TurnRecorder(
            self._conversations, turn, output
        )
        return call._replace(body=body, recorder=recorder)

    def _read_chain(self, call: responses.Call, hint: str) -> turns.Lookup:
        metadata = call.metadata
        started_ms = self._clock.now_ms()
        found = self._conversations.read(
            metadata.previous_turn_id, hint, call.until_ms
        )
        is_found = isinstance(found, turns.Chain)
        events.log(
            events.Event.CHAIN_READ,
            logging.INFO if is_found else logging.WARNING,
            request_id=metadata.request_id,
            previous_turn_id=metadata.previous_turn_id,
            outcome=_describe_lookup(found),
            duration_ms=round(self._clock.now_ms() - started_ms, 1),
        )
        return found

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
            case ledger.ExhaustedBudget():
                self._responder.end(call, 402, "the token budget is spent")
            case budget_ledger.RecordingFailure(reason):
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
        ended = dispatch.Result(grant.tokens, planner.NOT_RUN)
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


def _is_kept(route: traffic.Route) -> bool:
    """Return whether the calls of a route are turns that are kept."""
    return route.is_stateful and route.kind is traffic.RouteKind.STREAMING


def _describe_lookup(found: turns.Lookup) -> str:
    match found:
        case turns.Chain(group_id, data):
            return f"{len(data)} bytes of group {group_id}"
        case turns.Absent():
            return "absent"
        case turns.Unsure(reason):
            return f"unsure: {reason}"


def _target(call: responses.Call) -> dispatch.Target:
    """Return the service of a call and what it needs there."""
    metadata = call.metadata
    service = routes.choose_service(
        call.route, metadata.program_id or metadata.request_id
    )
    spec = call.configuration.services.get(service)
    failure_cost_ms = estimates.REPEATABLE_FAILURE_COST_MS
    if not call.route.is_repeatable:
        failure_cost_ms = estimates.FINAL_FAILURE_COST_MS
    profile = estimates.CallProfile(failure_cost_ms=failure_cost_ms)
    if spec is not None and spec.engine is not None:
        profile = profile._replace(
            prompt=metadata.prompt,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.expected_output_tokens
            or metadata.max_output_tokens,
        )
    return dispatch.Target(service, spec, profile)
