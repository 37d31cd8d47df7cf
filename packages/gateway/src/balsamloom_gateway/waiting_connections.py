"""Connections of callers that wait for their next request.

Takes the place of CherryPy's connection manager, which hands a new connection
to a thread before a request has arrived on it, closes connections on which one
has arrived, and cannot be woken.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import selectors
import threading
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import caller_connections, exchanges
from balsamloom_ingress import refusals

# How often idle connections are checked for their timeout.
IDLE_CHECK_INTERVAL_MS = 1_000.0
# Pause after a failed accept, as when no descriptor is left.
ACCEPT_RETRY_MS = 10.0
_NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE})


class WaitingConnections:
    """Accepts connections and watches those that wait for a request.

    A connection on which data arrives is queued for the server's threads,
    which return it by :meth:`put`.

    :param server: CherryPy's server, with a listening socket.
    """

    def __init__(self, server: Any) -> None:
        self._server = server
        self._clock = clocks.Clock()
        self._is_stopping = False
        self._is_accepting = True
        # Held while connections are watched, and by whoever ends that.
        self._watching = threading.Lock()
        # Guards the selector's entries and whether it may get new ones.
        self._entries = threading.Lock()
        self._is_ended = False
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = os.pipe()
        os.set_blocking(self._wake_sender, False)
        os.set_blocking(self._wake_receiver, False)
        server.socket.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._selector.register(server.socket, selectors.EVENT_READ)

    def run(self) -> None:
        """Watch the connections until :meth:`end` is called."""
        next_check_ms = self._clock.now_ms() + IDLE_CHECK_INTERVAL_MS
        with self._watching:
            while not self._is_stopping:
                left_ms = max(0.0, next_check_ms - self._clock.now_ms())
                self._watch(left_ms)
                if self._clock.now_ms() >= next_check_ms:
                    self._close_expired()
                    next_check_ms = (
                        self._clock.now_ms() + IDLE_CHECK_INTERVAL_MS
                    )

    def put(self, connection: caller_connections.Connection) -> None:
        """Wait for the next request on a connection."""
        try:
            if connection.rfile.has_data():
                self._queue(connection)
                return
            connection.idle_since_ms = self._clock.now_ms()
            connection.state = exchanges.ConnectionState.WAITING
            if self._register(connection):
                return
        except (OSError, ValueError, KeyError) as error:
            events.log(
                events.Event.REQUEST_FAILED,
                logging.WARNING,
                reason=f"the connection cannot be kept: {error!r}",
            )
            connection.close()
            return
        self._queue_or_close(connection)

    def end_accepting(self) -> None:
        """Take the connections that callers have made, and no more.

        Connections that are open are still watched.
        """
        self._is_accepting = False
        self._wake()
        with self._entries:
            if self._server.socket.fileno() == -1:
                return
            self._selector.unregister(self._server.socket)
        while self._accept():
            pass
        self._server.socket.close()

    def end(self) -> None:
        """End accepting, and close the connections that got no request."""
        self.end_accepting()
        self._is_stopping = True
        self._wake()
        with self._watching, self._entries:
            if self._is_ended:
                return
            self._is_ended = True
            waiting = self._waiting()
            self._selector.close()
            os.close(self._wake_receiver)
            os.close(self._wake_sender)
        for connection in waiting:
            self._queue_or_close(connection)

    def _watch(self, timeout_ms: float) -> None:
        found = self._selector.select(timeout_ms / clocks.MS_PER_S)
        for key, _ in found:
            connection = key.data
            if connection is not None:
                with self._entries:
                    self._selector.unregister(key.fileobj)
                self._queue(connection)
            elif key.fd == self._wake_receiver:
                os.read(self._wake_receiver, 64)
            elif self._is_accepting:
                self._accept()

    def _accept(self) -> bool:
        """Accept one connection; return whether there may be more."""
        try:
            accepted, address = self._server.socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if self._server.socket.fileno() == -1:
                return False
            events.log(
                events.Event.REQUEST_FAILED,
                logging.WARNING,
                reason=f"no connection can be accepted: {error!r}",
            )
            if error.errno in _NO_DESCRIPTOR:
                self._close_longest_idle()
            self._clock.sleep(ACCEPT_RETRY_MS)
            return False
        if not self._has_room():
            accepted.close()
            return True
        connection = self._server.ConnectionClass(self._server, accepted)
        connection.remote_addr, connection.remote_port = address[:2]
        self.put(connection)
        return True

    def _has_room(self) -> bool:
        """Make room for a new connection; return whether there is any."""
        server = self._server
        limit: int | None = server.max_connections
        connections: set[caller_connections.Connection]
        connections = server.open_connections
        if limit is None or len(connections) < limit:
            return True
        server.guard.refusals.record(refusals.Reason.CONNECTIONS)
        self._close_longest_idle()
        return len(connections) < limit

    def _register(self, connection: caller_connections.Connection) -> bool:
        """Watch a connection; return whether connections are watched."""
        with self._entries:
            if self._is_ended:
                return False
            self._selector.register(
                connection.socket, selectors.EVENT_READ, connection
            )
        return True

    def _queue(self, connection: caller_connections.Connection) -> None:
        connection.expect_request()
        self._server.process_conn(connection)

    def _queue_or_close(
        self, connection: caller_connections.Connection
    ) -> None:
        if connection.has_input():
            self._queue(connection)
        else:
            connection.close()

    def _close_longest_idle(self) -> None:
        """Make room for a connection that may bring a request."""
        with self._entries:
            waiting = self._waiting()
            if not waiting:
                return
            longest = min(waiting, key=lambda each: each.idle_since_ms)
            self._selector.unregister(longest.socket)
        self._queue_or_close(longest)

    def _close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        idle_ms = self._server.timeout * clocks.MS_PER_S
        expired_ms = self._clock.now_ms() - idle_ms
        with self._entries:
            expired = [
                connection
                for connection in self._waiting()
                if connection.idle_since_ms < expired_ms
            ]
            for connection in expired:
                self._selector.unregister(connection.socket)
        for connection in expired:
            self._queue_or_close(connection)

    def _waiting(self) -> list[caller_connections.Connection]:
        entries = list(self._selector.get_map().values())
        return [key.data for key in entries if key.data is not None]

    def _wake(self) -> None:
        with self._entries, contextlib.suppress(BlockingIOError):
            if not self._is_ended:
                os.write(self._wake_sender, b"x")
