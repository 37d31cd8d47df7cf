"""Processes that failed a short time ago and are not called for a while."""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks


class Pauses(NamedTuple):
    """Times for which a process is avoided.

    The first pause is ``min_ms``; each failure after it doubles the pause, up
    to ``max_ms``. While one call tries the process again, others go on
    avoiding it for ``trial_ms``.
    """

    min_ms: float
    max_ms: float
    trial_ms: float


class _Pause(NamedTuple):
    since_ms: float
    until_ms: float
    length_ms: float
    is_trial: bool


class Avoidance:
    """Remembers failures of other processes, by name.

    :param pauses: how long a process is avoided.
    :param clock: time source.
    """

    def __init__(self, pauses: Pauses, clock: clocks.Clock) -> None:
        self._pauses = pauses
        self._clock = clock
        self._lock = threading.Lock()
        self._running: dict[str, _Pause] = {}

    def is_avoided(self, name: str) -> bool:
        """Return whether a process failed and its pause is not over."""
        with self._lock:
            pause = self._running.get(name)
        return pause is not None and self._clock.now_ms() < pause.until_ms

    def may_try(self, name: str) -> bool:
        """Return whether to call a process now.

        The first caller after a pause finds out for the others, which would
        all wait in vain if the process is still gone.
        """
        with self._lock:
            pause = self._running.get(name)
            if pause is None:
                return True
            now_ms = self._clock.now_ms()
            if now_ms < pause.until_ms:
                return False
            self._running[name] = pause._replace(
                until_ms=now_ms + self._pauses.trial_ms, is_trial=True
            )
            return True

    def silent_ms(self, name: str) -> float:
        """Return for how long calls of a process have been failing."""
        with self._lock:
            pause = self._running.get(name)
        if pause is None:
            return 0.0
        return self._clock.now_ms() - pause.since_ms

    def note_failure(self, name: str) -> None:
        """Avoid a process from now on.

        Calls that fail beside each other count as one failure.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            pause = self._running.get(name)
            since_ms = now_ms
            length_ms = self._pauses.min_ms
            if pause is not None:
                since_ms = pause.since_ms
                if now_ms < pause.until_ms and not pause.is_trial:
                    return
                length_ms = min(2 * pause.length_ms, self._pauses.max_ms)
            self._running[name] = _Pause(
                since_ms, now_ms + length_ms, length_ms, is_trial=False
            )

    def note_answer(self, name: str) -> None:
        """Call a process again as before."""
        with self._lock:
            self._running.pop(name, None)
