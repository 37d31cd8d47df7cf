"""Whether a host may grant tokens: what it knows of its role and since when.

A host that is cut off must not grant beside its successor. It is a granter
while it either knows the current members or hears from more than half of them
that they go by it. It begins only after having heard so for long enough that
no other one grants in its place.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from balsamloom_quotas import timing


class View(NamedTuple):
    """Members that a host knows and the granters among them.

    They are known to be the registered ones until ``current_until_ms``, at
    most ``CURRENT_MS`` after they were.
    """

    members: frozenset[str]
    granters: tuple[str, ...]
    current_until_ms: float


NO_VIEW = View(frozenset(), (), -math.inf)


class Role:
    """Decides whether this host grants.

    :param name: name of this host.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._view = NO_VIEW
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
        if not self._has_evidence(now_ms):
            return 0.0
        if now_ms - self._last_ms > timing.MAX_LAPSE_MS:
            self._since_ms = now_ms
        is_new = now_ms - self._since_ms < timing.HOLD_MS
        if is_new and not self._may_begin(now_ms):
            self._last_ms = -math.inf
            return 0.0
        self._last_ms = now_ms
        return 0.0 if is_new else self._part_at(now_ms)

    def _part_at(self, now_ms: float) -> float:
        if now_ms < self._raised_ms:
            return min(self._part, self._smaller_part)
        return self._part

    def _has_evidence(self, now_ms: float) -> bool:
        if self._name not in self._view.granters:
            return False
        is_current = now_ms < self._view.current_until_ms
        return is_current or self._is_named_by_most(now_ms)

    def _may_begin(self, now_ms: float) -> bool:
        """Return whether no other host begins or goes on in its place."""
        is_current = now_ms < self._view.current_until_ms
        is_alone = len(self._view.members) == 1
        return is_current and (is_alone or self._is_named_by_most(now_ms))

    def _is_named_by_most(self, now_ms: float) -> bool:
        oldest_ms = now_ms - timing.EVIDENCE_MS
        others = self._view.members - {self._name}
        count = sum(
            self._heard_ms.get(name, -math.inf) > oldest_ms for name in others
        )
        # This host goes by its own view, which says nothing if it is alone.
        return count > 0 and 2 * (count + 1) > len(self._view.members)
