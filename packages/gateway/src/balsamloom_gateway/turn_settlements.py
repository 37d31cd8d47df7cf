"""Settlements and withdrawals of turns that other holders granted."""

from __future__ import annotations

import threading

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    background,
    budget_ledger,
    fleet,
    holder_calls,
    membership,
    peer_messages,
    peers,
    pending_settlements,
    recent_settlements,
    traffic,
)

WITHDRAW_TIMEOUT_MS = 1_000.0


class TurnSettlements:
    """Tells holders, or their successors, how the turns of this member end.

    :param name: name of this member.
    :param local_ledger: budget accounts of this member.
    :param calls: calls to other holders.
    :param view: registered members.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        local_ledger: budget_ledger.BudgetLedger,
        calls: holder_calls.HolderCalls,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._local_ledger = local_ledger
        self._calls = calls
        self._fleet = view
        self._clock = clock
        self.pending = pending_settlements.PendingSettlements(
            self._settle_missed, clock
        )
        self._recent = recent_settlements.RecentSettlements(clock)
        self._lock = threading.Lock()
        # Ends that are told their holders for the first time, by reservation.
        self._first_calls: dict[str, peer_messages.TurnEnd] = {}

    def settle(
        self,
        holder: traffic.Member,
        budget_tokens: int,
        settlement: peer_messages.TurnEnd,
    ) -> None:
        """Settle a turn at its holder, now or once the holder answers."""
        with self._lock:
            self._first_calls[settlement.reservation_id] = settlement
        try:
            if self._settle_at(holder, settlement):
                self._recent.add(holder, budget_tokens, settlement)
            else:
                self.pending.add(holder, budget_tokens, settlement)
        finally:
            with self._lock:
                del self._first_calls[settlement.reservation_id]

    def unsettled(self, program_id: str) -> list[peer_messages.TurnEnd]:
        """Return the ends of a program's turns that no holder confirmed."""
        with self._lock:
            first_calls = list(self._first_calls.values())
        ends = [one for one in first_calls if one.program_id == program_id]
        return ends + self.pending.find(program_id)

    def start_withdrawal(
        self,
        holder: traffic.Member,
        budget_tokens: int,
        withdrawal: peer_messages.Withdrawal,
    ) -> None:
        """Cancel a reservation whose answer came too late, in a thread."""
        background.start(
            lambda: self.settle(holder, budget_tokens, withdrawal), self._clock
        )

    def handle_member_loss(self, name: str) -> None:
        """Tell the successors of a lost member what it was told last."""
        for turn in self._recent.take(name):
            self.pending.add(turn.holder, turn.budget_tokens, turn.settlement)

    def _settle_at(
        self, holder: traffic.Member, settlement: peer_messages.TurnEnd
    ) -> bool:
        """Settle a turn at its holder; return whether it answered."""
        match settlement:
            case peer_messages.Withdrawal():
                body = peer_messages.encode_withdrawal(settlement)
                return self._calls.withdraw(holder, body, WITHDRAW_TIMEOUT_MS)
            case peer_messages.Settlement():
                body = peer_messages.encode_settlement(settlement)
                return self._is_answered(holder, peers.SETTLE_PATH, body)

    def _settle_missed(
        self, turn: pending_settlements.UnsettledTurn
    ) -> pending_settlements.Outcome:
        """Settle a turn that its holder has not heard of.

        The successor of a holder that is not registered counts the turn. The
        holder may live all the same: only its lease may have lapsed.
        """
        members = self._fleet.members()
        if turn.holder in members:
            if self._settle_at(turn.holder, turn.settlement):
                # The holder may be lost before it has recorded the end.
                self._recent.add(
                    turn.holder, turn.budget_tokens, turn.settlement
                )
                return pending_settlements.Outcome.SETTLED
            return pending_settlements.Outcome.UNANSWERED
        if not turn.is_successor_told:
            turn.is_successor_told = self._settle_at_successor(turn)
        if not turn.is_successor_told:
            return pending_settlements.Outcome.UNANSWERED
        if any(member.name == turn.holder.name for member in members):
            # Another run of the holder's host: the holder itself has ended.
            return pending_settlements.Outcome.SETTLED
        return pending_settlements.Outcome.AWAITED

    def _settle_at_successor(
        self, turn: pending_settlements.UnsettledTurn
    ) -> bool:
        """Settle a turn of a lost holder; return whether that succeeded."""
        settlement = turn.settlement
        holders = membership.budget_holders(
            settlement.program_id, self._fleet.members()
        )
        if not holders:
            return False
        if holders[0].name == self._name:
            self._local_ledger.settle_lost(
                settlement.program_id,
                turn.budget_tokens,
                settlement.used_tokens,
                settlement.reservation_id,
            )
            return True
        body = {
            "program_id": settlement.program_id,
            "budget_tokens": turn.budget_tokens,
            "used_tokens": settlement.used_tokens,
            "reservation_id": settlement.reservation_id,
        }
        return self._is_answered(holders[0], peers.SETTLE_LOST_PATH, body)

    def _is_answered(
        self, holder: traffic.Member, path: str, body: dict[str, object]
    ) -> bool:
        try:
            self._calls.call(holder, path, body)
        except peers.PeerUnavailableError:
            return False
        return True
