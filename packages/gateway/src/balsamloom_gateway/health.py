"""Ejection of backend servers that fail, with a ceiling on their number."""

from __future__ import annotations

import enum
import math
from typing import TypeVar

# Advice to callers when no server may take a call.
RETRY_AFTER_MS = 250.0
EJECT_SHARE_MAX = 0.5
EJECT_SCORE = 0.47
FAILURE_WEIGHT = 0.3
EJECTION_MS = 800.0
EJECTION_GROWTH = 2.0
EJECTION_MAX_MS = 6_000.0
# A server that failed is used again little by little, as its score decays
# with this time constant.
SCORE_DECAY_MS = 10_000.0


class Outcome(enum.Enum):
    """How a call at a server ended, as far as the server's health goes."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class ServerHealth:
    """Share of failures of one server and its ejection."""

    def __init__(self) -> None:
        self._score = 0.0
        self._noted_ms = 0.0
        self._until_ms = -math.inf
        self._length_ms = EJECTION_MS

    def note(self, outcome: Outcome, now_ms: float) -> None:
        """Take in the end of a call."""
        score = self.score(now_ms)
        match outcome:
            case Outcome.SUCCEEDED:
                score -= FAILURE_WEIGHT * score
                if now_ms >= self._until_ms:
                    self._length_ms = EJECTION_MS
            case Outcome.FAILED:
                score += FAILURE_WEIGHT * (1 - score)
                if score >= EJECT_SCORE:
                    self._eject(now_ms)
                    score = EJECT_SCORE / 2
            case Outcome.UNREACHABLE:
                # The address may be gone, or behind a cut that lasts.
                if now_ms >= self._until_ms:
                    self._eject(now_ms)
            case Outcome.REFUSED | Outcome.ABANDONED:
                return
        self._score = score
        self._noted_ms = now_ms

    def score(self, now_ms: float) -> float:
        """Return the expected share of calls that fail."""
        age_ms = now_ms - self._noted_ms
        return self._score * math.exp(-age_ms / SCORE_DECAY_MS)

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server gets no calls now."""
        return now_ms < self._until_ms

    def _eject(self, now_ms: float) -> None:
        self._until_ms = max(self._until_ms, now_ms + self._length_ms)
        self._length_ms = min(
            self._length_ms * EJECTION_GROWTH, EJECTION_MAX_MS
        )


T = TypeVar("T")


def usable(servers: list[tuple[T, ServerHealth]], now_ms: float) -> list[T]:
    """Return the servers that are not ejected.

    If more than :data:`EJECT_SHARE_MAX` of them are, the failures have a
    common cause and all of them are tried.
    """
    found = [one for one, state in servers if not state.is_ejected(now_ms)]
    if len(found) < len(servers) * (1 - EJECT_SHARE_MAX):
        return [one for one, _ in servers]
    return found or [one for one, _ in servers]
