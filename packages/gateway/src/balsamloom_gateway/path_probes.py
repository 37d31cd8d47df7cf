"""Probes of the paths to the backend servers while they are in doubt."""

from __future__ import annotations

import random
import threading

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    connection_pool,
    fleet,
    server_connections,
    server_paths,
    traffic,
)

# Requests in progress mostly show within this time that a path exists.
PAUSE_MS = 100.0
INTERVAL_MS = 250.0
CONNECT_TIMEOUT_MS = 300.0
IDLE_WAIT_MS = 1_000.0
# Servers that are tried when one has refused a connection. A caller waits.
MAX_OTHERS = 3
CRASH_TIMEOUT_MS = 100.0


class PathProbes:
    """Connects to servers until one is reached again.

    :param paths: state of the paths.
    :param view: registered servers.
    :param pools: connection pools, which keep the connections.
    :param generator: chooses the servers.
    :param clock: time source.
    """

    def __init__(
        self,
        paths: server_paths.ServerPaths,
        view: fleet.Fleet,
        pools: connection_pool.ServerPools,
        generator: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._paths = paths
        self._fleet = view
        self._pools = pools
        self._generator = generator
        self._clock = clock
        self._stopped = threading.Event()

    def run(self) -> None:
        """Probe while the paths are in doubt, until :meth:`stop`."""
        suspected = self._paths.suspected
        while not self._stopped.is_set():
            if not self._clock.wait(suspected, IDLE_WAIT_MS):
                continue
            self._clock.wait(self._stopped, PAUSE_MS)
            while suspected.is_set() and not self._stopped.is_set():
                self.probe_once()
                if suspected.is_set():
                    self._clock.wait(self._stopped, INTERVAL_MS)

    def stop(self) -> None:
        """Make :meth:`run` return."""
        self._stopped.set()

    def probe_once(self) -> None:
        """Connect to a server, if possible one that has not failed."""
        servers = self._fleet.servers()
        if not servers:
            return
        failed = self._paths.failed_servers()
        others = [one for one in servers if one.server_id not in failed]
        server = self._generator.choice(others or servers)
        self._connect(server, CONNECT_TIMEOUT_MS)

    def reaches_another(self, server: traffic.BackendServer) -> bool:
        """Return whether a server beside the given one is reached now."""
        others = [
            one
            for one in self._fleet.servers()
            if one.server_id != server.server_id
        ]
        self._generator.shuffle(others)
        return any(
            self._connect(other, CRASH_TIMEOUT_MS)
            for other in others[:MAX_OTHERS]
        )

    def _connect(
        self, server: traffic.BackendServer, timeout_ms: float
    ) -> bool:
        """Return whether a server accepts a connection, and keep it."""
        pool = self._pools.get(server)
        try:
            connection = pool.connect(timeout_ms)
        except server_connections.ConnectError:
            self._paths.record_connect_failure(server.server_id)
            return False
        pool.release(connection)
        self._paths.record_connection()
        return True
