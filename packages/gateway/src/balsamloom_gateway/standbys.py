"""Other holders of programs' budgets, which know what is claimed here."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    avoidance,
    fleet,
    ledger,
    membership,
    peers,
    traffic,
)

# Calls between holders, which keep callers waiting.
HOLDER_TIMEOUT_MS = 60.0
# A member that did not answer is not asked again for a while.
AVOID_PAUSES = avoidance.Pauses(2_000.0, 2_000.0, trial_ms=HOLDER_TIMEOUT_MS)


class Standbys(Protocol):
    """The other members that may hold a program's budget."""

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return who they are; a restarted member is another one."""

    def is_primary(self, program_id: str) -> bool:
        """Return whether this member is the first holder of a program."""

    def report(
        self,
        standby: str,
        states: Sequence[ledger.AccountState],
        is_complete: bool,
    ) -> bool:
        """Tell one of them claims; return whether it knows them now.

        :param is_sure: whether programs that were never told are new ones.
        """

    def known_state(self, program_id: str) -> ledger.AccountState | None:
        """Return the most that one of them knows to be claimed."""


class NoStandbys:
    """Stands for standbys that cannot be reached."""

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return that there are none."""
        return ()

    def is_primary(self, program_id: str) -> bool:
        """Return that nobody else holds the program."""
        return True

    def report(
        self,
        standby: str,
        states: Sequence[ledger.AccountState],
        is_complete: bool,
    ) -> bool:
        """Return that nobody knows of a claim."""
        return False

    def known_state(self, program_id: str) -> ledger.AccountState | None:
        """Return that no claim is known."""
        return None


class PeerStandbys:
    """The other holders of programs' budgets, as standbys of this member.

    :param name: name of this member.
    :param incarnation: incarnation of this member.
    :param clients: other members.
    :param view: registered members.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._own = f"{name}/{incarnation}"
        self._clients = clients
        self._fleet = view
        self._avoidance = avoidance.Avoidance(AVOID_PAUSES, clock)

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return name and incarnation of each other holder."""
        return tuple(
            f"{member.name}/{member.incarnation}"
            for member in self._holders(program_id)
        )

    def is_primary(self, program_id: str) -> bool:
        """Return whether this member is the first holder of a program."""
        holders = membership.budget_holders(program_id, self._fleet.members())
        return bool(holders) and holders[0].name == self._name

    def report(
        self,
        standby: str,
        states: Sequence[ledger.AccountState],
        is_complete: bool,
    ) -> bool:
        """Tell claims; return whether the standby knows them now."""
        body = {"holder": self._own, "claims": states, "is_sure": is_complete}
        name = standby.partition("/")[0]
        for member in self._fleet.members():
            if member.name == name:
                answer = self._call(
                    member, peers.MERGE_STATES_PATH, body, HOLDER_TIMEOUT_MS
                )
                return answer is not None
        return False

    def known_state(self, program_id: str) -> ledger.AccountState | None:
        """Return the most that is known to be claimed."""
        body = {"program_id": program_id}
        answers = [
            self._call(member, peers.READ_STATE_PATH, body, HOLDER_TIMEOUT_MS)
            for member in self._former_holders(program_id)
            + self._holders(program_id)
        ]
        states = [
            ledger.AccountState(*answer["claim"])
            for answer in answers
            if answer and answer["claim"]
        ]
        if not states:
            return None
        return states[0]._replace(
            recorded_tokens=max(state.recorded_tokens for state in states),
            unrecorded_tokens=max(state.unrecorded_tokens for state in states),
        )

    def _former_holders(self, program_id: str) -> list[traffic.Member]:
        """Return members that ended and would hold the program otherwise.

        They may live on and have lost only the store. Others that ended are
        not asked: each one that does not answer keeps a caller waiting.
        """
        lost = self._fleet.lost_members()
        known = sorted(self._fleet.members() + lost)
        holders = membership.budget_holders(program_id, known)
        return [
            member
            for member in holders
            if member in lost and member.name != self._name
        ]

    def _holders(self, program_id: str) -> list[traffic.Member]:
        holders = membership.budget_holders(program_id, self._fleet.members())
        return [member for member in holders if member.name != self._name]

    def _call(
        self,
        member: traffic.Member,
        path: str,
        body: dict[str, Any],
        timeout_ms: float,
    ) -> dict[str, Any] | None:
        if not self._avoidance.may_try(member.peer_address):
            return None
        try:
            answer = self._clients.call(
                member.peer_address, path, body, timeout_ms
            )
        except peers.PeerUnavailableError as error:
            self._avoidance.note_failure(member.peer_address)
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=member.name,
                call=path,
                reason=str(error),
            )
            return None
        self._avoidance.note_answer(member.peer_address)
        return answer
