"""Part of a workspace's programs that may make requests, at a granter.

Each granter hears the demand from all hosts and knows the rate and the tokens
that are left, so that all of them come to about the same.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from balsamloom_quotas import limits, programs, timing

# Below this part of its tokens a granter asks hosts for their demand.
PRESSED_SHARE = 0.5
# It goes on for this time after that.
CALM_MS = 5_000.0
# Demand that is admitted, as a part of the rate. What finds no token comes
# again, is counted again, and mostly finds one then.
MAX_LOAD = 1.3
# With a smaller share, the demand of all programs could not be told.
MIN_SHARE = 0.02
# A share falls only while requests find no token. Then it rises by this part
# of itself a second, and by this much if all tokens are free.
GROWTH_PER_S = 0.3
RISE_PER_S = 1.0


class Stock(NamedTuple):
    """Tokens that are added over all granters, and what this one has left.

    ``free_share`` is a part of its own capacity. ``is_short`` tells whether
    callers asked it for more tokens than it had since the last decision.
    """

    rate_per_s: float
    free_share: float
    is_short: bool


class _Statement(NamedTuple):
    heard_ms: float
    rates: programs.Rates


class Share:
    """Decides for one workspace which part of its programs is admitted."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}
        self._share = 1.0
        # The share that the demand of now answers.
        self._average = 1.0
        self._decided_ms = -math.inf
        self._pressed_ms = -math.inf

    def record(self, run: str, rates: programs.Rates, now_ms: float) -> None:
        """Record the demand at a run of a host."""
        self._statements[run] = _Statement(now_ms, rates)

    def decide(self, stock: Stock, now_ms: float) -> float | None:
        """Return the share, ``None`` while there are tokens enough."""
        if stock.free_share < PRESSED_SHARE:
            self._pressed_ms = now_ms
        elapsed_ms = now_ms - self._decided_ms
        self._decided_ms = now_ms
        if now_ms - self._pressed_ms > CALM_MS:
            self._share = self._average = 1.0
            return None
        elapsed_s = min(elapsed_ms / limits.MS_PER_S, 1.0)
        if stock.is_short:
            wanted = min(self._share, self._wanted(stock, now_ms))
        else:
            growth = GROWTH_PER_S * self._share + RISE_PER_S * stock.free_share
            wanted = self._share + growth * elapsed_s
        self._share = max(min(wanted, 1.0), MIN_SHARE)
        weight = math.exp(-elapsed_s * limits.MS_PER_S / programs.AVERAGING_MS)
        self._average += (1 - weight) * (self._share - self._average)
        return self._share

    def _wanted(self, stock: Stock, now_ms: float) -> float:
        """Return the share whose demand the rate can bear."""
        rates = self._demand(now_ms)
        of_all_per_s = rates.admitted_per_s / self._average
        left_per_s = stock.rate_per_s * MAX_LOAD - rates.unnamed_per_s
        if of_all_per_s <= max(left_per_s, 0.0):
            return 1.0
        return left_per_s / of_all_per_s

    def _demand(self, now_ms: float) -> programs.Rates:
        oldest_ms = now_ms - timing.EVIDENCE_MS
        self._statements = {
            run: one
            for run, one in self._statements.items()
            if one.heard_ms > oldest_ms
        }
        found = [one.rates for one in self._statements.values()]
        return programs.Rates(
            sum(rates.admitted_per_s for rates in found),
            sum(rates.unnamed_per_s for rates in found),
        )
