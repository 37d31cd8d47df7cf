"""Sending one idempotent model call: waiting, retries and hedges.

The time until the first tokens is spent here; after them the stream is relayed
by the thread that serves the caller.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import queue
from collections.abc import Generator
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, results
from balsamloom_platform import engines
from balsamloom_policy import scheduler as schedulers

CONNECT_TIMEOUT_MS = 1_000


class Notice(NamedTuple):
    """The call is waiting."""

    reason: str
    position: int | None = None


class Limits(NamedTuple):
    """Times of one call, in ms; ``end_ms`` is on the process's clock."""

    end_ms: float
    progress_ms: int
    silence_ms: int


class Sender(NamedTuple):
    """What is needed to send a model call."""

    scheduler: schedulers.Scheduler
    client: engines.EngineClients
    executor: concurrent.futures.Executor
    clock: clocks.Clock


@dataclasses.dataclass(frozen=True)
class Started:
    """An engine sent its first tokens."""

    ticket: schedulers.Ticket
    stream: engines.ChatStream
    batch: list[engines.Chunk]


@dataclasses.dataclass(frozen=True)
class Rejected:
    """An engine gave no tokens."""

    ticket: schedulers.Ticket
    error: engines.EngineError


class Attempt:
    """One request to one engine, run by a thread of the executor.

    :param ticket: place given by the scheduler.
    :param tag: tag of the engine memory that the request holds.
    """

    def __init__(self, ticket: schedulers.Ticket, tag: str) -> None:
        self.ticket = ticket
        self.tag = tag
        self.is_cancelled = False
        self.engine: engines.Engine | None = None

    def cancel(self) -> None:
        """Give the attempt up and free the engine's memory."""
        self.is_cancelled = True
        self.ticket.cancel()
        if self.engine is not None:
            self.engine.cancel(self.tag)


class ModelRequest(NamedTuple):
    """What is sent to an engine."""

    body: dict[str, Any]
    tag: str
    profile: schedulers.CallProfile


