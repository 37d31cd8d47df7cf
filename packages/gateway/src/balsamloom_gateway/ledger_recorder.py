"""Recording of allocations in the store, many in one transaction."""

from __future__ import annotations

import logging
import math
import threading
import uuid
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    interfaces,
    ledger,
    ledger_records,
    turn_waits,
)

# The store accepts 32 entries in a transaction; an account needs a condition
# and a write.
MAX_TRANSACTION_ACCOUNTS = 16
# Duration of a call after which the store counts as unavailable.
RECORD_TIMEOUT_MS = 60.0
# Wait of a turn for its allocation: for the transaction that is under way
# when it comes, for one that is full, and for its own.
TURN_TIMEOUT_MS = 3 * RECORD_TIMEOUT_MS
# Minimum interval of calls while the store does not answer.
OUTAGE_RETRY_INTERVAL_MS = 400.0
# Transactions in which a stopping process returns an allocation, at most.
MAX_RELEASE_ATTEMPTS = 4


class PendingPrograms(NamedTuple):
    """Programs that must be recorded after a transaction.

    Turns wait for the urgent ones. ``is_refused`` says that nothing was
    written, as another holder had written the records of the ``contested``
    ones.
    """

    urgent: frozenset[str] = frozenset()
    deferred: frozenset[str] = frozenset()
    contested: frozenset[str] = frozenset()
    is_refused: bool = False


class _Write(NamedTuple):
    """Record of an account that replaces the one of a revision."""

    account: ledger.Account
    key: str
    revision: int
    record: ledger_records.Record


