"""Turns that wait for news of their programs."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from balsamloom_core import clock as clocks


class _Waiters:
    """Turns of one program that wait."""

    def __init__(self, lock: threading.RLock) -> None:
        self.condition = threading.Condition(lock)
        self.count = 0
        # Counted, as a wait may time out just when it is notified.
        self.news = 0


class TurnWaits:
    """Lets turns sleep until something happens to their own program.

    The lock is held during each call, and released during a wait.

    :param lock: lock of the accounts.
    :param clock: time source.
    """

    def __init__(self, lock: threading.RLock, clock: clocks.Clock) -> None:
        self._lock = lock
        self._clock = clock
        self._waiters: dict[str, _Waiters] = {}

    def wait(self, program_id: str, timeout_ms: float) -> bool:
        """Wait for news of a program, at most for a time.

        :return: whether there is news.
        """
        waiters = self._waiters.setdefault(program_id, _Waiters(self._lock))
        waiters.count += 1
        known = waiters.news
        try:
            self._clock.wait_condition(waiters.condition, timeout_ms)
            return waiters.news != known
        finally:
            waiters.count -= 1
            if not waiters.count:
                del self._waiters[program_id]

    def wake(self, program_ids: Iterable[str]) -> None:
        """Wake the turns of some programs."""
        for program_id in program_ids:
            waiters = self._waiters.get(program_id)
            if waiters is not None:
                waiters.news += 1
                waiters.condition.notify_all()

    def wake_all(self) -> None:
        """Wake the turns of all programs, as the store has failed."""
        self.wake(list(self._waiters))
