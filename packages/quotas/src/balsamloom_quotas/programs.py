"""Programs of one workspace at one host: which of them may make requests.

A request that is refused in the middle of a program loses all that was spent
on the program before. So where tokens are short, whole programs are refused:
those whose lot is not below the share that the granters tell all hosts.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from balsamloom_quotas import demand, timing

# Lots are drawn anew in each period, so that nobody has a bad one for long.
# Programs that are under way then may lose theirs.
PERIOD_MS = 60_000.0
# The share may have risen when a refused program comes back after this time.
RETURN_MS = 5_000.0
LOT_BYTES = 6
LOTS = 256**LOT_BYTES
AVERAGING_MS = 600.0


class Rates(NamedTuple):
    """Requests a second of programs below the share, and without a program.

    Both are counted whether there was a token or not.
    """

    admitted_per_s: float = 0.0
    unnamed_per_s: float = 0.0


class _Told(NamedTuple):
    share: float
    until_ms: float


def lot(program_id: str, period: int) -> float:
    """Return a program's lot in a period, from 0 to 1, alike at all hosts."""
    digest = hashlib.blake2b(
        f"{period}/{program_id}".encode(), digest_size=LOT_BYTES
    ).digest()
    return float(int.from_bytes(digest, "big") / LOTS)


class Programs:
    """Share of the programs of one workspace that may make requests."""

    def __init__(self) -> None:
        self._admitted = demand.Demand(AVERAGING_MS)
        self._unnamed = demand.Demand(AVERAGING_MS)
        # What each granter told last.
        self._told: dict[str, _Told] = {}
        # Requests refused for their lot.
        self.refused_by_lot = 0

    def share(self, now_ms: float) -> float:
        """Return the part of the programs that may make requests now."""
        told = [
            one.share for one in self._told.values() if one.until_ms > now_ms
        ]
        return sum(told) / len(told) if told else 1.0

    def is_pressed(self, now_ms: float) -> bool:
        """Return whether a granter has few tokens left."""
        return any(one.until_ms > now_ms for one in self._told.values())

    def wait_ms(
        self, program_id: str, now_ms: float, wall_ms: float
    ) -> float | None:
        """Count a request; return how long its program has to wait.

        :param program_id: empty for a request without a program, which is
            admitted by itself.
        :param wall_ms: time of day, by which all hosts draw lots.
        :return: ``None`` if it may run now, for a token.
        """
        if not program_id:
            self._unnamed.record(now_ms)
            return None
        share = self.share(now_ms)
        period, elapsed_ms = divmod(wall_ms, PERIOD_MS)
        if share >= 1.0 or lot(program_id, int(period)) < share:
            self._admitted.record(now_ms)
            return None
        self.refused_by_lot += 1
        return min(PERIOD_MS - elapsed_ms, RETURN_MS)

    def rates(self, now_ms: float) -> Rates | None:
        """Return the demand, ``None`` if no granter needs to know it."""
        if not self.is_pressed(now_ms):
            return None
        return Rates(
            round(self._admitted.rate_per_s(now_ms), 2),
            round(self._unnamed.rate_per_s(now_ms), 2),
        )

    def apply(self, granter: str, share: float | None, now_ms: float) -> None:
        """Apply what a granter told.

        :param share: ``None`` while it has tokens enough.
        """
        if share is None:
            self._told.pop(granter, None)
        else:
            bounded = min(max(share, 0.0), 1.0)
            self._told[granter] = _Told(bounded, now_ms + timing.LEASE_MS)
