"""Withdrawals of reservations whose caller timed out.

A withdrawal may arrive before or after its reservation, as the two use
different connections.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import peer_messages

# Callers send a withdrawal right after their timeout.
MAX_ENTRY_AGE_MS = 10_000.0
SWEEP_INTERVAL_MS = 1_000.0


class _OpenReservation(NamedTuple):
    settlement: peer_messages.Settlement
    added_ms: float


class ReservationWithdrawals:
    """Recent reservations and those that their caller withdrew.

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
        """Record a reservation; return false if it is already withdrawn.

        :param unused: settlement that returns all its tokens.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._sweep(now_ms)
            if self._withdrawn.pop(reservation_id, None) is not None:
                return False
            self._open[reservation_id] = _OpenReservation(unused, now_ms)
            return True

    def withdraw(self, reservation_id: str) -> peer_messages.Settlement | None:
        """Withdraw a reservation.

        :return: its settlement, or ``None`` if it is not recorded yet.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            entry = self._open.pop(reservation_id, None)
            if entry is not None:
                return entry.settlement
            self._withdrawn[reservation_id] = now_ms
            return None

    def _sweep(self, now_ms: float) -> None:
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        oldest_ms = now_ms - MAX_ENTRY_AGE_MS
        self._open = {
            reservation_id: entry
            for reservation_id, entry in self._open.items()
            if entry.added_ms > oldest_ms
        }
        self._withdrawn = {
            reservation_id: added_ms
            for reservation_id, added_ms in self._withdrawn.items()
            if added_ms > oldest_ms
        }
