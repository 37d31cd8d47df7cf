"""Which backend servers have announced their shutdown in an answer."""

from __future__ import annotations

from balsamloom_gateway import traffic

# Servers whose last incarnation is remembered, registered or not.
MAX_SERVERS = 32_768


class LeavingServers:
    """Incarnations of servers that announced their shutdown.

    The registration of such a server may still say that it is ready, or lapse
    and come back. Not thread-safe; the owner must hold a lock.
    """

    def __init__(self) -> None:
        # Last known incarnation of each server, the latest change last.
        self._incarnations: dict[str, int] = {}
        self._leaving: dict[str, int] = {}

    def record(self, server: traffic.BackendServer) -> None:
        """Record the incarnation of a server's registration."""
        name = server.server_id
        if self._leaving.get(name) != server.incarnation:
            self._leaving.pop(name, None)
        self._incarnations.pop(name, None)
        self._incarnations[name] = server.incarnation
        if len(self._incarnations) > MAX_SERVERS:
            oldest = next(iter(self._incarnations))
            del self._incarnations[oldest]
            self._leaving.pop(oldest, None)

    def add(self, server_id: str) -> int | None:
        """Record that a server leaves.

        :return: its incarnation; ``None`` if it was never registered or if it
            is known to leave.
        """
        incarnation = self._incarnations.get(server_id)
        if incarnation is None or self._leaving.get(server_id) == incarnation:
            return None
        self._leaving[server_id] = incarnation
        return incarnation

    def __contains__(self, server: traffic.BackendServer) -> bool:
        return self._leaving.get(server.server_id) == server.incarnation
