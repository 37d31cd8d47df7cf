"""Pools of idle connections to servers."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from balsamloom_core import clock as clocks
from balsamloom_gateway import server_connections, traffic

IDLE_TIMEOUT_MS = 30_000.0


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


class ServerPools:
    """Connection pools of all servers, one for each run of a server.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    def get(self, server: traffic.BackendServer) -> ConnectionPool:
        """Return the pool of a server."""
        key = (server.server_id, server.incarnation)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                pool = ConnectionPool(
                    server.address, self._clock, IDLE_TIMEOUT_MS
                )
                self._pools[key] = pool
            return pool

    def all(self) -> list[ConnectionPool]:
        """Return the pools of all servers."""
        with self._lock:
            return list(self._pools.values())

    def keep_only(self, servers: Iterable[traffic.BackendServer]) -> None:
        """Close the idle connections to all servers but those given."""
        used = {(server.server_id, server.incarnation) for server in servers}
        with self._lock:
            unused = [self._pools.pop(key) for key in set(self._pools) - used]
        for pool in unused:
            pool.close()
