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

    def wait(self, program_id: str, timeout_ms: float) -> None:
        """Wait until there is news of a program, at most for a time."""
        waiters = self._waiters.setdefault(program_id, _Waiters(self._lock))
        waiters.count += 1
        try:
            self._clock.wait_condition(waiters.condition, timeout_ms)
        finally:
            waiters.count -= 1
            if not waiters.count:
                del self._waiters[program_id]

    def wake(self, program_ids: Iterable[str]) -> None:
        """Wake the turns of some programs."""
        for program_id in program_ids:
            waiters = self._waiters.get(program_id)
            if waiters is not None:
                waiters.condition.notify_all()

    def wake_all(self) -> None:
        """Wake the turns of all programs, as the store has failed."""
        self.wake(list(self._waiters))
