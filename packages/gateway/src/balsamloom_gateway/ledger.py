"""Token budgets of programs, allocated to their holders in durable records.

A holder records an allocation in the platform's store and hands out its
tokens. Recorded tokens that are not known to be unused count as spent, so a
crash costs a program at most the rest of one allocation.

While the store does not answer, a holder may hand out unrecorded tokens if a
standby knows of them, so that a crash of the holder does not lose their count.
A budget may be exceeded by the maximum of one turn, which makes up for the
rest of an allocation that a lost process held.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# An allocation is the budget divided by ``ALLOCATION_DIVISOR``, or
# ``ALLOCATION_TURNS`` times the largest turn if that is more. Larger
# allocations need fewer records and lose more in a crash.
ALLOCATION_DIVISOR = 8
ALLOCATION_TURNS = 2
# A store outage may leave ``1 / OUTAGE_DIVISOR`` of the remaining budget
# unrecorded.
OUTAGE_DIVISOR = 2
# The servers of the latest turns may still cache the program's prompt parts.
MAX_RECENT_SERVERS = 3


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Success: the turn may generate the requested number of tokens."""


@dataclasses.dataclass(frozen=True)
class Exhaustion:
    """Refusal: the rest of the budget is too small for the turn."""

    recorded_tokens: int
    left_tokens: int


@dataclasses.dataclass(frozen=True)
class RequiredAllocation:
    """Allocation that must be recorded before the turn may run."""

    tokens: int


class Usage(NamedTuple):
    """Usage of a program's budget as one holder knows it.

    Holders exchange the fields as a list in this order.
    """

    program_id: str
    budget_tokens: int
    recorded_tokens: int
    unrecorded_tokens: int


class UsageReport(NamedTuple):
    """Usage that a holder reports to its standbys.

    It includes ``covered_tokens``: unrecorded tokens that the holder has taken
    over from lost ones, by their ids.
    """

    usage: Usage
    covered_tokens: Mapping[str, int]


class QueriedUsage(NamedTuple):
    """Usage that other holders know.

    ``unrecorded_tokens`` are those of which the holder is known, by its id.
    Nobody else will record those of ``lost_holders``.
    """

    usage: Usage
    unrecorded_tokens: Mapping[str, int]
    lost_holders: frozenset[str] = frozenset()


class StandbyAnswers(NamedTuple):
    """What the other holders of a program know of it.

    ``usage`` is ``None`` if none of them knows the program. That proves
    nothing unless ``is_complete``: all members that may know it have answered.
    """

    usage: QueriedUsage | None
    is_complete: bool


class UnknownMembersError(Exception):
    """Too few other holders are known to ask about a program."""


