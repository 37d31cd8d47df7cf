"""Persistent HTTP/1.1 connections to servers, without pipelining.

An exchange polls the server's and the caller's connection together, so it
ends as soon as the caller disconnects. A late response to an earlier request
may still arrive on a reused connection; it is recognised by its request
identifier and skipped.
"""

from __future__ import annotations

import dataclasses
import select
import socket
from typing import Any, NamedTuple

import httptools

from balsamloom_core import clock as clocks
from balsamloom_core import http_status

RECEIVE_CHUNK_BYTES = 65_536
# Limit on consecutive bytes that yield no part of the expected response:
# heads, skipped responses, chunk extensions and trailers.
MAX_UNPRODUCTIVE_BYTES = 262_144
# A host that lost power sends no reset, so a connection is closed when data
# stays unacknowledged for this time.
TCP_USER_TIMEOUT_MS = 2_000
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_NO_BODY_STATUSES = frozenset({204, 304})
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class ExchangeError(Exception):
    """Base class of errors that end an exchange early."""


class ConnectError(ExchangeError):
    """No connection could be opened, so nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The host answered that nothing listens at the address."""


class ConnectionLostError(ExchangeError):
    """The connection was lost before the response was complete."""


class InvalidResponseError(ExchangeError):
    """The received bytes are not a valid response to the request."""


class ExchangeTimeoutError(ExchangeError):
    """The exchange did not end in time."""


class CallerDisconnectedError(ExchangeError):
    """The caller closed its connection."""


