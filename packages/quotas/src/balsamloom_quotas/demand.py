"""Estimate of the requests of one workspace that reach a host."""

from __future__ import annotations

import math

from balsamloom_quotas import limits

# A host's share of the requests changes within seconds.
AVERAGING_MS = 2_000.0


class Demand:
    """Rate of requests, averaged with weights that fall with their age.

    :param averaging_ms: age at which the weight has fallen to 1/e.
    """

    def __init__(self, averaging_ms: float = AVERAGING_MS) -> None:
        self._averaging_ms = averaging_ms
        self._rate_per_s = 0.0
        self._updated_ms = 0.0

    def record(self, now_ms: float) -> None:
        """Count one request."""
        self._rate_per_s = self.rate_per_s(now_ms) + (
            limits.MS_PER_S / self._averaging_ms
        )
        self._updated_ms = now_ms

    def rate_per_s(self, now_ms: float) -> float:
        """Return the estimate."""
        age_ms = max(now_ms - self._updated_ms, 0.0)
        return self._rate_per_s * math.exp(-age_ms / self._averaging_ms)