class ModelAttempts:
    """All attempts of one model call, until one has its first tokens.

    :param sender: parts of the process that send calls.
    :param request: what is sent.
    :param limits: times of the call.
    """

    def __init__(
        self, sender: Sender, request: ModelRequest, limits: Limits
    ) -> None:
        self._sender = sender
        self._request = request
        self._limits = limits
        self._results: queue.SimpleQueue[Started | Rejected] = (
            queue.SimpleQueue()
        )
        self._running: list[Attempt] = []
        self._count = 0

    def first_tokens(self) -> Generator[Notice, None, Started]:
        """Yield notices while waiting; return the attempt that came first.

        :raises BalsamloomError: if no attempt gets tokens in time.
        """
        try:
            yield from self._launch(self._submit())
            while True:
                result = yield from self._next_result()
                match result:
                    case Started():
                        self._forget(result.ticket)
                        return result
                    case Rejected(ticket, error):
                        yield from self._after_rejection(ticket, error)
        finally:
            for attempt in self._running:
                attempt.cancel()

    def _submit(self) -> schedulers.Ticket:
        outcome = self._sender.scheduler.submit(self._request.profile)
        return _ticket(outcome)

    def _launch(
        self, ticket: schedulers.Ticket
    ) -> Generator[Notice, None, None]:
        assigned = yield from wait_assigned(
            ticket, self._sender.clock, self._limits
        )
        self._send(ticket, assigned)

    def _send(
        self, ticket: schedulers.Ticket, assigned: schedulers.Assigned
    ) -> None:
        self._count += 1
        tag = f"{self._request.tag}.{self._count}"
        attempt = Attempt(ticket, tag)
        attempt.engine = self._sender.client.engine(assigned.address)
        self._running.append(attempt)
        body = {**self._request.body, "priority": assigned.priority}
        self._sender.executor.submit(self._run, attempt, body)

    def _run(self, attempt: Attempt, body: dict[str, Any]) -> None:
        assert attempt.engine is not None
        try:
            stream = attempt.engine.chat(
                body, attempt.tag, CONNECT_TIMEOUT_MS, self._limits.silence_ms
            )
            batch = next(stream.batches(), [])
        except engines.EngineError as error:
            self._results.put(Rejected(attempt.ticket, error))
            return
        if attempt.is_cancelled:
            stream.close()
            return
        self._results.put(Started(attempt.ticket, stream, batch))

    def _next_result(self) -> Generator[Notice, None, Started | Rejected]:
        clock = self._sender.clock
        notice_ms = clock.now_ms() + self._limits.progress_ms
        hedge_ms = self._hedge_time_ms()
        while True:
            now_ms = clock.now_ms()
            if now_ms >= self._limits.end_ms:
                raise errors.BalsamloomError(
                    results.ResultCode.BACKEND_TIMEOUT,
                    "no tokens before the deadline",
                )
            if now_ms >= hedge_ms:
                self._hedge()
                hedge_ms = float("inf")
            if now_ms >= notice_ms:
                yield Notice("backend server")
                notice_ms = now_ms + self._limits.progress_ms
            until_ms = min(notice_ms, hedge_ms, self._limits.end_ms)
            try:
                wait_s = max(until_ms - now_ms, 1) / clocks.MS_PER_S
                return self._results.get(timeout=wait_s)
            except queue.Empty:
                continue

    def _hedge_time_ms(self) -> float:
        if len(self._running) != 1:
            return float("inf")
        ticket = self._running[0].ticket
        delay_ms = self._sender.scheduler.hedge_delay_ms(ticket)
        if delay_ms is None:
            return float("inf")
        return self._sender.clock.now_ms() + delay_ms

    def _hedge(self) -> None:
        ticket = self._sender.scheduler.hedge(self._running[0].ticket)
        if ticket is None:
            return
        match ticket.wait(0):
            case schedulers.Assigned() as assigned:
                self._send(ticket, assigned)
            case _:
                ticket.cancel()

    def _after_rejection(
        self, ticket: schedulers.Ticket, error: engines.EngineError
    ) -> Generator[Notice, None, None]:
        self._forget(ticket)
        ticket.finish(
            schedulers.Observation(is_success=False, is_server_fault=True)
        )
        if self._running:
            return
        outcome = self._sender.scheduler.retry(ticket, error.code.name)
        match outcome:
            case schedulers.Refused():
                raise error
            case _:
                events.log(
                    events.Event.CALL_RETRIED,
                    tag=self._request.tag,
                    cause=error.message,
                )
                yield from self._launch(outcome)

    def _forget(self, ticket: schedulers.Ticket) -> None:
        self._running = [
            attempt for attempt in self._running if attempt.ticket != ticket
        ]


def wait_assigned(
    ticket: schedulers.Ticket, clock: clocks.Clock, limits: Limits
) -> Generator[Notice, None, schedulers.Assigned]:
    """Yield notices until the scheduler assigns a backend server.

    :param ticket: place in the queue.
    :param clock: time source.
    :param limits: times of the call.
    :raises BalsamloomError: if the scheduler gives the call up.
    """
    while True:
        left_ms = limits.end_ms - clock.now_ms()
        if left_ms <= 0:
            ticket.cancel()
            raise errors.BalsamloomError(
                results.ResultCode.DEADLINE_CANNOT_BE_MET,
                "the deadline passed before a backend server was free",
            )
        match ticket.wait(min(limits.progress_ms, left_ms)):
            case schedulers.Assigned() as assigned:
                return assigned
            case schedulers.Waiting(reason=reason, position=position):
                yield Notice(reason, position)
            case schedulers.Refused() as refused:
                raise refusal(refused)


def refusal(refused: schedulers.Refused) -> errors.BalsamloomError:
    """Return the error for a refusal of the scheduler.

    :param refused: refusal.
    """
    return errors.BalsamloomError(
        refused.code, refused.message, refused.retry_after_ms
    )


def _ticket(
    outcome: schedulers.Ticket | schedulers.Refused,
) -> schedulers.Ticket:
    if isinstance(outcome, schedulers.Refused):
        raise refusal(outcome)
    return outcome
