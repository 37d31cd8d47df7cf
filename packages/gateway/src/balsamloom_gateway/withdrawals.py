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
MAX_ENTRY_AGE_MS = 10_000.0
# Time between removals of old entries.
SWEEP_INTERVAL_MS = 1_000.0


class _OpenReservation(NamedTuple):
    settlement: peer_messages.Settlement
    added_ms: float


class Withdrawals:
    """Reservations made and withdrawn a short time ago.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._open: dict[str, _OpenReservation] = {}
        self._withdrawn: dict[str, float] = {}
        self._last_sweep_ms = clock.now_ms()

    def record_reservation(
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
            self._open[reservation_id] = _OpenReservation(unused, now_ms)
            return True

    def withdraw(self, reservation_id: str) -> peer_messages.Settlement | None:
        """Note a withdrawal; return the settlement that is due now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            found = self._open.pop(reservation_id, None)
            if found is not None:
                return found.settlement
            self._withdrawn[reservation_id] = now_ms
            return None

    def _sweep(self, now_ms: float) -> None:
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        oldest_ms = now_ms - MAX_ENTRY_AGE_MS
        self._open = {
            name: found
            for name, found in self._open.items()
            if found.added_ms > oldest_ms
        }
        self._withdrawn = {
            name: added_ms
            for name, added_ms in self._withdrawn.items()
            if added_ms > oldest_ms
        }
