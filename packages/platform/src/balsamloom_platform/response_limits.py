"""Answers of other servers, within a time and a size.

A server that sends a byte now and then, or without end, could hold a call for
ever otherwise.
"""

from __future__ import annotations

import http.client
import io
import socket
from typing import Any, NamedTuple

import urllib3

from balsamloom_core import clock as clocks
from balsamloom_core import timed_reads

# Heads of sound servers take a few hundred bytes.
MAX_HEADER_BYTES = 256_000
MAX_RESPONSE_BYTES = 16_000_000
# Stands for a socket that waits for ever.
DEFAULT_TIMEOUT_MS = 600_000.0


class ResponseTooLargeError(http.client.HTTPException):
    """A server sends more than an answer may have."""


class Limits(NamedTuple):
    """Bytes of an answer, and time until they must be there."""

    most_bytes: int
    timeout_ms: float


class LimitedReader(io.RawIOBase):
    """Reads of one answer; its time runs from the start.

    Raises :class:`TimeoutError` or :class:`ResponseTooLargeError`.

    :param connection: connected socket; its timeout bounds each read.
    :param limits: bounds of all reads together.
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
        """Return that this can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read what is there; wait for the first byte."""
        if not self._is_limited:
            return self._raw.readinto(buffer)
        if self._remaining_bytes <= 0:
            raise ResponseTooLargeError("more bytes than an answer may have")
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        count = timed_reads.read_into(
            self._raw.readinto, buffer, self._connection, remaining_ms
        )
        self._remaining_bytes -= count or 0
        return count

    def remove_limits(self) -> None:
        """Read without limits from now on."""
        self._is_limited = False

    def close(self) -> None:
        """Let go of the socket."""
        self._raw.close()
        super().close()


class _LimitedResponse(http.client.HTTPResponse):
    """Answer that must be complete within the timeout of its socket."""

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
    """Answer whose head alone must come within the timeout, if it is one.

    A refusal has no stream behind its head, so it must come whole.
    """

    max_bytes = MAX_HEADER_BYTES

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        if self.status == http.client.OK:
            self.reader.remove_limits()


class _LimitedConnection(urllib3.connection.HTTPConnection):
    response_class = _LimitedResponse


class _LimitedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _LimitedConnection


def limited_pool(pools: int, size: int, **options: Any) -> urllib3.PoolManager:
    """Return a pool whose answers come whole in time or not at all.

    :param pools: servers whose connections are kept track of.
    :param size: connections for each server.
    :param options: further options of connections.
    """
    return pool_manager(_LimitedPool, pools, size, **options)


def pool_manager(
    pool_class: type[urllib3.HTTPConnectionPool],
    pools: int,
    size: int,
    **options: Any,
) -> urllib3.PoolManager:
    """Return a pool whose plain connections are of a class."""
    manager = urllib3.PoolManager(num_pools=pools, maxsize=size, **options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": pool_class,
    }
    return manager
