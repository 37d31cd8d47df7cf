"""HTTP responses with a valid status, limited in total time and size.

Without these limits, a server that sends slowly or endlessly could block a
call forever, because a socket timeout restarts with each read.
"""

from __future__ import annotations

import http.client
import io
import socket
from typing import Any, NamedTuple

import urllib3

from balsamloom_core import clock as clocks
from balsamloom_core import http_status, timed_reads

# Servers normally send a few hundred bytes of status line and headers.
MAX_HEADER_BYTES = 256_000
MAX_RESPONSE_BYTES = 16_000_000
# Applies to sockets without a timeout.
DEFAULT_TIMEOUT_MS = 600_000.0


class ResponseTooLargeError(http.client.HTTPException):
    """A response exceeds its maximum size."""


class Limits(NamedTuple):
    """Maximum size of a response, and time to receive it."""

    most_bytes: int
    timeout_ms: float


class LimitedReader(io.RawIOBase):
    """Raw reader of one response; its time starts at construction.

    Reads raise :class:`TimeoutError` or :class:`ResponseTooLargeError`.

    :param connection: connected socket; its timeout bounds each read.
    :param limits: limits for all reads together.
    """

    def __init__(self, connection: socket.socket, limits: Limits) -> None:
        super().__init__()
        self._connection = connection
        self._raw = connection.makefile("rb", buffering=0)
        self._clock = clocks.Clock()
        self._remaining_bytes = limits.most_bytes
        self._deadline_ms = self._clock.now_ms() + limits.timeout_ms
        self._is_limited = True

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read the bytes available, waiting for the first one."""
        if not self._is_limited:
            return self._raw.readinto(buffer)
        if self._remaining_bytes <= 0:
            raise ResponseTooLargeError("response exceeds its maximum size")
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        count = timed_reads.read_into(
            self._raw.readinto, buffer, self._connection, remaining_ms
        )
        self._remaining_bytes -= count or 0
        return count

    def remove_limits(self) -> None:
        """Remove the limits from all later reads."""
        self._is_limited = False

    def close(self) -> None:
        """Close the file object of the socket."""
        self._raw.close()
        super().close()


class CheckedResponse(http.client.HTTPResponse):
    """Response whose status answers a request."""

    def begin(self) -> None:
        """Read the status line and headers.

        :raises http.client.BadStatusLine: no response ends with this status.
        """
        super().begin()
        if not http_status.is_final(self.status):
            raise http.client.BadStatusLine(f"status {self.status:03d}")


class _LimitedResponse(CheckedResponse):
    """Response that must be complete within the timeout of its socket."""

    max_bytes = MAX_RESPONSE_BYTES

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        socket_timeout_s = sock.gettimeout()
        timeout_ms = DEFAULT_TIMEOUT_MS
        if socket_timeout_s is not None:
            timeout_ms = socket_timeout_s * clocks.MS_PER_S
        self.reader = LimitedReader(sock, Limits(self.max_bytes, timeout_ms))
        self.fp.close()
        self.fp = io.BufferedReader(self.reader)


class StreamedResponse(_LimitedResponse):
    """Streamed response, whose limits apply only to its headers.

    A response with a status other than 200 has no stream, so the limits apply
    to all of it.
    """

    max_bytes = MAX_HEADER_BYTES

    def begin(self) -> None:
        """Read the status line and headers."""
        super().begin()
        if self.status == http.client.OK:
            self.reader.remove_limits()


class _CheckedConnection(urllib3.connection.HTTPConnection):
    response_class = CheckedResponse


class _CheckedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CheckedConnection


class _LimitedConnection(urllib3.connection.HTTPConnection):
    response_class = _LimitedResponse


class _LimitedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _LimitedConnection


def limited_pool(pools: int, size: int, **options: Any) -> urllib3.PoolManager:
    """Return a pool manager that limits responses in time and size.

    :param pools: maximum number of servers with a connection pool.
    :param size: connections kept for each server.
    :param options: further options of the connections.
    """
    return pool_manager(_LimitedPool, pools, size, **options)


def checked_pool(pools: int, size: int, **options: Any) -> urllib3.PoolManager:
    """Return a pool manager that rejects statuses that HTTP lacks.

    :param pools: maximum number of servers with a connection pool.
    :param size: connections kept for each server.
    :param options: further options of the connections.
    """
    return pool_manager(_CheckedPool, pools, size, **options)


def pool_manager(
    pool_class: type[urllib3.HTTPConnectionPool],
    pools: int,
    size: int,
    **options: Any,
) -> urllib3.PoolManager:
    """Return a pool manager that uses the given class for plain HTTP."""
    manager = urllib3.PoolManager(num_pools=pools, maxsize=size, **options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": pool_class,
    }
    return manager
