"""Whether a host may grant tokens: what it knows of its role and since when.

A host that is cut off must not grant beside its successor. It is a granter
while more than half of the members name it as one in their requests. It begins
only after they have done so for long enough that no other one grants in its
place, or early after its start if no run of a member ever named another; at
once if, besides, no run of a member ever got tokens of its former run.
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


class _Statement(NamedTuple):
    """Granters that a host named in its last request for tokens.

    ``is_first`` tells that its run has named no others, ``was_leased`` that it
    has got tokens from a run of this one.
    """

    heard_ms: float
    granters: tuple[str, ...]
    is_first: bool
    was_leased: bool


class Role:
    """Decides whether this host grants.

    :param name: name of this host.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._view = NO_VIEW
        self._others: frozenset[str] = frozenset()
        # Last statement of each host that names this one as granter.
        self._statements: dict[str, _Statement] = {}
        self._started_ms = math.inf
        self._had_others = False
        self._evidence_since_ms = math.inf
        self._last_evidence_ms = -math.inf
        # Parts of a limit that this host may have, by when they may be used.
        self._part = 0.0
        self._smaller_part = 0.0
        self._raised_ms = 0.0

    def set_view(self, view: View, now_ms: float) -> None:
        """Apply the members that this host knows."""
        self._started_ms = min(self._started_ms, now_ms)
        former = self._view.granters
        if former and view.granters != former:
            self._had_others = True
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

    def record_granters(
        self,
        host: str,
        granters: Collection[str],
        now_ms: float,
        had_others: bool = True,
        was_leased: bool = True,
    ) -> None:
        """Record which granters a host names.

        :param had_others: whether its run has named others before.
        :param was_leased: whether its run has got tokens from this host.
        """
        # With another number of them, it leaves this host another part.
        is_agreed = len(granters) == len(self._view.granters)
        if is_agreed and self._name in granters:
            self._statements[host] = _Statement(
                now_ms, tuple(granters), not had_others, was_leased
            )
        else:
            self._statements.pop(host, None)

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
        if now_ms - self._last_evidence_ms > timing.MAX_LAPSE_MS:
            self._evidence_since_ms = now_ms
        self._last_evidence_ms = now_ms
        if self._may_begin_early(now_ms):
            self._evidence_since_ms = -math.inf
        is_new = now_ms - self._evidence_since_ms < timing.HOLD_MS
        return 0.0 if is_new else self._part_at(now_ms)

    def _may_begin_early(self, now_ms: float) -> bool:
        """Return whether only a former run of this host can have granted.

        No run of a member has named other granters, so none has tokens of
        another one, and the last lease of the former run has ended, or ended
        with all hosts that had one. Later than a hold after the start, what
        was said may be out of date.
        """
        age_ms = now_ms - self._started_ms
        if age_ms > timing.HOLD_MS or self._had_others or not self._others:
            return False
        oldest_ms = now_ms - timing.EVIDENCE_MS
        statements = [self._statements.get(name) for name in self._others]
        return all(
            statement is not None
            and statement.is_first
            and statement.granters == self._view.granters
            and statement.heard_ms > oldest_ms
            and (age_ms >= timing.LEASE_MS or not statement.was_leased)
            for statement in statements
        )

    def _part_at(self, now_ms: float) -> float:
        if now_ms < self._raised_ms:
            return min(self._part, self._smaller_part)
        return self._part

    def _is_named_by_most(self, now_ms: float) -> bool:
        oldest_ms = now_ms - timing.EVIDENCE_MS
        statements = self._statements
        count = sum(
            name in statements and statements[name].heard_ms > oldest_ms
            for name in self._others
        )
        # This host names itself.
        return 2 * (count + 1) > len(self._view.members)
