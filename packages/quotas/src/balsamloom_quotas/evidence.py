"""Whether a host may grant tokens: what it knows of its role and since when.

A host that is cut off must not grant beside its successor. It is a granter
while it hears from more than half of the members that they go by it. It begins
only after having heard so for long enough that no other one grants in its
place.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from balsamloom_quotas import timing


class View(NamedTuple):
    """Members that a host knows and the granters among them.

    They were the registered ones at ``read_ms``.
    """

    members: frozenset[str]
    granters: tuple[str, ...]
    read_ms: float


NO_VIEW = View(frozenset(), (), -math.inf)


class Role:
    """Decides whether this host grants.

    :param name: name of this host.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._view = NO_VIEW
        self._others: frozenset[str] = frozenset()
        # When each host last named this one as granter.
        self._heard_ms: dict[str, float] = {}
        self._since_ms = math.inf
        self._last_ms = -math.inf
        # Parts of a limit that this host may have, by when they may be used.
        self._part = 0.0
        self._smaller_part = 0.0
        self._raised_ms = 0.0

    def set_view(self, view: View, now_ms: float) -> None:
        """Apply the members that this host knows."""
        self._view = view
        self._others = view.members - {self._name}
        if not view.granters:
            return
        part = 1 / len(view.granters)
        if part > self._part:
            # The former granters may use up theirs until then.
            self._smaller_part = self._part_at(now_ms) or part
            self._raised_ms = now_ms + timing.HOLD_MS
        self._part = part

    def hear(
        self, host: str, granters: Collection[str], now_ms: float
    ) -> None:
        """Record which granters a host goes by."""
        # With another number of them, it leaves this host another part.
        is_agreed = len(granters) == len(self._view.granters)
        if is_agreed and self._name in granters:
            self._heard_ms[host] = now_ms
        else:
            self._heard_ms.pop(host, None)

    def part(self, now_ms: float) -> float:
        """Return the part of each limit that this host may grant now.

        It is 0 if it may grant nothing.
        """
        if self._name not in self._view.granters:
            return 0.0
        if self._is_alone:
            return self._part_alone(now_ms)
        if not self._is_named_by_most(now_ms):
            return 0.0
        return self._part_since(now_ms)

    @property
    def _is_alone(self) -> bool:
        return len(self._view.members) == 1

    def _part_alone(self, now_ms: float) -> float:
        """Return the part of a host that knows of no other member.

        None can tell it that there are others.
        """
        age_ms = now_ms - self._view.read_ms
        if age_ms > timing.MAX_VIEW_AGE_MS:
            return 0.0
        part = self._part_since(now_ms)
        return part if age_ms < timing.EVIDENCE_MS else 0.0

    def _part_since(self, now_ms: float) -> float:
        """Return the part of a host that has evidence, by since when."""
        if now_ms - self._last_ms > timing.MAX_LAPSE_MS:
            self._since_ms = now_ms
        self._last_ms = now_ms
        is_new = now_ms - self._since_ms < timing.HOLD_MS
        return 0.0 if is_new else self._part_at(now_ms)

    def _part_at(self, now_ms: float) -> float:
        if now_ms < self._raised_ms:
            return min(self._part, self._smaller_part)
        return self._part

    def _is_named_by_most(self, now_ms: float) -> bool:
        oldest_ms = now_ms - timing.EVIDENCE_MS
        heard_ms = self._heard_ms
        count = sum(
            name in heard_ms and heard_ms[name] > oldest_ms
            for name in self._others
        )
        # This host goes by its own view.
        return 2 * (count + 1) > len(self._view.members)
