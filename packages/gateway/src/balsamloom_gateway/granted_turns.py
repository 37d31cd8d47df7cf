"""Turns that a holder granted to callers at other members."""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import fleet, peer_messages, peers, traffic

# Together shorter than the caller of a refused turn waits.
ASK_TIMEOUT_MS = 80.0
ASK_ALL_TIMEOUT_MS = 160.0
# Turns that nobody settled are forgotten.
RETENTION_MS = 600_000.0
SWEEP_INTERVAL_MS = 10_000.0


class _GrantedTurn(NamedTuple):
    caller: str
    granted_ms: float


class GrantedTurns:
    """Remembers who runs the granted turns, and asks for those that ended.

    The ends of turns may be under way for long to a holder that is behind. It
    counts such turns at their most, which may exhaust a budget that holds
    more.

    :param clients: other members.
    :param view: registered members.
    :param clock: time source.
    """

    def __init__(
        self,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._clients = clients
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        # By program, then by the id of the reservation.
        self._turns: dict[str, dict[str, _GrantedTurn]] = {}
        self._last_sweep_ms = clock.now_ms()

    def add(self, program_id: str, reservation_id: str, caller: str) -> None:
        """Add a turn that runs.

        :param caller: name of the member that runs it.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._sweep(now_ms)
            turns = self._turns.setdefault(program_id, {})
            turns[reservation_id] = _GrantedTurn(caller, now_ms)

    def remove(self, program_id: str, reservation_id: str) -> None:
        """Remove a turn that was settled."""
        with self._lock:
            turns = self._turns.get(program_id, {})
            turns.pop(reservation_id, None)
            if not turns:
                self._turns.pop(program_id, None)

    def find_ended(self, program_id: str) -> list[peer_messages.Settlement]:
        """Ask the callers which turns of a program have ended.

        A caller that does not answer in time settles its turns later.
        """
        until_ms = self._clock.now_ms() + ASK_ALL_TIMEOUT_MS
        found: list[peer_messages.Settlement] = []
        for member in self._callers(program_id):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            timeout_ms = min(left_ms, ASK_TIMEOUT_MS)
            found += self._ask(member, program_id, timeout_ms)
        return found

    def _callers(self, program_id: str) -> list[traffic.Member]:
        with self._lock:
            turns = self._turns.get(program_id, {}).values()
            names = {turn.caller for turn in turns}
        if not names:
            return []
        return [one for one in self._fleet.members() if one.name in names]

    def _ask(
        self, member: traffic.Member, program_id: str, timeout_ms: float
    ) -> list[peer_messages.Settlement]:
        try:
            answer = self._clients.call(
                member.peer_address,
                peers.LIST_ENDED_PATH,
                {"program_id": program_id},
                timeout_ms,
            )
            return peer_messages.decode_settlements(answer)
        except (
            peers.PeerUnavailableError,
            peer_messages.InvalidMessageError,
        ) as error:
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=member.name,
                call="ended turns",
                reason=str(error),
            )
            return []

    def _sweep(self, now_ms: float) -> None:
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        oldest_ms = now_ms - RETENTION_MS
        for program_id, turns in list(self._turns.items()):
            for reservation_id, turn in list(turns.items()):
                if turn.granted_ms < oldest_ms:
                    del turns[reservation_id]
            if not turns:
                del self._turns[program_id]
