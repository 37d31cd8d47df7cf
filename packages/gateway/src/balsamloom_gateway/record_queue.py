"""Queue of the programs whose records are to be written."""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import ledger, ledger_recorder

# Delay of allocations that no turn waits for, so that many share a batch.
BATCH_DELAY_MS = 300.0
# A program that another holder writes as well is recorded by itself, as a
# conflict refuses a whole transaction. One may come from a change of holders.
MIN_CONFLICTS = 2
# Conflicts count for this time.
CONFLICT_AGE_MS = 1_000.0
# A turn that was not served comes again within this time.
NEEDED_MS = 1_000.0


class _Conflicts(NamedTuple):
    """Number and last time of a program's conflicts."""

    number: int = 0
    last_ms: float = 0.0


class RecordQueue:
    """Queue of programs; turns wait for the records of the urgent ones.

    The lock is held during each call.

    :param recorder: recorder that writes the records.
    :param clock: time source.
    :param changed: lock of the accounts; notified when a batch becomes due.
    """

    def __init__(
        self,
        recorder: ledger_recorder.AllocationRecorder,
        clock: clocks.Clock,
        changed: threading.Condition,
    ) -> None:
        self._recorder = recorder
        self._clock = clock
        self._changed = changed
        self._urgent: set[str] = set()
        self._deferred: set[str] = set()
        # By program, the one whose last conflict is the oldest first.
        self._conflicts: dict[str, _Conflicts] = {}
        self._was_contested = False

    @property
    def has_deferred(self) -> bool:
        """Return whether records are due for which no turn waits."""
        return bool(self._deferred)

    def is_urgent(self, account: ledger.Account) -> bool:
        """Return whether turns wait for the record of a program."""
        return account.program_id in self._urgent

    def add_urgent(self, account: ledger.Account) -> None:
        """Add a program for whose record a turn waits."""
        if not self._urgent:
            self._changed.notify_all()
        self._urgent.add(account.program_id)

    def add(self, account: ledger.Account) -> None:
        """Add a program if its record should be written soon."""
        if not account.needs_record():
            return
        if account.program_id not in self._deferred:
            self._deferred.add(account.program_id)
            size = ledger_recorder.MAX_TRANSACTION_ACCOUNTS
            if len(self._deferred) in (1, size):
                self._changed.notify_all()

    def add_silently(self, account: ledger.Account) -> None:
        """Add a program without a notification of the waiting threads."""
        self._deferred.add(account.program_id)

    def merge(self, pending: ledger_recorder.PendingPrograms) -> None:
        """Add the programs that a transaction left to be recorded."""
        self._urgent |= pending.urgent
        self._deferred |= pending.deferred
        now_ms = self._clock.now_ms()
        for program_id in pending.contested:
            known = self._conflicts.pop(program_id, _Conflicts())
            self._conflicts[program_id] = _Conflicts(known.number + 1, now_ms)

    def withdraw(self, account: ledger.Account) -> None:
        """Drop an urgent program together with the need of its turn."""
        self._urgent.discard(account.program_id)
        account.needed_tokens = 0

    def due_ms(self, waited_from_ms: float, other_due_ms: float) -> float:
        """Return when the next batch is due.

        :param waited_from_ms: time since which its programs wait.
        :param other_due_ms: result without any program.
        """
        failed_ms = self._recorder.failed_ms
        if failed_ms is not None and (self._urgent or self._deferred):
            retry_ms = failed_ms + ledger_recorder.OUTAGE_RETRY_INTERVAL_MS
            if self._urgent:
                return retry_ms
            # A round may find nothing to record and leave the failure.
            return max(retry_ms, waited_from_ms + BATCH_DELAY_MS)
        if self._urgent:
            return waited_from_ms
        if len(self._deferred) >= ledger_recorder.MAX_TRANSACTION_ACCOUNTS:
            return waited_from_ms
        if self._deferred:
            return waited_from_ms + BATCH_DELAY_MS
        return other_due_ms

    def next_batch(
        self, accounts: Mapping[str, ledger.Account]
    ) -> list[ledger.Account]:
        """Remove and return the accounts of the next transaction.

        Of those that are to be written together and the contested ones, which
        are written one by one, each come in turn.

        :param accounts: accounts by program.
        """
        self._forget_conflicts()
        waiting = [*self._urgent, *(self._deferred - self._urgent)]
        contested = [
            program_id
            for program_id, conflicts in self._conflicts.items()
            if conflicts.number >= MIN_CONFLICTS
        ]
        shared = [one for one in waiting if one not in contested]
        contested = [one for one in contested if one in waiting]
        found = self._take(shared, accounts) if self._was_contested else []
        if not found:
            found = self._take(contested[:1], accounts)
        self._was_contested = bool(found) and found[0].program_id in contested
        return found or self._take(shared, accounts)

    def _take(
        self,
        program_ids: Sequence[str],
        accounts: Mapping[str, ledger.Account],
    ) -> list[ledger.Account]:
        """Remove programs until a transaction is full; return its accounts."""
        found: list[ledger.Account] = []
        for program_id in program_ids:
            if len(found) == ledger_recorder.MAX_TRANSACTION_ACCOUNTS:
                break
            self._urgent.discard(program_id)
            self._deferred.discard(program_id)
            account = accounts.get(program_id)
            if account is None:
                continue
            self._expire_need(account)
            if account.needs_record():
                found.append(account)
        return found

    def _forget_conflicts(self) -> None:
        oldest_ms = self._clock.now_ms() - CONFLICT_AGE_MS
        self._conflicts = {
            program_id: conflicts
            for program_id, conflicts in self._conflicts.items()
            if conflicts.last_ms > oldest_ms
        }

    def _expire_need(self, account: ledger.Account) -> None:
        """Drop the need of a turn that has not come again."""
        if not account.needed_tokens:
            return
        if self._clock.now_ms() - account.needed_since_ms < NEEDED_MS:
            self._deferred.add(account.program_id)
        else:
            account.needed_tokens = 0
