"""Outlier ejection of failing backend servers, up to a maximum share."""

from __future__ import annotations

import enum
import math
from typing import TypeVar

# Sent to callers when no server can accept their call.
RETRY_AFTER_MS = 250.0
MAX_EJECTED_SHARE = 0.5
EJECTION_FAILURE_RATE = 0.47
SAMPLE_WEIGHT = 0.3
MIN_EJECTION_MS = 800.0
EJECTION_GROWTH = 2.0
MAX_EJECTION_MS = 6_000.0
# Time constant of the decay that returns calls to a failed server gradually.
FAILURE_RATE_DECAY_MS = 10_000.0


class Outcome(enum.Enum):
    """Result of a call as evidence of the server's health."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class ServerHealth:
    """Failure rate and ejection state of one server.

    :param max_ejection_ms: longest ejection after repeated failures.
    """

    def __init__(self, max_ejection_ms: float = MAX_EJECTION_MS) -> None:
        self._max_ejection_ms = max_ejection_ms
        self._failure_rate = 0.0
        self._updated_ms = 0.0
        self._ejected_until_ms = -math.inf
        self._ejection_ms = MIN_EJECTION_MS

    def record(self, outcome: Outcome, now_ms: float) -> None:
        """Update the failure rate and eject the server if needed."""
        failure_rate = self.failure_rate(now_ms)
        match outcome:
            case Outcome.SUCCEEDED:
                failure_rate -= SAMPLE_WEIGHT * failure_rate
                if now_ms >= self._ejected_until_ms:
                    self._ejection_ms = MIN_EJECTION_MS
            case Outcome.FAILED:
                failure_rate += SAMPLE_WEIGHT * (1 - failure_rate)
                if failure_rate >= EJECTION_FAILURE_RATE:
                    self._eject(now_ms)
                    failure_rate = EJECTION_FAILURE_RATE / 2
            case Outcome.UNREACHABLE:
                # The server may no longer exist, or a lasting network
                # partition may separate it from this process.
                if now_ms >= self._ejected_until_ms:
                    self._eject(now_ms)
            case Outcome.REFUSED | Outcome.ABANDONED:
                return
        self._failure_rate = failure_rate
        self._updated_ms = now_ms

    def failure_rate(self, now_ms: float) -> float:
        """Return the expected share of failing calls, from 0 to 1."""
        age_ms = now_ms - self._updated_ms
        return self._failure_rate * math.exp(-age_ms / FAILURE_RATE_DECAY_MS)

    @property
    def ejected_until_ms(self) -> float:
        """Return the end of the latest ejection."""
        return self._ejected_until_ms

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is excluded from calls now."""
        return now_ms < self._ejected_until_ms

    def _eject(self, now_ms: float) -> None:
        self._ejected_until_ms = max(
            self._ejected_until_ms, now_ms + self._ejection_ms
        )
        self._ejection_ms = min(
            self._ejection_ms * EJECTION_GROWTH, self._max_ejection_ms
        )


T = TypeVar("T")


def usable(servers: list[tuple[T, ServerHealth]], now_ms: float) -> list[T]:
    """Return the servers that are not ejected.

    If more than :data:`MAX_EJECTED_SHARE` of them are ejected, the failures
    have a common cause and all servers are returned.
    """
    found = [one for one, state in servers if not state.is_ejected(now_ms)]
    if len(found) < len(servers) * (1 - MAX_EJECTED_SHARE):
        return [one for one, _ in servers]
    return found or [one for one, _ in servers]
