"""A member's append-only journal in the key-value service.

Each segment is created only if its key is absent, at the next sequence number.
A successor ends a journal by creating the next key itself (the seal), so a
deposed owner's commit fails however long the owner was paused.
"""

from __future__ import annotations

import dataclasses
import logging
import secrets
import threading
from collections.abc import Sequence
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_platform import store as stores
from balsamloom_state import records_pb2, segments

PREFIX = "/balsamloom/journal/"
DEFAULT_COMMITS_PER_S = 3.5
DEFAULT_BURST = 8
MAX_BATCH_BYTES = 700_000
RETRY_MS = 250
MAX_RETRY_MS = 5_000
IDLE_WAIT_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Durable:
    """The records are in the store."""


@dataclasses.dataclass(frozen=True)
class Pending:
    """The records are not durable yet; the journal goes on trying."""


@dataclasses.dataclass(frozen=True)
class Deposed:
    """A successor sealed the journal; the records will never be durable."""


CommitState = Durable | Pending | Deposed


class Batch:
    """Records that become durable together."""

    def __init__(self, records: Sequence[records_pb2.Record]) -> None:
        self.records = list(records)
        self.size_bytes = sum(record.ByteSize() for record in records)
        self.done = threading.Event()
        self.state: CommitState = Pending()

    def finish(self, state: CommitState) -> None:
        """Set the final state and wake those who wait.

        :param state: ``Durable`` or ``Deposed``.
        """
        self.state = state
        self.done.set()


class SegmentKey(NamedTuple):
    """Place of a segment."""

    member_id: str
    sequence: int

    def text(self) -> str:
        """Return the key in the store."""
        return f"{PREFIX}{self.member_id}/{self.sequence:010d}"


class TokenBucket:
    """Limits the rate of commits.

    :param rate_per_s: tokens added each second.
    :param burst: most tokens held.
    :param clock: time source.
    """

    def __init__(
        self, rate_per_s: float, burst: int, clock: clocks.Clock
    ) -> None:
        self._rate_per_ms = rate_per_s / clocks.MS_PER_S
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._updated_ms = clock.now_ms()

    def take(self) -> float:
        """Take a token if there is one.

        :return: zero if a token was taken, else the time until there is one,
            in ms.
        """
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._updated_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_ms = now_ms
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._rate_per_ms


