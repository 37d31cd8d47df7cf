"""Durable proofs of the tokens that a budget holder hands out."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    ledger,
    ledger_recorder,
    record_queue,
    turn_waits,
    usage_journal,
)


class UsageProofs:
    """Makes usage known to successors, in the journal or in the record.

    :param queue: queue of the records, for turns without an entry.
    :param recorder: recorder that writes the records.
    :param clock: time source.
    :param changed: lock of the accounts.
    :param waits: turns that wait for their program's record.
    """

    def __init__(
        self,
        queue: record_queue.RecordQueue,
        recorder: ledger_recorder.AllocationRecorder,
        clock: clocks.Clock,
        changed: threading.Condition,
        waits: turn_waits.TurnWaits,
    ) -> None:
        self._queue = queue
        self._recorder = recorder
        self._clock = clock
        self._changed = changed
        self._waits = waits

    def prove(
        self,
        account: ledger.Account,
        turn_tokens: int,
        journal: usage_journal.UsageJournal,
        held_lease_id: Callable[[], int],
    ) -> bool:
        """Make what is handed out known to successors, in the journal.

        Without a journal, turns wait for a record that shows them.

        :param turn_tokens: tokens of the latest turn.
        :param held_lease_id: returns the lease under which no successor can
            have taken over, 0 without one.
        :return: whether the turn may run.
        """
        lease_id = held_lease_id()
        with self._changed:
            entry = account.next_entry()
        is_written = journal.write([entry])
        if not is_written and not self._await_proof(account):
            return False
        with self._changed:
            if is_written:
                account.confirm_entry(entry)
            is_leased = lease_id > 0 and lease_id == held_lease_id()
            if is_leased and account.is_certain:
                return True
        # Another holder may hand out tokens at the same time. One of the two
        # finds the entry of the other.
        answer = journal.read(account.program_id)
        with self._changed:
            account.merge_journal(answer)
            is_allowed = account.is_within_limits(turn_tokens)
            return answer.is_complete and is_allowed

    def write_used(
        self,
        accounts: Sequence[ledger.Account],
        journal: usage_journal.UsageJournal,
    ) -> None:
        """Write in an outage what turns used, as they end."""
        if self._recorder.failed_ms is None:
            return
        with self._changed:
            unproven = [one for one in accounts if one.has_unproven_use]
            entries = [account.next_entry() for account in unproven]
        if not entries or not journal.write(entries):
            return
        with self._changed:
            for account, entry in zip(unproven, entries, strict=True):
                account.confirm_entry(entry)

    def _await_proof(self, account: ledger.Account) -> bool:
        """Wait for a record that shows what is handed out."""
        until_ms = self._clock.now_ms() + ledger_recorder.RECORD_TIMEOUT_MS
        with self._changed:
            while not account.is_proven:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0 or self._recorder.is_outage():
                    return False
                account.needs_proof = True
                self._queue.add_urgent(account)
                wait_ms = min(left_ms, self._recorder.outage_in_ms())
                self._waits.wait(account.program_id, wait_ms)
            return True
