"""Tool and service calls; non-idempotent ones are sent at most once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from balsamloom_core import errors, events, outcomes, results
from balsamloom_entry import attempts, calls, feeds
from balsamloom_platform import tools
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import tickets
from balsamloom_state import budgets, programs


class Operation(NamedTuple):
    """Configuration of an operation."""

    service: str
    name: str
    is_idempotent: bool
    timeout_ms: int


class ToolSender(NamedTuple):
    """Scheduler and tool clients that tool calls are sent with."""

    scheduler: schedulers.Scheduler
    tool_at: Callable[[str], tools.ToolRunner]


class Attempt(NamedTuple):
    """Outcome and duration of one attempt."""

    outcome: outcomes.Outcome
    duration_ms: float


class ToolCalls:
    """Runs tool calls of programs that this process owns.

    :param context: parts of the process that calls use.
    :param sender: parts of the process that send tool calls.
    """

    def __init__(self, context: calls.CallContext, sender: ToolSender) -> None:
        self._context = context
        self._sender = sender

    def run(
        self,
        request: calls.CallRequest,
        operation: Operation,
        feed: feeds.Feed,
    ) -> None:
        """Run one call and put its items into the feed.

        :param request: program, key and deadline.
        :param operation: configuration of the operation.
        :param feed: items for the caller.
        """
        calls.run_in_order(
            self._context,
            request,
            budgets.MaxUse(),
            operation.service,
            feed,
            lambda: self._run_new_call(request, operation, feed),
        )

    def _run_new_call(
        self,
        request: calls.CallRequest,
        operation: Operation,
        feed: feeds.Feed,
    ) -> programs.Call:
        try:
            ticket = self._submit(request, operation)
            assigned = attempts.wait_for_assignment(
                ticket, self._context.clock, request.end_ms, feed
            )
        except BaseException:
            self._context.owner.release_call(request.program, request.key)
            raise
        if operation.is_idempotent:
            sent = self._send_idempotent(
                request, operation, ticket, assigned, feed
            )
        else:
            sent = self._send_once(request, operation, ticket, assigned, feed)
        return self._finish(request, operation, sent)

    def _submit(
        self, request: calls.CallRequest, operation: Operation
    ) -> tickets.Ticket:
        program = request.program
        profile = policy_calls.CallProfile(
            program.program_id,
            program.customer,
            operation.service,
            is_urgent=program.is_urgent,
            attained_ms=program.attained_ms,
            is_new_program=not program.calls,
            deadline_ms=request.end_ms,
            is_idempotent=operation.is_idempotent,
        )
        outcome = self._sender.scheduler.submit(profile)
        if isinstance(outcome, policy_calls.Refusal):
            raise attempts.refusal_error(outcome)
        return outcome

    def _send_once(
        self,
        request: calls.CallRequest,
        operation: Operation,
        ticket: tickets.Ticket,
        assigned: policy_calls.Assignment,
        feed: feeds.Feed,
    ) -> Attempt:
        feed.set_wait_reason("commit of the claim")
        try:
            claim = self._context.owner.claim(
                request.program,
                request.key,
                request.digest,
                f"{operation.service}/{operation.name}@{assigned.server_id}",
                operation.timeout_ms,
            )
            feed.set_wait_reason("tool service")
            claim.check_age()
        except BaseException:
            ticket.cancel()
            raise
        return self._send(request, operation, ticket, assigned)

    def _send_idempotent(
        self,
        request: calls.CallRequest,
        operation: Operation,
        ticket: tickets.Ticket,
        assigned: policy_calls.Assignment,
        feed: feeds.Feed,
    ) -> Attempt:
        feed.set_wait_reason("tool service")
        last_sent: Attempt | None = None
        while True:
            sent = self._send(request, operation, ticket, assigned)
            if isinstance(sent.outcome, outcomes.Completed):
                return sent
            if last_sent and isinstance(sent.outcome, outcomes.NotRun):
                # An earlier attempt was sent, so its outcome counts.
                sent = last_sent
            if not isinstance(sent.outcome, outcomes.NotRun):
                last_sent = sent
            retried = self._sender.scheduler.retry(ticket, str(sent.outcome))
            if isinstance(retried, policy_calls.Refusal):
                return sent
            events.log(
                events.Event.CALL_RETRIED,
                program_id=request.program.program_id,
                key=request.key,
            )
            ticket = retried
            try:
                assigned = attempts.wait_for_assignment(
                    ticket, self._context.clock, request.end_ms, feed
                )
            except errors.BalsamloomError:
                return sent

    def _send(
        self,
        request: calls.CallRequest,
        operation: Operation,
        ticket: tickets.Ticket,
        assigned: policy_calls.Assignment,
    ) -> Attempt:
        clock = self._context.clock
        sent_ms = clock.now_ms()
        left_ms = max(request.end_ms - sent_ms, 1)
        outcome = self._sender.tool_at(assigned.address).call(
            operation.service,
            operation.name,
            request.body,
            # Programs may use equal keys, and a tool may identify calls by
            # the key alone, so the key includes the program.
            f"{request.program.program_id}/{request.key}",
            round(min(left_ms, operation.timeout_ms)),
            request.program.program_id,
        )
        ticket.finish(_observation(outcome))
        return Attempt(outcome, clock.now_ms() - sent_ms)

    def _finish(
        self, request: calls.CallRequest, operation: Operation, sent: Attempt
    ) -> programs.Call:
        outcome = sent.outcome
        if operation.is_idempotent and not isinstance(
            outcome, outcomes.Completed
        ):
            # No result is recorded, so the caller may use the key again.
            self._context.owner.release_call(request.program, request.key)
            raise _failure_error(outcome)
        return self._context.owner.finish(
            request.program,
            request.key,
            request.digest,
            outcome,
            _messages(request, operation, outcome),
            sent.duration_ms,
            0,
        )


def _messages(
    request: calls.CallRequest,
    operation: Operation,
    outcome: outcomes.Outcome,
) -> list[dict[str, Any]]:
    if not isinstance(outcome, outcomes.Completed):
        return []
    name = f"{operation.service}/{operation.name}"
    return [
        {
            "role": "tool",
            "name": name,
            "tool_call_id": request.key,
            "content": outcome.body,
        }
    ]


def _observation(outcome: outcomes.Outcome) -> policy_calls.Observation:
    is_success = isinstance(outcome, outcomes.Completed)
    return policy_calls.Observation(is_success, not is_success)


def _failure_error(outcome: outcomes.Outcome) -> errors.BalsamloomError:
    match outcome:
        case outcomes.UnknownOutcome(message=message):
            # The caller may retry an idempotent call of unknown outcome.
            code = results.ResultCode.BACKEND_TIMEOUT
            return errors.BalsamloomError(code, message)
        case outcomes.NotRun(code=code, message=message):
            return errors.BalsamloomError(code, message)
        case outcomes.Failed(code=code, message=message):
            return errors.BalsamloomError(code, message)
        case _:
            return errors.BalsamloomError(results.ResultCode.INTERNAL_ERROR)
