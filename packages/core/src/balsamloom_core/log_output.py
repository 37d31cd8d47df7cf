"""Log output that never blocks and has a bounded volume."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

QUEUE_LINES = 2_000
LINES_PER_S = 400
# Lines that may be written at once after a quiet time.
BURST_LINES = 800


class BoundedHandler(logging.Handler):
    """Writes lines from a thread of its own and drops what is too much.

    :param stream: where lines go.
    :param on_dropped: called with the number of lines dropped since the last
        call, about once a second while lines are dropped.
    """

    def __init__(
        self, stream: TextIO, on_dropped: Callable[[int], None]
    ) -> None:
        super().__init__()
        self._stream = stream
        self._on_dropped = on_dropped
        self._queue: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._allowance = float(BURST_LINES)
        self._refilled_s = time.monotonic()
        self._reported_s = 0.0
        self._dropped = 0
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._has_room(record.levelno):
            self._dropped += 1
            return
        self._queue.put(self.format(record))
        self._report()

    def close(self) -> None:
        """Write the lines that are queued."""
        self._queue.put(None)
        self._thread.join(timeout=1.0)
        super().close()

    def _has_room(self, level: int) -> bool:
        now_s = time.monotonic()
        passed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._allowance = min(
            self._allowance + passed_s * LINES_PER_S, BURST_LINES
        )
        if self._queue.qsize() >= QUEUE_LINES:
            return False
        # Warnings may use what other lines must leave.
        needed = 1.0 if level >= logging.WARNING else BURST_LINES / 10
        if self._allowance < needed:
            return False
        self._allowance -= 1
        return True

    def _report(self) -> None:
        now_s = time.monotonic()
        if not self._dropped or now_s - self._reported_s < 1.0:
            return
        self._reported_s = now_s
        dropped, self._dropped = self._dropped, 0
        self._on_dropped(dropped)

    def _write(self) -> None:
        while True:
            line = self._queue.get()
            if line is None:
                return
            try:
                self._stream.write(line + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The reader of the log is gone; there is no other place to
                # report it.
                return
