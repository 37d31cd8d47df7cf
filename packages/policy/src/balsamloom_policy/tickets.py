"""Tickets of calls that the scheduler has accepted."""

from __future__ import annotations

import threading
from typing import Protocol

from balsamloom_core import clock as core_clock
from balsamloom_policy import _pool, _servers, calls

# Minimum interval between updates of the mean time between a call's tokens.
PROGRESS_INTERVAL_MS = 50.0


class TicketDispatcher(Protocol):
    """The dispatcher's methods that a ticket calls."""

    clock: core_clock.Clock

    def wait(
        self, ticket: Ticket, timeout_ms: float
    ) -> calls.Assignment | calls.WaitStatus | calls.Refusal:
        """Wait for a server."""

    def record_first_token(self, ticket: Ticket) -> None:
        """Record the time to first token."""

    def record_progress(self, ticket: Ticket, now_ms: float) -> None:
        """Record the mean time between the pending tokens."""

    def finish(self, ticket: Ticket, observation: calls.Observation) -> None:
        """Record the end of the call and free its slot."""

    def cancel(self, ticket: Ticket) -> None:
        """Cancel the call."""


class Ticket:
    """An accepted call; used only by the thread that serves it."""

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

        :param timeout_ms: longest wait; 0 returns the status at once.
        """
        return self._dispatcher.wait(self, timeout_ms)

    def record_first_token(self) -> None:
        """Record the time to first token."""
        self._dispatcher.record_first_token(self)

    def record_tokens(self, tokens: int) -> None:
        """Record tokens after the first one.

        :param tokens: tokens since the previous call of this method.
        """
        self.pending_tokens += tokens
        now_ms = self._dispatcher.clock.now_ms()
        if now_ms - self.progress_ms >= PROGRESS_INTERVAL_MS:
            self._dispatcher.record_progress(self, now_ms)

    def finish(self, observation: calls.Observation) -> None:
        """Record the end of the call and free its slot.

        :param observation: outcome of the call and its token counts.
        """
        self._dispatcher.finish(self, observation)

    def cancel(self) -> None:
        """Cancel the call: remove it from the queue or free its slot."""
        self._dispatcher.cancel(self)
