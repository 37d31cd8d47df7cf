"""First-in, first-out lock that serializes the calls of one program."""

from __future__ import annotations

import collections
import threading

from balsamloom_core import clock as clocks

# Longer than any process runs.
NO_TIMEOUT_MS = 1e9


class FifoLock:
    """Lock that is granted strictly in the order of arrival.

    It also works as a context manager without a timeout.

    :param clock: time source of the waits.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._queue: collections.deque[threading.Event] = collections.deque()

    def acquire(self, timeout_ms: float) -> bool:
        """Wait for the lock.

        :param timeout_ms: longest wait.
        :return: whether the caller holds the lock.
        """
        ticket = threading.Event()
        with self._lock:
            self._queue.append(ticket)
            if self._queue[0] is ticket:
                ticket.set()
        if ticket.is_set() or self._clock.wait(ticket, timeout_ms):
            return True
        return not self._cancel(ticket)

    def release(self) -> None:
        """Grant the lock to the next waiter."""
        with self._lock:
            self._queue.popleft()
            if self._queue:
                self._queue[0].set()

    def is_idle(self) -> bool:
        """Return whether nobody holds the lock or waits for it."""
        with self._lock:
            return not self._queue

    def __enter__(self) -> None:
        self.acquire(NO_TIMEOUT_MS)

    def __exit__(self, *_: object) -> None:
        self.release()

    def _cancel(self, ticket: threading.Event) -> bool:
        with self._lock:
            # The lock may be granted between the timeout and this check.
            if ticket.is_set():
                return False
            self._queue.remove(ticket)
            return True
