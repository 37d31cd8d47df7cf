"""Standbys of a budget holder, which know the usage of its programs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    circuit_breaker,
    fleet,
    ledger,
    member_calls,
    membership,
    peers,
    traffic,
    usage_messages,
)

# A turn's caller waits for these calls.
STANDBY_TIMEOUT_MS = 60.0
# Backoff of calls to a member that did not answer.
BREAKER_BACKOFF = circuit_breaker.Backoff(
    2_000.0, 2_000.0, trial_ms=STANDBY_TIMEOUT_MS
)


class Standbys(Protocol):
    """Other members that may hold a program's budget."""

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return their identifiers; a restarted member has a new one."""

    def is_primary(self, program_id: str) -> bool:
        """Return whether this member is the program's primary holder."""

    def primary_of(self, program_id: str) -> str:
        """Return the id of the program's primary holder, empty if unknown."""

    def report(
        self,
        standby: str,
        reports: Sequence[ledger.UsageReport],
        is_complete: bool,
    ) -> bool:
        """Report usage to a standby; return whether it confirmed.

        :param is_complete: whether programs never reported are new.
        """

    def known_usage(self, program_id: str) -> ledger.StandbyAnswers:
        """Return the maximum usage that one of them knows, if any.

        :raises UnknownMembersError: it is not known yet whom to ask.
        """

    def may_live(self, holder: str) -> bool:
        """Return whether a holder's process may still run.

        :param holder: id of the holder.
        """


class NoStandbys:
    """Absence of standbys, for a ledger without peers."""

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return no identifiers."""
        return ()

    def is_primary(self, program_id: str) -> bool:
        """Return true, as there is no other holder."""
        return True

    def primary_of(self, program_id: str) -> str:
        """Return no id, as no other holder is known."""
        return ""

    def report(
        self,
        standby: str,
        reports: Sequence[ledger.UsageReport],
        is_complete: bool,
    ) -> bool:
        """Return false, as no standby can confirm."""
        return False

    def known_usage(self, program_id: str) -> ledger.StandbyAnswers:
        """Return no usage, which is certain as nobody else may know any."""
        return ledger.StandbyAnswers(None, is_complete=True)

    def may_live(self, holder: str) -> bool:
        """Return false, as no other holder is known."""
        return False


class PeerStandbys:
    """Standbys of this member, reached by calls between members.

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
        self._id = holder_id(name, incarnation)
        self._calls = member_calls.MemberCalls(clients, BREAKER_BACKOFF, clock)
        self._fleet = view

    def of(self, program_id: str) -> tuple[str, ...]:
        """Return name and incarnation of each other holder."""
        return tuple(
            holder_id(member.name, member.incarnation)
            for member in self._holders(program_id)
        )

    def is_primary(self, program_id: str) -> bool:
        """Return whether this member is the program's primary holder."""
        holders = membership.budget_holders(program_id, self._fleet.members())
        return bool(holders) and holders[0].name == self._name

    def primary_of(self, program_id: str) -> str:
        """Return the id of the program's primary holder, empty if unknown."""
        holders = membership.budget_holders(program_id, self._fleet.members())
        return (
            holder_id(holders[0].name, holders[0].incarnation)
            if holders
            else ""
        )

    def report(
        self,
        standby: str,
        reports: Sequence[ledger.UsageReport],
        is_complete: bool,
    ) -> bool:
        """Report usage to a standby; return whether it confirmed."""
        message = usage_messages.UsageMessage(self._id, reports, is_complete)
        body = usage_messages.encode(message)
        name = standby.partition("/")[0]
        for member in self._fleet.members():
            if member.name == name:
                answer = self._calls.call(
                    member, peers.MERGE_STATES_PATH, body, STANDBY_TIMEOUT_MS
                )
                return answer is not None
        return False

    def known_usage(self, program_id: str) -> ledger.StandbyAnswers:
        """Return the maximum usage that a standby knows, if any.

        :raises UnknownMembersError: it is not known yet whom to ask.
        """
        if not self._knows_enough_members():
            raise ledger.UnknownMembersError("the members are not known yet")
        body = {"program_id": program_id}
        answers = [
            self._calls.call(
                member, peers.READ_STATE_PATH, body, STANDBY_TIMEOUT_MS
            )
            for member in self._past_and_present_holders(program_id)
        ]
        is_complete = None not in answers and self._fleet.has_settled
        claims = [answer for answer in answers if answer and answer["claim"]]
        if not claims:
            return ledger.StandbyAnswers(None, is_complete)
        usages = [ledger.Usage(*answer["claim"]) for answer in claims]
        usage = usages[0]._replace(
            recorded_tokens=max(one.recorded_tokens for one in usages),
            unrecorded_tokens=max(one.unrecorded_tokens for one in usages),
        )
        unrecorded = self._unrecorded_tokens(
            # Processes of the release before do not name the holders.
            [answer.get("unrecorded") or {} for answer in claims]
        )
        registered = {
            holder_id(member.name, member.incarnation)
            for member in self._fleet.members()
        }
        lost = frozenset(unrecorded) - registered
        revisions = [int(answer.get("revision", 0)) for answer in claims]
        # Processes of the release before do not name the revision.
        revision = max(revisions) if all(revisions) else 0
        queried = ledger.QueriedUsage(usage, unrecorded, lost, revision)
        return ledger.StandbyAnswers(queried, is_complete)

    def may_live(self, holder: str) -> bool:
        """Return whether a holder is registered, or may be again soon."""
        name, has_incarnation, _ = holder.partition("/")
        if not has_incarnation:
            return False
        for member in self._fleet.members():
            if member.name == name:
                return holder_id(name, member.incarnation) == holder
        return not self._fleet.has_settled

    def _knows_enough_members(self) -> bool:
        """Return whether the members that may know a program are known.

        Just after an outage of the store, those that run may still lack their
        registrations.
        """
        if not self._fleet.has_read_records:
            return False
        others = [
            member
            for member in self._fleet.members()
            if member.name != self._name
        ]
        has_all = len(others) >= membership.MAX_HOLDERS - 1
        return has_all or self._fleet.has_settled

    def _unrecorded_tokens(
        self, unrecorded: Sequence[Mapping[str, int]]
    ) -> dict[str, int]:
        """Return the unrecorded tokens of other holders, by their id.

        :param unrecorded: tokens as each of the queried members knows them.
        """
        most: dict[str, int] = {}
        for known in unrecorded:
            for holder, tokens in known.items():
                if "/" in holder and holder != self._id:
                    most[holder] = max(most.get(holder, 0), int(tokens))
        return most

    def _past_and_present_holders(
        self, program_id: str
    ) -> list[traffic.Member]:
        """Return the other holders, before and after recent changes.

        A lost member may still run and have lost only the store. Other lost
        members are not called: each one that does not answer delays a caller.
        """
        former = membership.budget_holders(
            program_id, self._fleet.earlier_members()
        )
        present = self._holders(program_id)
        found = former + [one for one in present if one not in former]
        return [member for member in found if member.name != self._name]

    def _holders(self, program_id: str) -> list[traffic.Member]:
        holders = membership.budget_holders(program_id, self._fleet.members())
        return [member for member in holders if member.name != self._name]


def holder_id(name: str, incarnation: str) -> str:
    """Return the id of a holder, another one for each of its processes."""
    return f"{name}/{incarnation}"
