"""Requests on programs that this process owns."""

from __future__ import annotations

from typing import Any

from balsamloom_core import errors, metric_names, results
from balsamloom_entry import (
    calls,
    catalogue,
    feeds,
    model_calls,
    requests,
    tool_calls,
)
from balsamloom_state import budgets, programs
from balsamloom_state import owner as owners

BUDGET_FIELDS = budgets.Limits._fields


class LocalPrograms:
    """Serves programs that this process owns.

    :param context: parts of the process that calls use.
    :param configured: models, services and customers in force.
    :param models: runs model calls.
    :param tools: runs tool calls.
    """

    def __init__(
        self,
        context: calls.CallContext,
        configured: catalogue.Catalogue,
        models: model_calls.ModelCalls,
        tools: tool_calls.ToolCalls,
    ) -> None:
        self._context = context
        self._catalogue = configured
        self._models = models
        self._tools = tools

    def start_program(self, request: requests.Request) -> requests.Response:
        """Start a program.

        :param request: request with customer, budget and parent.
        :raises BalsamloomError: if the program was not started.
        """
        spec = self._start_spec(request.json_object())
        timeout_ms = self._context.limits().start_timeout_ms
        program = self._context.owner.start_program(spec, timeout_ms)
        key = metric_names.PROGRAMS_STARTED.key(spec.customer)
        self._context.metrics.count(key)
        address = self._context.owner.member.http_address
        return requests.json_response(
            {"program_id": program.program_id, "address": address}, 201
        )

    def show_program(self, program_id: str) -> requests.Response:
        """Return the messages, calls, use and limits of a program as JSON.

        :param program_id: identifier of the program.
        """
        program = self._context.owner.program(program_id)
        with program.lock:
            document = {
                "program_id": program_id,
                "customer": program.customer,
                "workspace": program.workspace,
                "parent_id": program.parent_id,
                "is_ended": program.is_ended,
                "messages": list(program.messages),
                "calls": [_summary(call) for call in program.calls.values()],
                "used": program.account.used._asdict(),
                "limits": program.account.limits._asdict(),
            }
        return requests.json_response(document)

    def end_program(self, program_id: str) -> requests.Response:
        """End a program once its call in progress has ended.

        :param program_id: identifier of the program.
        """
        owner = self._context.owner
        program = owner.program(program_id)
        limits = self._context.limits()
        if not program.is_ended:
            with owner.call_lock(program, limits.default_deadline_ms):
                owner.end_program(program, results.ResultCode.COMPLETED)
            key = metric_names.PROGRAMS_ENDED.key(program.customer)
            self._context.metrics.count(key)
        return requests.json_response(
            {"program_id": program_id, "is_ended": True}
        )

    def show_call(self, program_id: str, key: str) -> requests.Response:
        """Return the result of an earlier call.

        :param program_id: identifier of the program.
        :param key: idempotency key of the call.
        """
        owner = self._context.owner
        program = owner.program(program_id)
        if key in program.holds and key not in program.calls:
            return _in_progress_response()
        call = owner.result(program_id, key)
        if not call.is_finished or not call.is_durable:
            return _in_progress_response()
        match calls.result_item(call, call.is_durable):
            case feeds.CallCompleted(code, answer, is_committed):
                return requests.json_response(
                    {
                        "code": code,
                        "committed": is_committed,
                        "result": answer,
                    }
                )
            case feeds.CallFailed(error):
                return requests.error_response(error)

    def run_model_call(
        self, program_id: str, request: requests.Request
    ) -> requests.Response:
        """Run a model call.

        :param program_id: identifier of the program.
        :param request: the caller's request.
        """
        limits = self._context.limits()
        body = model_calls.parse_request(request, limits.default_max_tokens)
        model = self._catalogue.model(body.model)
        call = self._call_request(program_id, request, "chat", 0)
        feed = feeds.Feed(self._context.clock)
        calls.run_in_task(
            self._context,
            feed,
            lambda: self._models.run(call, body, model, feed),
        )
        if body.is_streamed:
            return feeds.stream_response(feed, limits.progress_after_ms)
        return feeds.json_response(feed)

    def run_tool_call(
        self,
        program_id: str,
        service: str,
        operation: str,
        request: requests.Request,
    ) -> requests.Response:
        """Run a call of a tool or another service.

        :param program_id: identifier of the program.
        :param service: name of the service.
        :param operation: name of the operation.
        :param request: the caller's request.
        """
        spec = self._catalogue.operation(service, operation)
        target = f"{service}/{operation}"
        call = self._call_request(program_id, request, target, spec.timeout_ms)
        feed = feeds.Feed(self._context.clock)
        calls.run_in_task(
            self._context, feed, lambda: self._tools.run(call, spec, feed)
        )
        if requests.STREAM_TYPE in request.headers.get("accept", ""):
            after_ms = self._context.limits().progress_after_ms
            return feeds.stream_response(feed, after_ms)
        return feeds.json_response(feed)

    def _call_request(
        self,
        program_id: str,
        request: requests.Request,
        target: str,
        timeout_ms: int,
    ) -> calls.CallRequest:
        body = request.json_object()
        program = self._context.owner.program(program_id)
        limits = self._context.limits()
        default_ms = max(limits.default_deadline_ms, timeout_ms)
        return calls.CallRequest(
            program,
            request.idempotency_key(),
            calls.digest([target, body]),
            body,
            calls.end_ms(self._context, request, default_ms),
        )

    def _start_spec(self, body: dict[str, Any]) -> owners.StartSpec:
        parent_id = _text_field(body, "parent_id", "")
        if parent_id:
            parent = self._context.owner.program(parent_id)
            customer = _text_field(body, "customer", parent.customer)
            is_urgent = parent.is_urgent
        else:
            customer = _text_field(body, "customer", None)
            is_urgent = False
        default = self._catalogue.customer(customer).default_budget
        return owners.StartSpec(
            customer,
            _text_field(body, "workspace", ""),
            _bool_field(body, "urgent", is_urgent),
            parent_id,
            _budget(body, default),
        )


def _summary(call: programs.Call) -> dict[str, Any]:
    return {
        "key": call.key,
        "code": call.code,
        "is_finished": call.is_finished,
        "committed": call.is_durable,
    }


def _in_progress_response() -> requests.Response:
    code = results.ResultCode.ACCEPTED
    return requests.json_response(
        {"code": int(code), "committed": False},
        results.info(code).http_status,
    )


def _text_field(body: dict[str, Any], name: str, default: str | None) -> str:
    value = body.get(name, default)
    if not isinstance(value, str):
        raise _malformed(f"{name} is {value!r}; accepted: a string")
    return value


def _bool_field(body: dict[str, Any], name: str, default: bool) -> bool:
    value = body.get(name, default)
    if not isinstance(value, bool):
        raise _malformed(f"{name} is {value!r}; accepted: true or false")
    return value


def _budget(body: dict[str, Any], default: budgets.Limits) -> budgets.Limits:
    given = body.get("budget", {})
    if not isinstance(given, dict):
        raise _malformed(f"budget is {given!r}; accepted: an object")
    for name, value in given.items():
        if name not in BUDGET_FIELDS:
            accepted = ", ".join(BUDGET_FIELDS)
            raise _malformed(f"budget.{name} is unknown; accepted: {accepted}")
        if type(value) is not int or value < 1:
            raise _malformed(
                f"budget.{name} is {value!r}; accepted: a positive whole"
                " number"
            )
    return default._replace(**given)


def _malformed(message: str) -> errors.BalsamloomError:
    code = results.ResultCode.MALFORMED_REQUEST
    return errors.BalsamloomError(code, message)
