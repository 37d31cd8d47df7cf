"""Group commit: writes the records of several callers in one transaction."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import database
from balsamloom_core import clock as clocks

# Limit the commit time, which delays every record of the batch.
MAX_COMMIT_RECORDS = 200
MAX_COMMIT_BYTES = 4_000_000


class RecordWriteError(Exception):
    """Records could not be written to the disk."""


class _Batch:
    """Records of one caller and the result of writing them."""

    def __init__(self, new_records: Sequence[database.Record]) -> None:
        self.records = new_records
        self.size_bytes = sum(record.size_bytes for record in new_records)
        self.done = threading.Event()
        self.error: str | None = None


class GroupCommit:
    """Write queue; records that wait at the same time share a commit.

    :param add: writes records and syncs them to the disk.
    :param clock: time source.
    """

    def __init__(
        self,
        add: Callable[[Sequence[database.Record]], None],
        clock: clocks.Clock,
    ) -> None:
        self._add = add
        self._clock = clock
        self._queue_changed = threading.Condition()
        self._queue: list[_Batch] = []
        self._is_stopping = False

    def write(
        self, new_records: Sequence[database.Record], timeout_ms: float
    ) -> None:
        """Write records and wait until they are on the disk.

        :raises RecordWriteError: the write failed, timed out, or the process
            is stopping.
        """
        if not new_records:
            return
        batch = _Batch(new_records)
        with self._queue_changed:
            if self._is_stopping:
                raise RecordWriteError("the process is stopping")
            self._queue.append(batch)
            self._queue_changed.notify()
        if not self._clock.wait(batch.done, timeout_ms):
            raise RecordWriteError("timed out waiting for the disk")
        if batch.error is not None:
            raise RecordWriteError(batch.error)

    def run(self) -> None:
        """Write records until :meth:`stop`, then those still queued."""
        while True:
            with self._queue_changed:
                while not self._queue and not self._is_stopping:
                    self._queue_changed.wait()
                if not self._queue:
                    return
                batches = self._take_batches()
            self._write(batches)

    def stop(self) -> None:
        """Accept no more records and let :meth:`run` end."""
        with self._queue_changed:
            self._is_stopping = True
            self._queue_changed.notify_all()

    def _take_batches(self) -> list[_Batch]:
        """Take the first batches that fit into a commit, at least one."""
        taken: list[_Batch] = []
        record_count, size_bytes = 0, 0
        for batch in self._queue:
            record_count += len(batch.records)
            size_bytes += batch.size_bytes
            is_full = (
                record_count > MAX_COMMIT_RECORDS
                or size_bytes > MAX_COMMIT_BYTES
            )
            if taken and is_full:
                break
            taken.append(batch)
        del self._queue[: len(taken)]
        return taken

    def _write(self, batches: list[_Batch]) -> None:
        new_records = [record for batch in batches for record in batch.records]
        error = None
        try:
            self._add(new_records)
        except database.DatabaseError as failure:
            error = str(failure)
        for batch in batches:
            batch.error = error
            batch.done.set()
