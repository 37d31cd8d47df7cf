"""Failover between the holders of a program's budget."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from balsamloom_gateway import outage_policy, traffic


class Attempt(NamedTuple):
    """Attempt to reserve tokens at one holder."""

    holder: traffic.Member
    is_primary: bool
    policy: outage_policy.OutagePolicy


class HolderFailover:
    """Sequence of attempts, which depends on the failures of earlier ones.

    All holders are tried for recorded tokens before one may hand out
    unrecorded ones. Only the first holder that answers may do so: two that do
    not know of each other would exceed the budget.

    :param holders: the program's holders, the primary one first.
    :param max_pending_holders: limit of allocations that no turn uses.
    :param is_available: whether a holder may be called now.
    :param is_outage: whether no holder could record a short time ago;
        attempts for recorded tokens are then left out.
    """

    def __init__(
        self,
        holders: Sequence[traffic.Member],
        max_pending_holders: int,
        is_available: Callable[[traffic.Member], bool],
        is_outage: bool,
    ) -> None:
        self._holders = holders
        self._max_pending_holders = max_pending_holders
        self._is_available = is_available
        self._answering: list[traffic.Member] = []
        self._pending_count = 0
        self._is_stage_over = False
        self.allows_unrecorded = is_outage

    @property
    def has_answer(self) -> bool:
        """Return whether a holder has answered."""
        return bool(self._answering)

    def attempts(self) -> Iterator[Attempt]:
        """Yield attempts; record a failure before taking the next one."""
        if not self.allows_unrecorded:
            yield from self._stage(self._holders)
            self.allows_unrecorded = True
        yield from self._stage(self._answering[:1] or self._holders)

    def record_failure(
        self, holder: traffic.Member, has_answered: bool, is_pending: bool
    ) -> None:
        """Record that a holder did not reserve.

        :param has_answered: whether the holder gave an answer.
        :param is_pending: whether it may still record an allocation.
        """
        self._pending_count += is_pending
        if not has_answered:
            return
        self._answering.append(holder)
        # The retried turn can use an allocation of the primary holder.
        is_primary = holder is self._holders[0]
        self._is_stage_over = self.allows_unrecorded or (
            is_primary and is_pending
        )

    def _stage(self, holders: Sequence[traffic.Member]) -> Iterator[Attempt]:
        self._pending_count = 0
        self._is_stage_over = False
        for holder in holders:
            if self._is_stage_over:
                return
            if not self._is_available(holder):
                continue
            if self._pending_count >= self._max_pending_holders:
                continue
            is_primary = holder is self._holders[0]
            yield Attempt(holder, is_primary, self._outage_policy(is_primary))

    def _outage_policy(self, is_primary: bool) -> outage_policy.OutagePolicy:
        """Return the limit of unrecorded tokens for an attempt."""
        match is_primary, self.allows_unrecorded:
            case True, True:
                return outage_policy.OutagePolicy.OUTAGE
            case False, True:
                return outage_policy.OutagePolicy.LAST_RESORT
            case _:
                return outage_policy.OutagePolicy.NONE
