"""Refusals of callers that keep to no limit, counted and logged by reason."""

from __future__ import annotations

import collections
import enum
import logging
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events

LOG_INTERVAL_MS = 1_000.0


class Reason(enum.Enum):
    """Why a caller was refused or its connection closed."""

    MEMORY = "memory"
    SLOW = "slow"
    CONNECTIONS = "connections"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"


class Refusals:
    """Counts refusals and logs one line a second for each reason.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._unlogged: collections.Counter[Reason] = collections.Counter()
        self._logged_ms: dict[Reason, float] = {}
        # Called with each reason.
        self.on_refusal: Callable[[Reason], None] = lambda reason: None

    def record(self, reason: Reason) -> None:
        """Record one refusal."""
        self.on_refusal(reason)
        count = self._take_due(reason)
        if count:
            events.log(
                events.Event.CALLERS_LIMITED,
                logging.WARNING,
                reason=reason.value,
                refusals=count,
            )

    def _take_due(self, reason: Reason) -> int:
        """Return how many refusals to log now; 0 for none."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._unlogged[reason] += 1
            last_ms = self._logged_ms.get(reason)
            if last_ms is not None and now_ms < last_ms + LOG_INTERVAL_MS:
                return 0
            self._logged_ms[reason] = now_ms
            return self._unlogged.pop(reason)
