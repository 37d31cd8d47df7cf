"""HTTP client for small requests, with persistent connections."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import connection_pool, server_connections

IDLE_TIMEOUT_MS = 10_000.0


class NotSentError(Exception):
    """No byte of the request was sent, so it has no effect."""


class NoResponseError(Exception):
    """The request was sent but no complete response arrived."""


class ResponseTimeoutError(NoResponseError):
    """The request was sent but no response arrived in time."""


class Response(NamedTuple):
    """Complete response of a server."""

    status: int
    headers: server_connections.Headers
    body: bytes


class HttpClient:
    """Thread-safe client of one address.

    :param address: ``host:port``.
    :param clock: time source.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self._clock = clock
        self._host = address.encode()
        self._pool = connection_pool.ConnectionPool(
            address, clock, IDLE_TIMEOUT_MS
        )

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_ms: float = 1_000.0,
        content_type: bytes = b"application/json",
    ) -> Response:
        """Send a request and return its response.

        :raises NotSentError: nothing was sent.
        :raises NoResponseError: the response is missing or invalid.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        try:
            connection, _ = self._pool.acquire(timeout_ms)
        except server_connections.ConnectError as error:
            raise NotSentError(str(error)) from error
        exchange = server_connections.Exchange(connection, self._clock)
        try:
            data = self._encode(method, target, body, content_type)
            exchange.send(data, until_ms)
            response = self._receive(exchange, until_ms)
        except server_connections.ExchangeError as error:
            connection.close()
            if exchange.sent_bytes == 0:
                raise NotSentError(str(error)) from error
            if isinstance(error, server_connections.ExchangeTimeoutError):
                raise ResponseTimeoutError(str(error)) from error
            raise NoResponseError(str(error)) from error
        self._pool.release(connection)
        return response

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _encode(
        self, method: str, target: str, body: bytes, content_type: bytes
    ) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1".encode(),
            b"Host: " + self._host,
        ]
        if body:
            lines.append(b"Content-Type: " + content_type)
        if body or method == "POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def _receive(
        self, exchange: server_connections.Exchange, until_ms: float
    ) -> Response:
        head: server_connections.ResponseHead | None = None
        data = bytearray()
        while True:
            for part in exchange.receive(until_ms):
                match part:
                    case server_connections.ResponseHead():
                        head = part
                    case server_connections.ResponseData(chunk):
                        data += chunk
                    case server_connections.ResponseEnd():
                        assert head is not None
                        return Response(head.status, head.headers, bytes(data))
