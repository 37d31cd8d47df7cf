"""Ends of turns that the holders of their budgets have not heard of."""

from __future__ import annotations

import dataclasses
import enum
import logging
import math
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import peer_messages, traffic

# Pauses before a holder that did not answer is called again.
MIN_RETRY_MS = 500.0
MAX_RETRY_MS = 2_000.0
# A holder that comes back later has forgotten the program.
RETENTION_MS = 600_000.0
MAX_TURNS = 10_000


class Outcome(enum.Enum):
    """Result of an attempt to settle a turn.

    Nothing more is to be done for a ``SETTLED`` one. ``UNANSWERED`` holds for
    all turns of the holder. An ``AWAITED`` holder is not registered now.
    """

    SETTLED = enum.auto()
    UNANSWERED = enum.auto()
    AWAITED = enum.auto()


@dataclasses.dataclass(eq=False)
class UnsettledTurn:
    """End of a turn whose holder did not answer.

    ``is_successor_told`` is true once the holder's successor counts the turn.
    The holder may live all the same and register again.
    """

    holder: traffic.Member
    budget_tokens: int
    settlement: peer_messages.TurnEnd
    added_ms: float
    is_successor_told: bool = False


@dataclasses.dataclass
class _Queue:
    """Turns of one holder, the oldest first."""

    due_ms: float
    interval_ms: float = MIN_RETRY_MS
    turns: list[UnsettledTurn] = dataclasses.field(default_factory=list)


class PendingSettlements:
    """Settles turns later, in one thread, with a pause after each failure.

    :param settle: tries to settle a turn.
    :param clock: time source.
    """

    def __init__(
        self, settle: Callable[[UnsettledTurn], Outcome], clock: clocks.Clock
    ) -> None:
        self._settle = settle
        self._clock = clock
        self._changed = threading.Condition()
        self._queues: dict[traffic.Member, _Queue] = {}
        self._is_stopped = False

    def __len__(self) -> int:
        """Return the number of turns."""
        return sum(len(queue.turns) for queue in list(self._queues.values()))

    def add(
        self,
        holder: traffic.Member,
        budget_tokens: int,
        settlement: peer_messages.TurnEnd,
    ) -> None:
        """Add a turn, which its holder counts at its most until it hears.

        Beyond the limit it counts so for good.
        """
        now_ms = self._clock.now_ms()
        turn = UnsettledTurn(holder, budget_tokens, settlement, now_ms)
        if len(self) >= MAX_TURNS:
            _log_given_up(turn, "too many turns are to be settled")
            return
        with self._changed:
            queue = self._queues.setdefault(
                holder, _Queue(now_ms + MIN_RETRY_MS)
            )
            queue.turns.append(turn)
            self._changed.notify()

    def find(self, program_id: str) -> list[peer_messages.TurnEnd]:
        """Return how the turns of a program ended that are not settled."""
        with self._changed:
            return [
                turn.settlement
                for queue in self._queues.values()
                for turn in queue.turns
                if turn.settlement.program_id == program_id
            ]

    def run(self) -> None:
        """Settle turns when they are due; try all once more at the end."""
        while self._wait_until_due():
            self.retry_due()
        for holder in list(self._queues):
            self._retry(holder)

    def stop(self) -> None:
        """Make :meth:`run` return after a last attempt."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()

    def retry_due(self) -> None:
        """Settle the turns of all holders that are due."""
        now_ms = self._clock.now_ms()
        with self._changed:
            due = [
                holder
                for holder, queue in self._queues.items()
                if queue.due_ms <= now_ms
            ]
        for holder in due:
            self._retry(holder)

    def _wait_until_due(self) -> bool:
        """Wait for a due holder; return ``False`` once stopped."""
        with self._changed:
            while not self._is_stopped:
                times_ms = (queue.due_ms for queue in self._queues.values())
                left_ms = min(times_ms, default=math.inf)
                left_ms -= self._clock.now_ms()
                if left_ms <= 0:
                    return True
                self._clock.wait_condition(
                    self._changed, min(left_ms, MAX_RETRY_MS)
                )
            return False

    def _retry(self, holder: traffic.Member) -> None:
        queue = self._queues[holder]
        ended = {turn for turn in list(queue.turns) if self._has_expired(turn)}
        # Those that wait for the holder alone share its state.
        for turn in sorted(queue.turns, key=lambda one: one.is_successor_told):
            if turn in ended:
                continue
            was_told = turn.is_successor_told
            outcome = self._settle(turn)
            if outcome is Outcome.SETTLED:
                ended.add(turn)
            elif outcome is Outcome.UNANSWERED:
                self._put_last(queue, turn)
                break
            elif was_told:
                break
        with self._changed:
            queue.turns = [one for one in queue.turns if one not in ended]
            if not queue.turns:
                del self._queues[holder]
            queue.due_ms = self._clock.now_ms() + queue.interval_ms
            queue.interval_ms = min(2 * queue.interval_ms, MAX_RETRY_MS)

    def _put_last(self, queue: _Queue, turn: UnsettledTurn) -> None:
        """Let the others go first, which may have another successor."""
        with self._changed:
            queue.turns.remove(turn)
            queue.turns.append(turn)

    def _has_expired(self, turn: UnsettledTurn) -> bool:
        has_expired = self._clock.now_ms() >= turn.added_ms + RETENTION_MS
        if has_expired and not turn.is_successor_told:
            _log_given_up(turn, "no holder answered in time")
        return has_expired


def _log_given_up(turn: UnsettledTurn, reason: str) -> None:
    events.log(
        events.Event.PEER_CALL_FAILED,
        logging.WARNING,
        member=turn.holder.name,
        call="settle",
        reason=reason,
        program_id=turn.settlement.program_id,
    )
