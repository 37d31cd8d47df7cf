"""Waits of turns at a fleet that starts again, in place of refusals.

For load that returns while a part of the fleet has not started yet: the host
that decides may run before those that know what earlier ones handed out. It
says when it may know more, and the turn waits for that, within bounds.
"""

from __future__ import annotations

import threading

from balsamloom_core import clock as clocks

# A refused caller would not return earlier.
MAX_WAIT_MS = 450.0
# Part of the time that the caller has left which a wait may use.
MAX_WAIT_SHARE = 0.25
# Turns that wait at a process; each of them occupies a thread.
MAX_WAITING = 16


class RestartWaits:
    """Turns of one process that wait for hosts that start.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting = 0

    def wait(
        self, retry_in_ms: float | None, waited_ms: float, left_ms: float
    ) -> bool:
        """Wait if a later answer may be another one.

        :param retry_in_ms: when it may be, ``None`` if waiting does not help.
        :param waited_ms: time that the turn has waited.
        :param left_ms: time that its caller still waits.
        :return: whether to try again; otherwise the turn is refused now.
        """
        if retry_in_ms is None:
            return False
        longest_ms = min(MAX_WAIT_MS, MAX_WAIT_SHARE * (waited_ms + left_ms))
        if waited_ms + retry_in_ms > longest_ms or not self._enter():
            return False
        try:
            self._clock.sleep(retry_in_ms)
        finally:
            with self._lock:
                self._waiting -= 1
        return True

    def _enter(self) -> bool:
        with self._lock:
            if self._waiting >= MAX_WAITING:
                return False
            self._waiting += 1
            return True
