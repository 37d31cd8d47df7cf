"""Connections of callers, and their end in a planned stop."""

from __future__ import annotations

import select
import socket
from typing import Any

from cheroot import connections
from cheroot import server as cheroot_server


class CallerConnection(cheroot_server.HTTPConnection):
    """Connection that its server counts as open until it is closed."""

    def __init__(self, server: Any, *args: Any) -> None:
        super().__init__(server, *args)
        server.open_connections.add(self)

    def close(self) -> None:
        """Close the connection."""
        try:
            super().close()
        finally:
            self.server.open_connections.discard(self)

    def has_input(self) -> bool:
        """Return whether a request has begun to arrive."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        try:
            return bool(poll.poll(0) and self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False


class ConnectionWatch(connections.ConnectionManager):
    """Watches connections without a request, also new ones.

    All changes are made by the thread that watches, between its reads.
    """

    _selector: Any
    _is_ending = False

    def end(self) -> None:
        """Accept no more, and close connections on which nothing arrives.

        This happens at the next check for expired connections.
        """
        self._is_ending = True

    def _from_server_socket(self, server_socket: Any) -> None:
        """Accept a connection, which gets a thread once a request arrives."""
        self._accept(server_socket)

    def _accept(self, server_socket: Any) -> bool:
        connection = super()._from_server_socket(server_socket)  # type: ignore[misc]
        if connection is None:
            return False
        self.put(connection)
        return True

    def _expire(self, threshold: float) -> None:
        if not self._is_ending:
            super()._expire(threshold)  # type: ignore[misc]
            return
        if self.server.socket is not None:
            self._end_accepting(self.server.socket)
        for descriptor, connection in list(self._selector.connections):
            if not connection.has_input():
                self._selector.unregister(descriptor)
                connection.close()

    def _end_accepting(self, server_socket: socket.socket) -> None:
        """Take the connections that callers have made, and no more."""
        server_socket.setblocking(False)
        while self._accept(server_socket):
            pass
        self._selector.unregister(server_socket.fileno())
        self.server.socket = None
        server_socket.close()
