"""HTTP/1.1 listeners on CherryPy's server, without its WSGI layer.

Requests are relayed byte for byte, so handlers get the undecoded target and
write the response themselves.
"""

from __future__ import annotations

import collections
import functools
import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    background,
    caller_connections,
    exchanges,
    waiting_connections,
)
from balsamloom_ingress import (
    bodies,
    chunks,
    errors,
    guards,
    refusals,
    waiting_readers,
)
from balsamloom_ingress import limits as ingress_limits
from balsamloom_workspaces import credentials

LISTEN_BACKLOG = 512
MIN_THREADS = 2
THREADS_PER_GROWTH = 4
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    402: b"Payment Required",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

_STATES = tuple(exchanges.ConnectionState)

HeaderFields = Iterable[tuple[bytes, bytes]]


BodyTooLargeError = errors.BodyTooLargeError
MalformedBodyError = errors.MalformedBodyError


class BodyTimeoutError(errors.MalformedBodyError):
    """A request's body did not arrive in time."""


class BodyRefusedError(errors.MalformedBodyError):
    """There is no room for a request's body."""


class Limits(NamedTuple):
    """Limits of a listener; ``connections`` is ``None`` for no limit."""

    threads: int
    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float
    connections: int | None = None


class Request:
    """Request of a caller.

    :param raw: request object of CherryPy's server.
    """

    def __init__(self, raw: Any) -> None:
        self._raw = raw
        self.method: bytes = raw.method
        self.target: bytes = raw.uri
        self.headers: dict[bytes, bytes] = raw.inheaders
        # Another member has handed the request over to this one.
        self.is_handed_over = False
        # Attempts of that member that may have run.
        self.possible_runs = 0
        # The caller's key, once it was read from the header fields or shown
        # by that member.
        self.credential: credentials.Credential | None = None
        self._is_read = False

    @property
    def path(self) -> str:
        """Return the undecoded path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def descriptor(self) -> int:
        """Return the file descriptor of the caller's connection."""
        return int(self._raw.conn.socket.fileno())

    def pass_on(self) -> None:
        """Record that the request is about to be sent to a server.

        :raises RequestEndedError: the process has ended it.
        """
        self._raw.conn.exchange.pass_on()

    @property
    def is_passed_on(self) -> bool:
        """Return whether a server may have run the request."""
        return bool(self._raw.conn.exchange.is_passed_on)

    def take_back(self) -> None:
        """Record that no server can have run the request."""
        self._raw.conn.exchange.take_back()

    def read_body(self) -> bytes:
        """Return the whole body.

        :raises BodyTooLargeError: it is longer than the limit.
        :raises BodyTimeoutError: it did not arrive in time.
        :raises BodyRefusedError: there is no room for it.
        :raises MalformedBodyError: it is truncated or wrongly encoded.
        """
        self._is_read = True
        try:
            return self._body_reader().read()
        except (errors.BodyError, errors.ShedError, OSError) as error:
            self._raw.close_connection = True
            raise self._body_error(error) from error

    def _body_error(self, error: Exception) -> errors.BodyError:
        """Return the error of a body for the handler, and count it."""
        refused = self._raw.server.guard.refusals
        match error:
            case errors.BodyTooLargeError():
                refused.record(refusals.Reason.TOO_LARGE)
                return error
            case errors.ShedError():
                refused.record(refusals.Reason.MEMORY)
                return BodyRefusedError(error.reason)
            case _ if self._raw.conn.transfer.is_evicted:
                return BodyRefusedError("others need the thread or the memory")
            case TimeoutError():
                return BodyTimeoutError(str(error))
            case errors.MalformedBodyError():
                refused.record(refusals.Reason.MALFORMED)
                return error
            case _:
                return errors.MalformedBodyError(str(error))

    def skip_body(self) -> None:
        """Read the body if the handler did not, or close the connection.

        Otherwise the body would be parsed as the next request, or a close
        with unread data would reset the connection and lose the response.
        """
        if self._is_read:
            return
        try:
            self._body_reader().skip()
        except (errors.BodyError, errors.ShedError, OSError) as error:
            self._raw.close_connection = True
            events.log(events.Event.BODY_NOT_READ, reason=repr(error))

    def _body_reader(self) -> bodies.BodyReader:
        raw = self._raw
        server, connection = raw.server, raw.conn
        limits = chunks.BodyLimits(
            server.max_request_body_size, server.max_request_header_size
        )
        length = int(raw.inheaders.get(b"Content-Length", 0))
        return bodies.BodyReader(
            connection.rfile,
            connection.transfer,
            server.guard.account,
            server.readers,
            limits,
            None if raw.chunked_read else length,
        )


