"""Group commit: writes the turns of several callers in one transaction."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import database, turns
from balsamloom_core import clock as clocks

# Limit the commit time, which delays every turn of the batch.
MAX_COMMIT_TURNS = 200
MAX_COMMIT_BYTES = 4_000_000


class TurnWriteError(Exception):
    """Turns could not be written to the disk."""


class _Batch:
    """Turns of one caller and the result of writing them."""

    def __init__(self, new_turns: Sequence[turns.Turn]) -> None:
        self.turns = new_turns
        self.size_bytes = sum(turn.size_bytes for turn in new_turns)
        self.done = threading.Event()
        self.error: str | None = None


class GroupCommit:
    """Write queue; turns that wait at the same time share a commit.

    :param add: writes turns and syncs them to the disk.
    :param clock: time source.
    """

    def __init__(
        self,
        add: Callable[[Sequence[turns.Turn]], None],
        clock: clocks.Clock,
    ) -> None:
        self._add = add
        self._clock = clock
        self._queue_changed = threading.Condition()
        self._queue: list[_Batch] = []
        self._is_stopping = False

    def write(
        self, new_turns: Sequence[turns.Turn], timeout_ms: float
    ) -> None:
        """Write turns and wait until they are on the disk.

        :raises TurnWriteError: the write failed, timed out, or the process is
            stopping.
        """
        if not new_turns:
            return
        batch = _Batch(new_turns)
        with self._queue_changed:
            if self._is_stopping:
                raise TurnWriteError("the process is stopping")
            self._queue.append(batch)
            self._queue_changed.notify()
        if not self._clock.wait(batch.done, timeout_ms):
            raise TurnWriteError("timed out waiting for the disk")
        if batch.error is not None:
            raise TurnWriteError(batch.error)

    def run(self) -> None:
        """Write turns until :meth:`stop`, then those still queued."""
        while True:
            with self._queue_changed:
                while not self._queue and not self._is_stopping:
                    self._queue_changed.wait()
                if not self._queue:
                    return
                batches = self._take_batches()
            self._write(batches)

    def stop(self) -> None:
        """Accept no more turns and let :meth:`run` end."""
        with self._queue_changed:
            self._is_stopping = True
            self._queue_changed.notify_all()

    def _take_batches(self) -> list[_Batch]:
        """Take the first batches that fit into a commit, at least one."""
        taken: list[_Batch] = []
        turn_count, size_bytes = 0, 0
        for batch in self._queue:
            turn_count += len(batch.turns)
            size_bytes += batch.size_bytes
            is_full = (
                turn_count > MAX_COMMIT_TURNS or size_bytes > MAX_COMMIT_BYTES
            )
            if taken and is_full:
                break
            taken.append(batch)
        del self._queue[: len(taken)]
        return taken

    def _write(self, batches: list[_Batch]) -> None:
        new_turns = [turn for batch in batches for turn in batch.turns]
        error = None
        try:
            self._add(new_turns)
        except database.DatabaseError as failure:
            error = str(failure)
        for batch in batches:
            batch.error = error
            batch.done.set()
