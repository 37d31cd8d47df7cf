"""Order in which a turn asks the holders of its program's budget."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from balsamloom_gateway import budget_ledger, traffic


class Attempt(NamedTuple):
    """Question to one holder."""

    holder: traffic.Member
    is_primary: bool
    policy: budget_ledger.UnrecordedPolicy


class HolderFailover:
    """Whom to ask next, from what the holders before have answered.

    Holders are asked for recorded tokens before one may expose more than a
    turn. Only the first holder that answers may expose: two that do not know
    of each other would exceed the budget.

    :param holders: the program's holders, the first one first.
    :param pending_most: holders that may record a block in vain.
    :param may_ask: whether a holder may be asked at this moment.
    :param is_outage: whether no holder could record a short time ago; they
        are not asked for recorded tokens in vain then.
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
        self._pending = 0
        self._is_stage_over = False
        self.allows_unrecorded = is_outage

    @property
    def has_answer(self) -> bool:
        """Return whether a holder has answered."""
        return bool(self._answering)

    def attempts(self) -> Iterator[Attempt]:
        """Return the questions; tell each answer before the next one."""
        if not self.allows_unrecorded:
            yield from self._stage(self._holders)
            self.allows_unrecorded = True
        yield from self._stage(self._answering[:1] or self._holders)

    def record_failure(
        self, holder: traffic.Member, has_answered: bool, is_pending: bool
    ) -> None:
        """Take in that a holder could not reserve.

        :param is_answered: whether the holder gave an answer.
        :param is_pending: whether it may record a block all the same.
        """
        self._pending += is_pending
        if not has_answered:
            return
        self._answering.append(holder)
        # The first holder's block serves the turn that comes back.
        is_primary = holder is self._holders[0]
        self._is_stage_over = self.allows_unrecorded or (
            is_primary and is_pending
        )

    def _stage(self, holders: Sequence[traffic.Member]) -> Iterator[Attempt]:
        self._pending = 0
        self._is_stage_over = False
        for holder in holders:
            if self._is_stage_over:
                return
            if not self._is_available(holder):
                continue
            if self._pending >= self._max_pending_holders:
                continue
            is_primary = holder is self._holders[0]
            yield Attempt(holder, is_primary, self._policy(is_primary))

    def _policy(self, is_primary: bool) -> budget_ledger.UnrecordedPolicy:
        """Return what a holder may hand out before it is recorded."""
        match is_primary, self.allows_unrecorded:
            case True, True:
                return budget_ledger.UnrecordedPolicy.OUTAGE
            case False, True:
                return budget_ledger.UnrecordedPolicy.LAST_RESORT
            case _:
                return budget_ledger.UnrecordedPolicy.NONE
