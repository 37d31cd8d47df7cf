"""Tool calls and calls of plain services, at most once unless idempotent."""

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
    """What the configuration says about an operation."""

    service: str
    name: str
    is_idempotent: bool
    timeout_ms: int


class ToolSender(NamedTuple):
    """Parts of the process that send tool calls."""

    scheduler: schedulers.Scheduler
    tool_at: Callable[[str], tools.ToolRunner]


class Sent(NamedTuple):
    """Outcome of one send and the time that it took."""

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
        """Run one call; its items go to the feed.

        :param request: program, key and deadline.
        :param operation: configuration of the operation.
        :param feed: items towards the caller.
        """
        calls.take_turn(
            self._context,
            request,
            budgets.MaxUse(),
            operation.service,
            feed,
            lambda: self._fresh(request, operation, feed),
        )

    def _fresh(
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
    ) -> Sent:
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
    ) -> Sent:
        feed.set_wait_reason("tool service")
        former: Sent | None = None
        while True:
            sent = self._send(request, operation, ticket, assigned)
            if isinstance(sent.outcome, outcomes.Completed):
                return sent
            if former and isinstance(sent.outcome, outcomes.NotRun):
                # That the last try was not sent says nothing of the others.
                sent = former
            if not isinstance(sent.outcome, outcomes.NotRun):
                former = sent
            again = self._sender.scheduler.retry(ticket, str(sent.outcome))
            if isinstance(again, policy_calls.Refusal):
                return sent
            events.log(
                events.Event.CALL_RETRIED,
                program_id=request.program.program_id,
                key=request.key,
            )
            ticket = again
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
    ) -> Sent:
        clock = self._context.clock
        sent_ms = clock.now_ms()
        left_ms = max(request.end_ms - sent_ms, 1)
        outcome = self._sender.tool_at(assigned.address).call(
            operation.service,
            operation.name,
            request.body,
            # Two programs may use the same key; a tool that keeps records by
            # the key alone must not take one's call for the other's.
            f"{request.program.program_id}/{request.key}",
            round(min(left_ms, operation.timeout_ms)),
            request.program.program_id,
        )
        ticket.finish(_observation(outcome))
        return Sent(outcome, clock.now_ms() - sent_ms)

    def _finish(
        self, request: calls.CallRequest, operation: Operation, sent: Sent
    ) -> programs.Call:
        outcome = sent.outcome
        if operation.is_idempotent and not isinstance(
            outcome, outcomes.Completed
        ):
            # Nothing is recorded, so the caller may use the key again.
            self._context.owner.release_call(request.program, request.key)
            raise _given_up(outcome)
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


def _given_up(outcome: outcomes.Outcome) -> errors.BalsamloomError:
    match outcome:
        case outcomes.Unknown(message=message):
            # An idempotent call of unknown outcome may simply be sent again.
            code = results.ResultCode.BACKEND_TIMEOUT
            return errors.BalsamloomError(code, message)
        case outcomes.NotRun(code=code, message=message):
            return errors.BalsamloomError(code, message)
        case outcomes.Failed(code=code, message=message):
            return errors.BalsamloomError(code, message)
        case _:
            return errors.BalsamloomError(results.ResultCode.INTERNAL_ERROR)
