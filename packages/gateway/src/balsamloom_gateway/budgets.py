"""Budget and server of a turn, from the member that holds the program."""

from __future__ import annotations

import math
import uuid
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    background,
    circuit_breaker,
    fleet,
    holder_walk,
    ledger,
    ledger_book,
    membership,
    peer_messages,
    peers,
    planner,
    traffic,
    withdrawals,
)

# A holder waits for the store and tells a standby before it answers; the sum
# of those times stays below this one.
PEER_TIMEOUT_MS = 200.0
WITHDRAW_TIMEOUT_MS = 1_000.0
# A holder that did not answer is not asked again for a while.
AVOID_PAUSES = circuit_breaker.Backoff(
    2_000.0, 2_000.0, trial_ms=PEER_TIMEOUT_MS
)
# Holders whose blocks may be recorded although no turn uses them. Where the
# store is slow for two of them, it is slow for all.
PENDING_HOLDERS = 2
# Time for which holders are not asked to record, once none could.
OUTAGE_MEMORY_MS = 400.0


class Grant(NamedTuple):
    """Tokens that a turn may generate, and the server that it should run at.

    ``holder`` is the member that holds the tokens, ``None`` for this one.
    """

    program_id: str
    tokens: int
    holder: traffic.Member | None
    recent_servers: tuple[str, ...]
    plan: planner.Plan | None


