"""Rate limits that backend servers announce, and the quota under one."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from balsamloom_core import clock as clocks

# A server whose limit is lower still gets a request now and then. Otherwise no
# answer would tell that the limit has ended.
MIN_RATE_PER_S = 0.5
# Requests that may be sent at once after a quiet period, as seconds of the
# limit. Demand comes in bursts, and what is not used in time is lost.
BURST_S = 1.5


class LimitSighting(NamedTuple):
    """What a server said of its limit in one answer.

    ``limit_per_s`` counts requests from all members together, ``None`` if the
    answer named no limit.
    """

    limit_per_s: float | None
    seen_ms: float


class LimitReport(NamedTuple):
    """A sighting as members exchange it, whose clocks differ."""

    limit_per_s: float | None
    age_ms: float

    def sighting(self, now_ms: float) -> LimitSighting:
        """Return the sighting on this member's clock."""
        return LimitSighting(self.limit_per_s, now_ms - self.age_ms)


@dataclasses.dataclass(frozen=True)
class Granted:
    """The request may be sent after ``wait_ms``."""

    wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Denied:
    """The quota is used up for ``retry_after_ms``."""

    retry_after_ms: float


Permit = Granted | Denied


class RateQuota:
    """Token bucket for the requests to one server.

    It starts with a single token: another member may just have granted more.

    :param now_ms: current time.
    """

    def __init__(self, now_ms: float) -> None:
        self._tokens = 1.0
        self._updated_ms = now_ms

    def take(
        self, rate_per_s: float, now_ms: float, max_wait_ms: float = 0.0
    ) -> Permit:
        """Take the token of one request, if there is one in time.

        :param rate_per_s: rate at which tokens are added.
        :param max_wait_ms: time that the request may wait for its token.
        """
        capacity = max(rate_per_s * BURST_S, 1.0)
        elapsed_s = max(now_ms - self._updated_ms, 0.0) / clocks.MS_PER_S
        self._updated_ms = now_ms
        self._tokens = min(self._tokens + rate_per_s * elapsed_s, capacity)
        missing = max(1.0 - self._tokens, 0.0)
        wait_ms = missing / rate_per_s * clocks.MS_PER_S
        if wait_ms > max_wait_ms:
            return Denied(wait_ms)
        self._tokens -= 1.0
        return Granted(wait_ms)
