"""Writes turns of many callers with one sync of the disk."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import database, turns
from balsamloom_core import clock as clocks

# Turns in one commit, so that a long queue does not delay its first ones.
MAX_COMMIT_TURNS = 200


class TurnWriteError(Exception):
    """Turns were not written to the disk."""


class _Batch:
    """Turns of one caller and what became of them."""

    def __init__(self, found: Sequence[turns.Turn]) -> None:
        self.turns = found
        self.done = threading.Event()
        self.error: str | None = None


class GroupCommit:
    """Queue of turns that a thread writes; what waits is written together.

    :param add: writes turns and syncs them.
    :param clock: time source.
    """

    def __init__(
        self,
        add: Callable[[Sequence[turns.Turn]], None],
        clock: clocks.Clock,
    ) -> None:
        self._add = add
        self._clock = clock
        self._changed = threading.Condition()
        self._queue: list[_Batch] = []
        self._is_stopping = False

    def write(self, found: Sequence[turns.Turn], timeout_ms: float) -> None:
        """Return when turns are on the disk.

        :raises TurnWriteError: the disk refused them or takes too long.
        """
        if not found:
            return
        batch = _Batch(found)
        with self._changed:
            if self._is_stopping:
                raise TurnWriteError("the process is stopping")
            self._queue.append(batch)
            self._changed.notify()
        if not self._clock.wait(batch.done, timeout_ms):
            raise TurnWriteError("the disk takes too long")
        if batch.error is not None:
            raise TurnWriteError(batch.error)

    def run(self) -> None:
        """Write until :meth:`stop`, and then what is queued."""
        while True:
            with self._changed:
                while not self._queue and not self._is_stopping:
                    self._changed.wait()
                if not self._queue:
                    return
                batches = self._take()
            self._write(batches)

    def stop(self) -> None:
        """Take nothing more and let :meth:`run` end."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()

    def _take(self) -> list[_Batch]:
        taken: list[_Batch] = []
        size = 0
        while self._queue and size < MAX_COMMIT_TURNS:
            batch = self._queue.pop(0)
            taken.append(batch)
            size += len(batch.turns)
        return taken

    def _write(self, batches: list[_Batch]) -> None:
        found = [turn for batch in batches for turn in batch.turns]
        error = None
        try:
            self._add(found)
        except database.DatabaseError as refused:
            error = str(refused)
        for batch in batches:
            batch.error = error
            batch.done.set()
