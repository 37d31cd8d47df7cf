"""Connections of callers, with strict header parsing and read timeouts.

The timeouts of CherryPy's server apply to each read, so a caller that sends
single bytes could hold a thread forever. The timeouts here apply to a whole
request head or body.
"""

from __future__ import annotations

import logging
import math
import select
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot import makefile
from cheroot import server as cheroot_server

from balsamloom_core import clock as clocks
from balsamloom_core import events, timed_reads
from balsamloom_gateway import exchanges
from balsamloom_ingress import (
    errors,
    limits,
    refusals,
    transfers,
    waiting_readers,
)

# Lines of a head for which memory is taken at once.
LINES_PER_TAKE = 64
_CLOSE_WITH_RESET = struct.pack("ii", 1, 0)


class _UnfoldedLineReader:
    """Reader that rejects folded header lines (obsolete line folding).

    :param rfile: reader of the head.
    :param take_memory: called with the size that some lines have in memory.
    """

    def __init__(self, rfile: Any, take_memory: Callable[[int], None]) -> None:
        self._rfile = rfile
        self._take_memory = take_memory
        self._lines = 0
        self._size_bytes = 0

    def readline(self) -> bytes:
        line: bytes = self._rfile.readline()
        if line[:1] in (b" ", b"\t"):
            raise ValueError("folded header line")
        self._lines += 1
        self._size_bytes += len(line) + limits.FIELD_BYTES
        if self._lines % LINES_PER_TAKE == 0 or line == b"\r\n":
            self._take_memory(self._size_bytes)
            self._size_bytes = 0
        return line


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects headers that two parsers may read in different ways.

    They allow request smuggling: a second request hidden in the body.
    """

    _SINGLE_VALUE_HEADERS = (
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Authorization",
    )

    def __init__(self, take_memory: Callable[[int], None]) -> None:
        self._take_memory = take_memory

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        self._seen_headers: set[bytes] = set()
        headers: dict[bytes, bytes] = super().__call__(
            _UnfoldedLineReader(rfile, self._take_memory), hdict
        )
        length = headers.get(b"Content-Length")
        if length is not None:
            if b"Transfer-Encoding" in headers:
                raise ValueError("both Content-Length and Transfer-Encoding")
            if not length.isdigit():
                raise ValueError("Content-Length is not a number")
        return headers

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip() or not key_name:
            raise ValueError("empty header name or whitespace around it")
        key = key_name.title()
        if key in self._SINGLE_VALUE_HEADERS:
            if key in self._seen_headers:
                raise ValueError(f"duplicate {key.decode('latin-1')}")
            self._seen_headers.add(key)
        return key


class _DeadlineSocket(socket.SocketIO):
    """Socket whose reads share a deadline, besides the timeout of each.

    A read that has to wait counts as a waiting reader, and may be shed.
    """

    readers: waiting_readers.WaitingReaders
    transfer: transfers.Transfer

    def __init__(self, connected: socket.socket, mode: Any) -> None:
        super().__init__(connected, mode)
        self._connected = connected
        self._clock = clocks.Clock()
        self.until_ms = math.inf

    def readinto(self, buffer: Any) -> int | None:
        left_ms = self.until_ms - self._clock.now_ms()
        if left_ms <= 0.0 or self.transfer.is_evicted:
            raise TimeoutError(timed_reads.TIMEOUT_MESSAGE)
        count = self._read_arrived(buffer)
        if count is None:
            count = self._await_input(buffer, left_ms)
        self.transfer.add(count or 0)
        return count

    def _read_arrived(self, buffer: Any) -> int | None:
        """Read what has arrived; return ``None`` if nothing has."""
        timeout_s = self._connected.gettimeout()
        self._connected.settimeout(0.0)
        try:
            return super().readinto(buffer)
        finally:
            self._connected.settimeout(timeout_s)

    def _await_input(self, buffer: Any, left_ms: float) -> int | None:
        try:
            with self.readers.waiting(self.transfer):
                return timed_reads.read_into(
                    super().readinto, buffer, self._connected, left_ms
                )
        except errors.ShedError as error:
            raise TimeoutError(timed_reads.TIMEOUT_MESSAGE) from error


def _make_file(connected: socket.socket, mode: str, buffer_bytes: int) -> Any:
    """Return a buffered reader with a shared deadline, or a writer."""
    if "r" not in mode:
        return makefile.StreamWriter(connected, mode, buffer_bytes)
    reader: Any = makefile.StreamReader(connected, mode, buffer_bytes)
    # Replacing the raw socket is safe, as nothing is buffered yet.
    reader._raw = _DeadlineSocket(connected, mode)
    return reader


class _Request(cheroot_server.HTTPRequest):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The reader is stateful, so each request needs its own.
        self.header_reader = _StrictHeaderReader(self.conn.take_memory)

    def read_request_headers(self) -> bool:
        """Read the header lines; a head that is too large gets a 431."""
        try:
            return bool(super().read_request_headers())  # type: ignore[no-untyped-call]
        except cheroot_errors.MaxSizeExceeded:
            self.simple_response("431 Request Header Fields Too Large")
            return False

    def simple_response(self, status: str, msg: str = "") -> None:
        """Log and respond to a request that reaches no handler."""
        try:
            self.conn.exchange.answer()
        except exchanges.RequestEndedError:
            return
        events.log(
            events.Event.REQUEST_REFUSED,
            logging.WARNING,
            status=int(status.partition(" ")[0]),
            reason=msg or status,
        )
        super().simple_response(status, msg)


class Connection(cheroot_server.HTTPConnection):
    """Connection of a caller, with timeouts for request heads and bodies.

    ``is_reset_on_close`` closes it with a TCP reset instead of a FIN.
    ``is_delimited_by_close`` says that the response has no other end.
    """

    RequestHandlerClass = _Request
    is_reset_on_close = False
    is_delimited_by_close = False

    def __init__(
        self, server: Any, connected: socket.socket, _: Any = None
    ) -> None:
        super().__init__(server, connected, _make_file)
        self._clock = clocks.Clock()
        self.state = exchanges.ConnectionState.WAITING
        self.exchange = exchanges.Exchange()
        self.idle_since_ms = self._clock.now_ms()
        self._begin_transfer()
        server.open_connections.add(self)

    def close(self) -> None:
        """Close the connection, which then counts as open no longer.

        Errors are only logged, as one would end the thread that closes.
        """
        try:
            super().close()
        except (OSError, ValueError) as error:
            events.log(
                events.Event.REQUEST_FAILED,
                logging.WARNING,
                reason=f"the connection was not closed in order: {error!r}",
            )
            self.socket.close()
        finally:
            self.server.open_connections.discard(self)

    def end_exchange(
        self, answer: Callable[[exchanges.Exchange], bytes]
    ) -> bool:
        """End the exchange, as the process ends.

        :param answer: returns the refusal of a request that never runs.
        :return: whether the request was refused.
        """
        try:
            if self.exchange.refuse():
                self.socket.send(answer(self.exchange), socket.MSG_DONTWAIT)
                self.socket.shutdown(socket.SHUT_RDWR)
                return True
            if self.is_delimited_by_close:
                # The kernel's close would look like the end of the response.
                self._reset_on_close()
        except OSError:
            pass  # the caller has gone
        return False

    def has_input(self) -> bool:
        """Return whether data of the caller has arrived and is not read."""
        if self.rfile.has_data():
            return True
        poll = select.poll()
        try:
            poll.register(self.socket, select.POLLIN)
            return bool(poll.poll(0) and self.socket.recv(1, socket.MSG_PEEK))
        except (OSError, ValueError):
            return False

    def communicate(self) -> bool:
        """Serve one request and return whether to keep the connection."""
        self.state = exchanges.ConnectionState.READING
        timeout_s = self.server.header_timeout_s
        self.socket.settimeout(timeout_s)
        self._set_read_timeout(timeout_s)
        self._begin_transfer()
        self.transfer.expect(self.server.max_request_header_size)
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.server.guard.account.release(self.transfer)
            if self.transfer.is_evicted:
                self.server.guard.refusals.record(refusals.Reason.SLOW)

    def take_memory(self, size_bytes: int) -> None:
        """Take memory for the head of the request.

        :raises TimeoutError: there is none; the answer is a 408.
        """
        try:
            self.server.guard.account.take(self.transfer, size_bytes)
        except errors.ShedError as error:
            self.server.guard.refusals.record(refusals.Reason.MEMORY)
            raise TimeoutError(timed_reads.TIMEOUT_MESSAGE) from error

    def _begin_transfer(self) -> None:
        self.transfer = transfers.Transfer(self._clock, self._end_input)
        self.rfile.raw.readers = self.server.readers
        self.rfile.raw.transfer = self.transfer

    def _end_input(self) -> None:
        """Wake the thread that waits for data of the caller."""
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            pass  # the caller has gone

    def expect_request(self) -> None:
        """Record that a request has begun to arrive."""
        self.exchange = exchanges.Exchange()
        self.state = exchanges.ConnectionState.QUEUED

    def begin_exchange(self, headers: Mapping[bytes, bytes]) -> None:
        """Begin the work on a request whose head has been read."""
        self.exchange.begin(headers, self._clock.now_ms())
        self.transfer.is_arriving = False
        self.state = exchanges.ConnectionState.IN_PROGRESS
        self._start_body_timeout()

    def _start_body_timeout(self) -> None:
        """Start the timeout for a request's body."""
        self._set_read_timeout(
            max(self.server.timeout, self.server.header_timeout_s)
        )

    def _set_read_timeout(self, timeout_s: float) -> None:
        until_ms = self._clock.now_ms() + timeout_s * clocks.MS_PER_S
        self.rfile.raw.until_ms = until_ms

    def _close_kernel_socket(self) -> None:
        """Shut the socket down, or set it to send a reset on close."""
        if not self.is_reset_on_close:
            super()._close_kernel_socket()  # type: ignore[misc]
            return
        self._reset_on_close()

    def _reset_on_close(self) -> None:
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _CLOSE_WITH_RESET
        )