class AllocationRecorder:
    """Recorder of allocations that also detects outages of the store.

    :param store: platform's store.
    :param records: names of the records.
    :param clock: time source.
    :param changed: lock of the accounts.
    :param waits: turns that wait for a transaction or for its failure.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
        changed: threading.Condition,
        waits: turn_waits.TurnWaits,
    ) -> None:
        self._store = store
        self._records = records
        self._clock = clock
        self._changed = changed
        self._waits = waits
        self._writer = uuid.uuid4().hex[:12]
        self._write_number = 0
        self._call_started_ms: float | None = None
        # Time of the last failed call, None after a successful one.
        self.failed_ms: float | None = None
        self.last_failure_ms = -math.inf
        self.failure_reason = ""

    def is_outage(self) -> bool:
        """Return whether the store counts as unavailable now."""
        now_ms = self._clock.now_ms()
        started_ms = self._call_started_ms
        if started_ms is not None and now_ms - started_ms >= RECORD_TIMEOUT_MS:
            return True
        return (
            self.failed_ms is not None
            and now_ms - self.failed_ms < OUTAGE_RETRY_INTERVAL_MS
        )

    def outage_in_ms(self) -> float:
        """Return after what time there may be an outage that is not yet."""
        if self._call_started_ms is None:
            return RECORD_TIMEOUT_MS
        due_ms = self._call_started_ms + RECORD_TIMEOUT_MS
        return max(due_ms - self._clock.now_ms(), 0.0)

    def record(self, accounts: Sequence[ledger.Account]) -> PendingPrograms:
        """Record the shares of accounts, in one transaction."""
        with self._changed:
            writes = [self._prepare(account) for account in accounts]
            started_ms = self._clock.now_ms()
            self._call_started_ms = started_ms
        try:
            result = self._store.transact(
                [
                    interfaces.Condition(one.key, one.revision)
                    for one in writes
                ],
                [
                    interfaces.Write(
                        one.key, ledger_records.encode(one.record)
                    )
                    for one in writes
                ],
            )
        except interfaces.StoreError as error:
            return self._handle_failure(error, writes)
        with self._changed:
            self._handle_answer()
            self._waits.wake(account.program_id for account in accounts)
            match result:
                case interfaces.Committed(revision):
                    for one in writes:
                        _log_recorded(one, revision)
                        one.account.apply_written(
                            one.record, revision, started_ms
                        )
                case interfaces.Conflict(items):
                    for one in writes:
                        _apply_conflict(one, items.get(one.key), started_ms)
                    return _refused_programs(writes, items)
                case interfaces.LeaseExpired():
                    raise AssertionError("ledger records have no lease")
            return PendingPrograms(deferred=_unrecorded(writes))

    def release(self, accounts: Sequence[ledger.Account]) -> None:
        """Return the unused allocations of a process that stops.

        The first failure of the store ends this, as the process has a bounded
        time for its stop. The remaining allocations then count as spent.
        """
        for start in range(0, len(accounts), MAX_TRANSACTION_ACCOUNTS):
            self._release(accounts[start : start + MAX_TRANSACTION_ACCOUNTS])
            if self.failed_ms is not None:
                return

    def _release(self, accounts: Sequence[ledger.Account]) -> None:
        """Return the allocations of a few programs, also after conflicts."""
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if not accounts or self.failed_ms is not None:
                return
            pending = self.record(accounts)
            program_ids = pending.urgent | pending.deferred
            accounts = [
                account
                for account in accounts
                if account.program_id in program_ids
            ]

    def delete(self, accounts: Sequence[ledger.Account]) -> None:
        """Delete the records that no other process has changed."""
        for start in range(0, len(accounts), MAX_TRANSACTION_ACCOUNTS):
            self._delete(accounts[start : start + MAX_TRANSACTION_ACCOUNTS])

    def _delete(self, accounts: Sequence[ledger.Account]) -> None:
        conditions = [
            interfaces.Condition(
                self._records.ledger_key(account.program_id), account.revision
            )
            for account in accounts
            if account.revision
        ]
        keys = [condition.key for condition in conditions]
        if not keys:
            return
        try:
            self._store.transact(conditions, (), keys)
        except interfaces.StoreError as error:
            _log_unavailable(error)

    def _prepare(self, account: ledger.Account) -> _Write:
        self._write_number += 1
        name = f"{self._writer}.{self._write_number}"
        key = self._records.ledger_key(account.program_id)
        return _Write(
            account, key, account.revision, account.next_record(name)
        )

    def _handle_answer(self) -> None:
        self._call_started_ms = None
        if self.failed_ms is not None:
            self.failed_ms = None
            self.failure_reason = ""
            events.log(events.Event.STORE_RECOVERED, user="ledger")

    def _handle_failure(
        self, error: interfaces.StoreError, writes: Sequence[_Write]
    ) -> PendingPrograms:
        is_unknown = isinstance(error, interfaces.StoreOutcomeUnknownError)
        with self._changed:
            for one in writes:
                one.account.handle_failed_write(is_unknown)
            if self.failed_ms is None:
                _log_unavailable(error)
            self.failed_ms = self._clock.now_ms()
            self.last_failure_ms = self.failed_ms
            self.failure_reason = str(error)
            self._call_started_ms = None
            self._waits.wake_all()
        return PendingPrograms(
            deferred=frozenset(one.account.program_id for one in writes)
        )


def _apply_conflict(
    write: _Write, item: interfaces.Item | None, started_ms: float
) -> None:
    """Apply the record that conflicts with a write, if it is another one.

    A transaction is refused as a whole, so most of its records are the same.
    """
    account = write.account
    revision = _revision(item)
    if revision == write.revision:
        account.confirm_record(started_ms)
        return
    record = ledger_records.decode(item)
    if record is None:
        # The used tokens are unknown, so the whole budget counts as spent.
        events.log(
            events.Event.RECORD_UNREADABLE,
            logging.WARNING,
            key=write.key,
            revision=revision,
            reason="the program's budget counts as spent",
        )
        share = ledger_records.Share().extended_by(account.budget_tokens)
        record = ledger_records.Record({ledger_records.UNKNOWN_HOLDER: share})
    account.apply_record(record, revision, started_ms)
    events.log(
        events.Event.BUDGET_RECORD_CHANGED,
        program_id=account.program_id,
        recorded_tokens=record.allocated_tokens,
        shares=record.shares,
        own_tokens=account.own_recorded_tokens,
        lost_tokens=account.lost_tokens,
        recorded_lost_tokens=record.lost_tokens,
        revision=revision,
    )


def _refused_programs(
    writes: Sequence[_Write], items: Mapping[str, interfaces.Item]
) -> PendingPrograms:
    """Return what to record after a transaction that was refused.

    All are urgent, as turns may wait for them.

    :param items: present records by key.
    """
    contested = frozenset(
        one.account.program_id
        for one in writes
        if _revision(items.get(one.key)) != one.revision
    )
    return PendingPrograms(
        urgent=_unrecorded(writes), contested=contested, is_refused=True
    )


def _unrecorded(writes: Sequence[_Write]) -> frozenset[str]:
    """Return the programs that must be recorded again."""
    return frozenset(
        one.account.program_id for one in writes if one.account.needs_record()
    )


def _revision(item: interfaces.Item | None) -> int:
    return item.revision if item else 0


def _log_recorded(write: _Write, revision: int) -> None:
    events.log(
        events.Event.BUDGET_ALLOCATED,
        program_id=write.account.program_id,
        shares=write.record.shares,
        change_tokens=write.record.allocated_tokens
        - write.account.recorded_tokens,
        recorded_tokens=write.record.allocated_tokens,
        recorded_lost_tokens=write.record.lost_tokens,
        revision=revision,
    )


def _log_unavailable(error: interfaces.StoreError) -> None:
    events.log(
        events.Event.STORE_UNAVAILABLE,
        logging.WARNING,
        user="ledger",
        reason=str(error),
    )