class Headers(NamedTuple):
    """Header fields of a response in their original order."""

    fields: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field or ``None``.

        :param name: field name in lower case.
        """
        for field, value in self.fields:
            if field.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers
    length: int | None


@dataclasses.dataclass(frozen=True)
class ResponseData:
    """Part of a response's body."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """End of a response.

    ``is_by_close`` says that only the close of the connection showed the end,
    so that the response may have been cut off.
    """

    is_by_close: bool = False


ResponsePart = ResponseHead | ResponseData | ResponseEnd


class Connection:
    """TCP connection to one address.

    :param sock: connected socket in non-blocking mode.
    :param clock: time source.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.is_reusable = True
        # Whether an exchange has begun on this connection.
        self.is_used = False
        self.last_used_ms = clock.now_ms()
        self.idle_timeout_ms: float | None = None

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    def close(self) -> None:
        """Close the connection, which makes a server cancel its request."""
        self.is_reusable = False
        self._sock.close()

    def is_open_and_idle(self) -> bool:
        """Return whether the connection is open and has no data to read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send_some(self, data: memoryview) -> int:
        """Send without blocking and return the number of bytes sent.

        :raises ConnectionLostError: the connection was closed or reset.
        """
        try:
            return self._sock.send(data, socket.MSG_NOSIGNAL)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    def receive_some(self) -> bytes | None:
        """Return received bytes, ``b""`` at the end, ``None`` if none yet.

        :raises ConnectionLostError: the connection was reset.
        """
        try:
            return self._sock.recv(RECEIVE_CHUNK_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionLostError(str(error)) from error


def connect(
    address: str, timeout_ms: float, clock: clocks.Clock
) -> Connection:
    """Open a connection.

    :param address: ``host:port``.
    :raises ConnectRefusedError: nothing listens at the address.
    :raises ConnectError: invalid address, timeout or no descriptor left.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectError(f"{address}: {error}") from error
    try:
        sock.settimeout(max(timeout_ms, 1.0) / clocks.MS_PER_S)
        sock.connect((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setblocking(False)
    except ConnectionRefusedError as error:
        sock.close()
        raise ConnectRefusedError(f"{address}: {error}") from error
    except (OSError, ValueError, OverflowError, TypeError) as error:
        sock.close()
        raise ConnectError(f"{address}: {error}") from error
    return Connection(sock, clock)


class _ResponseParser:
    """Parser callbacks that collect the parts of the expected response."""

    def __init__(
        self,
        identifier: tuple[bytes, bytes] | None,
        requires_identifier: bool,
        is_head_request: bool,
    ) -> None:
        self._identifier = identifier
        self._requires_identifier = requires_identifier
        self._is_head_request = is_head_request
        self.parser: Any = httptools.HttpResponseParser(self)
        self.parts: list[ResponsePart] = []
        self.is_complete = False
        self.has_extra_response = False
        self.is_delimited_by_close = False
        # No request identifier, so it may answer an earlier request.
        self.is_unidentified = False
        self.is_keep_alive = False
        # A status that no response can have.
        self.invalid_status: int | None = None
        self._is_skipped = False
        self._fields: list[tuple[bytes, bytes]] = []

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.has_extra_response = True
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        if self.is_complete:
            return
        status = int(self.parser.get_status_code())
        is_interim = http_status.is_interim(status)
        if not is_interim and not http_status.is_final(status):
            self.invalid_status = status
        headers = Headers(tuple(self._fields))
        self._is_skipped = is_interim or not self._is_expected(headers)
        if self._is_skipped:
            return
        length = headers.get(b"content-length")
        has_no_body = self._is_head_request or status in _NO_BODY_STATUSES
        is_chunked = headers.get(b"transfer-encoding") is not None
        self.is_delimited_by_close = not (has_no_body or length or is_chunked)
        number = int(length) if length and length.isdigit() else None
        self.parts.append(ResponseHead(status, headers, number))

    def on_body(self, data: bytes) -> None:
        if not self.is_complete and not self._is_skipped:
            self.parts.append(ResponseData(data))

    def on_message_complete(self) -> None:
        if self._is_skipped or self.is_complete:
            return
        self.is_complete = True
        # The parser reports this only within the callback.
        self.is_keep_alive = bool(self.parser.should_keep_alive())
        self.parts.append(ResponseEnd())

    def _is_expected(self, headers: Headers) -> bool:
        """Return whether a response belongs to the request that was sent.

        Without an identifier, it is accepted only in the first exchange of a
        connection, as the server has no other request to respond to.
        """
        if self._identifier is None:
            return True
        name, value = self._identifier
        found = headers.get(name)
        if found is None and self._requires_identifier:
            self.is_unidentified = True
        return found is None or found == value


class Exchange:
    """One request and its response on a connection.

    :param connection: connection without an exchange in progress.
    :param clock: time source.
    :param caller_fd: file descriptor of the caller's connection; the exchange
        ends when the caller closes it.
    :param identifier: lower-case name and value of the identifying field.
    :param is_head_request: whether the method is HEAD.
    """

    def __init__(
        self,
        connection: Connection,
        clock: clocks.Clock,
        caller_fd: int | None = None,
        identifier: tuple[bytes, bytes] | None = None,
        is_head_request: bool = False,
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._caller_fd = caller_fd
        self._poll = select.poll()
        if caller_fd is not None:
            self._poll.register(caller_fd, select.POLLRDHUP)
        self._response = _ResponseParser(
            identifier, connection.is_used, is_head_request
        )
        connection.is_used = True
        self._unproductive_bytes = 0
        self.sent_bytes = 0
        self._is_sent = False

    def send(self, data: bytes, until_ms: float) -> None:
        """Send a request; stop early if the server responds before its end.

        :param until_ms: clock time of the timeout.
        :raises ExchangeError: see its subclasses.
        """
        self._connection.last_used_ms = self._clock.now_ms()
        view = memoryview(data)
        while view:
            count = self._connection.send_some(view)
            self.sent_bytes += count
            view = view[count:]
            if view:
                events = self._wait(select.POLLIN | select.POLLOUT, until_ms)
                if events & select.POLLIN:
                    return
        self._is_sent = True

    def receive(self, until_ms: float) -> list[ResponsePart]:
        """Wait for the next parts of the response and return them.

        :param until_ms: clock time of the timeout.
        :raises ExchangeError: see its subclasses.
        """
        response = self._response
        while not response.parts:
            self._wait(select.POLLIN, until_ms)
            data = self._connection.receive_some()
            if data is None:
                continue
            if not data:
                self._handle_close()
                continue
            self._parse(data)
        self._unproductive_bytes = 0
        parts = response.parts
        response.parts = []
        if response.is_complete:
            self._handle_completion()
        return parts

    def _parse(self, data: bytes) -> None:
        self._unproductive_bytes += len(data)
        if self._unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            self._connection.is_reusable = False
            raise InvalidResponseError("too many bytes without a response")
        try:
            self._response.parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self._connection.is_reusable = False
            # Bytes after a complete response belong to no request.
            if not self._response.is_complete:
                raise InvalidResponseError(str(error)) from error
        if self._response.invalid_status is not None:
            self._connection.is_reusable = False
            status = self._response.invalid_status
            raise InvalidResponseError(f"HTTP has no status {status:03d}")
        if self._response.is_unidentified:
            self._connection.is_reusable = False
            raise InvalidResponseError("response without a request identifier")

    def _handle_close(self) -> None:
        self._connection.is_reusable = False
        if not self._response.is_delimited_by_close:
            raise ConnectionLostError("closed before the end of the response")
        self._response.is_complete = True
        self._response.parts.append(ResponseEnd(is_by_close=True))

    def _handle_completion(self) -> None:
        response = self._response
        if (
            not self._is_sent
            or response.has_extra_response
            or response.is_delimited_by_close
            or not response.is_keep_alive
        ):
            self._connection.is_reusable = False
        self._connection.last_used_ms = self._clock.now_ms()

    def _wait(self, events: int, until_ms: float) -> int:
        self._poll.register(self._connection.fileno(), events)
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise ExchangeTimeoutError("timed out")
        found = 0
        for descriptor, happened in self._poll.poll(left_ms):
            if descriptor == self._caller_fd:
                if happened & _CLOSED_EVENTS:
                    raise CallerDisconnectedError(
                        "the caller closed its connection"
                    )
            else:
                found = happened
        return found
