"""Rate limits, the bound that they put on any window, and how it is split."""

from __future__ import annotations

from typing import NamedTuple

MS_PER_S = 1000.0
# Part of what the bound allows beyond the limit that may exist as tokens. The
# rest is for requests that run at two servers.
EXCESS_CAPACITY_SHARE = 0.7
# Part of the overage by which tokens are added faster than the limit, since
# some get lost with hosts.
REFILL_SHARE = 0.2


class RateLimit(NamedTuple):
    """Requests that a workspace may send through all hosts together."""

    rate_per_s: float
    burst_requests: float


class Bounds(NamedTuple):
    """How far the requests of any window may lie above a rate limit.

    They are at most ``1 + overage`` times what the limit allows, and
    ``slack_requests`` more.
    """

    window_ms: float
    overage: float
    slack_requests: float

    def max_requests(self, limit: RateLimit) -> float:
        """Return the most requests of a workspace that any window may have."""
        allowed = allowed_requests(limit, self.window_ms)
        return allowed * (1 + self.overage) + self.slack_requests

    def capacity_tokens(self, limit: RateLimit) -> float:
        """Return the most tokens that exist at one time over all hosts.

        In a window, hosts use at most the tokens that exist at its start and
        those that the rate adds.
        """
        allowed = allowed_requests(limit, self.window_ms)
        excess = self.max_requests(limit) - allowed
        faster_per_s = self.refill_per_s(limit) - limit.rate_per_s
        added = faster_per_s * self.window_ms / MS_PER_S
        return limit.burst_requests + (excess - added) * EXCESS_CAPACITY_SHARE

    def refill_per_s(self, limit: RateLimit) -> float:
        """Return the rate at which tokens are added over all granters."""
        return limit.rate_per_s * (1 + self.overage * REFILL_SHARE)


def allowed_requests(limit: RateLimit, window_ms: float) -> float:
    """Return the requests that a limit allows in a window."""
    return limit.rate_per_s * window_ms / MS_PER_S + limit.burst_requests
