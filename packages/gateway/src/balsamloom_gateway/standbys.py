"""Standbys of a budget holder, which know the usage of its programs."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    circuit_breaker,
    fleet,
    ledger_records,
    member_calls,
    membership,
    peers,
    traffic,
    usage_messages,
    usages,
)

# A turn's caller waits for these calls.
STANDBY_TIMEOUT_MS = 60.0
# A holder that answered within this time lives.
MAX_ANSWER_AGE_MS = 3_000.0
# Backoff of calls to a member that did not answer.
BREAKER_BACKOFF = circuit_breaker.Backoff(
    2_000.0, 2_000.0, trial_ms=STANDBY_TIMEOUT_MS
)


class UnknownUsageError(Exception):
    """It cannot be found out now what earlier holders handed out."""


class UnknownMembersError(UnknownUsageError):
    """Too few other holders are known to ask about a program."""


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
        reports: Sequence[usages.UsageReport],
        is_complete: bool,
    ) -> bool:
        """Report usage to a standby; return whether it confirmed.

        :param is_complete: whether programs never reported are new.
        """

    def known_usage(self, program_id: str) -> usages.StandbyAnswers:
        """Return the maximum usage that one of them knows, if any.

        :raises UnknownMembersError: it is not known yet whom to ask.
        """

    def is_registered(self, holder: str) -> bool:
        """Return whether a holder's process is a registered member.

        :param holder: id of the holder.
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
        reports: Sequence[usages.UsageReport],
        is_complete: bool,
    ) -> bool:
        """Return false, as no standby can confirm."""
        return False

    def known_usage(self, program_id: str) -> usages.StandbyAnswers:
        """Return no usage, which is certain as nobody else may know any."""
        return usages.StandbyAnswers(None, is_complete=True)

    def is_registered(self, holder: str) -> bool:
        """Return false, as no other holder is known."""
        return False

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
        self._clock = clock
        # Times of the last answers, by holder.
        self._answered_ms: dict[str, float] = {}

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
        reports: Sequence[usages.UsageReport],
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

    def known_usage(self, program_id: str) -> usages.StandbyAnswers:
        """Return the maximum usage that a standby knows, if any.

        :raises UnknownMembersError: it is not known yet whom to ask.
        """
        if not self._knows_enough_members():
            raise UnknownMembersError("the members are not known yet")
        body = {"program_id": program_id}
        members = self._past_and_present_holders(program_id)
        answers = [self._ask(member, body) for member in members]
        answered = [answer for answer in answers if answer is not None]
        reports = [one.report for one in answered if one.report is not None]
        is_complete = len(answered) == len(answers) and self._fleet.has_settled
        return usages.StandbyAnswers(
            _merge(reports) if reports else None, is_complete
        )

    def _ask(
        self, member: traffic.Member, body: dict[str, str]
    ) -> usage_messages.UsageAnswer | None:
        """Ask a member about a program; return ``None`` if it is silent."""
        answer = self._calls.call(
            member, peers.READ_STATE_PATH, body, STANDBY_TIMEOUT_MS
        )
        if answer is None:
            return None
        holder = holder_id(member.name, member.incarnation)
        self._answered_ms[holder] = self._clock.now_ms()
        try:
            return usage_messages.decode_answer(holder, answer)
        except ValueError as error:
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=member.name,
                call="read usage",
                reason=str(error),
            )
            return None

    def is_registered(self, holder: str) -> bool:
        """Return whether a holder's process is a registered member."""
        return any(
            holder_id(member.name, member.incarnation) == holder
            for member in self._fleet.members()
        )

    def may_live(self, holder: str) -> bool:
        """Return whether a holder is registered, or may be again soon.

        One that has lost its registration only still answers.
        """
        answered_ms = self._answered_ms.get(holder, -math.inf)
        if self._clock.now_ms() - answered_ms < MAX_ANSWER_AGE_MS:
            return True
        name, has_incarnation, _ = holder.partition("/")
        if not has_incarnation:
            return False
        members = self._fleet.members()
        for member in members:
            if member.name == name:
                return holder_id(name, member.incarnation) == holder
        # Without any member, it is the view that lacks them.
        return not members or not self._fleet.has_settled

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

    def _past_and_present_holders(
        self, program_id: str
    ) -> list[traffic.Member]:
        """Return the other holders, before and after recent changes.

        A lost member may still run and have lost only the store. Other lost
        members are not called: each one that does not answer delays a caller.
        """
        registered = {one.name: one for one in self._fleet.members()}
        former = [
            registered.get(one.name, one)
            for one in membership.budget_holders(
                program_id, self._fleet.earlier_members()
            )
        ]
        present = self._holders(program_id)
        found = former + [one for one in present if one not in former]
        return [member for member in found if member.name != self._name]

    def _holders(self, program_id: str) -> list[traffic.Member]:
        holders = membership.budget_holders(program_id, self._fleet.members())
        return [member for member in holders if member.name != self._name]


def _merge(reports: Sequence[usages.UsageReport]) -> usages.UsageReport:
    """Return the most that several members know of one program."""
    shares: dict[str, ledger_records.Share] = {}
    for report in reports:
        usages.merge_shares(shares, report.shares)
    usage = reports[0].usage._replace(
        recorded_tokens=max(one.usage.recorded_tokens for one in reports),
        unrecorded_tokens=max(one.usage.unrecorded_tokens for one in reports),
    )
    newest = max(reports, key=lambda report: report.revision)
    return usages.UsageReport(usage, shares, newest.record, newest.revision)


def holder_id(name: str, incarnation: str) -> str:
    """Return the id of a holder, another one for each of its processes."""
    return f"{name}/{incarnation}"
