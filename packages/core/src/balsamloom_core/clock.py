"""Time in milliseconds.

Every package takes a :class:`Clock`, so that tests can pass a
:class:`ManualClock` and move time by hand.
"""

from __future__ import annotations

import threading
import time

MS_PER_S = 1000


class Clock:
    """Monotonic and wall-clock time of this host, in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time; only differences have a meaning."""
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for logs only."""
        return int(time.time() * MS_PER_S)

    def sleep(self, duration_ms: float) -> None:
        """Block the calling thread.

        :param duration_ms: time to wait; zero or less returns at once.
        """
        if duration_ms > 0:
            time.sleep(duration_ms / MS_PER_S)

    def wait(self, event: threading.Event, timeout_ms: float) -> bool:
        """Wait for an event.

        :param event: event to wait for.
        :param timeout_ms: longest wait.
        :return: whether the event is set.
        """
        return event.wait(max(timeout_ms, 0) / MS_PER_S)

    def wait_condition(
        self, condition: threading.Condition, timeout_ms: float
    ) -> bool:
        """Wait on a condition that the caller holds.

        :param condition: condition whose lock the caller holds.
        :param timeout_ms: longest wait.
        :return: whether the condition was notified before the timeout.
        """
        return condition.wait(max(timeout_ms, 0) / MS_PER_S)


class ManualClock(Clock):
    """A clock that moves only when told to, for tests."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._changed = threading.Condition()

    def now_ms(self) -> float:
        """Return the time set by :meth:`advance`."""
        with self._changed:
            return self._now_ms

    def wall_ms(self) -> int:
        """Return the same time as :meth:`now_ms`, as a whole number."""
        return int(self.now_ms())

    def advance(self, duration_ms: float) -> None:
        """Move time forward and wake sleepers whose time has come.

        :param duration_ms: step to add.
        """
        with self._changed:
            self._now_ms += duration_ms
            self._changed.notify_all()

    def sleep(self, duration_ms: float) -> None:
        """Block until :meth:`advance` has moved time far enough."""
        with self._changed:
            end_ms = self._now_ms + duration_ms
            while self._now_ms < end_ms:
                self._changed.wait()

    def wait(self, event: threading.Event, timeout_ms: float) -> bool:
        """Wait for an event or until time was moved past the timeout."""
        with self._changed:
            end_ms = self._now_ms + timeout_ms
            while not event.is_set() and self._now_ms < end_ms:
                # The event may be set without notice to this clock.
                self._changed.wait(0.01)
        return event.is_set()

    def wait_condition(
        self, condition: threading.Condition, timeout_ms: float
    ) -> bool:
        """Wait on a condition or until time was moved past the timeout."""
        end_ms = self.now_ms() + timeout_ms
        while self.now_ms() < end_ms:
            if condition.wait(0.01):
                return True
        return False
