"""Accounts of the programs whose budgets this process holds.

A thread records allocations in the store, many in one transaction. A turn
waits only if its allocation is not recorded yet.
"""

from __future__ import annotations

import math
import threading
import uuid
from collections.abc import Callable, Sequence

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    caution,
    complete_reports,
    idle_accounts,
    interfaces,
    ledger,
    ledger_recorder,
    ledger_statistics,
    outage_policy,
    recent_servers,
    record_queue,
    standby_reports,
    standbys,
    turn_reservations,
    turn_waits,
    usage_journal,
    usage_messages,
    usage_proofs,
    usages,
)

# Time after which a refused turn may try again. Hosts that start together with
# this one answer within a few tries.
USAGE_RETRY_MS = 75.0

RecordingFailure = turn_reservations.RecordingFailure
ReservationResult = turn_reservations.ReservationResult


class BudgetLedger:
    """Ledger of program budgets, whose allocations a thread records.

    :param store: platform's store.
    :param records: names of the records.
    :param clock: time source.
    :param is_restart: whether an earlier process of this member may have held
        budgets.
    :param holder_id: name and incarnation of this member.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
        is_restart: bool = False,
        holder_id: str = "",
    ) -> None:
        self._clock = clock
        self._holder_id = holder_id or uuid.uuid4().hex
        self.standbys: standbys.Standbys = standbys.NoStandbys()
        self.journal: usage_journal.UsageJournal = usage_journal.NoJournal()
        # Returns the lease under which no successor can have taken over, 0
        # without one.
        self.held_lease_id: Callable[[], int] = lambda: 0
        lock = threading.RLock()
        # Notified when the thread that records has work.
        self._changed = threading.Condition(lock)
        self._waits = turn_waits.TurnWaits(lock, clock)
        self._recorder = ledger_recorder.AllocationRecorder(
            store, records, clock, self._changed, self._waits
        )
        self._queue = record_queue.RecordQueue(
            self._recorder, clock, self._changed
        )
        self._accounts: dict[str, ledger.Account] = {}
        self._statistics = ledger_statistics.LedgerStatistics(clock)
        self._reservations = turn_reservations.TurnReservations(
            self._queue,
            self._recorder,
            clock,
            self._waits,
            self._evidence,
            self._statistics,
        )
        self._proofs = usage_proofs.UsageProofs(
            self._queue, self._recorder, clock, self._changed, self._waits
        )
        self._caution = caution.Caution(clock, is_restart)
        self._reports = standby_reports.StandbyReports(
            self._accounts,
            self._caution.knows_all_programs,
            clock,
            self._changed,
        )
        self._lost_holders: set[str] = set()
        self._has_new_members = False
        self._complete_reports = complete_reports.CompleteReports(clock)
        self._is_stopping = False
        self._idle_accounts = idle_accounts.IdleAccounts(
            self._accounts, self._queue, clock
        )

    def start_caution_period(self, reason: str) -> None:
        """Assume for a while that an earlier holder of programs is lost.

        A program may have a record or entries in the journal then, so it gets
        no tokens before these were read.
        """
        with self._changed:
            self._caution.start()
            self._forget_queries()
        events.log(events.Event.BUDGET_CAUTION, reason=reason)

    def handle_outage_at_start(self) -> None:
        """Handle a store that was unavailable when this process started."""
        self.start_caution_period("the store was unavailable at start")

    def _forget_queries(self) -> None:
        """Query other holders and the journal again for each program."""
        for account in self._accounts.values():
            account.knows_earlier_usage = False
            account.has_read_journal = False

    def handle_lost_holder(self, name: str) -> None:
        """Record the unrecorded tokens of a lost member.

        The next allocations of the programs held here cover them. Others may
        know of more, so they are asked again.

        :param name: name of the lost member.
        """
        with self._changed:
            self._lost_holders.add(name)
            self._has_new_members = True
            self._complete_reports.forget()
            self._caution.handle_loss()
            self._forget_queries()
            self._changed.notify_all()

    def handle_new_members(self) -> None:
        """Handle an arrival, after which programs may have other holders."""
        with self._changed:
            self._complete_reports.forget()
            self._has_new_members = True
            self._changed.notify_all()

    def merge_usages(
        self,
        holder: str,
        reports: Sequence[usages.UsageReport],
        is_complete: bool,
    ) -> None:
        """Merge the usages that another holder reported.

        :param holder: name and incarnation of the other holder.
        :param is_complete: whether programs that it never reported are new,
            of those that it is the primary holder of.
        """
        with self._changed:
            if is_complete:
                self._complete_reports.record(holder)
            for report in reports:
                account = self._account(*report.usage[:2])
                account.merge_report(report)
                self._return_own_tokens(account)
            if reports and not self.standbys.is_registered(holder):
                # It was lost before, and what it reports late is not recorded.
                self._lost_holders.add(holder)
                self._changed.notify_all()

    def _return_own_tokens(self, account: ledger.Account) -> None:
        """Return what an own write allocated that took effect after all."""
        if not account.own_recorded_tokens:
            return
        if not self.standbys.is_primary(account.program_id):
            account.is_standby = True
        self._queue.add(account)

    def known_usage(self, program_id: str) -> usage_messages.UsageAnswer:
        """Return what this holder knows of a program."""
        with self._changed:
            account = self._accounts.get(program_id)
            if account is None:
                return usage_messages.UsageAnswer(None)
            report = account.next_report()
            return usage_messages.UsageAnswer(
                report._replace(usage=account.known_usage())
            )

    def reserve(
        self,
        program_id: str,
        tokens: int,
        budget_tokens: int,
        policy: outage_policy.OutagePolicy,
        is_standby: bool = False,
        reservation_id: str = "",
    ) -> tuple[ReservationResult, tuple[str, ...]]:
        """Reserve the maximum that a turn may generate.

        :param policy: limit of unrecorded tokens.
        :param is_standby: whether this process replaces a primary holder
            that cannot be reached.
        :param reservation_id: name by which the turn is settled.
        :return: the result and the servers of the program's last turns.
        """
        with self._statistics.turn() as turn:
            result, servers = self._reserve(
                turn,
                program_id,
                tokens,
                budget_tokens,
                policy,
                is_standby,
                reservation_id,
            )
            turn.is_granted = isinstance(result, ledger.Reservation)
            return result, servers

    def _reserve(
        self,
        turn: ledger_statistics.Turn,
        program_id: str,
        tokens: int,
        budget_tokens: int,
        policy: outage_policy.OutagePolicy,
        is_standby: bool,
        reservation_id: str,
    ) -> tuple[ReservationResult, tuple[str, ...]]:
        try:
            self._query_earlier_holders(program_id, budget_tokens, is_standby)
        except standbys.UnknownUsageError as error:
            # Other holders would ask the same hosts.
            return (
                RecordingFailure(
                    str(error),
                    is_decided=not is_standby,
                    retry_in_ms=USAGE_RETRY_MS,
                ),
                (),
            )
        finally:
            turn.end_stage(ledger_statistics.Stage.EARLIER_HOLDERS)
        with self._changed:
            turn.end_stage(ledger_statistics.Stage.LOCK)
            account = self._account(program_id, budget_tokens)
            account.max_turn_tokens = max(account.max_turn_tokens, tokens)
            account.is_standby = is_standby
            result = self._reservations.reserve(
                account, tokens, policy, reservation_id
            )
            turn.end_stage(ledger_statistics.Stage.RECORD)
            self._reports.mark_due(program_id)
            if not isinstance(result, ledger.Reservation):
                turn_reservations.log_refusal(
                    account, tokens, is_standby, result
                )
                return result, account.recent_servers
            needs_entry = account.needs_entry
        if not needs_entry:
            return result, account.recent_servers
        is_proven = self._proofs.prove(
            account, tokens, self.journal, self.held_lease_id
        )
        turn.end_stage(ledger_statistics.Stage.ENTRY)
        if not is_proven:
            self.settle(program_id, tokens, 0, "", reservation_id)
            reason = "no storage host confirmed the tokens"
            return RecordingFailure(reason), account.recent_servers
        return result, account.recent_servers

    def settle(
        self,
        program_id: str,
        reserved_tokens: int,
        used_tokens: int,
        server_id: str,
        reservation_id: str = "",
    ) -> bool:
        """Return the unused tokens of a turn's reservation.

        :param server_id: server that ran the turn, empty if none did.
        :param reservation_id: name of the reservation, if it has one.
        :return: whether this process granted it and it was not settled yet.
        """
        with self._changed:
            account = self._accounts.get(program_id)
            if account is None:
                return False
            if not account.settle(
                reserved_tokens, used_tokens, reservation_id
            ):
                return False
            self._queue.add(account)
            self._waits.wake([program_id])
            if account.has_reported_unrecorded:
                self._reports.mark_due(program_id)
            if server_id:
                account.recent_servers = recent_servers.add(
                    account.recent_servers, server_id
                )
            return True

    def settle_lost(
        self,
        program_id: str,
        budget_tokens: int,
        used_tokens: int,
        reservation_id: str,
    ) -> None:
        """Count a turn that a lost holder granted at what it used.

        :param reservation_id: name of the reservation at that holder.
        """
        with self._changed:
            account = self._account(program_id, budget_tokens)
            if account.settle_lost({reservation_id: used_tokens}):
                account.needs_confirmation = True
                self._queue.add(account)

    def run(self) -> None:
        """Record allocations until :meth:`stop`."""
        while True:
            with self._changed:
                if not self._wait_for_work():
                    return
                batch = self._queue.next_batch(self._accounts)
            if batch:
                self._record(batch)
                self._proofs.write_used(batch, self.journal)
            self._take_over_lost_holders()
            self._return_allocations()
            self._reports.send(self.standbys)
            self._sweep()

    def _take_over_lost_holders(self) -> None:
        """Record what lost holders handed out, as primary holder."""
        with self._changed:
            if not self._lost_holders:
                return
            self._lost_holders.clear()
            for account in self._accounts.values():
                if not any(account.others.unrecorded_tokens.values()):
                    continue
                if self.standbys.is_primary(account.program_id):
                    self._record_lost_holders(account)

    def _record_lost_holders(self, account: ledger.Account) -> None:
        account.needs_confirmation = True
        self._queue.add_silently(account)
        self._reports.mark_due(account.program_id)

    def _return_allocations(self) -> None:
        """Return what other holders need for programs that have moved."""
        with self._changed:
            if not self._has_new_members:
                return
            self._has_new_members = False
            for account in self._accounts.values():
                if not self.standbys.is_primary(account.program_id):
                    account.is_standby = True
                    self._queue.add(account)

    def stop(self) -> None:
        """Make :meth:`run` return."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()

    def release(self) -> None:
        """Return unused allocations to the store at a planned stop."""
        with self._changed:
            for account in self._accounts.values():
                account.is_standby = True
                account.needed_tokens = 0
            held = [
                account
                for account in self._accounts.values()
                if account.needs_record()
            ]
        self._recorder.release(held)

    def _query_earlier_holders(
        self, program_id: str, budget_tokens: int, is_standby: bool
    ) -> None:
        """Find out what others handed out, unless the program must be new.

        A caller's process may learn of a lost primary before its successor.
        Standbys that did not answer are asked again with the next turn.

        :raises UnknownUsageError: it cannot be found out now.
        """
        with self._changed:
            account = self._account(program_id, budget_tokens)
            if account.knows_earlier_usage:
                return
            # Reports reach a standby with the primary's next round only.
            is_primary = not is_standby and self.standbys.is_primary(
                program_id
            )
            if is_primary and self._caution.knows_all_holders():
                account.knows_earlier_usage = True
                return
        entries = None
        if not account.has_read_journal:
            entries = self.journal.read(program_id)
            if not entries.is_complete:
                raise standbys.UnknownUsageError(
                    "too few storage hosts tell what earlier holders"
                    " handed out"
                )
        answers = self.standbys.known_usage(program_id)
        with self._changed:
            account = self._account(program_id, budget_tokens)
            if account.knows_earlier_usage:
                # A turn of the same time has merged the same answers.
                return
            account.knows_earlier_usage = answers.is_complete
            if entries is not None:
                account.has_read_journal = True
                account.merge_journal(entries)
            if answers.report is not None:
                account.merge_report(answers.report)
            if is_primary and account.others.have_lost_tokens:
                self._record_lost_holders(account)
                self._changed.notify_all()

    def _account(self, program_id: str, budget_tokens: int) -> ledger.Account:
        account = self._accounts.get(program_id)
        if account is None:
            account = ledger.Account(
                program_id,
                budget_tokens,
                self._holder_id,
                math.ceil(self._clock.now_ms()),
            )
            account.others.may_live = lambda holder: self.standbys.may_live(
                holder
            )
            self._accounts[program_id] = account
        account.last_used_ms = self._clock.now_ms()
        return account

    def _evidence(self, program_id: str) -> outage_policy.Evidence:
        """Return what is known of a program that has no account here.

        Only its primary holder vouches for it. Others may report all that
        they hold and never have held this program.
        """
        primary = self.standbys.primary_of(program_id)
        return outage_policy.Evidence(
            self._caution.knows_all_programs(),
            self._complete_reports.has_recent(primary),
        )

    def _wait_for_work(self) -> bool:
        """Wait until work is due; return whether to continue."""
        waited_from_ms = self._clock.now_ms()
        while not self._is_stopping:
            now_ms = self._clock.now_ms()
            due_ms = self._due_ms(waited_from_ms)
            if now_ms >= due_ms:
                return True
            self._clock.wait_condition(self._changed, due_ms - now_ms)
            if not (self._queue.has_deferred or self._has_peer_work()):
                waited_from_ms = self._clock.now_ms()
        return False

    def _due_ms(self, waited_from_ms: float) -> float:
        """Return when the next transaction or sweep is due."""
        delay_ms = idle_accounts.SWEEP_INTERVAL_MS
        if self._has_peer_work():
            delay_ms = record_queue.BATCH_DELAY_MS
        return self._queue.due_ms(waited_from_ms, waited_from_ms + delay_ms)

    def _has_peer_work(self) -> bool:
        """Return whether other holders need reports, tokens or a successor."""
        return bool(
            self._reports.is_due or self._lost_holders or self._has_new_members
        )

    def _record(self, accounts: Sequence[ledger.Account]) -> None:
        """Record one allocation for each account, in one transaction."""
        started_ms = self._clock.now_ms()
        found = self._recorder.record(accounts)
        self._statistics.add_transaction(
            len(accounts),
            self._clock.now_ms() - started_ms,
            self._recorder.failed_ms is not None,
            found.is_refused,
        )
        with self._changed:
            self._queue.merge(found)
            self._reports.add_corrections(accounts)

    def _sweep(self) -> None:
        """Remove the accounts of idle programs and delete their records."""
        with self._changed:
            ended = self._idle_accounts.sweep()
        if ended:
            self._recorder.delete(ended)