class Journal:
    """Group commit of one member's records.

    One thread writes; callers append and wait.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param clock: time source.
    :param commits_per_s: highest lasting rate of commits.
    :param burst: commits that may follow each other at once after a pause.
    """

    def __init__(
        self,
        store: stores.Store,
        member_id: str,
        clock: clocks.Clock,
        commits_per_s: float = DEFAULT_COMMITS_PER_S,
        burst: int = DEFAULT_BURST,
    ) -> None:
        self.member_id = member_id
        self._store = store
        self._clock = clock
        self._bucket = TokenBucket(commits_per_s, burst, clock)
        self._changed = threading.Condition()
        self._waiting: list[Batch] = []
        self._sequence = 0
        self._is_closed = False
        self.is_deposed = False
        self.failing_since_ms: float | None = None
        self._thread = threading.Thread(
            target=self._run, name="journal", daemon=True
        )

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def append(self, records: Sequence[records_pb2.Record]) -> Batch:
        """Queue records for the next commit.

        :param records: records that become durable together.
        :return: batch whose ``done`` event is set at the end.
        """
        batch = Batch(records)
        with self._changed:
            if self.is_deposed:
                batch.finish(Deposed())
            else:
                self._waiting.append(batch)
                self._changed.notify_all()
        return batch

    def wait(self, batch: Batch, timeout_ms: float) -> CommitState:
        """Wait until a batch is durable.

        :param batch: batch from :meth:`append`.
        :param timeout_ms: longest wait.
        """
        self._clock.wait(batch.done, timeout_ms)
        return batch.state

    def close(self, timeout_ms: float) -> bool:
        """Commit what is waiting and stop the thread.

        :param timeout_ms: longest wait.
        :return: whether everything became durable.
        """
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._thread.join(timeout_ms / clocks.MS_PER_S)
        with self._changed:
            return not self._waiting

    def describe(self) -> dict[str, Any]:
        """Return state for the dump."""
        with self._changed:
            return {
                "member_id": self.member_id,
                "next_sequence": self._sequence,
                "waiting_batches": len(self._waiting),
                "is_deposed": self.is_deposed,
                "failing_since_ms": self.failing_since_ms,
            }

    def _run(self) -> None:
        while True:
            if not self._wait_for_work():
                return
            self._clock.sleep(self._bucket.take())
            group = self._next_group()
            if not self._commit_group(group):
                self._depose()
                return

    def _wait_for_work(self) -> bool:
        with self._changed:
            while not self._waiting:
                if self._is_closed:
                    return False
                self._changed.wait(IDLE_WAIT_MS / clocks.MS_PER_S)
        return True

    def _next_group(self) -> list[Batch]:
        group: list[Batch] = []
        size_bytes = 0
        with self._changed:
            for batch in self._waiting:
                size_bytes += batch.size_bytes
                if group and size_bytes > MAX_BATCH_BYTES:
                    break
                group.append(batch)
        return group

    def _commit_group(self, group: list[Batch]) -> bool:
        records = [record for batch in group for record in batch.records]
        nonce = secrets.token_hex(8)
        value = segments.encode(records, self.member_id, nonce)
        if not self._write_until_known(value, nonce):
            return False
        with self._changed:
            self._sequence += 1
            del self._waiting[: len(group)]
        for batch in group:
            batch.finish(Durable())
        return True

    def _write_until_known(self, value: bytes, nonce: str) -> bool:
        key = SegmentKey(self.member_id, self._sequence).text()
        delay_ms = RETRY_MS
        while True:
            try:
                written = self._write(key, value, nonce)
            except stores.StoreUnavailable as error:
                self._note_failure(error)
                self._clock.sleep(delay_ms)
                delay_ms = min(delay_ms * 2, MAX_RETRY_MS)
                continue
            self._note_success()
            return written

    def _write(self, key: str, value: bytes, nonce: str) -> bool:
        outcome = self._store.commit(
            [stores.KeyAbsent(key)], [stores.Put(key, value)]
        )
        match outcome:
            case stores.Committed():
                return True
            case stores.Conflict(current=current):
                # An earlier try may have taken effect with its answer lost.
                found = segments.decode(key, current[key].value)
                return found.nonce == nonce

    def _note_failure(self, error: stores.StoreUnavailable) -> None:
        if self.failing_since_ms is None:
            self.failing_since_ms = self._clock.now_ms()
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                cause=error.message,
            )

    def _note_success(self) -> None:
        if self.failing_since_ms is not None:
            outage_ms = self._clock.now_ms() - self.failing_since_ms
            self.failing_since_ms = None
            events.log(
                events.Event.STORE_RECOVERED, outage_ms=round(outage_ms)
            )

    def _depose(self) -> None:
        with self._changed:
            self.is_deposed = True
            abandoned, self._waiting = self._waiting, []
        events.log(
            events.Event.MEMBER_DEPOSED,
            logging.WARNING,
            member_id=self.member_id,
        )
        for batch in abandoned:
            batch.finish(Deposed())


class SealedJournal(NamedTuple):
    """A journal that can no longer grow."""

    member_id: str
    records: list[records_pb2.Record]
    segment_count: int


def read(
    store: stores.Store, member_id: str, page_size: int = 16
) -> tuple[list[records_pb2.Record], int, bool]:
    """Read a journal.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param page_size: segments read in one call.
    :return: records in order, the next free sequence number, whether it is
        sealed.
    :raises StoreUnavailable: if the store does not answer.
    :raises DamagedSegment: if a segment fails its checks.
    """
    prefix = f"{PREFIX}{member_id}/"
    records: list[records_pb2.Record] = []
    start, next_sequence, is_sealed = "", 0, False
    while True:
        page = store.list_keys(prefix, page_size, start)
        for item in page.items:
            segment = segments.decode(item.key, item.value)
            records.extend(segments.records_of(segment))
            next_sequence = int(item.key.rpartition("/")[2]) + 1
            is_sealed = is_sealed or segment.is_seal
        if not page.more:
            return records, next_sequence, is_sealed
        start = page.items[-1].key + "\0"


def seal(
    store: stores.Store, member_id: str, sealer_id: str
) -> list[records_pb2.Record]:
    """End another member's journal and return its records.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param sealer_id: member that seals.
    :raises StoreUnavailable: if the store does not answer; sealing again is
        safe.
    """
    while True:
        records, next_sequence, is_sealed = read(store, member_id)
        if is_sealed:
            return records
        key = SegmentKey(member_id, next_sequence).text()
        value = segments.encode_seal(sealer_id, secrets.token_hex(8))
        outcome = store.commit(
            [stores.KeyAbsent(key)], [stores.Put(key, value)]
        )
        if isinstance(outcome, stores.Committed):
            events.log(
                events.Event.JOURNAL_SEALED,
                member_id=member_id,
                sequence=next_sequence,
            )
            return records
