"""Reservations whose caller did not wait for the answer.

The withdrawal of a reservation may come before or after the reservation is
made, as the two travel on different connections.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import peer_messages

# A withdrawal is sent right after the caller gave up.
MEMORY_MS = 10_000.0
# Time between removals of old entries.
SWEEP_MS = 1_000.0


class _Open(NamedTuple):
    settlement: peer_messages.Settlement
    noted_ms: float


class Withdrawals:
    """Reservations made and withdrawn a short time ago.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._made: dict[str, _Open] = {}
        self._withdrawn: dict[str, float] = {}
        self._swept_ms = clock.now_ms()

    def note_made(
        self, reservation_id: str, unused: peer_messages.Settlement
    ) -> bool:
        """Note a reservation; return whether it was not withdrawn before.

        :param unused: settlement by which it is given back.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._sweep(now_ms)
            if self._withdrawn.pop(reservation_id, None) is not None:
                return False
            self._made[reservation_id] = _Open(unused, now_ms)
            return True

    def withdraw(self, reservation_id: str) -> peer_messages.Settlement | None:
        """Note a withdrawal; return the settlement that is due now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            found = self._made.pop(reservation_id, None)
            if found is not None:
                return found.settlement
            self._withdrawn[reservation_id] = now_ms
            return None

    def _sweep(self, now_ms: float) -> None:
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        oldest_ms = now_ms - MEMORY_MS
        self._made = {
            name: found
            for name, found in self._made.items()
            if found.noted_ms > oldest_ms
        }
        self._withdrawn = {
            name: noted_ms
            for name, noted_ms in self._withdrawn.items()
            if noted_ms > oldest_ms
        }
