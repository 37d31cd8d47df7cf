"""Budget checks of turns, at the member that holds the program's blocks."""

from __future__ import annotations

import math
import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    fleet,
    ledger,
    ledger_book,
    membership,
    peers,
    standbys,
    traffic,
)

# A holder waits for the store and tells a standby before it answers; the sum
# of those times stays below this one.
PEER_TIMEOUT_MS = 200.0
# Holders that are asked to record before one may expose tokens.
RECORDING_HOLDERS = 2
# Time for which holders are not asked to record, once none could.
OUTAGE_MEMORY_MS = 400.0


class Grant(NamedTuple):
    """Tokens that a turn may generate, and the member that holds them."""

    program_id: str
    tokens: int
    holder: traffic.Member | None
    recent_servers: tuple[str, ...]


class Budgets:
    """Asks for budgets and gives back what was not used.

    :param name: name of this member.
    :param book: accounts that this member holds.
    :param clients: other members.
    :param view: registered members and outages.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        book: ledger_book.LedgerBook,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._book = book
        self._clients = clients
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        self._avoided: dict[str, float] = {}
        self._outage_until_ms = -math.inf

    def reserve(
        self, call: traffic.CallMetadata
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        """Reserve the most that a turn may generate.

        Holders are asked for recorded tokens before one may expose more than
        a turn. Only the first holder that answers may expose: two that do
        not know of each other would exceed the budget. A process that
        reaches no holder records blocks itself.
        """
        members = self._fleet.members()
        holders = membership.budget_holders(call.program_id, members)
        reached: list[traffic.Member] = []
        result: Grant | ledger.Exhausted | ledger_book.Unrecorded
        for is_last_resort in self._stages():
            asked = reached[:1] or holders
            if not is_last_resort:
                asked = holders[:RECORDING_HOLDERS]
            for holder in asked:
                if self._is_avoided(holder):
                    continue
                exposure = _exposure(holder is holders[0], is_last_resort)
                result = self._reserve_at(holder, call, exposure)
                if not isinstance(result, ledger_book.Unrecorded):
                    self._note_stage(is_last_resort)
                    return self._log(call, holder, result)
                if not self._is_avoided(holder):
                    reached.append(holder)
                    if is_last_resort:
                        return self._log(call, holder, result)
        if not reached:
            result = self._reserve_here(call, ledger_book.Exposure.NONE)
        return self._log(call, None, result)

    def _stages(self) -> tuple[bool, ...]:
        """Return the stages of asking, recorded tokens before exposed ones.

        Shortly after a turn that found no holder to record, holders are not
        asked to record in vain.
        """
        if self._clock.now_ms() < self._outage_until_ms:
            return (True,)
        return (False, True)

    def _note_stage(self, is_last_resort: bool) -> None:
        if is_last_resort and self._clock.now_ms() >= self._outage_until_ms:
            self._outage_until_ms = self._clock.now_ms() + OUTAGE_MEMORY_MS

    def settle(self, grant: Grant, used_tokens: int, server_id: str) -> None:
        """Give back what a turn did not hand to its caller.

        If the holder does not answer, the tokens count as spent.

        :param server_id: server that ran the turn, empty if none did.
        """
        if grant.holder is None:
            self._book.settle(
                grant.program_id, grant.tokens, used_tokens, server_id
            )
            return
        body = {
            "program_id": grant.program_id,
            "reserved_tokens": grant.tokens,
            "used_tokens": used_tokens,
            "server_id": server_id,
        }
        address = grant.holder.peer_address
        try:
            self._clients.call(
                address, peers.SETTLE_PATH, body, PEER_TIMEOUT_MS
            )
        except peers.PeerUnavailableError as error:
            self._avoid(grant.holder, error)

    def _is_avoided(self, member: traffic.Member) -> bool:
        with self._lock:
            until_ms = self._avoided.get(member.name, 0.0)
        return self._clock.now_ms() < until_ms

    def _avoid(
        self, member: traffic.Member, error: peers.PeerUnavailableError
    ) -> None:
        with self._lock:
            self._avoided[member.name] = (
                self._clock.now_ms() + standbys.AVOID_MS
            )
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
        exposure: ledger_book.Exposure,
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        if holder.name == self._name:
            return self._reserve_here(call, exposure)
        body = {
            "program_id": call.program_id,
            "tokens": call.max_output_tokens,
            "budget_tokens": call.token_budget,
            "exposure": exposure.value,
        }
        try:
            answer = self._clients.call(
                holder.peer_address, peers.RESERVE_PATH, body, PEER_TIMEOUT_MS
            )
        except peers.PeerUnavailableError as error:
            self._avoid(holder, error)
            return ledger_book.Unrecorded(str(error))
        servers = tuple(answer.get("servers", ()))
        match answer.get("result"):
            case "reserved":
                tokens = call.max_output_tokens
                return Grant(call.program_id, tokens, holder, servers)
            case "exhausted":
                return ledger.Exhausted(
                    int(answer["recorded_tokens"]), int(answer["left_tokens"])
                )
            case _:
                return ledger_book.Unrecorded(str(answer.get("reason")))

    def _reserve_here(
        self, call: traffic.CallMetadata, exposure: ledger_book.Exposure
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        assert call.token_budget is not None
        result, servers = self._book.reserve(
            call.program_id,
            call.max_output_tokens,
            call.token_budget,
            exposure,
        )
        match result:
            case ledger.Reserved():
                return Grant(
                    call.program_id, call.max_output_tokens, None, servers
                )
            case _:
                return result

    def _log(
        self,
        call: traffic.CallMetadata,
        holder: traffic.Member | None,
        result: Grant | ledger.Exhausted | ledger_book.Unrecorded,
    ) -> Grant | ledger.Exhausted | ledger_book.Unrecorded:
        events.log(
            events.Event.BUDGET_DECIDED,
            request_id=call.request_id,
            program_id=call.program_id,
            budget_tokens=call.token_budget,
            turn_tokens=call.max_output_tokens,
            holder=holder.name if holder else self._name,
            outcome=_describe(result),
        )
        return result


def _exposure(is_first: bool, is_last_resort: bool) -> ledger_book.Exposure:
    """Return what a holder may hand out before it is recorded.

    :param is_first: whether it is the first of the program's holders.
    """
    match is_first, is_last_resort:
        case True, True:
            return ledger_book.Exposure.OUTAGE
        case False, True:
            return ledger_book.Exposure.LAST_RESORT
        case _:
            return ledger_book.Exposure.NONE


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