class Account:
    """Budget of one program at one of its holders.

    :param program_id: program.
    :param budget_tokens: maximum that all turns together may generate.
    """

    def __init__(self, program_id: str, budget_tokens: int) -> None:
        self.program_id = program_id
        self.budget_tokens = budget_tokens
        self.recorded_tokens = 0
        # Unrecorded tokens of each other holder, as last reported.
        self.peer_unrecorded_tokens: dict[str, int] = {}
        # Whether another holder reported that tokens were handed out. One that
        # reports none may just not know the program.
        self.has_peer_usage = False
        # Allocations that this process recorded itself.
        self.own_recorded_tokens = 0
        self.revision = 0
        self.left_tokens = 0
        self.unrecorded_tokens = 0
        self.in_flight_tokens = 0
        # Tokens of each allocation whose transaction has no known outcome.
        self.unconfirmed: dict[str, int] = {}
        self.requested_tokens = 0
        # Latest usage that each standby confirmed.
        self.reported_usage: dict[str, Usage] = {}
        self.has_queried_standbys = False
        # Tokens of lost holders that are counted here, by the holders' ids.
        self.taken_over_tokens: dict[str, int] = {}
        # The same of other holders, by the id of the one that counts them.
        self._covered_tokens: dict[str, Mapping[str, int]] = {}
        self.max_turn_tokens = 0
        # Whether this process replaces a primary holder that is unreachable.
        # Later turns return to the primary holder, so an allocation covers
        # one turn only.
        self.is_standby = False
        # Whether all processes that knew of unrecorded tokens may be lost, and
        # the program's record has not been read since.
        self.may_lack_unrecorded = False
        # Maximum of the tokens that lost processes handed out beyond the
        # record, without anybody knowing of them now.
        self.lost_tokens = 0
        self.last_used_ms = 0.0
        self.recent_servers: tuple[str, ...] = ()

    @property
    def usage(self) -> Usage:
        """Return the usage that is reported to standbys."""
        return Usage(
            self.program_id,
            self.budget_tokens,
            self.recorded_tokens,
            self.unrecorded_tokens,
        )

    @property
    def report(self) -> UsageReport:
        """Return the report of this holder to its standbys."""
        return UsageReport(self.usage, dict(self.taken_over_tokens))

    @property
    def max_overrun_tokens(self) -> int:
        """Return by how much allocations may exceed the budget.

        Another process may have left a part of its allocations unused, and
        this process cannot know how much. Unrecorded tokens of which the
        count is lost exceed the budget too, so they reduce the margin.
        """
        others = self.recorded_tokens - self.own_recorded_tokens
        margin = self.max_turn_tokens - self.max_lost_tokens
        return max(min(others, margin), 0)

    @property
    def max_lost_tokens(self) -> int:
        """Return the maximum of the tokens of which the count is lost.

        Unrecorded tokens are never handed out beyond the budget, so a program
        whose whole budget was recorded has none.
        """
        if self.may_lack_unrecorded:
            others = self.recorded_tokens - self.own_recorded_tokens
            return max(self.budget_tokens - others, 0)
        return self.lost_tokens

    def merge_usage(self, holder: str, usage: Usage) -> None:
        """Merge the usage that another holder reported.

        The unrecorded tokens of a lost holder stay counted as spent.

        :param holder: name and incarnation of the other holder.
        """
        self.peer_unrecorded_tokens[holder] = usage.unrecorded_tokens
        self.recorded_tokens = max(self.recorded_tokens, usage.recorded_tokens)
        if usage.recorded_tokens or usage.unrecorded_tokens:
            self.has_peer_usage = True

    def merge_report(self, holder: str, report: UsageReport) -> None:
        """Merge a report of another holder.

        Tokens that it has taken over from a lost one count as its own.

        :param holder: name and incarnation of the other holder.
        """
        # A holder that reports itself may have handed out new tokens.
        self.taken_over_tokens.pop(holder, None)
        for reporter, covered in self._covered_tokens.items():
            self._covered_tokens[reporter] = _without(covered, holder)
        self.merge_usage(holder, report.usage)
        self._covered_tokens[holder] = report.covered_tokens
        for lost, tokens in report.covered_tokens.items():
            rest = self.peer_unrecorded_tokens.pop(lost, 0) - tokens
            if rest > 0:
                self.peer_unrecorded_tokens[lost] = rest

    def take_over(self, name: str) -> bool:
        """Take over the unrecorded tokens of a lost holder.

        They count as unrecorded here, so that the next allocation covers
        them. Until then they are known in the memory of this process only.

        :param name: name of the lost holder, without its incarnation.
        :return: whether there were any.
        """
        lost = [
            holder
            for holder in self.peer_unrecorded_tokens
            if holder.partition("/")[0] == name
        ]
        return sum([self._take_over(holder) for holder in lost]) > 0

    def _take_over(self, holder: str) -> int:
        tokens = self.peer_unrecorded_tokens.pop(holder)
        self.unrecorded_tokens += tokens
        known = self.taken_over_tokens.get(holder, 0)
        self.taken_over_tokens[holder] = known + tokens
        # What the holder had taken over itself is counted here as well now.
        for lost, covered in self._covered_tokens.pop(holder, {}).items():
            known = self.taken_over_tokens.get(lost, 0)
            self.taken_over_tokens[lost] = max(known, covered)
        return tokens

    def _counted_tokens(self, lost: str) -> int:
        """Return the tokens of a lost holder that some holder counts."""
        covered = [
            found.get(lost, 0) for found in self._covered_tokens.values()
        ]
        return max(self.taken_over_tokens.get(lost, 0), *covered, 0)

    def merge_queried(
        self, holder: str, found: QueriedUsage, takes_over: bool
    ) -> None:
        """Merge the usage that queried holders know.

        The same answers may be merged again.

        :param holder: name under which tokens of unknown holders are merged.
        :param takes_over: whether the next allocation covers the unrecorded
            tokens of lost holders.
        """
        usage = found.usage
        may_take_over = takes_over and not self.unrecorded_tokens
        rest_tokens = usage.unrecorded_tokens
        for other, tokens in found.unrecorded_tokens.items():
            rest_tokens -= tokens
            reported_tokens = self.peer_unrecorded_tokens.get(other)
            if reported_tokens is not None and other not in found.lost_holders:
                # Its own report is newer.
                continue
            # The last report of a lost holder may have reached others only.
            new_tokens = tokens - self._counted_tokens(other)
            if new_tokens <= (reported_tokens or 0):
                continue
            self.peer_unrecorded_tokens[other] = new_tokens
            if may_take_over and other in found.lost_holders:
                self._take_over(other)
        rest = usage._replace(unrecorded_tokens=max(rest_tokens, 0))
        self.merge_usage(holder, rest)

    def known_usage(self) -> Usage:
        """Return the usage with the unrecorded tokens of all holders."""
        unrecorded_tokens = (
            self.unrecorded_tokens + self._peer_unrecorded_total()
        )
        return self.usage._replace(unrecorded_tokens=unrecorded_tokens)

    def outdated_standbys(self, standbys: Iterable[str]) -> list[str]:
        """Return the standbys that have not confirmed the current usage."""
        return [
            standby
            for standby in standbys
            if self.reported_usage.get(standby) != self.usage
        ]

    def max_outage_tokens(self) -> int:
        """Return the maximum of unrecorded tokens in a store outage."""
        allocated = self.recorded_tokens + self._peer_unrecorded_total()
        return (self.budget_tokens - allocated) // OUTAGE_DIVISOR

    def reserve(
        self, tokens: int, max_unrecorded_tokens: int
    ) -> Reservation | Exhaustion | RequiredAllocation:
        """Reserve the maximum that a turn may generate.

        :param max_unrecorded_tokens: limit for all turns of the program.
        """
        missing = max(tokens - self.left_tokens, 0)
        unallocated = self._unallocated_tokens()
        if missing > unallocated:
            return Exhaustion(self.recorded_tokens, self.left_tokens)
        # The overrun is granted only once, so it must be recorded first.
        is_within_budget = missing <= unallocated - self.max_overrun_tokens
        is_within_limit = (
            self.unrecorded_tokens + missing <= max_unrecorded_tokens
        )
        if missing and not (is_within_budget and is_within_limit):
            return RequiredAllocation(self._allocation_size(missing))
        self.left_tokens -= tokens - missing
        self.unrecorded_tokens += missing
        self.in_flight_tokens += tokens
        return Reservation()

    def settle(self, reserved_tokens: int, used_tokens: int) -> None:
        """Return the unused tokens of a turn's reservation."""
        self.in_flight_tokens -= reserved_tokens
        self._add_unused(reserved_tokens - used_tokens)

    def next_allocation(self, turn_tokens: int) -> int:
        """Return the tokens to record before the next turn, 0 for none."""
        missing = turn_tokens - self.left_tokens
        if missing <= 0 and not self.unrecorded_tokens:
            return 0
        if self.is_standby:
            return self.unrecorded_tokens
        if missing > self._unallocated_tokens():
            return self.unrecorded_tokens
        return self._allocation_size(max(missing, 0))

    def apply_record(
        self,
        total_tokens: int,
        revision: int,
        own_tokens: int,
        lost_tokens: int = 0,
    ) -> None:
        """Apply the program's record in the store.

        :param total_tokens: tokens of all allocations of the program.
        :param revision: revision of the record.
        :param own_tokens: tokens of this process's allocations that are newly
            known to be recorded.
        :param lost_tokens: ``max_lost_tokens`` of the process that wrote it.
        """
        self.recorded_tokens = max(total_tokens, self.recorded_tokens)
        self.revision = revision
        self.requested_tokens = 0
        self.own_recorded_tokens += own_tokens
        self.lost_tokens = max(self.max_lost_tokens, lost_tokens)
        self.may_lack_unrecorded = False
        self._add_unused(own_tokens)

    def _peer_unrecorded_total(self) -> int:
        """Return the unrecorded tokens of all other holders."""
        return sum(self.peer_unrecorded_tokens.values())

    def _unallocated_tokens(self) -> int:
        """Return the tokens that are neither recorded nor handed out."""
        usage = self.known_usage()
        limit = self.budget_tokens + self.max_overrun_tokens
        return limit - usage.recorded_tokens - usage.unrecorded_tokens

    def _allocation_size(self, missing: int) -> int:
        """Return the tokens of an allocation that covers unrecorded ones."""
        needed = missing + self.unrecorded_tokens
        if self.is_standby:
            return needed
        remaining = self._unallocated_tokens() + self.unrecorded_tokens
        preferred = max(
            self.budget_tokens // ALLOCATION_DIVISOR,
            ALLOCATION_TURNS * self.max_turn_tokens,
        )
        return min(max(needed, preferred), max(remaining, needed))

    def _add_unused(self, tokens: int) -> None:
        # Recorded tokens replace unrecorded ones first.
        covered = min(max(tokens, 0), self.unrecorded_tokens)
        self.unrecorded_tokens -= covered
        self.left_tokens += tokens - covered


def _without(tokens: Mapping[str, int], holder: str) -> Mapping[str, int]:
    return {key: value for key, value in tokens.items() if key != holder}


def add_recent_server(
    servers: tuple[str, ...], server_id: str
) -> tuple[str, ...]:
    """Return the recent servers with ``server_id`` first."""
    others = [other_id for other_id in servers if other_id != server_id]
    return (server_id, *others)[:MAX_RECENT_SERVERS]
