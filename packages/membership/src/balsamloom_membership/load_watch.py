"""Periodic reading of the load reports of followed backend servers."""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Callable
from typing import Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import errors
from balsamloom_membership import backends

READ_INTERVAL_MS = 1_000
# A server that does not answer is read less often, so that hung servers do not
# occupy all reader threads. Its state is then known from peers.
MAX_READ_INTERVAL_MS = 4_000
READER_THREADS = 8
DUE_CHECK_INTERVAL_MS = 50
DRAINING = "draining"


class LoadReport(Protocol):
    """State that a backend server reports about itself."""

    @property
    def state(self) -> str:
        """Return ``serving`` or ``draining``."""


class LoadWatch:
    """Reads load reports every second and updates the states of servers.

    :param table: states of backend servers, and which ones are followed.
    :param read: reads one report; raises ``BalsamloomError`` on failure and
        must time out well within a second.
    :param on_report: called with the server's id and each report.
    :param clock: source of time.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        read: Callable[[backends.Server], LoadReport],
        on_report: Callable[[str, LoadReport], None],
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._read = read
        self._on_report = on_report
        self._clock = clock
        self._lock = threading.Lock()
        self._due_ms: dict[str, float] = {}
        self._interval_ms: dict[str, float] = {}
        self._stopped = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            READER_THREADS, thread_name_prefix="load"
        )

    def start(self) -> None:
        """Start reading."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop reading without waiting for reads in progress."""
        self._stopped.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def take_due_servers(self) -> list[backends.Server]:
        """Return the followed servers whose report is due.

        None of them is due again until :meth:`read_report` has returned.
        """
        now_ms = self._clock.now_ms()
        followed = {
            server.server_id: server for server in self._table.followed()
        }
        with self._lock:
            for known in list(self._due_ms):
                if known not in followed:
                    del self._due_ms[known]
                    self._interval_ms.pop(known, None)
            due = [
                server
                for server_id, server in followed.items()
                if self._due_ms.get(server_id, now_ms) <= now_ms
            ]
            for server in due:
                self._due_ms[server.server_id] = float("inf")
        return due

    def read_report(self, server: backends.Server) -> None:
        """Read one report and pass it to the table and the callback.

        :param server: followed server.
        """
        start_ms = self._clock.now_ms()
        interval_ms: float = READ_INTERVAL_MS
        try:
            report = self._read(server)
            self._table.observe(
                backends.Origin.LOAD_REPORT,
                server.server_id,
                report.state == DRAINING,
            )
            self._on_report(server.server_id, report)
        except errors.BalsamloomError:
            last_ms = self._interval_ms.get(server.server_id, READ_INTERVAL_MS)
            interval_ms = min(2 * last_ms, MAX_READ_INTERVAL_MS)
        finally:
            with self._lock:
                self._interval_ms[server.server_id] = interval_ms
                self._due_ms[server.server_id] = start_ms + interval_ms

    def _run(self) -> None:
        while not self._clock.wait(self._stopped, DUE_CHECK_INTERVAL_MS):
            for server in self.take_due_servers():
                try:
                    self._executor.submit(self.read_report, server)
                except RuntimeError:
                    return
