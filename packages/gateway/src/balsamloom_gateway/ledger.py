"""Token budgets of programs, allocated to their holders in durable records.

A holder records an allocation in the platform's store and hands out its
tokens. The record, or a later entry in the journal, also tells what its turns
used and which ones run. Each turn has such a proof before it runs, but for
those that together get at most one turn's tokens. So a loss of the holder
leaves no more than these uncertain, and how much its last turns used.

Uncertain tokens count as spent where the budget must hold. A budget may be
exceeded by the most of one turn, so that such a loss alone ends few programs.

While the store does not answer, a holder may hand out tokens beyond the
record, each turn after its entry in the journal.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from balsamloom_gateway import (
    durable_states,
    ledger_records,
    other_shares,
    outage_limits,
    own_turns,
    pending_writes,
    reservations,
    usage_journal,
    usages,
)

# Beside the next turn, ``1 / AHEAD_DIVISOR`` of the budget is allocated ahead
# while a turn runs, so that turns in quick succession do not wait for the
# store.
AHEAD_DIVISOR = 6
# Turns that remain beside the tokens of that sixth.
RESERVED_TURNS = 2

Reservation = reservations.Reservation
Exhaustion = reservations.Exhaustion
Doubt = reservations.Doubt
Unconfirmed = reservations.Unconfirmed
RequiredAllocation = reservations.RequiredAllocation


class Account:
    """Budget of one program at one of its holders.

    :param program_id: program.
    :param budget_tokens: maximum that all turns together may generate.
    :param holder_id: name of this holder's share in the program's record.
    :param first_sequence: number that is greater than all of an earlier
        account of this process.
    """

    def __init__(
        self,
        program_id: str,
        budget_tokens: int,
        holder_id: str = "own",
        first_sequence: int = 0,
    ) -> None:
        self.program_id = program_id
        self.budget_tokens = budget_tokens
        self._holder_id = holder_id
        self.revision = 0
        self._record: ledger_records.Record | None = None
        self._own_share = ledger_records.Share()
        self.others = other_shares.OtherShares()
        # Total of all shares, as reported by others without the record.
        self._reported_tokens = 0
        self._durable_states = durable_states.DurableStates()
        self._pending_writes = pending_writes.PendingWrites(
            self._durable_states
        )
        # Own tokens that are within the limit whatever others hand out of
        # their allocations.
        self._certain_tokens = 0
        # Time at which the store last confirmed the record.
        self.confirmed_ms = -math.inf
        # Whether the record must be confirmed before the next refusal.
        self.needs_confirmation = False
        # Whether turns wait for a record that shows them.
        self.needs_proof = False
        self._turns = own_turns.OwnTurns(first_sequence)
        self.last_reserved_ms = -math.inf
        # Tokens of a turn that waits for its allocation or will come again.
        self.needed_tokens = 0
        self.needed_since_ms = 0.0
        # Whether another holder reported that tokens were handed out. One that
        # reports none may just not know the program.
        self.has_peer_usage = False
        # Latest usage that each standby confirmed.
        self.reported_usage: dict[str, usages.Usage] = {}
        # Whether standbys may count tokens that are recorded or unused now.
        self.has_reported_unrecorded = False
        # Whether it is known what earlier holders handed out.
        self.knows_earlier_usage = False
        # Whether the journal's part of that is known.
        self.has_read_journal = False
        self.max_turn_tokens = 0
        # Whether this process replaces a primary holder that is unreachable.
        # Later turns return to the primary holder, so nothing is allocated
        # for them.
        self.is_standby = False
        # Presumed by processes of former releases.
        self.lost_tokens = 0
        self.last_used_ms = 0.0
        self.recent_servers: tuple[str, ...] = ()

    @property
    def used_tokens(self) -> int:
        """Return the tokens of turns that ended here."""
        return self._turns.used_tokens

    @property
    def in_flight_tokens(self) -> int:
        """Return the most that the running turns may use."""
        return self._turns.running_tokens

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
    def is_proven(self) -> bool:
        """Return whether a successor would count what is handed out here.

        It counts what the newest durable state shows, and of the allocated
        rest at most one turn for all lost holders together.
        """
        shown = self._durable_states.least_handed_out_tokens
        if self.handed_out_tokens <= shown:
            return True
        others_tokens = self.others.recorded_idle_tokens
        allowance = max(self.max_turn_tokens - others_tokens, 0)
        is_recorded = not self.unrecorded_tokens
        return is_recorded and self.handed_out_tokens <= shown + allowance

    @property
    def is_certain(self) -> bool:
        """Return whether allocations alone keep all within the limit.

        Otherwise the holder relies on a lost one not to hand out more, or on
        others not to hand out the same in an outage.
        """
        return self.handed_out_tokens <= self._certain_tokens

    @property
    def has_unproven_use(self) -> bool:
        """Return whether no durable state shows what the turns used."""
        return self.used_tokens > self._durable_states.used_tokens

    @property
    def needs_entry(self) -> bool:
        """Return whether a turn needs an entry in the journal to run."""
        return not (self.is_proven and self.is_certain)

    def is_within_limits(self, turn_tokens: int) -> bool:
        """Return whether all that is handed out is allowed.

        The journal has just been read.

        :param turn_tokens: tokens of the latest turn.
        """
        if self.unrecorded_tokens > self.max_outage_tokens(turn_tokens):
            return False
        if self._room(self._limit_tokens()) < 0:
            return False
        if not self.unrecorded_tokens:
            self._certain_tokens = self.handed_out_tokens
        return True

    @property
    def usage(self) -> usages.Usage:
        """Return the usage that is reported to standbys."""
        return usages.Usage(
            self.program_id,
            self.budget_tokens,
            self.recorded_tokens,
            self.unrecorded_tokens,
        )

    def next_entry(self) -> usage_journal.UsageEntry:
        """Return an entry of the own usage, which is to be written now."""
        share = self._turns.next_share(self.handed_out_tokens)
        self._durable_states.add_pending(share)
        return usage_journal.entry_of(self.program_id, self._holder_id, share)

    def confirm_entry(self, entry: usage_journal.UsageEntry) -> None:
        """Handle an entry of the own usage that is durable."""
        self._durable_states.confirm(usage_journal.share_of(entry))

    def merge_journal(self, answer: usage_journal.JournalAnswer) -> None:
        """Merge the entries of other holders."""
        shares = {
            entry.holder_id: usage_journal.share_of(entry)
            for entry in answer.entries
            if entry.holder_id != self._holder_id
        }
        self.others.merge_reports(shares)
        self.others.settle(answer.settlements)

    def settle_lost(self, settlements: Mapping[str, int]) -> bool:
        """Count turns of lost holders at what they used.

        :param settlements: used tokens by the id of the reservation.
        :return: whether the record should tell them.
        """
        known = self.others.settlements()
        self.others.settle(settlements)
        return self.others.settlements() != known

    def next_report(self) -> usages.UsageReport:
        """Return a report to standbys, which is newer than all before."""
        own = self._turns.next_share(self.handed_out_tokens)
        # A successor may know this state and not the durable one before it.
        self._durable_states.add_pending(own)
        self.has_reported_unrecorded = self.unrecorded_tokens > 0
        shares = {**self.others.reported, self._holder_id: own}
        return usages.UsageReport(
            self.usage, shares, self._record, self.revision
        )

    def merge_report(self, report: usages.UsageReport) -> None:
        """Merge the usage that another holder knows."""
        shares = dict(report.shares)
        shares.pop(self._holder_id, None)
        self.others.merge_reports(shares)
        usage = report.usage
        if usage.recorded_tokens or usage.unrecorded_tokens:
            self.has_peer_usage = True
        if report.record is not None:
            self._adopt_record(report.record, report.revision)
        elif usage.recorded_tokens > self.recorded_tokens:
            # The store must be asked before a refusal rests on this.
            self._reported_tokens = usage.recorded_tokens
            self.confirmed_ms = -math.inf

    def _adopt_record(
        self, record: ledger_records.Record, revision: int
    ) -> None:
        """Apply a record that another holder has read, if it is newer."""
        if revision > self.revision:
            needs_confirmation = self.needs_confirmation
            self.apply_record(record, revision, -math.inf)
            self.needs_confirmation = needs_confirmation

    def known_usage(self) -> usages.Usage:
        """Return the usage with the unrecorded tokens of all holders."""
        unrecorded_tokens = (
            self.unrecorded_tokens + self._peer_unrecorded_total()
        )
        return self.usage._replace(unrecorded_tokens=unrecorded_tokens)

    def max_outage_tokens(self, turn_tokens: int) -> int:
        """Return the maximum of own unrecorded tokens in a store outage.

        :param turn_tokens: tokens of the turn that asks for them.
        """
        used = self.others.used_tokens + self._own_share.used_tokens
        limit = outage_limits.max_handed_out_tokens(
            self.budget_tokens, used, self.recorded_tokens, turn_tokens
        )
        claimed = self._others_claim() + self.own_recorded_tokens
        return max(limit - (claimed - used) - self.lost_tokens, 0)

    def reserve(
        self, tokens: int, max_unrecorded_tokens: int, reservation_id: str = ""
    ) -> Reservation | Exhaustion | Unconfirmed | RequiredAllocation:
        """Reserve the maximum that a turn may generate.

        :param max_unrecorded_tokens: limit for all turns of the program.
        :param reservation_id: name by which the turn is settled.
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
        self.needed_tokens = 0
        self._turns.start(reservation_id, tokens)
        return Reservation()

    def _refusal(self, tokens: int) -> Exhaustion | Unconfirmed | None:
        """Return why the rest of the budget is too small for a turn."""
        used = self.others.used_tokens + self.used_tokens
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

    def settle(
        self, reserved_tokens: int, used_tokens: int, reservation_id: str = ""
    ) -> bool:
        """Return the unused tokens of a turn's reservation.

        :return: false if it was settled before, or if an earlier process of
            this holder granted it; nothing changes then.
        """
        is_settled = self._turns.settle(
            reserved_tokens, used_tokens, reservation_id
        )
        if is_settled:
            self._durable_states.settle(reservation_id, used_tokens)
        return is_settled

    def end_reservations(self) -> None:
        """Count turns that will not be settled any more at their most."""
        self._turns.end_all()

    def needs_record(self) -> bool:
        """Return whether the record should be written soon."""
        if self.needs_confirmation or self.needs_proof:
            return True
        if self.used_tokens != self._own_share.used_tokens:
            return True
        if self._durable_states.shows_ended_turns:
            return True
        target = self._target_tokens()
        if self.needed_tokens:
            return target != self.own_recorded_tokens
        if target < self.own_recorded_tokens or self.unrecorded_tokens:
            return True
        # Otherwise the next turn waits for its allocation.
        is_low = self.left_tokens < self.max_turn_tokens
        return is_low and target > self.own_recorded_tokens

    def next_record(self, name: str) -> ledger_records.Record:
        """Return the record to write, with the name of the write.

        Until its outcome is known, no more is handed out than both this and
        the last record cover.
        """
        share = self._turns.next_share(self._target_tokens())
        self._pending_writes.add(share)
        return ledger_records.Record(
            {**self.others.known(), self._holder_id: share},
            name,
            self.lost_tokens,
            self.max_turn_tokens,
            self.others.settlements(),
        )

    def handle_failed_write(self, is_unknown: bool) -> None:
        """Handle a write that failed.

        :param is_unknown: whether it may still have an effect.
        """
        self._pending_writes.handle_failure(is_unknown)

    def confirm_record(self, now_ms: float) -> None:
        """Handle a store that still has the known record.

        A write of unknown outcome may take effect later.

        :param now_ms: time at which the store was asked for it.
        """
        self._pending_writes.confirm_none()
        self._reported_tokens = 0
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
        if own is None:
            own = ledger_records.take_unknown_share(
                shares, self._covered_total()
            )
        self._own_share = own
        self._turns.add_earlier_use(self._own_share)
        self.others.apply_record(shares, record.settlements)
        self._record = record
        self.revision = revision
        self.max_turn_tokens = max(self.max_turn_tokens, record.turn_tokens)
        self.lost_tokens = max(self.lost_tokens, record.lost_tokens)
        self._update_certain_tokens()
        self._durable_states.confirm(self._own_share)
        self._pending_writes.end_all()
        self.needs_proof = False
        self.confirm_record(now_ms)

    def _update_certain_tokens(self) -> None:
        """Check the own allocation against all that others may hand out."""
        own_tokens = self.own_recorded_tokens
        self._certain_tokens = min(self._certain_tokens, own_tokens)
        most_tokens = self.others.handed_out_tokens + self.others.idle_tokens
        if own_tokens + most_tokens <= self._limit_tokens():
            self._certain_tokens = own_tokens

    def apply_written(
        self, record: ledger_records.Record, revision: int, now_ms: float = 0.0
    ) -> None:
        """Apply a record that this account has written.

        Another holder may have reported a later one meanwhile. The parameters
        are those of :meth:`apply_record`.
        """
        if revision >= self.revision:
            self.apply_record(record, revision, now_ms)

    def _covered_total(self) -> int:
        """Return the own tokens that the record covers for certain."""
        return self._pending_writes.covered_tokens(self.own_recorded_tokens)

    def _others_allocated(self) -> int:
        reported = self._reported_tokens - self.own_recorded_tokens
        return max(self.others.recorded_tokens, reported)

    def _others_claim(self) -> int:
        """Return the most that others handed out or may hand out."""
        reported = self._reported_tokens - self.own_recorded_tokens
        return max(self.others.claimed_tokens(self.max_turn_tokens), reported)

    def _peer_unrecorded_total(self) -> int:
        """Return the unrecorded tokens of all other holders."""
        return sum(self.others.unrecorded_tokens.values())

    def _limit_tokens(self) -> int:
        """Return the most that all turns may get, lost tokens included."""
        return self.budget_tokens + self.max_turn_tokens - self.lost_tokens

    def _room(self, limit_tokens: int) -> int:
        """Return what others cannot hand out and is not handed out here."""
        return limit_tokens - self._others_claim() - self.handed_out_tokens

    def _target_tokens(self) -> int:
        """Return the own allocation that the record should have.

        It covers what is handed out, a turn that waits, and the next turn.
        """
        needed = self.needed_tokens
        if needed > self._room(self._limit_tokens()):
            needed = 0
        target = self.handed_out_tokens + needed
        if self.is_standby:
            return target
        rest = self._room(self.budget_tokens) - needed
        ahead = min(self.max_turn_tokens, rest)
        is_running = self.in_flight_tokens + needed > 0
        if is_running and not self.others.open_tokens:
            spare = rest - RESERVED_TURNS * self.max_turn_tokens
            ahead += min(self.budget_tokens // AHEAD_DIVISOR, max(spare, 0))
        return target + max(ahead, 0)
