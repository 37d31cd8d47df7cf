"""Detection of servers that crash while they run a request."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    callbacks,
    candidates,
    connection_pool,
    crash_ledger,
    crash_reports,
    responses,
    server_connections,
    traffic,
)

# A host whose server crashed refuses connections at once. The caller waits.
CONNECT_TIMEOUT_MS = 100.0
# A new run of a server registers within this time after a crash.
SUSPECT_MS = 8_000.0


class _Suspect(NamedTuple):
    """Broken attempt at a server that accepts connections again."""

    key: crash_ledger.RequestKey
    request_id: str
    server: traffic.BackendServer
    broken_ms: float


class CrashDetector:
    """Tells crashes of servers from resets of single connections.

    :param reports: records the crashes.
    :param clock: time source.
    """

    def __init__(
        self, reports: crash_reports.CrashReports, clock: clocks.Clock
    ) -> None:
        self._reports = reports
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects: list[_Suspect] = []
        # Returns whether this process reaches a server beside a given one.
        self.reaches_another: Callable[[traffic.BackendServer], bool] = (
            callbacks.agree
        )

    def check(
        self,
        call: responses.Call,
        server: traffic.BackendServer,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        """Report a crash if the server of a broken attempt is down.

        A new connection tells, which the pool keeps if it opens. A server
        that accepts it may have started again already.
        """
        try:
            connection = pool.connect(CONNECT_TIMEOUT_MS)
        except server_connections.ConnectRefusedError:
            self.report(call, server)
        except server_connections.ConnectError:
            return
        else:
            pool.release(connection)
            self._suspect(call, server)

    def apply_servers(
        self, registered: Iterable[traffic.BackendServer]
    ) -> None:
        """Report crashes of servers whose registered run has changed.

        :param registered: all servers, also those that drain.
        """
        runs = {server.server_id: server.incarnation for server in registered}
        with self._lock:
            suspects = self._recent_suspects()
            gone = [
                suspect
                for suspect in suspects
                if runs.get(suspect.server.server_id)
                != suspect.server.incarnation
            ]
            self._suspects = [one for one in suspects if one not in gone]
        for suspect in gone:
            self._reports.report(
                suspect.key, suspect.server, suspect.request_id
            )

    def report(
        self, call: responses.Call, server: traffic.BackendServer
    ) -> None:
        """Report that a server crashed after a call was sent to it.

        A process that reaches no other server may be cut off itself, so
        only a new run of the server shows a crash.
        """
        if self.reaches_another(server):
            self._reports.report(call.key, server, call.metadata.request_id)
        else:
            self._suspect(call, server)

    def record_served(self, call: responses.Call) -> None:
        """Record that a server answered a call.

        Earlier attempts that broke then did not crash their servers.
        """
        with self._lock:
            self._suspects = [
                suspect
                for suspect in self._suspects
                if suspect.key != call.key
            ]
        self._reports.record_served(call.key)

    def refusal(self, call: responses.Call) -> candidates.NoServer | None:
        """Return why a call may not run now, ``None`` if it may."""
        blocked_ms = self._reports.blocked_ms(call.key)
        if blocked_ms is None:
            return None
        return candidates.NoServer(
            f"the request crashed servers, target {call.key.target_id}",
            blocked_ms,
        )

    def _suspect(
        self, call: responses.Call, server: traffic.BackendServer
    ) -> None:
        """Remember that a server may have crashed under a call."""
        suspect = _Suspect(
            call.key,
            call.metadata.request_id,
            server,
            self._clock.now_ms(),
        )
        with self._lock:
            self._suspects = [*self._recent_suspects(), suspect]

    def _recent_suspects(self) -> list[_Suspect]:
        oldest_ms = self._clock.now_ms() - SUSPECT_MS
        return [
            suspect
            for suspect in self._suspects
            if suspect.broken_ms >= oldest_ms
        ]
