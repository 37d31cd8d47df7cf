"""Concludes whether this process has lost its paths to all backend servers.

This module performs no I/O.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import traffic

# Different servers that must fail in a row; one alone may be down itself.
MIN_FAILED_SERVERS = 2
# Older failures do not count together with new ones.
FAILURE_WINDOW_MS = 3_000.0


class _FailureRun:
    """Different servers that failed in a row, with no success between."""

    def __init__(self) -> None:
        # Time of the last failure by server.
        self._failed_ms: dict[str, float] = {}
        self.since_ms: float | None = None

    @property
    def servers(self) -> frozenset[str]:
        return frozenset(self._failed_ms)

    def add(self, server_id: str, now_ms: float, required: int) -> bool:
        """Add a failure; return whether there are enough of them now."""
        if self.since_ms is None:
            oldest_ms = now_ms - FAILURE_WINDOW_MS
            self._failed_ms = {
                name: failed_ms
                for name, failed_ms in self._failed_ms.items()
                if failed_ms >= oldest_ms
            }
        self._failed_ms[server_id] = now_ms
        if self.since_ms is not None or len(self._failed_ms) < required:
            return False
        self.since_ms = now_ms
        return True

    def clear(self) -> float | None:
        """Record a success; return since when there were enough failures."""
        since_ms, self.since_ms = self.since_ms, None
        self._failed_ms = {}
        return since_ms


class ServerPaths:
    """State of this process's paths to the backend servers.

    The paths are lost if several servers in a row were not reached, until
    any server is reached again. Connections that are open may outlive the
    possibility to open new ones, so the latter is tracked by itself.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._known = 0
        self._unreached = _FailureRun()
        self._unconnected = _FailureRun()
        # Set while there are failures with no success since.
        self.suspected = threading.Event()

    @property
    def are_lost(self) -> bool:
        """Return whether no server can be reached."""
        return self._unreached.since_ms is not None

    @property
    def can_connect(self) -> bool:
        """Return whether new connections to servers can be opened."""
        return self._unconnected.since_ms is None

    def set_servers(self, servers: Iterable[traffic.BackendServer]) -> None:
        """Set the servers that are known."""
        with self._lock:
            self._known = sum(1 for _ in servers)

    def failed_servers(self) -> frozenset[str]:
        """Return the servers that failed since the last success."""
        with self._lock:
            return self._unreached.servers | self._unconnected.servers

    def record_silence(self, server_id: str) -> None:
        """Record that a server did not answer on an open connection."""
        self._record_failure(server_id, (self._unreached,))

    def record_connect_failure(self, server_id: str) -> None:
        """Record that no connection to a server could be opened."""
        self._record_failure(server_id, (self._unreached, self._unconnected))

    def record_answer(self) -> None:
        """Record that a server answered."""
        if self.suspected.is_set():
            self._record_success((self._unreached,))

    def record_connection(self) -> None:
        """Record that a connection was opened."""
        if self.suspected.is_set():
            self._record_success((self._unreached, self._unconnected))

    def _record_failure(
        self, server_id: str, runs: tuple[_FailureRun, ...]
    ) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            required = min(MIN_FAILED_SERVERS, max(self._known, 1))
            found = [run.add(server_id, now_ms, required) for run in runs]
            self.suspected.set()
        if any(found):
            self._log_change(logging.WARNING)

    def _record_success(self, runs: tuple[_FailureRun, ...]) -> None:
        with self._lock:
            found = [run.clear() for run in runs]
            if not self._unreached.servers | self._unconnected.servers:
                self.suspected.clear()
        since_ms = [each for each in found if each is not None]
        if since_ms:
            duration_ms = self._clock.now_ms() - min(since_ms)
            self._log_change(logging.INFO, duration_ms=round(duration_ms, 1))

    def _log_change(self, level: int, **fields: float) -> None:
        events.log(
            events.Event.SERVER_PATHS_CHANGED,
            level,
            are_lost=self.are_lost,
            can_connect=self.can_connect,
            failed_servers=sorted(self.failed_servers()),
            **fields,
        )
