"""Pool of idle connections to a server."""

from __future__ import annotations

from balsamloom_core import clock as clocks
from balsamloom_gateway import server_connections


class ConnectionPool:
    """Idle connections to one address, most recently used first.

    :param address: ``host:port``.
    :param clock: time source.
    :param idle_timeout_ms: idle time after which a connection is not reused.
    """

    def __init__(
        self, address: str, clock: clocks.Clock, idle_timeout_ms: float
    ) -> None:
        self.address = address
        self._clock = clock
        self._idle_timeout_ms = idle_timeout_ms
        # list.append and list.pop are atomic, so no lock is needed.
        self._idle: list[server_connections.Connection] = []

    def acquire(
        self, connect_timeout_ms: float, idle_timeout_ms: float | None = None
    ) -> tuple[server_connections.Connection, bool]:
        """Return a connection and whether it was used before.

        :param idle_timeout_ms: lower idle timeout for this call, if any.
        :raises ConnectError: a new connection could not be opened.
        """
        limit_ms = self._idle_timeout_ms
        if idle_timeout_ms is not None:
            limit_ms = min(limit_ms, idle_timeout_ms)
        while self._idle:
            try:
                connection = self._idle.pop()
            except IndexError:
                break
            idle_ms = self._clock.now_ms() - connection.last_used_ms
            allowed_ms = min(limit_ms, connection.idle_timeout_ms or limit_ms)
            if idle_ms < allowed_ms and connection.is_open_and_idle():
                return connection, True
            connection.close()
        return self.connect(connect_timeout_ms), False

    def connect(self, timeout_ms: float) -> server_connections.Connection:
        """Open a new connection.

        :raises ConnectError: the connection could not be opened.
        """
        return server_connections.connect(
            self.address, timeout_ms, self._clock
        )

    def release(self, connection: server_connections.Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            try:
                self._idle.pop().close()
            except IndexError:
                return