class Budgets:
    """Asks for budgets and gives back what was not used.

    :param name: name of this member.
    :param book: accounts that this member holds.
    :param plans: places turns of those accounts' programs.
    :param clients: other members.
    :param view: registered members and outages.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        book: ledger_book.LedgerBook,
        plans: planner.TurnPlanner,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._book = book
        self._planner = plans
        self._clients = clients
        self._fleet = view
        self._clock = clock
        self._withdrawals = withdrawals.Withdrawals(clock)
        self._avoidance = circuit_breaker.CircuitBreaker(AVOID_PAUSES, clock)
        self._outage_until_ms = -math.inf

    def reserve(
        self, call: traffic.CallMetadata, turn: planner.TurnRequest
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        """Reserve the most that a turn may generate, and plan its server.

        A process that reaches no holder records blocks itself.
        """
        holders = membership.budget_holders(
            call.program_id, self._fleet.members()
        )
        walk = holder_walk.HolderWalk(
            holders,
            _pending_holders(call),
            lambda holder: self._avoidance.allow_call(holder.name),
            self._clock.now_ms() < self._outage_until_ms,
        )
        unrecorded: ledger_book.Unrecorded | None = None
        for ask in walk.asks():
            reservation = _reservation(call, turn, ask.exposure, ask.is_first)
            result = self._reserve_at(ask.holder, call, reservation)
            match result:
                case ledger_book.Unrecorded():
                    unrecorded = result
                    is_answered = not self._avoidance.is_open(ask.holder.name)
                    walk.note_unrecorded(
                        ask.holder, is_answered, result.is_pending
                    )
                case ledger.Exhausted() if not ask.is_first:
                    # Holders that know less must not be asked.
                    return self._log(call, ask.holder, _unproved(result))
                case _:
                    self._note_stage(walk.is_last_resort)
                    return self._log(call, ask.holder, result)
        if unrecorded is not None and walk.has_reached:
            return self._log(call, None, unrecorded)
        return self._log(call, None, self._reserve_alone(call, turn))

    def _reserve_alone(
        self, call: traffic.CallMetadata, turn: planner.TurnRequest
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        exposure = ledger_book.Exposure.NONE
        reservation = _reservation(call, turn, exposure, is_first=False)
        return _grant(call, None, self.reserve_here(reservation))

    def _note_stage(self, is_last_resort: bool) -> None:
        """Remember for a while that holders could only expose tokens."""
        if is_last_resort and self._clock.now_ms() >= self._outage_until_ms:
            self._outage_until_ms = self._clock.now_ms() + OUTAGE_MEMORY_MS

    def settle(
        self, grant: Grant, used_tokens: int, report: planner.TurnReport
    ) -> None:
        """Give back what a turn did not hand to its caller.

        If the holder does not answer, the tokens count as spent.

        :param report: how the turn ended at its server.
        """
        settlement = peer_messages.Settlement(
            grant.program_id,
            grant.tokens,
            used_tokens,
            grant.plan.plan_id if grant.plan else None,
            report,
        )
        if grant.holder is None:
            self.settle_here(settlement)
            return
        address = grant.holder.peer_address
        body = peer_messages.encode_settlement(settlement)
        try:
            self._clients.call(
                address, peers.SETTLE_PATH, body, PEER_TIMEOUT_MS
            )
        except peers.PeerUnavailableError as error:
            self._avoid(grant.holder, error)

    def settle_here(self, settlement: peer_messages.Settlement) -> None:
        """Take in the end of a turn whose tokens this member holds."""
        self._book.settle(
            settlement.program_id,
            settlement.reserved_tokens,
            settlement.used_tokens,
            settlement.report.server_id,
        )
        if settlement.plan_id is not None:
            self._planner.finish(settlement.plan_id, settlement.report)
        if settlement.report.is_server_leaving:
            self._fleet.note_leaving(settlement.report.server_id)

    def reserve_here(
        self, reservation: peer_messages.Reservation
    ) -> peer_messages.ReservationAnswer:
        """Reserve tokens at this member, and plan the turn."""
        result, servers = self._book.reserve(
            reservation.program_id,
            reservation.turn_tokens,
            reservation.budget_tokens,
            reservation.exposure,
            reservation.is_guest,
        )
        if not isinstance(result, ledger.Reserved):
            return peer_messages.ReservationAnswer(result, servers, None)
        plan = self._planner.plan(reservation.turn, servers)
        if reservation.reservation_id:
            unused = peer_messages.Settlement(
                reservation.program_id,
                reservation.turn_tokens,
                0,
                plan.plan_id if plan else None,
                planner.NOT_RUN,
            )
            identifier = reservation.reservation_id
            if not self._withdrawals.note_made(identifier, unused):
                self.settle_here(unused)
                withdrawn = ledger_book.Unrecorded("withdrawn")
                return peer_messages.ReservationAnswer(withdrawn, (), None)
        return peer_messages.ReservationAnswer(result, servers, plan)

    def withdraw_here(self, reservation_id: str) -> None:
        """Give back a reservation whose caller did not wait for it."""
        unused = self._withdrawals.withdraw(reservation_id)
        if unused is not None:
            self.settle_here(unused)

    def _avoid(
        self, member: traffic.Member, error: peers.PeerUnavailableError
    ) -> None:
        self._avoidance.record_failure(member.name)
        events.log(
            events.Event.PEER_CALL_FAILED,
            member=member.name,
            call="budget",
            reason=str(error),
        )

    def _reserve_at(
        self,
        holder: traffic.Member,
        call: traffic.CallMetadata,
        reservation: peer_messages.Reservation,
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        if holder.name == self._name:
            return _grant(call, None, self.reserve_here(reservation))
        try:
            answer = self._clients.call(
                holder.peer_address,
                peers.RESERVE_PATH,
                peer_messages.encode_reservation(reservation),
                PEER_TIMEOUT_MS,
            )
            self._avoidance.record_success(holder.name)
            decoded = peer_messages.decode_answer(answer)
        except peers.PeerNotReachedError as error:
            self._avoid(holder, error)
            return ledger_book.Unrecorded(str(error))
        except peers.PeerUnavailableError as error:
            self._avoid(holder, error)
            background.start(
                lambda: self._withdraw(holder, reservation.reservation_id),
                self._clock,
            )
            return ledger_book.Unrecorded(str(error), is_pending=True)
        except peer_messages.InvalidMessageError as error:
            return ledger_book.Unrecorded(str(error), is_pending=True)
        return _grant(call, holder, decoded)

    def _withdraw(self, holder: traffic.Member, reservation_id: str) -> None:
        """Tell a holder that nobody waits for a reservation any more.

        If it does not hear of it, the tokens count as spent.
        """
        body = {"reservation_id": reservation_id}
        try:
            self._clients.call(
                holder.peer_address,
                peers.WITHDRAW_PATH,
                body,
                WITHDRAW_TIMEOUT_MS,
            )
        except peers.PeerUnavailableError as error:
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=holder.name,
                call="withdraw",
                reason=str(error),
            )

    def _log(
        self,
        call: traffic.CallMetadata,
        holder: traffic.Member | None,
        result: Grant | ledger.Exhausted | ledger_book.Unrecorded,
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        plan = result.plan if isinstance(result, Grant) else None
        events.log(
            events.Event.BUDGET_DECIDED,
            request_id=call.request_id,
            program_id=call.program_id,
            budget_tokens=call.token_budget,
            turn_tokens=call.max_output_tokens,
            holder=holder.name if holder else self._name,
            outcome=_describe(result),
            planned_server=plan.server_id if plan else None,
            planned_ms=plan.estimate_ms if plan else None,
        )
        return result


def _pending_holders(call: traffic.CallMetadata) -> int:
    """Return how many holders may record a block that no turn uses.

    Their blocks must leave the budget, which they can exceed by one turn,
    room for the turn itself.
    """
    assert call.token_budget is not None
    turns = call.token_budget // max(call.max_output_tokens, 1)
    return min(max(turns, 1), PENDING_HOLDERS)


def _reservation(
    call: traffic.CallMetadata,
    turn: planner.TurnRequest,
    exposure: ledger_book.Exposure,
    is_first: bool,
) -> peer_messages.Reservation:
    """Return the message to a holder.

    :param is_first: whether the holder is the first one of the program.
    """
    assert call.token_budget is not None
    return peer_messages.Reservation(
        call.program_id,
        call.max_output_tokens,
        call.token_budget,
        exposure,
        turn,
        is_guest=not is_first,
        reservation_id=uuid.uuid4().hex,
    )


def _grant(
    call: traffic.CallMetadata,
    holder: traffic.Member | None,
    answer: peer_messages.ReservationAnswer,
) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
    match answer.result:
        case ledger.Reserved():
            return Grant(
                call.program_id,
                call.max_output_tokens,
                holder,
                answer.recent_servers,
                answer.plan,
            )
        case refused:
            return refused


def _unproved(result: ledger.Exhausted) -> ledger_book.Unrecorded:
    """Return what a standby's word that a budget is spent is worth.

    The first holder may have tokens left of the blocks that it recorded, so
    that only its word, or that of the next one when it is gone, is a proof.
    """
    reason = f"a standby knows of {result.recorded_tokens} recorded tokens"
    return ledger_book.Unrecorded(reason)


def _describe(
    result: Grant | ledger.Exhausted | ledger_book.Unrecorded,
) -> str:
    match result:
        case Grant():
            return "reserved"
        case ledger.Exhausted(recorded, left):
            return f"exhausted, {recorded} recorded and {left} of them left"
        case ledger_book.Unrecorded(reason):
            return f"not recorded: {reason}"
