"""Attempts of an idempotent model call until an engine sends tokens."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import queue
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, metric_names, results
from balsamloom_entry import feeds
from balsamloom_entry import limits as call_limits
from balsamloom_platform import engines, metrics
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import tickets

NEVER_MS = float("inf")
MIN_WAIT_MS = 1.0


class Sender(NamedTuple):
    """Parts of the process that send model calls."""

    scheduler: schedulers.Scheduler
    engine_at: Callable[[str], engines.ModelEngine]
    executor: concurrent.futures.Executor
    clock: clocks.Clock
    metrics: metrics.Metrics


class ModelRequest(NamedTuple):
    """Request to an engine; ``end_ms`` is a time on the process's clock.

    ``reserve_retry`` reserves budget for one more attempt and returns whether
    there was enough; cancelled and failed attempts may generate tokens too.
    """

    body: dict[str, Any]
    tag: str
    profile: policy_calls.CallProfile
    end_ms: float
    reserve_retry: Callable[[], bool] = lambda: False


class StartedAttempt(NamedTuple):
    """Attempt with its first tokens; ``batches`` yields the rest."""

    ticket: tickets.Ticket
    stream: engines.Stream
    batches: Iterator[list[engines.Chunk]]
    first_batch: list[engines.Chunk]


class FailedAttempt(NamedTuple):
    """Attempt that ended without tokens."""

    ticket: tickets.Ticket
    error: engines.EngineError


@dataclasses.dataclass
class Attempt:
    """One request to one engine."""

    ticket: tickets.Ticket
    engine: engines.ModelEngine
    tag: str
    is_cancelled: bool = False


class ModelAttempts:
    """All attempts of one model call, until one has its first tokens.

    :param sender: parts of the process that send calls.
    :param request: body, profile and deadline of the call.
    :param limits: timeouts of calls.
    :param feed: notified of what the call waits for.
    """

    def __init__(
        self,
        sender: Sender,
        request: ModelRequest,
        limits: call_limits.CallLimits,
        feed: feeds.Feed,
    ) -> None:
        self._sender = sender
        self._request = request
        self._limits = limits
        self._feed = feed
        self._results: queue.SimpleQueue[StartedAttempt | FailedAttempt] = (
            queue.SimpleQueue()
        )
        self._running: list[Attempt] = []
        self._sent_error: engines.EngineError | None = None
        self._attempt_count = 0
        # Failed or cancelled attempts that may have generated tokens.
        self.uncertain_count = 0

    def wait_for_first_tokens(self) -> StartedAttempt:
        """Return the first attempt with tokens and cancel the others.

        :raises BalsamloomError: if no attempt gets tokens before the deadline.
        """
        try:
            outcome = self._sender.scheduler.submit(self._request.profile)
            self._send_when_assigned(_require_ticket(outcome))
            while True:
                match self._next_result():
                    case StartedAttempt() as started:
                        self._remove_running(started.ticket)
                        return started
                    case FailedAttempt(ticket, error):
                        self._handle_failure(ticket, error)
        except errors.BalsamloomError as error:
            if self._sent_error and results.info(error.code).not_run:
                # The call was not run in the last attempt, but an earlier
                # attempt may have reached an engine.
                raise _interrupted_error(self._sent_error) from error
            raise
        finally:
            for attempt in self._running:
                self.uncertain_count += 1
                self._cancel(attempt)

    def _send_when_assigned(self, ticket: tickets.Ticket) -> None:
        assigned = wait_for_assignment(
            ticket, self._sender.clock, self._request.end_ms, self._feed
        )
        self._send(ticket, assigned)

    def _send(
        self, ticket: tickets.Ticket, assigned: policy_calls.Assignment
    ) -> None:
        self._attempt_count += 1
        tag = f"{self._request.tag}.{self._attempt_count}"
        engine = self._sender.engine_at(assigned.address)
        attempt = Attempt(ticket, engine, tag)
        self._running.append(attempt)
        body = {**self._request.body, "priority": assigned.priority}
        self._feed.set_wait_reason("backend server")
        self._sender.executor.submit(self._run, attempt, body)

    def _run(self, attempt: Attempt, body: dict[str, Any]) -> None:
        try:
            stream = attempt.engine.chat(
                body,
                attempt.tag,
                self._limits.connect_timeout_ms,
                self._limits.silence_ms,
            )
            batches = stream.batches()
            first = next(batches, [])
        except engines.EngineError as error:
            self._results.put(FailedAttempt(attempt.ticket, error))
            return
        if attempt.is_cancelled:
            stream.close()
            return
        if not first and not stream.is_whole:
            empty = engines.EngineError(
                results.ResultCode.BACKEND_ERROR, "empty stream", True
            )
            self._results.put(FailedAttempt(attempt.ticket, empty))
            return
        self._results.put(
            StartedAttempt(attempt.ticket, stream, batches, first)
        )

    def _next_result(self) -> StartedAttempt | FailedAttempt:
        hedge_ms = self._hedge_time_ms()
        while True:
            now_ms = self._sender.clock.now_ms()
            if now_ms >= self._request.end_ms:
                raise errors.BalsamloomError(
                    results.ResultCode.BACKEND_TIMEOUT,
                    "no tokens before the deadline",
                )
            if now_ms >= hedge_ms:
                self._hedge()
                hedge_ms = NEVER_MS
            until_ms = min(hedge_ms, self._request.end_ms)
            wait_ms = max(until_ms - now_ms, MIN_WAIT_MS)
            try:
                return self._results.get(timeout=wait_ms / clocks.MS_PER_S)
            except queue.Empty:
                continue

    def _hedge_time_ms(self) -> float:
        if len(self._running) != 1:
            return NEVER_MS
        ticket = self._running[0].ticket
        delay_ms = self._sender.scheduler.hedge_delay_ms(ticket)
        if delay_ms is None:
            return NEVER_MS
        return self._sender.clock.now_ms() + delay_ms

    def _hedge(self) -> None:
        if not self._request.reserve_retry():
            return
        ticket = self._sender.scheduler.hedge(self._running[0].ticket)
        if ticket is None:
            return
        pool = self._request.profile.pool
        self._sender.metrics.count(metric_names.CALLS_HEDGED.key(pool))
        match ticket.wait(0):
            case policy_calls.Assignment() as assigned:
                self._send(ticket, assigned)
            case _:
                ticket.cancel()

    def _handle_failure(
        self, ticket: tickets.Ticket, error: engines.EngineError
    ) -> None:
        self._remove_running(ticket)
        if error.was_sent:
            self._sent_error = error
            self.uncertain_count += 1
        if self._running:
            ticket.finish(policy_calls.Observation(False, True))
            return
        if error.was_sent and not self._request.reserve_retry():
            # The budget does not cover the tokens of both attempts.
            ticket.finish(policy_calls.Observation(False, True))
            raise error
        match self._sender.scheduler.retry(ticket, error.message):
            case policy_calls.Refusal():
                raise error
            case retry_ticket:
                events.log(
                    events.Event.CALL_RETRIED,
                    tag=self._request.tag,
                    cause=error.message,
                )
                self._send_when_assigned(retry_ticket)

    def _cancel(self, attempt: Attempt) -> None:
        attempt.is_cancelled = True
        attempt.ticket.cancel()
        # Not awaited, since the engine may respond slowly.
        self._sender.executor.submit(_cancel_on_engine, attempt)

    def _remove_running(self, ticket: tickets.Ticket) -> None:
        self._running = [
            attempt
            for attempt in self._running
            if attempt.ticket is not ticket
        ]


def wait_for_assignment(
    ticket: tickets.Ticket,
    clock: clocks.Clock,
    end_ms: float,
    feed: feeds.Feed,
) -> policy_calls.Assignment:
    """Wait until the scheduler assigns a backend server.

    :param ticket: position in the queue.
    :param clock: time source.
    :param end_ms: deadline on the clock.
    :param feed: notified of what the call waits for.
    :raises BalsamloomError: if the scheduler refuses the call, or if the
        deadline passes.
    """
    while True:
        left_ms = end_ms - clock.now_ms()
        match ticket.wait(min(clocks.MS_PER_S, max(left_ms, 0))):
            case policy_calls.Assignment() as assigned:
                return assigned
            case policy_calls.WaitStatus(reason=reason, position=position):
                feed.set_wait_reason(reason, position)
            case policy_calls.Refusal() as refused:
                raise refusal_error(refused)
        if left_ms <= 0:
            ticket.cancel()
            raise errors.BalsamloomError(
                results.ResultCode.DEADLINE_CANNOT_BE_MET,
                "the deadline passed before a backend server was free",
            )


def refusal_error(refused: policy_calls.Refusal) -> errors.BalsamloomError:
    """Return the error for a refusal by the scheduler.

    :param refused: refusal with code and message.
    """
    return errors.BalsamloomError(
        refused.code, refused.message, refused.retry_after_ms
    )


def _interrupted_error(error: engines.EngineError) -> errors.BalsamloomError:
    code = results.ResultCode.INTERRUPTED
    return errors.BalsamloomError(code, error.message)


def _require_ticket(
    outcome: tickets.Ticket | policy_calls.Refusal,
) -> tickets.Ticket:
    if isinstance(outcome, policy_calls.Refusal):
        raise refusal_error(outcome)
    return outcome


def _cancel_on_engine(attempt: Attempt) -> None:
    try:
        attempt.engine.cancel(attempt.tag)
    except errors.BalsamloomError:
        # The sweep of engine memory releases what is left.
        return
