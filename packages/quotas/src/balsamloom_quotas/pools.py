"""Tokens of one workspace at one granter."""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from balsamloom_quotas import limits, timing

# Part of the tokens that is kept for hosts with callers that wait. The others
# ask ahead of need.
RESERVED_SHARE = 0.2
# Hosts that asked in vain within this time share what the rate adds.
CONTENTION_MS = 2_000.0


class Share(NamedTuple):
    """A granter's part of a rate limit.

    ``capacity_tokens`` limits the tokens that it has free and those that hosts
    hold of it, together.
    """

    rate_per_s: float
    capacity_tokens: float


class _Lease(NamedTuple):
    """Tokens that a run of a host may hold until a time."""

    tokens: int
    until_ms: float


class Pool:
    """Tokens that a granter has and has leased.

    It starts empty, since its predecessor's last tokens may just have been
    used.

    :param share: the granter's part of the limit.
    :param now_ms: current time.
    """

    def __init__(self, share: Share, now_ms: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._updated_ms = now_ms
        # In the order in which they end.
        self._leases: collections.OrderedDict[str, _Lease] = (
            collections.OrderedDict()
        )
        self._leased = 0
        # When leases of a larger share will have ended.
        self._debt_until_ms = now_ms
        # When hosts last got less than they wanted, the earliest first.
        self._short_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def share(self) -> Share:
        """Return the granter's part of the limit."""
        return self._share

    @property
    def leased_tokens(self) -> int:
        """Return how many tokens hosts may hold."""
        return self._leased

    @property
    def free_tokens(self) -> float:
        """Return how many tokens are not leased."""
        return self._tokens

    def leases(self) -> dict[str, int]:
        """Return the leased tokens by the run of a host."""
        return {run: lease.tokens for run, lease in self._leases.items()}

    def set_share(self, share: Share, now_ms: float) -> None:
        """Apply another part or another limit from now on."""
        self.advance(now_ms)
        if share.capacity_tokens < self._share.capacity_tokens:
            self._debt_until_ms = now_ms + timing.LEASE_MS
        self._share = share
        self._clip()

    def advance(self, now_ms: float) -> None:
        """Add the tokens of the rate, and forget leases that have ended.

        Their tokens do not come back: the host may have used them.
        """
        elapsed_ms = max(now_ms - self._updated_ms, 0.0)
        self._updated_ms = max(now_ms, self._updated_ms)
        self._tokens += self._share.rate_per_s * elapsed_ms / limits.MS_PER_S
        while self._leases:
            run, lease = next(iter(self._leases.items()))
            if lease.until_ms > now_ms:
                break
            del self._leases[run]
            self._leased -= lease.tokens
        self._clip()

    def empty(self, now_ms: float) -> None:
        """Drop the tokens that are not leased."""
        self.advance(now_ms)
        self._tokens = min(self._tokens, 0.0)

    def renew(self, run: str, held: int, returned: int, now_ms: float) -> bool:
        """Record what a run of a host keeps and gives back.

        It has used the rest of its lease, or has lost it.

        :return: whether its lease had all tokens that it keeps.
        """
        former = self._leases.pop(run, _Lease(0, 0.0))
        kept = min(held, former.tokens)
        self._tokens += min(returned, former.tokens - kept)
        self._leased -= former.tokens
        self._lease(run, kept, now_ms)
        self._clip()
        return kept == held

    def take_back(self, run: str, tokens: int) -> None:
        """Take back tokens that a run never got."""
        lease = self._leases.get(run)
        if lease is None:
            return
        found = min(tokens, lease.tokens)
        # The lease keeps its place in the order.
        self._leases[run] = lease._replace(tokens=lease.tokens - found)
        self._leased -= found
        self._tokens += found
        self._clip()

    def grant(
        self, run: str, wanted: int, is_urgent: bool, now_ms: float
    ) -> int:
        """Lease more tokens to a run that has been renewed at this time."""
        reserved = 0.0 if is_urgent else self._reserved()
        free = max(self._tokens - reserved, 0.0)
        granted = min(wanted, math.floor(free), self._fair_tokens(now_ms))
        self._short_ms.pop(run, None)
        if is_urgent and granted < wanted:
            self._short_ms[run] = now_ms
        if granted:
            self._tokens -= granted
            former = self._leases.pop(run, _Lease(0, 0.0))
            self._leased -= former.tokens
            self._lease(run, former.tokens + granted, now_ms)
        return granted

    def wait_ms(self, now_ms: float) -> float:
        """Estimate when a host that asked in vain can have a token."""
        missing = max(self._short_hosts(now_ms), 1) - self._tokens
        if self._share.rate_per_s <= 0:
            return timing.LEASE_MS
        wait_ms = missing / self._share.rate_per_s * limits.MS_PER_S
        # Who else asks is known for this time only.
        return min(max(wait_ms, 0.0), CONTENTION_MS)

    def _fair_tokens(self, now_ms: float) -> int:
        """Return what one host may get at once.

        Tokens that wait at a host for callers are of no use to the others.
        """
        added = self._share.rate_per_s * timing.MIN_INTERVAL_MS
        tokens = self._tokens + added / limits.MS_PER_S
        count = max(self._short_hosts(now_ms), 1)
        return max(math.ceil(tokens / count), 1)

    def _short_hosts(self, now_ms: float) -> int:
        """Return how many hosts lately got less than they wanted."""
        oldest_ms = now_ms - CONTENTION_MS
        while self._short_ms:
            run, short_ms = next(iter(self._short_ms.items()))
            if short_ms >= oldest_ms:
                break
            del self._short_ms[run]
        return len(self._short_ms)

    def _reserved(self) -> float:
        return self._share.capacity_tokens * RESERVED_SHARE

    def _lease(self, run: str, tokens: int, now_ms: float) -> None:
        if tokens:
            self._leases[run] = _Lease(tokens, now_ms + timing.LEASE_MS)
            self._leased += tokens

    def _clip(self) -> None:
        limit = self._share.capacity_tokens - self._leased
        self._tokens = min(self._tokens, limit)
        # A small rate would take long to make up for a far larger share.
        if self._updated_ms >= self._debt_until_ms:
            self._tokens = max(self._tokens, 0.0)