class Response:
    """Response to a request, written in parts.

    :param raw: request object of CherryPy's server.
    :param listener: listener that got the request.
    """

    def __init__(self, raw: Any, listener: Listener) -> None:
        self._raw = raw
        self._listener = listener
        self._is_chunked = False
        self._is_delimited_by_close = False
        self._head = b""
        self.is_started = False
        # Fields that each answer gets beside those of :meth:`start`.
        self.added_fields: HeaderFields = ()

    def close_connection_after(self) -> None:
        """Close the connection after this response."""
        self._raw.close_connection = True

    def start(
        self, status: int, fields: HeaderFields, length: int | None
    ) -> None:
        """Start the response; its head is sent with the first data.

        :param length: size of the body in bytes, ``None`` if unknown.
        :raises RequestEndedError: the process has ended the request.
        """
        raw = self._raw
        raw.conn.exchange.answer()
        if self._listener.is_draining:
            raw.close_connection = True
        self.is_started = True
        raw.sent_headers = True
        lines = [
            b"HTTP/1.1 %03d %s" % (status, REASON_PHRASES.get(status, b"-"))
        ]
        lines.extend(
            name + b": " + value
            for name, value in (*fields, *self.added_fields)
        )
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif raw.response_protocol == "HTTP/1.1":
            self._is_chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            self._is_delimited_by_close = True
            raw.conn.is_delimited_by_close = True
            raw.close_connection = True
        if raw.close_connection:
            lines.append(b"Connection: close")
        self._head = b"\r\n".join(lines) + b"\r\n\r\n"

    def write(self, data: bytes) -> None:
        """Send a part of the body, with the head if it is the first."""
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._flush(data)

    def finish(self) -> None:
        """Complete the response."""
        self._flush(b"0\r\n\r\n" if self._is_chunked else b"")

    def abort(self) -> None:
        """Close the connection so that the response is seen as truncated."""
        self._raw.sent_headers = True
        self._raw.close_connection = True
        if self._is_delimited_by_close:
            # A normal close would look like the end of the response.
            self._raw.conn.is_reset_on_close = True

    def send(
        self, status: int, fields: HeaderFields, body: bytes = b""
    ) -> None:
        """Send a complete response."""
        self.start(status, fields, len(body))
        self._flush(body)

    def _flush(self, data: bytes) -> None:
        head, self._head = self._head, b""
        if head or data:
            self._raw.conn.wfile.write(head + data)


Handler = Callable[[Request, Response], None]


class _Gateway(cheroot_server.Gateway):
    def __init__(self, listener: Listener, req: Any) -> None:
        super().__init__(req)
        self._listener = listener

    def respond(self) -> None:
        listener = self._listener
        self.req.conn.begin_exchange(self.req.inheaders)
        request = Request(self.req)
        response = Response(self.req, listener)
        try:
            listener.handler(request, response)
        except exchanges.RequestEndedError:
            response.abort()
            return
        request.skip_body()


class _Server(cheroot_server.HTTPServer):
    """CherryPy's server with the connections of this package.

    ``interrupt`` is set by a thread that ends unexpectedly. It has no effect
    here, as the error of one connection must not end the server.
    """

    interrupt = None
    _connections: waiting_connections.WaitingConnections

    def put_conn(self, conn: Any) -> None:
        """Wait for the next request on a connection."""
        self._connections.put(conn)


class _ThreadPool(threadpool.ThreadPool):
    """Thread pool that grows, without waiting, when no thread is idle.

    Its threads are daemons, so they do not keep the process from exiting.
    """

    _threads: list[threading.Thread]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._growing = threading.Lock()

    def put(self, obj: Any) -> None:
        super().put(obj)
        if obj is not None and self.idle - self.qsize < 1:
            self._grow_if_possible()

    def _grow_if_possible(self) -> None:
        try:
            with self._growing:
                self._drop_ended()
                self.grow(THREADS_PER_GROWTH)
        except RuntimeError as error:
            _log_error(f"no thread can be started: {error}", logging.WARNING)

    def _drop_ended(self) -> None:
        self._threads[:] = [each for each in self._threads if each.is_alive()]

    def grow(self, amount: int) -> None:
        available = max(self.max - len(self._threads), 0)
        for _ in range(min(amount, available)):
            worker: Any = threadpool.WorkerThread(self.server)  # type: ignore[no-untyped-call]
            worker.daemon = True
            worker.start()
            self._threads.append(worker)


