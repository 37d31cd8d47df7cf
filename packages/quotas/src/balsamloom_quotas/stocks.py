"""Tokens of all limited workspaces at one host, and what it asks for.

Nothing here waits or sends; ``service`` does, and holds a lock meanwhile.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from balsamloom_quotas import (
    demand,
    limits,
    messages,
    programs,
    recent,
    timing,
)

# A host asks ahead for what may arrive within this many intervals.
HORIZON_INTERVALS = 2.0
# Tokens kept beyond the mean, in standard deviations of random arrivals.
MARGIN_DEVIATIONS = 0.7
# Below this demand a host keeps no token. Many hosts that see a small
# workspace now and then would hold more than there are.
MIN_RATE_PER_S = 0.05
# A lease is renewed while there is time for this many requests.
RENEW_INTERVALS = 2.2
# A granter that had too few tokens is not asked in between for this time.
MIN_PAUSE_MS = 100.0


class Holding(NamedTuple):
    """Tokens that one granter leased to this host.

    ``leased`` is what the granter may know of, so ``tokens`` never exceeds it.
    """

    tokens: int = 0
    leased: int = 0
    until_ms: float = -math.inf


class _Account:
    """One workspace at this host."""

    def __init__(self, window_ms: float) -> None:
        self.demand = demand.Demand()
        self.recent = recent.RecentRequests(window_ms)
        self.holdings: dict[str, Holding] = {}
        # Requests that ran once more than they had tokens for.
        self.owed = 0
        # Times until which granters had none.
        self.empty_until_ms: dict[str, float] = {}
        self.admitted = 0
        self.refused = 0
        self.returned = 0
        self.refused_ms = -math.inf
        self.programs = programs.Programs()


class AccountState(NamedTuple):
    """Workspace at this host, for operators.

    ``admitted``, ``refused`` and ``returned`` count requests since the process
    started, ``recent`` those of the last window. Returned requests were
    admitted, but no server ran them. ``refused_by_lot`` counts those refused
    since their program's lot was not below the share, ``share`` is that share.
    """

    tokens: int
    demand_per_s: float
    admitted: int
    refused: int
    returned: int
    recent: recent.RecentCounts
    refused_by_lot: int = 0
    share: float = 1.0


class Stocks:
    """Tokens that this host holds and may use.

    :param host: name of this host.
    :param window_ms: time for which requests are counted for operators.
    """

    def __init__(self, host: str, window_ms: float) -> None:
        self._host = host
        self._window_ms = window_ms
        self._accounts: dict[str, _Account] = {}
        self._granters: tuple[str, ...] = ()
        self._interval_ms = timing.MIN_INTERVAL_MS

    def set_granters(
        self, granters: Sequence[str], interval_ms: float
    ) -> None:
        """Apply the granters that answer.

        Tokens of the others may be used until they end.

        :param interval_ms: time between two requests to a granter.
        """
        self._granters = tuple(granters)
        self._interval_ms = interval_ms

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that have no limit any more."""
        for name in set(self._accounts).difference(workspaces):
            del self._accounts[name]

    def record(self, workspace: str, now_ms: float) -> None:
        """Count a request towards the demand."""
        self._account(workspace).demand.record(now_ms)

    def take(self, workspace: str, now_ms: float) -> str | None:
        """Use a token and return the granter that leased it, if any."""
        account = self._account(workspace)
        best, most = None, 0
        for granter, holding in account.holdings.items():
            if holding.tokens > most and holding.until_ms > now_ms:
                best, most = granter, holding.tokens
        if best is None:
            return None
        self._change(account, best, -1)
        account.admitted += 1
        account.recent.admit(now_ms)
        return best

    def has_token(self, workspace: str, now_ms: float) -> bool:
        """Return whether a request of a workspace could run now."""
        holdings = self._account(workspace).holdings.values()
        return any(
            holding.tokens > 0 and holding.until_ms > now_ms
            for holding in holdings
        )

    def give_back(self, workspace: str, granter: str, now_ms: float) -> None:
        """Return the token of a request that no server ran."""
        account = self._account(workspace)
        account.returned += 1
        account.recent.admit(now_ms, -1)
        holding = account.holdings.get(granter, Holding())
        # The granter has counted older ones as used and replaced them.
        is_known = holding.tokens < holding.leased
        if is_known and holding.until_ms > now_ms:
            self._change(account, granter, 1)
            self._pay(account, granter)

    def charge(self, workspace: str, runs: int) -> None:
        """Use tokens for further runs of a request that had one.

        Those that are not there now are taken off the next leases.
        """
        account = self._account(workspace)
        account.owed += runs
        for granter in account.holdings:
            self._pay(account, granter)

    def refuse(
        self, workspace: str, now_ms: float, is_short: bool = True
    ) -> None:
        """Count a refused request.

        :param is_short: whether it was refused for want of a token.
        """
        account = self._account(workspace)
        account.refused += 1
        account.recent.refuse(now_ms)
        if is_short:
            account.refused_ms = now_ms

    def empty_until_ms(self, workspace: str, granter: str) -> float:
        """Return the time until which a granter has no token."""
        account = self._account(workspace)
        return account.empty_until_ms.get(granter, -math.inf)

    def entries(
        self,
        granter: str,
        now_ms: float,
        needed: str = "",
    ) -> tuple[messages.Entry, ...]:
        """Return what to ask a granter for, and hand back what is too much.

        :param needed: workspace with a request that waits for a token.
        """
        found = []
        for workspace, account in self._accounts.items():
            entry = self._entry(workspace, account, granter, now_ms, needed)
            if entry is not None:
                found.append(entry)
        return tuple(found)

    def apply(
        self,
        granter: str,
        request: messages.LeaseRequest,
        answer: messages.Answer,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Apply the answer to the latest request to a granter.

        :param sent_ms: time at which the request was built.
        """
        if not answer.is_active:
            return
        for entry in request.entries:
            account = self._account(entry.workspace)
            granted = answer.granted.get(entry.workspace, 0)
            holding = account.holdings.get(granter, Holding())
            # If the former lease has ended here, it may have ended there
            # before it was renewed.
            is_kept = holding.until_ms > now_ms
            if entry.workspace in answer.ended or not is_kept:
                holding = Holding()
            account.holdings[granter] = Holding(
                holding.tokens + granted,
                holding.leased + granted,
                sent_ms + timing.LEASE_MS,
            )
            self._pay(account, granter)
            wait_ms = answer.wait_ms.get(entry.workspace)
            if wait_ms is None:
                account.empty_until_ms.pop(granter, None)
            else:
                pause_ms = max(wait_ms, MIN_PAUSE_MS)
                account.empty_until_ms[granter] = now_ms + pause_ms

    def states(self, now_ms: float) -> dict[str, AccountState]:
        """Return all workspaces with requests at this host."""
        return {
            name: self.state(name, now_ms)
            for name, account in self._accounts.items()
            if account.admitted or account.refused
        }

    def state(self, workspace: str, now_ms: float) -> AccountState:
        """Return what this host knows of one workspace."""
        account = self._account(workspace)
        return AccountState(
            sum(
                holding.tokens
                for holding in account.holdings.values()
                if holding.until_ms > now_ms
            ),
            account.demand.rate_per_s(now_ms),
            account.admitted,
            account.refused,
            account.returned,
            account.recent.counts(now_ms),
            account.programs.refused_by_lot,
            round(account.programs.share(now_ms), 3),
        )

    def admission(self, workspace: str) -> programs.Programs:
        """Return what decides which programs of a workspace are admitted."""
        return self._account(workspace).programs

    def rates(self, now_ms: float) -> dict[str, programs.Rates]:
        """Return the demand where a granter has few tokens left."""
        found = {
            workspace: account.programs.rates(now_ms)
            for workspace, account in self._accounts.items()
        }
        return {name: rates for name, rates in found.items() if rates}

    def apply_shares(
        self, granter: str, shares: Mapping[str, float], now_ms: float
    ) -> None:
        """Apply the shares that a granter told; the others are whole."""
        for workspace in shares:
            self._account(workspace)
        for workspace, account in self._accounts.items():
            account.programs.apply(granter, shares.get(workspace), now_ms)

    def _entry(
        self,
        workspace: str,
        account: _Account,
        granter: str,
        now_ms: float,
        needed: str,
    ) -> messages.Entry | None:
        holding = account.holdings.get(granter, Holding())
        tokens = holding.tokens
        target = self._target(workspace, account, granter, now_ms)
        if workspace == needed:
            target = max(target, 1)
        # The first ones granted pay for runs that had no token.
        target += account.owed
        kept = min(tokens, target) if holding.until_ms > now_ms else 0
        wanted = target - kept
        left_ms = holding.until_ms - now_ms
        is_due = left_ms < RENEW_INTERVALS * self._interval_ms
        if not wanted and kept == holding.leased and not (kept and is_due):
            return None
        # From now on the granter may count the rest as free.
        account.holdings[granter] = holding._replace(tokens=kept, leased=kept)
        is_refusing = now_ms - account.refused_ms < 2 * self._interval_ms
        is_urgent = workspace == needed or (not kept and is_refusing)
        return messages.Entry(
            workspace, kept, tokens - kept, wanted, is_urgent
        )

    def _target(
        self, workspace: str, account: _Account, granter: str, now_ms: float
    ) -> int:
        """Return how many tokens of a granter to hold."""
        rate_per_s = account.demand.rate_per_s(now_ms)
        if rate_per_s < MIN_RATE_PER_S or granter not in self._granters:
            return 0
        horizon_ms = HORIZON_INTERVALS * self._interval_ms
        expected = rate_per_s * horizon_ms / limits.MS_PER_S
        if expected < 1 and account.programs.is_pressed(now_ms):
            # A single token ahead would mostly lie idle.
            return 0
        total = math.ceil(expected + MARGIN_DEVIATIONS * math.sqrt(expected))
        count = len(self._granters)
        base, rest = divmod(total, count)
        # So that single tokens come from all granters.
        first = zlib.crc32(f"{self._host}/{workspace}".encode()) % count
        place = (self._granters.index(granter) - first) % count
        return base + (place < rest)

    def _pay(self, account: _Account, granter: str) -> None:
        holding = account.holdings[granter]
        paid = min(account.owed, holding.tokens)
        if paid:
            account.owed -= paid
            self._change(account, granter, -paid)

    def _change(self, account: _Account, granter: str, tokens: int) -> None:
        holding = account.holdings[granter]
        account.holdings[granter] = holding._replace(
            tokens=holding.tokens + tokens
        )

    def _account(self, workspace: str) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account(self._window_ms)
        return account
