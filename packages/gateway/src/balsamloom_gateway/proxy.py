"""Handles callers' requests: routing, token budgets and dispatch."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balsamloom_conversations import stream_output, turns
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    attempts,
    budget_ledger,
    budgets,
    conversations,
    crash_detection,
    crash_ledger,
    dispatch,
    draining,
    estimates,
    exchanges,
    fleet,
    handover,
    interfaces,
    ledger,
    listeners,
    planner,
    quota_link,
    request_routing,
    responses,
    routes,
    stream_versions,
    version_history,
)
from balsamloom_workspaces import identity

BUDGET_RETRY_AFTER_MS = 500.0
HISTORY_RETRY_AFTER_MS = 300.0
RESUME_RETRY_AFTER_MS = 100.0
# Other processes take the request at once.
LEAVING_RETRY_AFTER_MS = 50.0
# Callers that stall are cut off within this time, so there is room again.
NO_ROOM_RETRY_AFTER_MS = 250.0
# Callers abandon a stream after two seconds without an event.
RESUME_TIMEOUT_MS = 1_000.0


class Proxy:
    """Handler of callers' requests.

    :param cluster_view: knows the configuration.
    :param dispatcher: sends calls to servers.
    :param token_budgets: token budgets of programs.
    :param stored_turns: stored turns of conversations.
    :param crashes: knows the calls that crash servers.
    :param streams: knows at which version streams began.
    :param responder: sends error responses and logs calls.
    :param codec: encodes and decodes header fields.
    :param clock: time source.
    :param await_records: waits until the records of a time are known, up to
        another time; returns whether they are.
    :param drain: planned stop of this process.
    :param handovers: hands requests over to other members.
    """

    def __init__(
        self,
        cluster_view: fleet.Fleet,
        dispatcher: dispatch.Dispatcher,
        token_budgets: budgets.Budgets,
        stored_turns: conversations.ConversationStore,
        crashes: crash_detection.CrashDetector,
        streams: stream_versions.StreamVersions,
        responder: responses.Responder,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        await_records: Callable[[float, float], bool],
        drain: draining.Drain,
        handovers: handover.Handovers,
    ) -> None:
        self.router = request_routing.Router(
            cluster_view, responder, await_records
        )
        self.admissions = quota_link.Admissions(None, responder)
        self._handovers = handovers
        self._await_records = await_records
        self._drain = drain
        self._dispatcher = dispatcher
        self._budgets = token_budgets
        self._conversations = stored_turns
        self._crashes = crashes
        self._streams = streams
        self._responder = responder
        self._codec = codec
        self._clock = clock

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Handle one request."""
        call = self._read_request(request, response)
        if call is None or self._is_too_late(call) or self._is_refused(call):
            return
        admitted = self.admissions.admit(call)
        if admitted is None:
            return
        history = attempts.AttemptHistory(call.route, request.possible_runs)
        try:
            if self._handovers.is_due(call) or self._run(call, history):
                self._handovers.run(call, history)
        finally:
            self.admissions.settle(admitted, call, history)

    def _run(
        self, call: responses.Call, history: attempts.AttemptHistory
    ) -> bool:
        """Run a call; return whether another member must serve it."""
        prepared: responses.Call | None = call
        if routes.is_conversation_route(call.route):
            prepared = self._prepend_history(call)
        if prepared is None:
            return False
        return self._dispatch(prepared, history)

    def _is_too_late(self, call: responses.Call) -> bool:
        """Refuse a call that could not be finished before the process ends."""
        if self._drain.takes_requests:
            return False
        self._responder.send_unavailable(
            call.response,
            call.metadata.request_id,
            "this process is stopping",
            LEAVING_RETRY_AFTER_MS,
        )
        return True

    def _is_refused(self, call: responses.Call) -> bool:
        """Refuse a call that has crashed too many servers."""
        refusal = self._crashes.refusal(call)
        if refusal is None:
            return False
        self._responder.send_unavailable(
            call.response,
            call.metadata.request_id,
            refusal.reason,
            refusal.retry_after_ms,
        )
        return True

    def _read_request(
        self, request: listeners.Request, response: listeners.Response
    ) -> responses.Call | None:
        """Read a request and find its route.

        :return: ``None`` if an error response was sent.
        """
        arrived_ms = self._clock.now_ms()
        try:
            metadata = self._codec.decode_call(request.headers)
        except interfaces.InvalidCallError as error:
            self._responder.send_rejection(request, response, 400, str(error))
            return None
        routing = self.router.find(request, response, metadata, arrived_ms)
        if routing is None:
            return None
        configuration, route, caller = routing
        workspace = None
        if isinstance(caller, identity.Identified):
            workspace = caller.workspace
        scope = responses.scope_of(configuration, workspace)
        metadata = metadata._replace(
            program_id=scope.identifier(metadata.program_id)
        )
        try:
            body = request.read_body()
        except listeners.BodyTooLargeError as error:
            self._responder.send_rejection(request, response, 413, str(error))
            return None
        except listeners.BodyRefusedError as error:
            self._responder.send_unavailable(
                response,
                metadata.request_id,
                str(error),
                NO_ROOM_RETRY_AFTER_MS,
            )
            return None
        except listeners.BodyTimeoutError as error:
            self._responder.send_rejection(request, response, 408, str(error))
            return None
        except listeners.MalformedBodyError as error:
            self._responder.send_rejection(request, response, 400, str(error))
            return None
        left_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            left_ms = min(left_ms, metadata.deadline_ms)
        until_ms = arrived_ms + left_ms
        return responses.Call(
            request,
            response,
            metadata,
            route,
            body,
            arrived_ms,
            until_ms,
            configuration,
            crash_ledger.request_key(
                request.method,
                request.headers.get(b"Host", b""),
                request.target,
                body,
                scope,
            ),
            workspace=workspace,
        )

    def _prepend_history(self, call: responses.Call) -> responses.Call | None:
        """Prepend the previous turns of a conversation to the request body.

        :return: ``None`` if an error response was sent.
        """
        metadata = call.metadata
        group_id = metadata.program_id or call.stored_id
        previous_id = call.scope.identifier(metadata.previous_turn_id)
        history = b""
        if metadata.previous_turn_id:
            found = self._read_history(call, group_id)
            match found:
                case turns.Chain():
                    group_id, history = found.group_id, found.data
                case turns.Absent():
                    self._responder.send_error(
                        call, 404, "the previous turn does not exist"
                    )
                    return None
                case turns.Unsure(reason):
                    self._responder.send_unavailable(
                        call.response,
                        metadata.request_id,
                        f"the previous turn cannot be read now: {reason}",
                        HISTORY_RETRY_AFTER_MS,
                    )
                    return None
        if not self._conversations.can_write(group_id, call.until_ms):
            self._responder.send_unavailable(
                call.response,
                metadata.request_id,
                "too few storage hosts answer to store the turn",
                HISTORY_RETRY_AFTER_MS,
            )
            return None
        body = history + call.body
        limit_bytes = call.configuration.limits.body_bytes
        if len(body) > limit_bytes:
            self._responder.send_refusal(
                call,
                responses.history_too_long(
                    len(history), len(call.body), limit_bytes
                ),
            )
            return None
        turn = turns.Turn(
            call.stored_id,
            previous_id,
            group_id,
            call.body,
            b"",
            call.route.retention_ms,
        )
        output = stream_output.StreamOutput(limit_bytes)
        recorder = conversations.TurnRecorder(
            self._conversations,
            turn,
            output,
            _caller_names(call),
        )
        return call._replace(body=body, recorder=recorder)

    def _read_history(self, call: responses.Call, hint: str) -> turns.Lookup:
        metadata = call.metadata
        started_ms = self._clock.now_ms()
        found = self._conversations.read(
            call.scope.identifier(metadata.previous_turn_id),
            hint,
            call.until_ms,
        )
        is_found = isinstance(found, turns.Chain)
        events.log(
            events.Event.CHAIN_READ,
            logging.INFO if is_found else logging.WARNING,
            **_caller_names(call).log_fields(),
            outcome=_describe_lookup(found),
            duration_ms=round(self._clock.now_ms() - started_ms, 1),
        )
        return found

    def _dispatch(
        self, call: responses.Call, history: attempts.AttemptHistory
    ) -> bool:
        """Send a call; return whether another member must serve it."""
        target = self._choose_target(call)
        if target is None:
            return False
        if call.metadata.token_budget is None:
            ended = self._dispatcher.run(call, target, history)
            return ended.is_handed_over
        result = self._budgets.reserve(
            call.metadata, self._build_turn_request(call, target)
        )
        match result:
            case budgets.Grant():
                return self._run_turn(call, target, result, history)
            case ledger.Exhaustion():
                self._responder.send_error(
                    call, 402, "the token budget is exhausted"
                )
            case budget_ledger.RecordingFailure(reason):
                self._responder.send_unavailable(
                    call.response,
                    call.metadata.request_id,
                    f"the token budget cannot be recorded: {reason}",
                    BUDGET_RETRY_AFTER_MS,
                )
        return False

    def _choose_target(self, call: responses.Call) -> dispatch.Target | None:
        """Choose a call's service, and the version if it resumes a stream.

        :return: ``None`` if an error response was sent.
        """
        target = _choose_target(call)
        if not version_history.is_resumable(call.route):
            return target
        if call.metadata.resumed_id is None:
            required = self._streams.required_version(target.service)
            profile = target.profile._replace(version=required)
            return target._replace(profile=profile)
        until_ms = min(call.until_ms, call.arrived_ms + RESUME_TIMEOUT_MS)
        origin = self._streams.origin(
            call.scope.identifier(call.metadata.resumed_id),
            target.service,
            lambda: self._await_records(call.arrived_ms, until_ms),
        )
        match origin:
            case stream_versions.Known(version):
                profile = target.profile._replace(version=version)
                return target._replace(profile=profile)
            case stream_versions.Unknown(reason):
                self._responder.send_unavailable(
                    call.response,
                    call.metadata.request_id,
                    reason,
                    RESUME_RETRY_AFTER_MS,
                )
                return None

    def _run_turn(
        self,
        call: responses.Call,
        target: dispatch.Target,
        grant: budgets.Grant,
        history: attempts.AttemptHistory,
    ) -> bool:
        """Run a turn; return whether another member must serve it."""
        if call.recorder is not None:
            call.recorder.reservation = conversations.Reservation(
                grant.program_id, grant.reservation_id
            )
        profile = target.profile._replace(recent_servers=grant.recent_servers)
        ended = dispatch.Result(grant.tokens, planner.NOT_RUN)
        try:
            ended = self._dispatcher.run(
                call,
                target._replace(profile=profile, plan=grant.plan),
                history,
            )
        except exchanges.RequestEndedError:
            ended = dispatch.Result(0, planner.NOT_RUN)
            raise
        finally:
            self._budgets.settle(grant, ended.tokens, ended.report)
        return ended.is_handed_over

    def _build_turn_request(
        self, call: responses.Call, target: dispatch.Target
    ) -> planner.TurnRequest:
        profile = target.profile
        return planner.TurnRequest(
            target.service,
            profile.prompt,
            profile.prompt_tokens,
            profile.output_tokens,
            call.until_ms - self._clock.now_ms(),
            profile.version,
        )


def _caller_names(call: responses.Call) -> conversations.CallerNames:
    return conversations.CallerNames(
        call.metadata.request_id,
        call.metadata.previous_turn_id,
        call.workspace.name if call.workspace else "",
    )


def _describe_lookup(found: turns.Lookup) -> str:
    match found:
        case turns.Chain(group_id, data):
            return f"{len(data)} bytes of group {group_id}"
        case turns.Absent():
            return "absent"
        case turns.Unsure(reason):
            return f"unsure: {reason}"


def _choose_target(call: responses.Call) -> dispatch.Target:
    """Choose the service of a call and estimate the call's size."""
    metadata = call.metadata
    service = routes.choose_service(
        call.route,
        metadata.program_id or metadata.resumed_id or metadata.request_id,
    )
    spec = call.configuration.services.get(service)
    profile = estimates.profile_of(
        call.route,
        spec,
        metadata.prompt,
        metadata.prompt_tokens,
        metadata.expected_output_tokens or metadata.max_output_tokens,
    )
    return dispatch.Target(service, spec, profile)
