"""Detection of servers that crash when they begin to run a request."""

from __future__ import annotations

from balsamloom_gateway import (
    balancer,
    connection_pool,
    crash_reports,
    responses,
    server_connections,
    traffic,
)

# A host whose server crashed refuses connections at once.
CONNECT_TIMEOUT_MS = 300.0


class CrashDetector:
    """Tells crashes of servers from resets of single connections.

    :param reports: records the crashes.
    """

    def __init__(self, reports: crash_reports.CrashReports) -> None:
        self._reports = reports

    def check(
        self,
        call: responses.Call,
        server: traffic.BackendServer,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        """Report a crash if the server of a broken attempt is down.

        A new connection tells, which the pool keeps if it opens.
        """
        try:
            connection = pool.connect(CONNECT_TIMEOUT_MS)
        except server_connections.ConnectRefusedError:
            self.report(call, server)
        except server_connections.ConnectError:
            return
        else:
            pool.release(connection)

    def report(
        self, call: responses.Call, server: traffic.BackendServer
    ) -> None:
        """Report that a server crashed after a call was sent to it."""
        self._reports.report(call.key, server, call.metadata.request_id)

    def record_served(self, call: responses.Call) -> None:
        """Record that a server answered a call."""
        self._reports.record_served(call.key)

    def refusal(self, call: responses.Call) -> balancer.NoServer | None:
        """Return why a call may not run now, ``None`` if it may."""
        blocked_ms = self._reports.blocked_ms(call.key)
        if blocked_ms is None:
            return None
        return balancer.NoServer(
            f"the request crashed servers, target {call.key.target_id}",
            blocked_ms,
        )
