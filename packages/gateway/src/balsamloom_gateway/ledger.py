"""Token budgets of programs, allocated to their holders in durable records.

A holder records an allocation in the platform's store and hands out its
tokens. The record also tells how many of them were used, so that a loss of the
holder leaves only those uncertain that it could still hand out: those of the
running turns and of one more.

Uncertain tokens count as spent where the budget must hold, and as unspent
where a turn would be refused for good. The margin between the two is one turn,
by which a budget may be exceeded.

While the store does not answer, a holder may hand out unrecorded tokens if a
standby knows of them, so that a crash of the holder does not lose their count.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from balsamloom_gateway import ledger_records

# In an outage of the store, ``1 / OUTAGE_DIVISOR`` of the budget that is not
# known to be used may be handed out, recorded or not.
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


class Doubt(enum.Enum):
    """Tokens that may turn out to be unused, so that the turn would fit."""

    RUNNING_TURNS = "running_turns"
    OTHER_HOLDERS = "other_holders"


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """Refusal for now: the turn fits only if some tokens are unused."""

    doubt: Doubt


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
    over from lost ones, by their ids. ``revision`` is that of the record that
    the holder knows, 0 if it is not known.
    """

    usage: Usage
    covered_tokens: Mapping[str, int]
    revision: int = 0


