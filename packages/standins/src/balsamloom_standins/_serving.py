"""HTTP server shared by the stand-ins."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import cherrypy
from cheroot import wsgi

from balsamloom_core import signals
from balsamloom_entry import http

DEFAULT_THREADS = 128
STOP_TIMEOUT_S = 1

_SOCKET_KEY = "balsamloom.socket"

JsonHandler = Callable[[dict[str, Any]], Any]


class _SocketGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection's socket to the handlers."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with the socket."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[_SOCKET_KEY] = self.req.conn.socket
        return environ


def read_json() -> dict[str, Any]:
    """Return the decoded JSON body of the current request."""
    if cherrypy.request.method != "POST":
        # CherryPy does not prepare the body of other methods for reading.
        return {}
    raw = cherrypy.request.body.read()
    document: dict[str, Any] = json.loads(raw) if raw else {}
    return document


def write_json(
    document: Any, status: int = 200, retry_after_ms: int | None = None
) -> bytes:
    """Return the body of a JSON response and set its status and headers.

    :param document: JSON-compatible value.
    :param status: HTTP status.
    :param retry_after_ms: time for the ``Retry-After`` header, if it is sent.
    """
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / 1000:g}"
        cherrypy.response.headers["Retry-After"] = seconds
    return json.dumps(document).encode()


def request_socket() -> socket.socket:
    """Return the socket of the current request's connection."""
    found: socket.socket = cherrypy.request.wsgi_environ[_SOCKET_KEY]
    return found


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer has closed a connection.

    :param connection: connection on which no request is being read.
    """
    poll = select.poll()
    try:
        poll.register(connection, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


def close_connection(connection: socket.socket) -> None:
    """Close a connection in both directions.

    :param connection: connection of a request.
    """
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def drop_connection() -> bytes:
    """Close the current request's connection without a response."""
    close_connection(request_socket())
    return b""


def serve(
    root: object, address: str, threads: int = DEFAULT_THREADS
) -> wsgi.Server:
    """Start a server in its own thread and return it.

    :param root: object with CherryPy handlers.
    :param address: ``host:port``; port 0 picks a free port.
    :param threads: size of the thread pool.
    """
    application = cherrypy.Application(root, "")
    application.log.screen = False
    application.log.access_file = ""
    # Nobody reads standard output after the address. Logs written there would
    # fill the pipe, and then every request would wait for the log's lock.
    application.log.access_log.propagate = False
    application.log.error_log.propagate = False
    server = http.make_server(address, threads)
    server.wsgi_app = application
    server.gateway = _SocketGateway
    server.shutdown_timeout = STOP_TIMEOUT_S
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def bound_address(server: wsgi.Server) -> str:
    """Return the ``host:port`` that a server listens on.

    :param server: running server.
    """
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def run_until_signal(server: wsgi.Server) -> None:
    """Print the address, wait for SIGTERM or SIGINT and end the process.

    :param server: running server.
    """
    stop_signals = signals.SignalReceiver()
    print(json.dumps({"address": bound_address(server)}), flush=True)
    stop_signals.wait()
    # A stand-in has no state to save, and injected faults may have left its
    # threads hanging.
    os._exit(0)


class EventCounts:
    """Counts of events, in total and for each recent second.

    :param kinds: names of the events.
    :param max_age_s: age after which the counts of a second are dropped.
    """

    def __init__(self, *kinds: str, max_age_s: int = 120) -> None:
        self._lock = threading.Lock()
        self._max_age_s = max_age_s
        self._totals = dict.fromkeys(kinds, 0)
        self._by_second: dict[int, dict[str, int]] = {}

    def add(self, kind: str) -> None:
        """Count one event."""
        second = int(time.monotonic())
        with self._lock:
            self._totals[kind] += 1
            counts = self._by_second.get(second)
            if counts is None:
                counts = dict.fromkeys(self._totals, 0)
                self._by_second[second] = counts
                self._drop_before(second - self._max_age_s)
            counts[kind] += 1

    def describe(self) -> dict[str, Any]:
        """Return the totals, and the counts of each second with its age."""
        now = int(time.monotonic())
        with self._lock:
            recent = [
                {"age_s": now - second, **counts}
                for second, counts in self._by_second.items()
                if now - second < self._max_age_s
            ]
            return {**self._totals, "seconds": recent}

    def _drop_before(self, oldest: int) -> None:
        for second in [key for key in self._by_second if key < oldest]:
            del self._by_second[second]
