"""Reservation of a turn's tokens and server at a holder of its program."""

from __future__ import annotations

import math
import uuid
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    budget_ledger,
    fleet,
    granted_turns,
    holder_calls,
    holder_failover,
    ledger,
    membership,
    outage_policy,
    peer_messages,
    peers,
    planner,
    traffic,
    turn_settlements,
    withdrawals,
)
from balsamloom_policy import restart_waits

# Holders that may record an allocation which no turn uses. A store that is
# slow for two of them is slow for all.
MAX_PENDING_HOLDERS = 2
# Members of a new deployment register in this time, before callers come.
START_PERIOD_MS = 5_000.0
# Pause of requests for recorded tokens after no holder could record.
OUTAGE_PAUSE_MS = 400.0


class Grant(NamedTuple):
    """Tokens that a turn may generate and its planned server.

    ``holder`` is the member that reserved the tokens, ``None`` for this one.
    """

    program_id: str
    tokens: int
    holder: traffic.Member | None
    recent_servers: tuple[str, ...]
    plan: planner.Plan | None
    reservation_id: str
    budget_tokens: int


class Budgets:
    """Reservations and settlements of turns, here and at other holders.

    :param name: name of this member.
    :param local_ledger: budget accounts of this member.
    :param plans: planner for the programs of those accounts.
    :param clients: other members.
    :param view: registered members and outages.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        local_ledger: budget_ledger.BudgetLedger,
        plans: planner.TurnPlanner,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._local_ledger = local_ledger
        self._planner = plans
        self._fleet = view
        self._clock = clock
        self._calls = holder_calls.HolderCalls(clients, clock)
        self._settlements = turn_settlements.TurnSettlements(
            name, local_ledger, self._calls, view, clock
        )
        self.pending_settlements = self._settlements.pending
        self._withdrawals = withdrawals.ReservationWithdrawals(clock)
        self._granted_turns = granted_turns.GrantedTurns(clients, view, clock)
        self._waits = restart_waits.RestartWaits(clock)
        self._outage_until_ms = -math.inf
        self._started_ms = clock.now_ms()
        self._primaries: frozenset[str] = frozenset()

    def reserve(
        self, call: traffic.CallMetadata, turn: planner.TurnRequest
    ) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
        """Reserve the maximum that a turn may generate and plan its server.

        A turn waits while hosts that know of its program are starting.
        """
        started_ms = self._clock.now_ms()
        waited_ms = 0.0
        while True:
            left_ms = turn.left_ms - waited_ms
            result = self._reserve(call, turn._replace(left_ms=left_ms))
            if not isinstance(result, budget_ledger.RecordingFailure):
                return result
            waited_ms = self._clock.now_ms() - started_ms
            if not self._waits.wait(
                result.retry_in_ms, waited_ms, turn.left_ms - waited_ms
            ):
                return result
            waited_ms = self._clock.now_ms() - started_ms

    def _reserve(
        self, call: traffic.CallMetadata, turn: planner.TurnRequest
    ) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
        """Try the holders in turn.

        A process that reaches no holder records an allocation itself.
        """
        holders = membership.budget_holders(
            call.program_id, self._fleet.members()
        )
        failover = holder_failover.HolderFailover(
            holders,
            _max_pending_holders(call),
            lambda holder: self._calls.breaker.allow_call(holder.name),
            self._clock.now_ms() < self._outage_until_ms,
        )
        failure: budget_ledger.RecordingFailure | None = None
        for attempt in failover.attempts():
            request = _request(call, turn, attempt.policy, attempt.is_primary)
            result = self._reserve_at(attempt.holder, call, request)
            match result:
                case budget_ledger.RecordingFailure(is_decided=True):
                    return self._log_result(call, attempt.holder, result)
                case budget_ledger.RecordingFailure():
                    failure = result
                    has_answered = not self._calls.breaker.is_open(
                        attempt.holder.name
                    )
                    failover.record_failure(
                        attempt.holder, has_answered, result.is_pending
                    )
                case ledger.Exhaustion() if not attempt.is_primary:
                    # A later holder may know less usage and overspend.
                    return self._log_result(
                        call, attempt.holder, _unconfirmed_exhaustion(result)
                    )
                case _:
                    self._record_outage(failover.allows_unrecorded)
                    return self._log_result(call, attempt.holder, result)
        if failure is not None and failover.has_answer:
            return self._log_result(call, None, failure)
        result = self._reserve_without_holder(call, turn, bool(holders))
        return self._log_result(call, None, result)

    def _reserve_without_holder(
        self,
        call: traffic.CallMetadata,
        turn: planner.TurnRequest,
        has_holders: bool,
    ) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
        policy = outage_policy.OutagePolicy.NONE
        request = _request(call, turn, policy, is_primary=False)
        result = _grant(call, request, None, self.reserve_local(request))
        if isinstance(result, ledger.Exhaustion) and has_holders:
            return _unconfirmed_exhaustion(result)
        return result

    def _record_outage(self, allows_unrecorded: bool) -> None:
        """Start the pause if only unrecorded tokens could be reserved."""
        if allows_unrecorded and self._clock.now_ms() >= self._outage_until_ms:
            self._outage_until_ms = self._clock.now_ms() + OUTAGE_PAUSE_MS

    def settle(
        self, grant: Grant, used_tokens: int, report: planner.TurnReport
    ) -> None:
        """Return the tokens that a turn did not deliver to its caller.

        :param report: how the turn ended at its server.
        """
        settlement = peer_messages.Settlement(
            grant.program_id,
            grant.tokens,
            used_tokens,
            grant.plan.plan_id if grant.plan else None,
            report,
            grant.reservation_id,
        )
        if grant.holder is None:
            self.settle_local(settlement)
        else:
            self._settlements.settle(
                grant.holder, grant.budget_tokens, settlement
            )

    def settle_local(self, settlement: peer_messages.Settlement) -> None:
        """Settle a turn whose tokens were reserved at this member."""
        self._granted_turns.remove(
            settlement.program_id, settlement.reservation_id
        )
        is_known = self._local_ledger.settle(
            settlement.program_id,
            settlement.reserved_tokens,
            settlement.used_tokens,
            settlement.report.server_id,
            settlement.reservation_id,
        )
        if is_known and settlement.plan_id is not None:
            self._planner.finish(settlement.plan_id, settlement.report)
        if settlement.report.is_server_leaving:
            self._fleet.mark_server_leaving(settlement.report.server_id)

    def reserve_local(
        self, request: peer_messages.ReservationRequest
    ) -> peer_messages.ReservationReply:
        """Reserve tokens at this member and plan the turn's server."""
        result, servers = self._reserve_tokens(request)
        if isinstance(result, ledger.Exhaustion):
            ended = self._granted_turns.find_ended(request.program_id)
            for settlement in ended:
                self.settle_local(settlement)
            if ended:
                result, servers = self._reserve_tokens(request)
        if not isinstance(result, ledger.Reservation):
            return peer_messages.ReservationReply(result, servers, None)
        if request.caller:
            self._granted_turns.add(
                request.program_id, request.reservation_id, request.caller
            )
        plan = self._planner.plan(request.turn, servers)
        if request.reservation_id:
            unused = peer_messages.Settlement(
                request.program_id,
                request.turn_tokens,
                0,
                plan.plan_id if plan else None,
                planner.NOT_RUN,
                request.reservation_id,
            )
            identifier = request.reservation_id
            if not self._withdrawals.record_reservation(identifier, unused):
                self._cancel(unused)
                withdrawn = budget_ledger.RecordingFailure("withdrawn")
                return peer_messages.ReservationReply(withdrawn, (), None)
        return peer_messages.ReservationReply(result, servers, plan)

    def _reserve_tokens(
        self, request: peer_messages.ReservationRequest
    ) -> tuple[budget_ledger.ReservationResult, tuple[str, ...]]:
        return self._local_ledger.reserve(
            request.program_id,
            request.turn_tokens,
            request.budget_tokens,
            request.policy,
            request.is_standby,
            request.reservation_id,
        )

    def unsettled_turns(
        self, program_id: str
    ) -> list[peer_messages.Settlement]:
        """Return the ends of turns here that no holder has confirmed."""
        return [
            peer_messages.as_settlement(end)
            for end in self._settlements.unsettled(program_id)
        ]

    def withdraw_local(self, withdrawal: peer_messages.Withdrawal) -> None:
        """Cancel a reservation whose caller timed out."""
        unused = self._withdrawals.withdraw(withdrawal.reservation_id)
        if unused is None:
            unused = withdrawal.settlement()
        self._cancel(unused)

    def _cancel(self, unused: peer_messages.Settlement) -> None:
        """Settle a turn that did not run, which may be settled already."""
        self.settle_local(unused)
        if unused.plan_id is not None:
            self._planner.finish(unused.plan_id, unused.report)

    def handle_member_loss(self, name: str) -> None:
        """Prepare to take over the budgets of a lost member.

        What it was told last is told its successors.
        """
        self._settlements.handle_member_loss(name)
        self._local_ledger.handle_lost_holder(name)
        members = self._fleet.members()
        self._primaries = membership.primaries(members)
        if self._may_inherit(name, members):
            self._local_ledger.start_caution_period(f"member {name} was lost")

    def _may_inherit(
        self, lost: str, members: Sequence[traffic.Member]
    ) -> bool:
        """Return whether a loss may move programs to this member."""
        runs = [one for one in self._fleet.lost_runs() if one.name == lost]
        return not runs or any(
            membership.may_inherit(self._name, run, members) for run in runs
        )

    def handle_member_arrival(self) -> None:
        """Prepare for programs that move here from another live member.

        An arrival may shift the ranks of members or add a primary holder.
        """
        self._local_ledger.handle_new_members()
        known = self._primaries
        self._primaries = membership.primaries(self._fleet.members())
        is_inheriting = self._name not in known or known - self._primaries
        is_starting = self._clock.now_ms() < self._started_ms + START_PERIOD_MS
        if self._name in self._primaries and is_inheriting and not is_starting:
            self._local_ledger.start_caution_period(
                "other members are budget holders now"
            )

    def _reserve_at(
        self,
        holder: traffic.Member,
        call: traffic.CallMetadata,
        request: peer_messages.ReservationRequest,
    ) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
        if holder.name == self._name:
            return _grant(call, request, None, self.reserve_local(request))
        try:
            reply = self._calls.call(
                holder,
                peers.RESERVE_PATH,
                peer_messages.encode_reservation(
                    request._replace(caller=self._name)
                ),
            )
            decoded = peer_messages.decode_reply(reply)
        except peers.PeerUnreachableError as error:
            return budget_ledger.RecordingFailure(str(error))
        except holder_calls.HolderBusyError as error:
            self._start_withdrawal(holder, request)
            return budget_ledger.RecordingFailure(str(error), is_decided=True)
        except peers.PeerUnavailableError as error:
            self._start_withdrawal(holder, request)
            return budget_ledger.RecordingFailure(str(error), is_pending=True)
        except peer_messages.InvalidMessageError as error:
            return budget_ledger.RecordingFailure(str(error), is_pending=True)
        return _grant(call, request, holder, decoded)

    def _start_withdrawal(
        self,
        holder: traffic.Member,
        request: peer_messages.ReservationRequest,
    ) -> None:
        """Cancel a reservation whose answer came too late."""
        withdrawal = peer_messages.Withdrawal(
            request.program_id, request.reservation_id
        )
        self._settlements.start_withdrawal(
            holder, request.budget_tokens, withdrawal
        )

    def _log_result(
        self,
        call: traffic.CallMetadata,
        holder: traffic.Member | None,
        result: Grant | ledger.Exhaustion | budget_ledger.RecordingFailure,
    ) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
        plan = result.plan if isinstance(result, Grant) else None
        events.log(
            events.Event.BUDGET_DECIDED,
            request_id=call.request_id,
            program_id=call.program_id,
            budget_tokens=call.token_budget,
            turn_tokens=call.max_output_tokens,
            holder=holder.name if holder else self._name,
            outcome=_outcome(result),
            planned_server=plan.server_id if plan else None,
            planned_ms=plan.estimate_ms if plan else None,
        )
        return result


