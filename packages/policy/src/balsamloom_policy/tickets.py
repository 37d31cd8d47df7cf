"""Tickets: calls that the scheduler has taken in."""

from __future__ import annotations

import threading
from typing import Protocol

from balsamloom_core import clock as core_clock
from balsamloom_policy import _pool, _servers, calls

# Token progress is taken in at most this often per call.
PROGRESS_INTERVAL_MS = 50.0


class TicketDispatcher(Protocol):
    """What took a call in and decides on it."""

    clock: core_clock.Clock

    def wait(
        self, ticket: Ticket, timeout_ms: float
    ) -> calls.Assignment | calls.WaitStatus | calls.Refusal:
        """Wait for a server."""

    def record_first_token(self, ticket: Ticket) -> None:
        """Note that the first token arrived."""

    def record_pending_tokens(self, ticket: Ticket, now_ms: float) -> None:
        """Learn from the tokens that are pending."""

    def finish(self, ticket: Ticket, observation: calls.Observation) -> None:
        """Note the end of the call."""

    def cancel(self, ticket: Ticket) -> None:
        """Withdraw the call."""


class Ticket:
    """A call that was taken in; used by the one thread that serves it."""

    def __init__(
        self,
        dispatcher: TicketDispatcher,
        pool: _pool.Pool,
        profile: calls.CallProfile,
        queued_ms: float,
        level: int,
    ) -> None:
        self.profile = profile
        self.queued_ms = queued_ms
        self.level = level
        self.is_queued = False
        self.attempt = 0
        self.was_sent = False
        self.avoided_ids: frozenset[str] = frozenset()
        self.not_before_ms = 0.0
        self.pool = pool
        self.server: _servers.ServerState | None = None
        self.answer: calls.Assignment | calls.Refusal | None = None
        self.event: threading.Event | None = None
        self.assigned_ms = 0.0
        self.first_token_ms: float | None = None
        self.progress_ms = 0.0
        self.progress_count = 0
        self.pending_tokens = 0
        self.is_long = False
        self.is_over = False
        self._dispatcher = dispatcher

    def wait(
        self, timeout_ms: float
    ) -> calls.Assignment | calls.WaitStatus | calls.Refusal:
        """Wait for a server.

        :param timeout_ms: longest wait; 0 only looks.
        """
        return self._dispatcher.wait(self, timeout_ms)

    def record_first_token(self) -> None:
        """Note that the first token arrived."""
        self._dispatcher.record_first_token(self)

    def record_tokens(self, tokens: int) -> None:
        """Note further tokens.

        :param tokens: tokens since the last note.
        """
        self.pending_tokens += tokens
        now_ms = self._dispatcher.clock.now_ms()
        if now_ms - self.progress_ms >= PROGRESS_INTERVAL_MS:
            self._dispatcher.record_pending_tokens(self, now_ms)

    def finish(self, observation: calls.Observation) -> None:
        """Note the end of the call and free its slot.

        :param observation: how it ended.
        """
        self._dispatcher.finish(self, observation)

    def cancel(self) -> None:
        """Withdraw the call: it leaves the queue or frees its slot."""
        self._dispatcher.cancel(self)
