"""Writes budget blocks to the store, many programs in one transaction."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import interfaces, ledger, ledger_records

# The store takes 32 entries in a transaction; each account needs a condition
# and a write.
TRANSACTION_ACCOUNTS = 16
# Time that a turn waits for its block before the store counts as away.
RECORD_WAIT_MS = 60.0
# Least time between calls while the store does not answer.
OUTAGE_RETRY_MS = 400.0


class FollowUp(NamedTuple):
    """Programs whose blocks have to be recorded after a transaction.

    Turns wait for the urgent ones.
    """

    urgent: frozenset[str] = frozenset()
    ahead: frozenset[str] = frozenset()


class Recorder:
    """Records blocks of accounts and notes whether the store answers.

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
        self._block_number = 0
        self._call_started_ms: float | None = None
        # Time of the last call without an answer, if no answer came since.
        self.failed_ms: float | None = None
        self.failure_reason = ""

    def is_away(self) -> bool:
        """Return whether the store has not answered for a while."""
        now_ms = self._clock.now_ms()
        if self.failed_ms is not None:
            return now_ms - self.failed_ms < OUTAGE_RETRY_MS
        started_ms = self._call_started_ms
        return started_ms is not None and now_ms - started_ms > RECORD_WAIT_MS

    def record(self, accounts: Sequence[ledger.Account]) -> FollowUp:
        """Record one block for each account, in one transaction."""
        with self._changed:
            blocks = [self._new_block(account) for account in accounts]
            conditions = [
                interfaces.Condition(block.key, block.account.revision)
                for block in blocks
            ]
            writes = [
                interfaces.Write(block.key, ledger_records.encode(block))
                for block in blocks
            ]
            self._call_started_ms = self._clock.now_ms()
        try:
            result = self._store.transact(conditions, writes)
        except interfaces.StoreError as error:
            return self._note_failure(error, blocks)
        with self._changed:
            self._note_answer()
            self._changed.notify_all()
            match result:
                case interfaces.Committed(revision):
                    for block in blocks:
                        ledger_records.take_recorded(block, revision)
                    return FollowUp()
                case interfaces.Conflict(items):
                    return _join(
                        _take_conflict(block, items.get(block.key))
                        for block in blocks
                    )
                case interfaces.LeaseGone():
                    raise AssertionError("ledger records have no lease")

    def delete(self, accounts: Sequence[ledger.Account]) -> None:
        """Delete records that no other process has written since."""
        for start in range(0, len(accounts), TRANSACTION_ACCOUNTS):
            self._delete(accounts[start : start + TRANSACTION_ACCOUNTS])

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

    def _new_block(self, account: ledger.Account) -> ledger_records.Block:
        self._block_number += 1
        name = f"{self._writer}.{self._block_number}"
        tokens = account.wanted_tokens
        account.unconfirmed[name] = tokens
        key = self._records.ledger_key(account.program_id)
        total = account.recorded_tokens + tokens
        return ledger_records.Block(account, key, name, tokens, total)

    def _note_answer(self) -> None:
        self._call_started_ms = None
        if self.failed_ms is not None:
            self.failed_ms = None
            self.failure_reason = ""
            events.log(events.Event.STORE_RECOVERED, user="ledger")

    def _note_failure(
        self, error: interfaces.StoreError, blocks: list[ledger_records.Block]
    ) -> FollowUp:
        is_unknown = isinstance(error, interfaces.StoreOutcomeUnknownError)
        ahead = set()
        with self._changed:
            for block in blocks:
                account = block.account
                if not is_unknown:
                    account.unconfirmed.pop(block.name, None)
                if account.exposed_tokens:
                    ahead.add(account.program_id)
            if self.failed_ms is None:
                _log_unavailable(error)
            self.failed_ms = self._clock.now_ms()
            self.failure_reason = str(error)
            self._call_started_ms = None
            self._changed.notify_all()
        return FollowUp(ahead=frozenset(ahead))


def _take_conflict(
    block: ledger_records.Block, item: interfaces.Item | None
) -> FollowUp:
    """Take the record as it is; a block still wanted is asked for again.

    The latest block of the record may be one of this process whose answer
    was lost.
    """
    account = block.account
    name = frozenset((account.program_id,))
    account.unconfirmed.pop(block.name, None)
    revision = item.revision if item else 0
    if revision == account.revision:
        if block.tokens <= 0:
            return FollowUp()
        account.wanted_tokens = block.tokens
        return FollowUp(urgent=name)
    decoded = ledger_records.decode(item)
    if decoded is None:
        # Nothing is known of what was spent, so all of it may be.
        events.log(
            events.Event.RECORD_UNREADABLE,
            logging.WARNING,
            key=block.key,
            revision=revision,
            reason="the program's budget counts as spent",
        )
        decoded = account.budget_tokens, ""
    total, latest = decoded
    own = account.unconfirmed.pop(latest, 0)
    account.recorded(total, revision, max(own, 0))
    events.log(
        events.Event.BUDGET_RECORD_CHANGED,
        program_id=account.program_id,
        recorded_tokens=total,
        own_tokens=own,
        revision=revision,
    )
    if not account.exposed_tokens:
        return FollowUp()
    account.wanted_tokens = account.exposed_tokens
    return FollowUp(ahead=name)


def _join(parts: Iterable[FollowUp]) -> FollowUp:
    found = list(parts)
    return FollowUp(
        frozenset().union(*(part.urgent for part in found)),
        frozenset().union(*(part.ahead for part in found)),
    )


def _log_unavailable(error: interfaces.StoreError) -> None:
    events.log(
        events.Event.STORE_UNAVAILABLE,
        logging.WARNING,
        user="ledger",
        reason=str(error),
    )
