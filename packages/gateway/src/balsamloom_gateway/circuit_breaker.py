"""Circuit breaker for calls to other processes."""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks


class Backoff(NamedTuple):
    """Times for which the circuit of a process stays open.

    The first failure opens it for ``min_ms``; each failure after it doubles
    the time, up to ``max_ms``. While one call tests the process, the circuit
    stays open for other calls for ``trial_ms``.
    """

    min_ms: float
    max_ms: float
    trial_ms: float


class _Circuit(NamedTuple):
    failing_since_ms: float
    open_until_ms: float
    backoff_ms: float
    is_half_open: bool


class CircuitBreaker:
    """Circuits of processes that failed, by name.

    :param backoff: how long circuits stay open.
    :param clock: time source.
    """

    def __init__(self, backoff: Backoff, clock: clocks.Clock) -> None:
        self._backoff = backoff
        self._clock = clock
        self._lock = threading.Lock()
        self._circuits: dict[str, _Circuit] = {}

    def is_open(self, name: str) -> bool:
        """Return whether a process failed and its backoff is not over."""
        with self._lock:
            circuit = self._circuits.get(name)
        return (
            circuit is not None
            and self._clock.now_ms() < circuit.open_until_ms
        )

    def allow_call(self, name: str) -> bool:
        """Return whether to call a process now.

        The first caller after a backoff tests the process alone. If it is
        still down, other callers do not have to wait for a timeout.
        """
        with self._lock:
            circuit = self._circuits.get(name)
            if circuit is None:
                return True
            now_ms = self._clock.now_ms()
            if now_ms < circuit.open_until_ms:
                return False
            self._circuits[name] = circuit._replace(
                open_until_ms=now_ms + self._backoff.trial_ms,
                is_half_open=True,
            )
            return True

    def failing_ms(self, name: str) -> float:
        """Return for how long calls of a process have been failing."""
        with self._lock:
            circuit = self._circuits.get(name)
        if circuit is None:
            return 0.0
        return self._clock.now_ms() - circuit.failing_since_ms

    def record_failure(self, name: str) -> None:
        """Open the circuit of a process.

        Concurrent calls that fail count as one failure.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            circuit = self._circuits.get(name)
            since_ms = now_ms
            backoff_ms = self._backoff.min_ms
            if circuit is not None:
                since_ms = circuit.failing_since_ms
                if now_ms < circuit.open_until_ms and not circuit.is_half_open:
                    return
                backoff_ms = min(2 * circuit.backoff_ms, self._backoff.max_ms)
            self._circuits[name] = _Circuit(
                since_ms, now_ms + backoff_ms, backoff_ms, is_half_open=False
            )

    def record_success(self, name: str) -> None:
        """Close the circuit of a process."""
        with self._lock:
            self._circuits.pop(name, None)