class Listener:
    """HTTP server on one address.

    :param address: ``host:port``; port 0 picks a free port.
    :param handler: called for each request on a worker thread.
    :param guard: what the listeners of the process share; ``None`` for a
        process without limits.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Limits,
        guard: guards.Guard | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.handler = handler
        self.is_draining = False
        server: Any = _Server(
            (host, int(port)), functools.partial(_Gateway, self)
        )
        server.ConnectionClass = caller_connections.Connection
        server.request_queue_size = LISTEN_BACKLOG
        server.requests = _ThreadPool(
            server, min=min(MIN_THREADS, limits.threads), max=limits.threads
        )
        server.error_log = _log_error
        server.open_connections = set()
        server.guard = guard or guards.Guard(
            ingress_limits.UNLIMITED, clocks.Clock()
        )
        server.readers = waiting_readers.WaitingReaders(
            ingress_limits.max_waiting(limits.threads), clocks.Clock()
        )
        self._server = server
        self.set_limits(limits)
        server.prepare()
        server._connections._selector.close()
        self._connections = waiting_connections.WaitingConnections(server)
        server._connections = self._connections

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the listener is bound to."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def set_limits(self, limits: Limits) -> None:
        """Apply limits to further requests."""
        server = self._server
        server.max_request_header_size = limits.header_bytes
        server.max_request_body_size = limits.body_bytes
        server.max_connections = limits.connections
        server.timeout = limits.idle_timeout_ms / clocks.MS_PER_S
        server.header_timeout_s = limits.header_timeout_ms / clocks.MS_PER_S

    def start(self) -> None:
        """Serve on a background thread."""
        background.start(self._connections.run, clocks.Clock())

    def refuse_connections(self) -> None:
        """Refuse new connections; serve requests on those that are open."""
        self._connections.end_accepting()

    def stop_accepting(self) -> None:
        """Refuse new connections and close those that wait for a request.

        Requests that have arrived are served; the server's own ``stop`` would
        end them.
        """
        self._connections.end()

    @property
    def is_idle(self) -> bool:
        """Return whether no connection of a caller is open.

        After :meth:`stop_accepting` no request can arrive any more then.
        """
        return not self._server.open_connections

    @property
    def has_requests(self) -> bool:
        """Return whether a request has arrived that has no answer yet."""
        waiting = exchanges.ConnectionState.WAITING
        connections = list(self._server.open_connections)
        return any(each.state is not waiting for each in connections)

    def connection_counts(self) -> dict[str, int]:
        """Return how many connections are open, by their state."""
        connections = list(self._server.open_connections)
        found = collections.Counter(each.state for each in connections)
        return {state.value: found[state] for state in _STATES}

    def unfinished(self) -> list[exchanges.Exchange]:
        """Return the exchanges of requests in progress."""
        return [
            connection.exchange
            for connection in list(self._server.open_connections)
            if connection.state is exchanges.ConnectionState.IN_PROGRESS
        ]

    def end_exchanges(
        self, fields_of: Callable[[exchanges.Exchange], HeaderFields]
    ) -> list[exchanges.Exchange]:
        """Refuse requests that were not passed on, as the process ends.

        The others go on; if the process ends before they do, callers see that
        their answers are incomplete.

        :param fields_of: returns the fields of a refusal.
        :return: exchanges of the refused requests.
        """

        def refuse(exchange: exchanges.Exchange) -> bytes:
            return _refusal(fields_of(exchange))

        return [
            connection.exchange
            for connection in list(self._server.open_connections)
            if connection.end_exchange(refuse)
        ]

    def set_draining(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True


def _refusal(fields: HeaderFields) -> bytes:
    lines = [b"HTTP/1.1 503 " + REASON_PHRASES[503]]
    lines.extend(name + b": " + value for name, value in fields)
    lines.extend([b"Content-Length: 0", b"Connection: close"])
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _log_error(
    msg: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    """Log warnings and errors of CherryPy's server."""
    if level >= logging.WARNING:
        events.log(events.Event.REQUEST_FAILED, level, reason=msg)
