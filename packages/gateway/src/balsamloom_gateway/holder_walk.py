"""Order in which a turn asks the holders of its program's budget."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from balsamloom_gateway import budget_ledger, traffic


class Ask(NamedTuple):
    """Question to one holder."""

    holder: traffic.Member
    is_primary: bool
    policy: budget_ledger.UnrecordedPolicy


class HolderWalk:
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
        pending_most: int,
        may_ask: Callable[[traffic.Member], bool],
        is_outage: bool,
    ) -> None:
        self._holders = holders
        self._pending_most = pending_most
        self._may_ask = may_ask
        self._reached: list[traffic.Member] = []
        self._pending = 0
        self._is_waited_for = False
        self.allows_unrecorded = is_outage

    @property
    def has_reached(self) -> bool:
        """Return whether a holder has answered."""
        return bool(self._reached)

    def asks(self) -> Iterator[Ask]:
        """Return the questions; tell each answer before the next one."""
        if not self.allows_unrecorded:
            yield from self._stage(self._holders)
            self.allows_unrecorded = True
        yield from self._stage(self._reached[:1] or self._holders)

    def note_unrecorded(
        self, holder: traffic.Member, is_answered: bool, is_pending: bool
    ) -> None:
        """Take in that a holder could not reserve.

        :param is_answered: whether the holder gave an answer.
        :param is_pending: whether it may record a block all the same.
        """
        self._pending += is_pending
        if not is_answered:
            return
        self._reached.append(holder)
        # The first holder's block serves the turn that comes back.
        is_primary = holder is self._holders[0]
        self._is_waited_for = self.allows_unrecorded or (
            is_primary and is_pending
        )

    def _stage(self, holders: Sequence[traffic.Member]) -> Iterator[Ask]:
        self._pending = 0
        self._is_waited_for = False
        for holder in holders:
            if self._is_waited_for:
                return
            if not self._may_ask(holder):
                continue
            if self._pending >= self._pending_most:
                continue
            is_primary = holder is self._holders[0]
            yield Ask(holder, is_primary, self._policy(is_primary))

    def _policy(self, is_primary: bool) -> budget_ledger.UnrecordedPolicy:
        """Return what a holder may hand out before it is recorded."""
        match is_primary, self.allows_unrecorded:
            case True, True:
                return budget_ledger.UnrecordedPolicy.OUTAGE
            case False, True:
                return budget_ledger.UnrecordedPolicy.LAST_RESORT
            case _:
                return budget_ledger.UnrecordedPolicy.NONE
