"""Append-only journal of a member in the key-value service.

A segment is created at the next sequence number, only if its key is absent and
the previous segment is unchanged. A successor ends a journal by creating the
next key itself (the seal), so commits of the deposed owner fail however long
it was paused. The condition on the previous segment keeps the fence in place
after the sealed journal was deleted.
"""

from __future__ import annotations

import logging
import secrets
import threading
from collections.abc import Callable, Sequence
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    batches,
    journal_storage,
    pacing,
    records_pb2,
    segments,
)

DEFAULT_COMMITS_PER_S = 3.5
DEFAULT_BURST = 8
IDLE_WAIT_MS = 1_000


Durable = batches.Durable
Pending = batches.Pending
Deposed = batches.Deposed
CommitState = batches.CommitState
Batch = batches.Batch
MAX_BATCH_BYTES = batches.MAX_BATCH_BYTES


class Journal:
    """Group commit of one member's records.

    One thread writes; callers append and wait. Without :meth:`start`, the
    caller of :meth:`wait` does the writes, which makes tests deterministic.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param clock: time source.
    :param commits_per_s: maximum sustained rate of commits.
    :param burst: commits that are not delayed after an idle time.
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
        self.bucket = pacing.TokenBucket(commits_per_s, burst, clock)
        self._store = store
        self._clock = clock
        self._backoff = pacing.Backoff()
        self._changed = threading.Condition()
        self._write_lock = threading.Lock()
        self._waiting: list[Batch] = []
        self._group: batches.Group | None = None
        self._written: list[segments.SegmentInfo] = []
        self._sequence = 0
        self._previous: stores.RevisionIs | None = None
        self._first_segment = segments.encode(
            [], member_id, secrets.token_hex(8)
        )
        self._is_closed = False
        self.is_deposed = False
        self.failing_since_ms: float | None = None
        self._thread: threading.Thread | None = None

    def open(self) -> None:
        """Write the first segment, which has no records.

        The first commit needs a previous segment to be fenced like the later
        ones. Calling this again has no effect once it succeeded.

        :raises StoreUnavailable: if the store does not answer.
        :raises BalsamloomError: with ``WRONG_OWNER`` if the journal exists.
        """
        if self._previous is not None:
            return
        if not self._write(self._first_segment):
            self.depose()
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        self._written.append(
            segments.SegmentInfo(0, len(self._first_segment), {})
        )
        self._sequence = 1

    def start(self) -> None:
        """Start the writing thread."""
        self._thread = threading.Thread(
            target=self._run, name="journal", daemon=True
        )
        self._thread.start()

    def append(self, records: Sequence[records_pb2.Record]) -> Batch:
        """Queue records for the next commit.

        :param records: records that become durable together.
        :return: batch whose ``done`` event is set once its state is final.
        :raises BalsamloomError: with ``HISTORY_TOO_LONG`` if the records do
            not fit into one segment.
        """
        batch = Batch(records)
        if batch.size_bytes > MAX_BATCH_BYTES:
            raise errors.BalsamloomError(
                results.ResultCode.HISTORY_TOO_LONG,
                f"batch of records has {batch.size_bytes} bytes; accepted: "
                f"at most {MAX_BATCH_BYTES}",
            )
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
        if self._thread is None:
            self._write_until(batch, self._clock.now_ms() + timeout_ms)
        else:
            self._clock.wait(batch.done, timeout_ms)
        return batch.state

    def flush(self, timeout_ms: float) -> bool:
        """Wait until all batches appended so far are durable.

        :param timeout_ms: longest wait.
        """
        with self._changed:
            last = self._waiting[-1] if self._waiting else None
        if last is None:
            return not self.is_deposed
        return isinstance(self.wait(last, timeout_ms), Durable)

    def close(self, timeout_ms: float) -> bool:
        """Commit the queued batches and stop the thread.

        :param timeout_ms: longest wait.
        :return: whether all batches became durable.
        """
        is_flushed = self.flush(timeout_ms)
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        return is_flushed

    def fence_comparisons(self) -> list[stores.Comparison]:
        """Return comparisons that hold unless this journal was sealed.

        They fail as well if a segment is written in the meantime.
        """
        next_key = stores.KeyAbsent(self._key(self._sequence))
        return [next_key, *([self._previous] if self._previous else [])]

    def written_segments(self) -> list[segments.SegmentInfo]:
        """Return the segments in the store, oldest first."""
        with self._changed:
            return list(self._written)

    def delete_oldest(self, count: int) -> None:
        """Delete the oldest segments, never the newest one.

        :param count: number of segments.
        :raises StoreUnavailable: if the store does not answer; a later call
            then deletes the segments.
        """
        with self._changed:
            oldest = self._written[:-1][:count]
        if not oldest:
            return
        self.bucket.acquire()
        self._store.commit(
            [], [stores.Delete(self._key(info.sequence)) for info in oldest]
        )
        with self._changed:
            del self._written[: len(oldest)]

    def depose(self) -> None:
        """Reject all waiting and later batches: the journal was sealed."""
        with self._changed:
            if self.is_deposed:
                return
            self.is_deposed = True
            abandoned, self._waiting = self._waiting, []
            self._changed.notify_all()
        events.log(
            events.Event.MEMBER_DEPOSED,
            logging.WARNING,
            member_id=self.member_id,
        )
        for batch in abandoned:
            batch.finish(Deposed())

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        with self._changed:
            return {
                "member_id": self.member_id,
                "next_sequence": self._sequence,
                "segments": len(self._written),
                "size_bytes": sum(info.size_bytes for info in self._written),
                "waiting_batches": len(self._waiting),
                "is_deposed": self.is_deposed,
                "failing_since_ms": self.failing_since_ms,
            }

    def _run(self) -> None:
        while self._wait_for_work():
            try:
                if not self._write_next_group(self._clock.sleep):
                    return
            except Exception as error:
                # The thread must survive: without it nothing becomes durable.
                events.log(
                    events.Event.JOURNAL_COMMIT_FAILED,
                    logging.ERROR,
                    cause=repr(error),
                )
                self._clock.sleep(self._backoff.next_delay_ms())

    def _write_until(self, batch: Batch, end_ms: float) -> None:
        def sleep(duration_ms: float) -> None:
            remaining_ms = max(end_ms - self._clock.now_ms(), 0)
            self._clock.sleep(min(duration_ms, remaining_ms))

        with self._write_lock:
            while not batch.done.is_set():
                if (
                    not self._write_next_group(sleep)
                    or self._clock.now_ms() >= end_ms
                ):
                    return

    def _wait_for_work(self) -> bool:
        with self._changed:
            while not self._waiting:
                if self._is_closed or self.is_deposed:
                    return False
                self._changed.wait(IDLE_WAIT_MS / clocks.MS_PER_S)
        return True

    def _write_next_group(self, sleep: Callable[[float], None]) -> bool:
        """Try once to write the next group; return false if deposed."""
        self.bucket.acquire()
        group = self._group or self._next_group()
        self._group = group
        try:
            is_written = self._write(group.value)
        except stores.StoreUnavailable as error:
            self._record_failure(error)
            sleep(self._backoff.next_delay_ms())
            return True
        self._record_success()
        if not is_written:
            self.depose()
            return False
        self._finish_group(group)
        return True

    def _next_group(self) -> batches.Group:
        with self._changed:
            waiting = list(self._waiting)
        group = batches.group(waiting, self.member_id)
        now_ms = self._clock.now_ms()
        for batch in group.batches:
            batch.write_started_ms = now_ms
        return group

    def _finish_group(self, group: batches.Group) -> None:
        records = [
            record for batch in group.batches for record in batch.records
        ]
        info = segments.summarize(self._sequence, records)
        with self._changed:
            self._written.append(info)
            self._sequence += 1
            self._group = None
            del self._waiting[: len(group.batches)]
        for batch in group.batches:
            batch.finish(Durable())

    def _write(self, value: bytes) -> bool:
        key = self._key(self._sequence)
        comparisons: list[stores.Comparison] = [stores.KeyAbsent(key)]
        if self._previous is not None:
            comparisons.append(self._previous)
        match self._store.commit(comparisons, [stores.Put(key, value)]):
            case stores.Committed(revision=revision):
                self._previous = stores.RevisionIs(key, revision)
                return True
            case stores.Conflict(current=current):
                # An earlier attempt may have succeeded with its answer lost.
                # The nonce distinguishes the value from any other write.
                item = current.get(key)
                if item is None or item.value != value:
                    return False
                self._previous = stores.RevisionIs(key, item.mod_revision)
                return True

    def _key(self, sequence: int) -> str:
        return journal_storage.SegmentId(self.member_id, sequence).store_key()

    def _record_failure(self, error: stores.StoreUnavailable) -> None:
        if self.failing_since_ms is None:
            self.failing_since_ms = self._clock.now_ms()
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                cause=error.message,
            )

    def _record_success(self) -> None:
        self._backoff.reset()
        if self.failing_since_ms is not None:
            outage_ms = self._clock.now_ms() - self.failing_since_ms
            self.failing_since_ms = None
            events.log(
                events.Event.STORE_RECOVERED, outage_ms=round(outage_ms)
            )


def seal(
    store: stores.Store, member_id: str, sealer_id: str
) -> list[records_pb2.Record]:
    """End another member's journal and return its records.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param sealer_id: member that seals the journal.
    :raises StoreUnavailable: if the store does not answer; sealing again is
        safe.
    """
    content = journal_storage.seal(store, member_id, sealer_id)
    return content.records if content is not None else []
