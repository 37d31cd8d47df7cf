"""Complete reports of budget holders to their standbys."""

from __future__ import annotations

import math

from balsamloom_core import clock as clocks

# After a complete report within this time, a standby counts as knowing all
# programs of the holder.
MAX_REPORT_AGE_MS = 6_000.0


class CompleteReports:
    """Times at which holders last reported all their programs.

    The caller serializes the calls.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._reported_ms: dict[str, float] = {}

    def record(self, holder: str) -> None:
        """Record a complete report.

        :param holder: name and incarnation of the holder.
        """
        self._reported_ms[holder] = self._clock.now_ms()

    def has_recent(self, holder: str) -> bool:
        """Return whether a holder has lately reported all its programs."""
        reported_ms = self._reported_ms.get(holder, -math.inf)
        return self._clock.now_ms() - reported_ms < MAX_REPORT_AGE_MS

    def forget(self) -> None:
        """Forget all, as programs may have other holders now."""
        self._reported_ms.clear()
