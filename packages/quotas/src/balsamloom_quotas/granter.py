"""A granter: leases tokens of all limited workspaces to the hosts."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from balsamloom_quotas import evidence, limits, messages, pools, shares

# Runs of hosts whose last request is remembered after this time.
FORGET_MS = 60_000.0
# Shares are decided once for all hosts that ask within this time.
DECISION_INTERVAL_MS = 100.0


class PoolState(NamedTuple):
    """Tokens of one workspace at a granter, for operators."""

    free_tokens: float
    leases: dict[str, int]


class _Seen(NamedTuple):
    """Last request of a run of a host, and what it was granted."""

    number: int
    seen_ms: float
    granted: Mapping[str, int]


def run_of(request: messages.LeaseRequest) -> str:
    """Return what identifies the run of a host's process among all."""
    return f"{request.host}/{request.run}"


class Granter:
    """Answers the requests of all hosts for tokens.

    :param name: name of this host.
    :param bounds: what the requests of a window may be.
    """

    def __init__(self, name: str, bounds: limits.Bounds) -> None:
        self.role = evidence.Role(name)
        self._bounds = bounds
        self._limits: Mapping[str, limits.RateLimit] = {}
        self._pools: dict[str, pools.Pool] = {}
        self._shares: dict[str, shares.Share] = {}
        self._part = 0.0
        self._seen: dict[str, _Seen] = {}
        # Workspaces of which callers asked for more than there was.
        self._short: set[str] = set()
        self._decided: dict[str, float] = {}
        self._decided_ms = -math.inf

    @property
    def is_active(self) -> bool:
        """Return whether this host granted when last asked."""
        return self._part > 0

    def set_limits(
        self, rate_limits: Mapping[str, limits.RateLimit], now_ms: float
    ) -> None:
        """Apply the limits of a configuration."""
        self._limits = dict(rate_limits)
        for name in set(self._pools) - set(rate_limits):
            del self._pools[name]
            self._shares.pop(name, None)
        self._apply_shares(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Find out whether this host grants now, and which part."""
        part = self.role.part(now_ms)
        if part == self._part:
            return
        if not self._part:
            for pool in self._pools.values():
                pool.empty(now_ms)
        self._part = part
        self._apply_shares(now_ms)

    def answer(
        self, request: messages.LeaseRequest, now_ms: float
    ) -> messages.Answer:
        """Answer a request of a host."""
        if not self._is_next(request, now_ms):
            return messages.INACTIVE
        self._take_back_lost(request, now_ms)
        self.role.record_granters(
            request.host,
            request.granters,
            now_ms,
            request.had_others,
            request.was_leased,
        )
        self.refresh(now_ms)
        answer = messages.INACTIVE
        if self.is_active:
            answer = self._renew_leases(request, now_ms)
        self._seen[run_of(request)] = _Seen(
            request.number, now_ms, answer.granted
        )
        return answer

    def _renew_leases(
        self, request: messages.LeaseRequest, now_ms: float
    ) -> messages.Answer:
        run = run_of(request)
        granted: dict[str, int] = {}
        waits_ms: dict[str, float] = {}
        ended: list[str] = []
        for entry in request.entries:
            name = entry.workspace
            pool = self._pools.get(name)
            if pool is None:
                ended.append(name)
                continue
            pool.advance(now_ms)
            if not pool.renew(run, entry.held, entry.returned, now_ms):
                ended.append(name)
            tokens = pool.grant(run, entry.wanted, entry.is_urgent, now_ms)
            if tokens:
                granted[name] = tokens
            if entry.is_urgent and tokens < entry.wanted:
                waits_ms[name] = pool.wait_ms(now_ms)
                self._short.add(name)
        return messages.Answer(
            True,
            granted,
            waits_ms,
            tuple(ended),
            self._decide_shares(request, now_ms),
        )

    def _decide_shares(
        self, request: messages.LeaseRequest, now_ms: float
    ) -> dict[str, float]:
        """Return the share of the programs where tokens are short."""
        run = run_of(request)
        for name, rates in request.rates.items():
            if name in self._pools:
                self._shares[name].record(run, rates, now_ms)
        if now_ms - self._decided_ms >= DECISION_INTERVAL_MS:
            self._decided_ms = now_ms
            self._decided = {
                name: share
                for name, pool in self._pools.items()
                if (share := self._decide(name, pool, now_ms)) is not None
            }
        return self._decided

    def _decide(
        self, name: str, pool: pools.Pool, now_ms: float
    ) -> float | None:
        pool.advance(now_ms)
        share = self._shares[name].decide(self._stock(name, pool), now_ms)
        self._short.discard(name)
        return share

    def _stock(self, name: str, pool: pools.Pool) -> shares.Stock:
        limit = self._limits[name]
        return shares.Stock(
            self._bounds.refill_per_s(limit),
            pool.free_tokens / pool.share.capacity_tokens,
            name in self._short,
        )

    def states(self, now_ms: float) -> dict[str, PoolState]:
        """Return the tokens of all workspaces that have been asked for."""
        found = {}
        for name, pool in self._pools.items():
            pool.advance(now_ms)
            found[name] = PoolState(pool.free_tokens, pool.leases())
        return found

    def _is_next(self, request: messages.LeaseRequest, now_ms: float) -> bool:
        """Return whether no later request of the host was answered."""
        seen = self._seen.get(run_of(request))
        if seen is not None and request.number <= seen.number:
            return False
        if seen is None:
            self._forget(now_ms)
        return True

    def _take_back_lost(
        self, request: messages.LeaseRequest, now_ms: float
    ) -> None:
        """Take back what the last answer granted if it was lost."""
        seen = self._seen.get(run_of(request))
        if seen is None or request.applied >= seen.number:
            return
        for name, tokens in seen.granted.items():
            pool = self._pools.get(name)
            if pool is not None:
                pool.advance(now_ms)
                pool.take_back(run_of(request), tokens)

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - FORGET_MS
        for run, seen in list(self._seen.items()):
            if seen.seen_ms < oldest_ms:
                del self._seen[run]

    def _apply_shares(self, now_ms: float) -> None:
        if not self._part:
            return
        for name, limit in self._limits.items():
            share = self._share(limit)
            pool = self._pools.get(name)
            if pool is None:
                self._pools[name] = pools.Pool(share, now_ms)
                self._shares[name] = shares.Share()
            elif pool.share != share:
                pool.set_share(share, now_ms)

    def _share(self, limit: limits.RateLimit) -> pools.Share:
        tokens = self._bounds.capacity_tokens(limit) * self._part
        # With less than one token, nothing could ever be granted.
        rate_per_s = self._bounds.refill_per_s(limit) * self._part
        return pools.Share(rate_per_s, max(tokens, 1.0))
