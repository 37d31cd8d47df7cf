"""Clocks in milliseconds.

Tests pass a :class:`ManualClock` in place of the :class:`Clock` and advance
time themselves.
"""

from __future__ import annotations

import threading
import time

MS_PER_S = 1000


class Clock:
    """Monotonic and wall-clock time of this host, in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time; only differences are meaningful."""
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for logs only."""
        return int(time.time() * MS_PER_S)

    def processor_ms(self) -> float:
        """Return the processor time that this process has used."""
        return time.process_time() * MS_PER_S

    def sleep(self, duration_ms: float) -> None:
        """Block the calling thread.

        :param duration_ms: time to sleep; zero or less returns immediately.
        """
        if duration_ms > 0:
            time.sleep(duration_ms / MS_PER_S)

    def wait(self, event: threading.Event, timeout_ms: float) -> bool:
        """Wait for an event.

        :param event: event to wait for.
        :param timeout_ms: maximum wait.
        :return: whether the event is set.
        """
        return event.wait(max(timeout_ms, 0) / MS_PER_S)

    def wait_condition(
        self, condition: threading.Condition, timeout_ms: float
    ) -> bool:
        """Wait on a condition that the caller holds.

        :param condition: condition whose lock the caller holds.
        :param timeout_ms: maximum wait.
        :return: whether the condition was notified before the timeout.
        """
        return condition.wait(max(timeout_ms, 0) / MS_PER_S)


class SuspensionClock(Clock):
    """Clock whose monotonic time also runs while the host is suspended.

    Where the system has no such clock, it stands still meanwhile.
    """

    _CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now_ms(self) -> float:
        """Return monotonic time; only differences are meaningful."""
        return time.clock_gettime(self._CLOCK_ID) * MS_PER_S


class ManualClock(Clock):
    """Clock for tests; only :meth:`advance` moves its time."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._changed = threading.Condition()
        # Conditions on which threads wait for a notification or for time.
        self._waited: list[threading.Condition] = []

    def now_ms(self) -> float:
        """Return the time set by :meth:`advance`."""
        with self._changed:
            return self._now_ms

    def wall_ms(self) -> int:
        """Return the same time as :meth:`now_ms`, as a whole number."""
        return int(self.now_ms())

    def advance(self, duration_ms: float) -> None:
        """Advance the time and wake threads whose wait has ended.

        :param duration_ms: time to add.
        """
        with self._changed:
            self._now_ms += duration_ms
            self._changed.notify_all()
            waited = list(self._waited)
        for condition in waited:
            with condition:
                condition.notify_all()

    def sleep(self, duration_ms: float) -> None:
        """Block until :meth:`advance` has added the duration."""
        with self._changed:
            end_ms = self._now_ms + duration_ms
            while self._now_ms < end_ms:
                self._changed.wait()

    def wait(self, event: threading.Event, timeout_ms: float) -> bool:
        """Wait until the event is set or time has passed the timeout."""
        with self._changed:
            end_ms = self._now_ms + timeout_ms
            while not event.is_set() and self._now_ms < end_ms:
                # Setting the event does not notify this clock, so poll it.
                self._changed.wait(0.01)
        return event.is_set()

    def wait_condition(
        self, condition: threading.Condition, timeout_ms: float
    ) -> bool:
        """Wait until notified, as by each advance, or past the timeout."""
        if timeout_ms <= 0:
            return False
        with self._changed:
            end_ms = self._now_ms + timeout_ms
            self._waited.append(condition)
        try:
            condition.wait()
        finally:
            with self._changed:
                self._waited.remove(condition)
        return self.now_ms() < end_ms
