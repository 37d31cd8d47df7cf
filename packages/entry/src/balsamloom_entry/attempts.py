"""Sending one idempotent model call until an engine sends its first tokens."""

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
    """What is sent to an engine; ``end_ms`` is on the process's clock.

    ``may_repeat`` reserves budget for a second attempt, and says whether there
    was enough: the attempt that loses generates tokens too.
    """

    body: dict[str, Any]
    tag: str
    profile: policy_calls.CallProfile
    end_ms: float
    may_repeat: Callable[[], bool] = lambda: False


class Started(NamedTuple):
    """An engine sent its first tokens; ``batches`` are all of them."""

    ticket: tickets.Ticket
    stream: engines.Stream
    batches: Iterator[list[engines.Chunk]]
    first: list[engines.Chunk]


class Rejected(NamedTuple):
    """An engine gave no tokens."""

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
    :param request: what is sent.
    :param limits: times of calls.
    :param feed: told what the call waits for.
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
        self._results: queue.SimpleQueue[Started | Rejected] = (
            queue.SimpleQueue()
        )
        self._running: list[Attempt] = []
        self._sent_error: engines.EngineError | None = None
        self._count = 0
        # Attempts beside the one that started that may have generated tokens.
        self.uncertain = 0

    def first_tokens(self) -> Started:
        """Return the attempt that came first; the others are cancelled.

        :raises BalsamloomError: if no attempt gets tokens in time.
        """
        try:
            outcome = self._sender.scheduler.submit(self._request.profile)
            self._launch(_ticket(outcome))
            while True:
                match self._next_result():
                    case Started() as started:
                        self._forget(started.ticket)
                        return started
                    case Rejected(ticket, error):
                        self._after_rejection(ticket, error)
        except errors.BalsamloomError as error:
            if self._sent_error and results.info(error.code).not_run:
                # A refusal of the last try says nothing about an earlier one.
                raise _interrupted(self._sent_error) from error
            raise
        finally:
            for attempt in self._running:
                self.uncertain += 1
                self._cancel(attempt)

    def _launch(self, ticket: tickets.Ticket) -> None:
        assigned = wait_assigned(
            ticket, self._sender.clock, self._request.end_ms, self._feed
        )
        self._send(ticket, assigned)

    def _send(
        self, ticket: tickets.Ticket, assigned: policy_calls.Assignment
    ) -> None:
        self._count += 1
        tag = f"{self._request.tag}.{self._count}"
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
            self._results.put(Rejected(attempt.ticket, error))
            return
        if attempt.is_cancelled:
            stream.close()
            return
        if not first and not stream.is_whole:
            empty = engines.EngineError(
                results.ResultCode.BACKEND_ERROR, "empty stream", True
            )
            self._results.put(Rejected(attempt.ticket, empty))
            return
        self._results.put(Started(attempt.ticket, stream, batches, first))

    def _next_result(self) -> Started | Rejected:
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
        if not self._request.may_repeat():
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

    def _after_rejection(
        self, ticket: tickets.Ticket, error: engines.EngineError
    ) -> None:
        self._forget(ticket)
        if error.was_sent:
            self._sent_error = error
            self.uncertain += 1
        if self._running:
            ticket.finish(policy_calls.Observation(False, True))
            return
        if error.was_sent and not self._request.may_repeat():
            # The budget does not hold what both attempts may generate.
            ticket.finish(policy_calls.Observation(False, True))
            raise error
        match self._sender.scheduler.retry(ticket, error.message):
            case policy_calls.Refusal():
                raise error
            case again:
                events.log(
                    events.Event.CALL_RETRIED,
                    tag=self._request.tag,
                    cause=error.message,
                )
                self._launch(again)

    def _cancel(self, attempt: Attempt) -> None:
        attempt.is_cancelled = True
        attempt.ticket.cancel()
        # The engine may take its time to answer, and nobody waits for it.
        self._sender.executor.submit(_cancel_quietly, attempt)

    def _forget(self, ticket: tickets.Ticket) -> None:
        self._running = [
            attempt
            for attempt in self._running
            if attempt.ticket is not ticket
        ]


def wait_assigned(
    ticket: tickets.Ticket,
    clock: clocks.Clock,
    end_ms: float,
    feed: feeds.Feed,
) -> policy_calls.Assignment:
    """Wait until the scheduler assigns a backend server.

    :param ticket: place in the queue.
    :param clock: time source.
    :param end_ms: deadline on the clock.
    :param feed: told what the call waits for.
    :raises BalsamloomError: if the scheduler gives the call up.
    """
    while True:
        left_ms = end_ms - clock.now_ms()
        match ticket.wait(min(clocks.MS_PER_S, max(left_ms, 0))):
            case policy_calls.Assignment() as assigned:
                return assigned
            case policy_calls.WaitStatus(reason=reason, position=position):
                feed.set_wait_reason(reason, position)
            case policy_calls.Refusal() as refused:
                raise refusal(refused)
        if left_ms <= 0:
            ticket.cancel()
            raise errors.BalsamloomError(
                results.ResultCode.DEADLINE_CANNOT_BE_MET,
                "the deadline passed before a backend server was free",
            )


def refusal(refused: policy_calls.Refusal) -> errors.BalsamloomError:
    """Return the error for a refusal of the scheduler.

    :param refused: refusal.
    """
    return errors.BalsamloomError(
        refused.code, refused.message, refused.retry_after_ms
    )


def _interrupted(error: engines.EngineError) -> errors.BalsamloomError:
    code = results.ResultCode.INTERRUPTED
    return errors.BalsamloomError(code, error.message)


def _ticket(
    outcome: tickets.Ticket | policy_calls.Refusal,
) -> tickets.Ticket:
    if isinstance(outcome, policy_calls.Refusal):
        raise refusal(outcome)
    return outcome


def _cancel_quietly(attempt: Attempt) -> None:
    try:
        attempt.engine.cancel(attempt.tag)
    except errors.BalsamloomError:
        # The sweep of engine memory finds what this did not release.
        return
