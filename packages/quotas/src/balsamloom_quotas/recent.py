"""Requests of one workspace at one host within the last window."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

# Requests are counted together for this time, to keep few numbers.
SLOT_MS = 500.0


class RecentCounts(NamedTuple):
    """Requests within a window."""

    admitted: int = 0
    refused: int = 0


@dataclasses.dataclass
class _Slot:
    """Requests within a part of the window."""

    start_ms: float
    admitted: int = 0
    refused: int = 0


class RecentRequests:
    """Counts requests, and forgets those before the window.

    :param window_ms: length of the window.
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._slots: collections.deque[_Slot] = collections.deque()

    def admit(self, now_ms: float, change: int = 1) -> None:
        """Count an admitted request, or one less."""
        self._slot(now_ms).admitted += change

    def refuse(self, now_ms: float) -> None:
        """Count a refused request."""
        self._slot(now_ms).refused += 1

    def counts(self, now_ms: float) -> RecentCounts:
        """Return the requests of the window that ends now."""
        self._forget(now_ms)
        return RecentCounts(
            sum(slot.admitted for slot in self._slots),
            sum(slot.refused for slot in self._slots),
        )

    def _slot(self, now_ms: float) -> _Slot:
        if not self._slots or now_ms - self._slots[-1].start_ms >= SLOT_MS:
            self._forget(now_ms)
            self._slots.append(_Slot(now_ms))
        return self._slots[-1]

    def _forget(self, now_ms: float) -> None:
        while (
            self._slots and now_ms - self._slots[0].start_ms > self._window_ms
        ):
            self._slots.popleft()