def _max_pending_holders(call: traffic.CallMetadata) -> int:
    """Return how many holders may record an allocation that no turn uses.

    Together they may exceed the budget by one turn, and they must leave
    enough of it for the turn itself.
    """
    assert call.token_budget is not None
    turns = call.token_budget // max(call.max_output_tokens, 1)
    return min(max(turns, 1), MAX_PENDING_HOLDERS)


def _request(
    call: traffic.CallMetadata,
    turn: planner.TurnRequest,
    policy: outage_policy.OutagePolicy,
    is_primary: bool,
) -> peer_messages.ReservationRequest:
    """Return the request to a holder.

    :param is_primary: whether it is the program's primary holder.
    """
    assert call.token_budget is not None
    return peer_messages.ReservationRequest(
        call.program_id,
        call.max_output_tokens,
        call.token_budget,
        policy,
        turn,
        is_standby=not is_primary,
        reservation_id=uuid.uuid4().hex,
    )


def _grant(
    call: traffic.CallMetadata,
    request: peer_messages.ReservationRequest,
    holder: traffic.Member | None,
    reply: peer_messages.ReservationReply,
) -> Grant | ledger.Exhaustion | budget_ledger.RecordingFailure:
    match reply.result:
        case ledger.Reservation():
            return Grant(
                call.program_id,
                call.max_output_tokens,
                holder,
                reply.recent_servers,
                reply.plan,
                request.reservation_id,
                request.budget_tokens,
            )
        case refusal:
            return refusal


def _unconfirmed_exhaustion(
    result: ledger.Exhaustion,
) -> budget_ledger.RecordingFailure:
    """Return the failure for a budget that is exhausted at a standby.

    The primary holder may have unused tokens of its allocations. Only its
    refusal, or that of its successor once it is lost, proves exhaustion.
    """
    reason = (
        "exhausted at a standby, with"
        f" {result.recorded_tokens} recorded tokens"
    )
    return budget_ledger.RecordingFailure(reason)


def _outcome(
    result: Grant | ledger.Exhaustion | budget_ledger.RecordingFailure,
) -> str:
    match result:
        case Grant():
            return "reserved"
        case ledger.Exhaustion(recorded, left):
            return f"exhausted, {recorded} recorded and {left} of them left"
        case budget_ledger.RecordingFailure(reason):
            return f"not recorded: {reason}"