class QueriedUsage(NamedTuple):
    """Usage that other holders know.

    ``unrecorded_tokens`` are those of which the holder is known, by its id.
    Nobody else will record those of ``lost_holders``. ``revision`` is that of
    the latest record that they know, 0 if it is not known.
    """

    usage: Usage
    unrecorded_tokens: Mapping[str, int]
    lost_holders: frozenset[str] = frozenset()
    revision: int = 0


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
    :param holder_id: name of this holder's share in the program's record.
    """

    def __init__(
        self, program_id: str, budget_tokens: int, holder_id: str = "own"
    ) -> None:
        self.program_id = program_id
        self.budget_tokens = budget_tokens
        self._holder_id = holder_id
        self.revision = 0
        self._own_share = ledger_records.Share()
        self._other_shares: dict[str, ledger_records.Share] = {}
        # Total of all shares, if others reported it after the record was read.
        self._reported_tokens = 0
        # Least own allocation after the writes whose outcome is not known.
        self._pending_tokens: int | None = None
        self._has_unknown_write = False
        # Time at which the store last confirmed the record.
        self.confirmed_ms = -math.inf
        # Tokens of turns that ended here, and those taken over.
        self.used_tokens = 0
        self.in_flight_tokens = 0
        self.last_reserved_ms = -math.inf
        # Tokens of a turn that waits for its allocation.
        self.needed_tokens = 0
        # Whether the record must be read or written before the next refusal.
        self.needs_confirmation = False
        # Unrecorded tokens of each other holder, as last reported.
        self.peer_unrecorded_tokens: dict[str, int] = {}
        # Whether another holder reported that tokens were handed out. One that
        # reports none may just not know the program.
        self.has_peer_usage = False
        # Latest usage that each standby confirmed.
        self.reported_usage: dict[str, Usage] = {}
        self.has_queried_standbys = False
        # Tokens of lost holders that are counted here, by the holders' ids.
        self.taken_over_tokens: dict[str, int] = {}
        # The same of other holders, by the id of the one that counts them.
        self._covered_tokens: dict[str, Mapping[str, int]] = {}
        self.max_turn_tokens = 0
        # Whether this process replaces a primary holder that is unreachable.
        # Later turns return to the primary holder, so nothing is allocated
        # for them.
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
    def handed_out_tokens(self) -> int:
        """Return the tokens that turns used here or may still use."""
        return self.used_tokens + self.in_flight_tokens

    @property
    def left_tokens(self) -> int:
        """Return the recorded tokens that the next turns may use."""
        return max(self._covered_total() - self.handed_out_tokens, 0)

    @property
    def unrecorded_tokens(self) -> int:
        """Return the tokens handed out here beyond the record."""
        return max(self.handed_out_tokens - self._covered_total(), 0)

    @property
    def own_recorded_tokens(self) -> int:
        """Return the tokens that this holder has allocated in the record."""
        return self._own_share.allocated_tokens

    @property
    def recorded_tokens(self) -> int:
        """Return the tokens that all holders have allocated in the record."""
        return self.own_recorded_tokens + self._others_allocated()

    @property
    def open_holders(self) -> frozenset[str]:
        """Return the other holders that may have tokens of which none knows.

        Those are handed out or not.
        """
        recorded = {
            holder
            for holder, share in self._other_shares.items()
            if share.used_tokens < share.allocated_tokens
        }
        unrecorded = {
            holder
            for holder, tokens in self.peer_unrecorded_tokens.items()
            if tokens
        }
        return frozenset(recorded | unrecorded)

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
        return UsageReport(
            self.usage, dict(self.taken_over_tokens), self.revision
        )

    @property
    def max_lost_tokens(self) -> int:
        """Return the maximum of the tokens of which the count is lost."""
        if not self.may_lack_unrecorded:
            return self.lost_tokens
        used = self._others_used()
        limit = self._outage_limit(used, self.max_turn_tokens)
        limit = min(limit, self.budget_tokens - used)
        return max(limit - self._others_open(), self.lost_tokens, 0)

    def merge_usage(
        self, holder: str, usage: Usage, revision: int = 0
    ) -> None:
        """Merge the usage that another holder reported.

        The unrecorded tokens of a lost holder stay counted as spent.

        :param holder: name and incarnation of the other holder.
        :param revision: revision of the record that the holder knows; 0 if it
            is not known.
        """
        self.peer_unrecorded_tokens[holder] = usage.unrecorded_tokens
        if not revision or revision > self.revision:
            self._reported_tokens = max(
                self._reported_tokens, usage.recorded_tokens
            )
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
        self.merge_usage(holder, report.usage, report.revision)
        self._covered_tokens[holder] = report.covered_tokens
        for lost, tokens in report.covered_tokens.items():
            rest = self.peer_unrecorded_tokens.pop(lost, 0) - tokens
            if rest > 0:
                self.peer_unrecorded_tokens[lost] = rest

    def take_over(self, name: str) -> bool:
        """Take over the unrecorded tokens of a lost holder.

        They count as used here, so that the next allocation covers them. Until
        then they are known in the memory of this process only.

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
        self.used_tokens += tokens
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
        self.merge_usage(holder, rest, found.revision)

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

    def max_outage_tokens(self, turn_tokens: int) -> int:
        """Return the maximum of own unrecorded tokens in a store outage.

        :param turn_tokens: tokens of the turn that asks for them.
        """
        used = self._others_used() + self._own_share.used_tokens
        limit = self._outage_limit(used, turn_tokens)
        recorded = self.recorded_tokens - used
        return max(limit - recorded - self._peer_unrecorded_total(), 0)

    def reserve(
        self, tokens: int, max_unrecorded_tokens: int
    ) -> Reservation | Exhaustion | Unconfirmed | RequiredAllocation:
        """Reserve the maximum that a turn may generate.

        :param max_unrecorded_tokens: limit for all turns of the program.
        """
        missing = max(tokens - self.left_tokens, 0)
        if missing:
            refusal = self._refusal(tokens)
            if refusal is not None:
                return refusal
        is_within_limit = (
            self.unrecorded_tokens + missing <= max_unrecorded_tokens
        )
        # The margin is granted only once, so it must be recorded first.
        is_within_budget = tokens <= self._room(self.budget_tokens)
        if missing and not (is_within_budget and is_within_limit):
            self.needed_tokens = max(self.needed_tokens, tokens)
            return RequiredAllocation(
                self._target_tokens() - self.own_recorded_tokens
            )
        self.in_flight_tokens += tokens
        return Reservation()

    def _refusal(self, tokens: int) -> Exhaustion | Unconfirmed | None:
        """Return why the rest of the budget is too small for a turn."""
        used = self._others_used() + self.used_tokens
        if tokens > self.budget_tokens - used:
            return self.exhaustion()
        if tokens > self.budget_tokens - used - self.in_flight_tokens:
            return Unconfirmed(Doubt.RUNNING_TURNS)
        certain = used + self.in_flight_tokens + self._peer_unrecorded_total()
        if tokens > self.budget_tokens - certain:
            return Unconfirmed(Doubt.OTHER_HOLDERS)
        if tokens > self._room(self._limit_tokens()):
            return Unconfirmed(Doubt.OTHER_HOLDERS)
        return None

    def exhaustion(self) -> Exhaustion:
        """Return the refusal for good."""
        return Exhaustion(self.recorded_tokens, self.left_tokens)

    def settle(self, reserved_tokens: int, used_tokens: int) -> None:
        """Return the unused tokens of a turn's reservation."""
        self.in_flight_tokens -= reserved_tokens
        self.used_tokens += used_tokens

    def needs_record(self) -> bool:
        """Return whether the record should be written soon."""
        if self.needs_confirmation or self.needed_tokens:
            return True
        target = self._target_share()
        if target.used_tokens != self._own_share.used_tokens:
            return True
        if target.allocated_tokens < self.own_recorded_tokens:
            return True
        return self._is_running_low(target)

    def _is_running_low(self, target: ledger_records.Share) -> bool:
        """Return whether the next turn would wait for an allocation."""
        if self.unrecorded_tokens:
            return True
        is_low = self.left_tokens < self.max_turn_tokens
        return is_low and target.allocated_tokens > self.own_recorded_tokens

    def next_record(self, name: str) -> ledger_records.Record:
        """Return the record to write, with the name of the write.

        Until its outcome is known, no more is handed out than both this and
        the last record cover.
        """
        share = self._target_share()
        pending = share.allocated_tokens
        if self._pending_tokens is not None:
            pending = min(pending, self._pending_tokens)
        self._pending_tokens = pending
        shares = {**self._other_shares, self._holder_id: share}
        return ledger_records.Record(shares, name, self.max_lost_tokens)

    def handle_failed_write(self, is_unknown: bool) -> None:
        """Handle a write that failed.

        :param is_unknown: whether it may still have had an effect.
        """
        self._has_unknown_write |= is_unknown
        if not self._has_unknown_write:
            self._pending_tokens = None

    def confirm_record(self, now_ms: float) -> None:
        """Handle a store that still has the known record.

        :param now_ms: time at which the store was asked for it.
        """
        self._has_unknown_write = False
        self._pending_tokens = None
        self.needs_confirmation = False
        self.confirmed_ms = now_ms

    def apply_record(
        self, record: ledger_records.Record, revision: int, now_ms: float = 0.0
    ) -> None:
        """Apply the program's record as the store has it.

        :param revision: revision of the record.
        :param now_ms: time at which the store was asked for it.
        """
        shares = dict(record.shares)
        own = shares.pop(self._holder_id, None)
        unknown = shares.get(ledger_records.UNKNOWN_HOLDER)
        if own is None and unknown is not None:
            # A process of the release before has replaced the record.
            own = self._own_share
            rest = unknown.allocated_tokens - own.allocated_tokens
            shares[ledger_records.UNKNOWN_HOLDER] = unknown._replace(
                allocated_tokens=max(rest, unknown.used_tokens)
            )
        self._own_share = own or ledger_records.Share()
        self._other_shares = shares
        self._reported_tokens = 0
        self.revision = revision
        self.lost_tokens = max(self.max_lost_tokens, record.lost_tokens)
        self.may_lack_unrecorded = False
        self.needed_tokens = 0
        self.confirm_record(now_ms)

    def _covered_total(self) -> int:
        """Return the own tokens that the record covers for certain."""
        if self._pending_tokens is None:
            return self.own_recorded_tokens
        return min(self.own_recorded_tokens, self._pending_tokens)

    def _others_allocated(self) -> int:
        recorded = sum(
            share.allocated_tokens for share in self._other_shares.values()
        )
        reported = self._reported_tokens - self.own_recorded_tokens
        return max(recorded, reported)

    def _others_used(self) -> int:
        return sum(share.used_tokens for share in self._other_shares.values())

    def _others_open(self) -> int:
        """Return the tokens of others of which nobody knows the use."""
        return self._others_allocated() - self._others_used()

    def _peer_unrecorded_total(self) -> int:
        """Return the unrecorded tokens of all other holders."""
        return sum(self.peer_unrecorded_tokens.values())

    def _limit_tokens(self) -> int:
        """Return the most that all turns may get, lost tokens included."""
        return self.budget_tokens + self.max_turn_tokens - self.max_lost_tokens

    def _room(self, limit_tokens: int) -> int:
        """Return what is neither allocated by others nor handed out here."""
        others = self._others_allocated() + self._peer_unrecorded_total()
        return limit_tokens - others - self.handed_out_tokens

    def _outage_limit(self, used_tokens: int, turn_tokens: int) -> int:
        """Return the maximum of the tokens that are handed out in an outage.

        :param used_tokens: tokens that the record tells to be used.
        """
        rest = self.budget_tokens - used_tokens
        return max(turn_tokens, rest // OUTAGE_DIVISOR)

    def _target_share(self) -> ledger_records.Share:
        """Return the share that the record should have."""
        return ledger_records.Share(self._target_tokens(), self.used_tokens)

    def _target_tokens(self) -> int:
        """Return the own allocation that the record should have.

        It covers what is handed out, a turn that waits, and the next turn
        unless the use of other tokens is uncertain.
        """
        needed = self.needed_tokens
        if needed > self._room(self._limit_tokens()):
            needed = 0
        target = self.handed_out_tokens + needed
        uncertain = self._others_open() + self.max_lost_tokens
        if self.is_standby or uncertain:
            return target
        rest = self._room(self.budget_tokens) - needed
        return target + max(min(self.max_turn_tokens, rest), 0)


def _without(tokens: Mapping[str, int], holder: str) -> Mapping[str, int]:
    return {key: value for key, value in tokens.items() if key != holder}


def add_recent_server(
    servers: tuple[str, ...], server_id: str
) -> tuple[str, ...]:
    """Return the recent servers with ``server_id`` first."""
    others = [other_id for other_id in servers if other_id != server_id]
    return (server_id, *others)[:MAX_RECENT_SERVERS]
