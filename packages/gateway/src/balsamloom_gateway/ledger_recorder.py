"""Recording of allocations in the store, many in one transaction."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import interfaces, ledger, ledger_records

# The store accepts 32 entries in a transaction; an account needs a condition
# and a write.
MAX_TRANSACTION_ACCOUNTS = 16
# Wait of a turn for its allocation before the store counts as unavailable.
RECORD_TIMEOUT_MS = 60.0
# Minimum interval of calls while the store does not answer.
OUTAGE_RETRY_INTERVAL_MS = 400.0


class PendingPrograms(NamedTuple):
    """Programs that still need an allocation after a transaction.

    Turns wait for the urgent ones.
    """

    urgent: frozenset[str] = frozenset()
    deferred: frozenset[str] = frozenset()


class AllocationRecorder:
    """Recorder of allocations that also detects outages of the store.

    :param store: platform's store.
    :param records: names of the records.
    :param clock: time source.
    :param changed: lock of the accounts; notified after each transaction.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
        changed: threading.Condition,
    ) -> None:
        self._store = store
        self._records = records
        self._clock = clock
        self._changed = changed
        self._writer = uuid.uuid4().hex[:12]
        self._allocation_number = 0
        self._call_started_ms: float | None = None
        # Time of the last failed call, None after a successful one.
        self.failed_ms: float | None = None
        self.failure_reason = ""

    def is_outage(self) -> bool:
        """Return whether the store counts as unavailable now."""
        now_ms = self._clock.now_ms()
        if self.failed_ms is not None:
            return now_ms - self.failed_ms < OUTAGE_RETRY_INTERVAL_MS
        started_ms = self._call_started_ms
        return (
            started_ms is not None and now_ms - started_ms > RECORD_TIMEOUT_MS
        )

    def record(self, accounts: Sequence[ledger.Account]) -> PendingPrograms:
        """Record one allocation for each account, in one transaction."""
        with self._changed:
            allocations = [self._allocate(account) for account in accounts]
            conditions = [
                interfaces.Condition(new.key, new.account.revision)
                for new in allocations
            ]
            writes = [
                interfaces.Write(new.key, ledger_records.encode(new))
                for new in allocations
            ]
            self._call_started_ms = self._clock.now_ms()
        try:
            result = self._store.transact(conditions, writes)
        except interfaces.StoreError as error:
            return self._handle_failure(error, allocations)
        with self._changed:
            self._handle_answer()
            self._changed.notify_all()
            match result:
                case interfaces.Committed(revision):
                    for allocation in allocations:
                        ledger_records.apply_recorded(allocation, revision)
                        _log_recorded(allocation)
                    return PendingPrograms()
                case interfaces.Conflict(items):
                    return _union(
                        _apply_conflict(allocation, items.get(allocation.key))
                        for allocation in allocations
                    )
                case interfaces.LeaseExpired():
                    raise AssertionError("ledger records have no lease")

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

    def _allocate(self, account: ledger.Account) -> ledger_records.Allocation:
        self._allocation_number += 1
        name = f"{self._writer}.{self._allocation_number}"
        tokens = account.requested_tokens
        account.unconfirmed[name] = tokens
        key = self._records.ledger_key(account.program_id)
        total = account.recorded_tokens + tokens
        return ledger_records.Allocation(account, key, name, tokens, total)

    def _handle_answer(self) -> None:
        self._call_started_ms = None
        if self.failed_ms is not None:
            self.failed_ms = None
            self.failure_reason = ""
            events.log(events.Event.STORE_RECOVERED, user="ledger")

    def _handle_failure(
        self,
        error: interfaces.StoreError,
        allocations: list[ledger_records.Allocation],
    ) -> PendingPrograms:
        is_unknown = isinstance(error, interfaces.StoreOutcomeUnknownError)
        deferred = set()
        with self._changed:
            for allocation in allocations:
                account = allocation.account
                if not is_unknown:
                    account.unconfirmed.pop(allocation.name, None)
                if account.unrecorded_tokens:
                    deferred.add(account.program_id)
            if self.failed_ms is None:
                _log_unavailable(error)
            self.failed_ms = self._clock.now_ms()
            self.failure_reason = str(error)
            self._call_started_ms = None
            self._changed.notify_all()
        return PendingPrograms(deferred=frozenset(deferred))


def _apply_conflict(
    allocation: ledger_records.Allocation, item: interfaces.Item | None
) -> PendingPrograms:
    """Apply the conflicting record and request the allocation again.

    The record's latest allocation may belong to this process, if the answer
    to its transaction was lost.
    """
    account = allocation.account
    program_ids = frozenset((account.program_id,))
    account.unconfirmed.pop(allocation.name, None)
    revision = item.revision if item else 0
    if revision == account.revision:
        if allocation.tokens <= 0:
            return PendingPrograms()
        account.requested_tokens = allocation.tokens
        return PendingPrograms(urgent=program_ids)
    decoded = ledger_records.decode(item)
    if decoded is None:
        # The spent tokens are unknown, so the whole budget counts as spent.
        events.log(
            events.Event.RECORD_UNREADABLE,
            logging.WARNING,
            key=allocation.key,
            revision=revision,
            reason="the program's budget counts as spent",
        )
        decoded = ledger_records.Record(account.budget_tokens, "")
    own_tokens = account.unconfirmed.pop(decoded.name, 0)
    account.apply_record(
        decoded.tokens, revision, max(own_tokens, 0), decoded.lost_tokens
    )
    events.log(
        events.Event.BUDGET_RECORD_CHANGED,
        program_id=account.program_id,
        recorded_tokens=decoded.tokens,
        own_tokens=own_tokens,
        lost_tokens=account.lost_tokens,
        revision=revision,
    )
    if not account.unrecorded_tokens:
        return PendingPrograms()
    account.requested_tokens = account.unrecorded_tokens
    return PendingPrograms(deferred=program_ids)


def _union(parts: Iterable[PendingPrograms]) -> PendingPrograms:
    found = list(parts)
    return PendingPrograms(
        frozenset().union(*(part.urgent for part in found)),
        frozenset().union(*(part.deferred for part in found)),
    )


def _log_recorded(allocation: ledger_records.Allocation) -> None:
    events.log(
        events.Event.BUDGET_ALLOCATED,
        program_id=allocation.account.program_id,
        tokens=allocation.tokens,
        recorded_tokens=allocation.total_tokens,
        revision=allocation.account.revision,
    )


def _log_unavailable(error: interfaces.StoreError) -> None:
    events.log(
        events.Event.STORE_UNAVAILABLE,
        logging.WARNING,
        user="ledger",
        reason=str(error),
    )
