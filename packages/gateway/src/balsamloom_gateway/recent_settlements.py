"""Ends of turns that budget holders confirmed and may not have recorded."""

from __future__ import annotations

import collections
import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import peer_messages, traffic

# Longer than a holder takes to record an end, and the others to learn of the
# holder's loss.
RETENTION_MS = 15_000.0
MAX_TURNS = 4_096


class SettledTurn(NamedTuple):
    """End of a turn that a holder has confirmed."""

    holder: traffic.Member
    budget_tokens: int
    settlement: peer_messages.TurnEnd
    confirmed_ms: float


class RecentSettlements:
    """Remembers settled turns until their holders must have recorded them.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._turns: collections.deque[SettledTurn] = collections.deque(
            maxlen=MAX_TURNS
        )

    def add(
        self,
        holder: traffic.Member,
        budget_tokens: int,
        settlement: peer_messages.TurnEnd,
    ) -> None:
        """Add a turn that its holder has just settled."""
        now_ms = self._clock.now_ms()
        turn = SettledTurn(holder, budget_tokens, settlement, now_ms)
        with self._lock:
            self._drop_expired()
            self._turns.append(turn)

    def take(self, holder_name: str) -> list[SettledTurn]:
        """Remove and return the turns of a lost holder."""
        with self._lock:
            self._drop_expired()
            turns = list(self._turns)
            self._turns.clear()
            self._turns.extend(
                turn for turn in turns if turn.holder.name != holder_name
            )
        return [turn for turn in turns if turn.holder.name == holder_name]

    def _drop_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - RETENTION_MS
        while self._turns and self._turns[0].confirmed_ms < oldest_ms:
            self._turns.popleft()
