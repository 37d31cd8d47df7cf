"""Kept HTTP/1.1 connections to servers, one exchange at a time.

An exchange waits for the server and the caller together, so that a caller
that leaves ends it at once. Answers to earlier requests, which may still
arrive on a kept connection, are recognised by their request identifier and
skipped.
"""

from __future__ import annotations

import dataclasses
import select
import socket
from typing import Any, NamedTuple

import httptools

from balsamloom_core import clock as clocks

RECEIVE_CHUNK_BYTES = 65_536
# Bytes that may arrive in a row without being part of the awaited answer:
# heads, skipped answers, chunk extensions and trailers.
MAX_UNPRODUCTIVE_BYTES = 262_144
# A host without power does not reset connections, so unacknowledged data
# ends them after this time.
TCP_USER_TIMEOUT_MS = 2_000
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_NO_BODY_STATUSES = frozenset({204, 304})


class ExchangeError(Exception):
    """Base of what ends an exchange early."""


class ConnectError(ExchangeError):
    """No connection could be made, so nothing was sent."""


class ConnectionLostError(ExchangeError):
    """The connection ended or broke before the answer was complete."""


class InvalidResponseError(ExchangeError):
    """What arrived is not an answer in the protocol."""


class ExchangeTimeoutError(ExchangeError):
    """The time for the exchange is over."""


class CallerDisconnectedError(ExchangeError):
    """The caller closed its connection."""


class Headers(NamedTuple):
    """Fields of an answer in the order in which they arrived."""

    fields: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field.

        :param name: name in lower case.
        """
        for field, value in self.fields:
            if field.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and fields of an answer."""

    status: int
    headers: Headers
    length: int | None


@dataclasses.dataclass(frozen=True)
class ResponseData:
    """Part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """The answer is complete."""


ResponsePart = ResponseHead | ResponseData | ResponseEnd


class Connection:
    """Connection to one address.

    :param sock: connected socket in non-blocking mode.
    :param clock: time source.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.is_reusable = True
        # Whether an exchange took place before the present one.
        self.is_used = False
        self.last_used_ms = clock.now_ms()
        self.idle_timeout_ms: float | None = None

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self._sock.fileno()

    def close(self) -> None:
        """Close the connection; the server drops what it still runs."""
        self.is_reusable = False
        self._sock.close()

    def is_open_and_idle(self) -> bool:
        """Return whether the connection is open and nothing has arrived."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send_some(self, data: memoryview) -> int:
        """Send what fits and return how many bytes that is.

        :raises ConnectionLostError: the connection is gone.
        """
        try:
            return self._sock.send(data, socket.MSG_NOSIGNAL)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    def receive_some(self) -> bytes | None:
        """Return bytes that arrived, none at the end, ``None`` if not yet.

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
    :raises ConnectError: the address refused or did not answer in time.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(max(timeout_ms, 1.0) / clocks.MS_PER_S)
        sock.connect((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setblocking(False)
    except (OSError, ValueError) as error:
        sock.close()
        raise ConnectError(f"{address}: {error}") from error
    return Connection(sock, clock)


class _ResponseParser:
    """Callbacks of the parser; collects parts of the awaited answer."""

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
        # An answer that may belong to an earlier request.
        self.is_unidentified = False
        self.is_keep_alive = False
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
        headers = Headers(tuple(self._fields))
        self._is_skipped = status < 200 or not self._is_expected(headers)
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
        # The parser knows this only until the callback returns.
        self.is_keep_alive = bool(self.parser.should_keep_alive())
        self.parts.append(ResponseEnd())

    def _is_expected(self, headers: Headers) -> bool:
        """Return whether an answer belongs to the request that was sent.

        One without an identifier is taken on a connection without an earlier
        exchange only: the server then knows of no other request.
        """
        if self._identifier is None:
            return True
        name, value = self._identifier
        found = headers.get(name)
        if found is None and self._requires_identifier:
            self.is_unidentified = True
        return found is None or found == value


class Exchange:
    """One request and its answer on a connection.

    :param connection: connection without another exchange.
    :param caller_fd: descriptor of the caller's connection, if its end is to
        end the exchange.
    :param identifier: lower-case name and value of the field by which the
        answer is recognised.
    :param clock: time source.
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
        """Send a request; stops early if the server answers before its end.

        :param until_ms: time at which sending is given up.
        :raises ExchangeError: see the classes of this module.
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
        """Return the parts of the answer that arrived next.

        :param until_ms: time at which waiting is given up.
        :raises ExchangeError: see the classes of this module.
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
            raise InvalidResponseError("bytes without end that are no answer")
        try:
            self._response.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._connection.is_reusable = False
            # Bytes behind a complete answer belong to no request.
            if not self._response.is_complete:
                raise InvalidResponseError(str(error)) from error
        if self._response.is_unidentified:
            self._connection.is_reusable = False
            raise InvalidResponseError("an answer to an unnamed request")

    def _handle_close(self) -> None:
        self._connection.is_reusable = False
        if not self._response.is_delimited_by_close:
            raise ConnectionLostError("closed before the end of the answer")
        self._response.is_complete = True
        self._response.parts.append(ResponseEnd())

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
            raise ExchangeTimeoutError("time is over")
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
