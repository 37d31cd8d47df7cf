"""Model engines: streamed chat completions, load reports, holds and orders."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import sseclient
import urllib3

from balsamloom_core import errors, results

_EVENT_END = b"\n\n"


class EngineError(errors.BalsamloomError):
    """A model engine did not give an answer.

    :param code: result code.
    :param message: cause.
    :param was_sent: whether the request may have reached the engine.
    """

    def __init__(
        self, code: results.ResultCode, message: str, was_sent: bool
    ) -> None:
        super().__init__(code, message)
        self.was_sent = was_sent


class Chunk(NamedTuple):
    """One streamed piece: decoded JSON of a ``chat.completion.chunk``."""

    body: dict[str, Any]


class ChatStream:
    """An open answer of a model engine.

    :param response: response whose body has not been read.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.is_whole = False

    def batches(self) -> Iterator[list[Chunk]]:
        """Yield the chunks of each read from the network together.

        Nothing waits for more chunks than have arrived. :attr:`is_whole` is
        set when
        the engine's closing ``[DONE]`` was seen.

        :raises EngineError: if the connection breaks.
        """
        pending = b""
        try:
            while raw := self._response.read1(65536):
                head, separator, pending = (pending + raw).rpartition(
                    _EVENT_END
                )
                chunks = self._parse(head + separator)
                if chunks:
                    yield chunks
        except (urllib3.exceptions.HTTPError, OSError) as error:
            code = results.ResultCode.BACKEND_ERROR
            raise EngineError(code, f"stream broke: {error}", True) from error

    def close(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        self._response.close()

    def _parse(self, raw: bytes) -> list[Chunk]:
        chunks = []
        for event in sseclient.SSEClient(iter([raw])).events():
            if event.data == "[DONE]":
                self.is_whole = True
            else:
                chunks.append(Chunk(json.loads(event.data)))
        return chunks


class Engine:
    """Client of one model engine.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._base = f"http://{address}"
        self._pool = pool

    def chat(
        self,
        body: dict[str, Any],
        tag: str,
        connect_timeout_ms: int,
        read_timeout_ms: int,
    ) -> ChatStream:
        """Start a streamed chat completion.

        :param body: request body; ``stream`` is set here.
        :param tag: tag of the engine memory that the request holds.
        :param connect_timeout_ms: longest wait for a connection.
        :param read_timeout_ms: longest silence of the engine.
        :raises EngineError: if the engine does not accept the request.
        """
        timeout = urllib3.Timeout(
            connect=connect_timeout_ms / 1000, read=read_timeout_ms / 1000
        )
        response = self._request(
            "/v1/chat/completions", {**body, "stream": True}, tag, timeout
        )
        if response.status != 200:
            message = (
                f"engine answered {response.status}: {response.read()[:200]!r}"
            )
            raise EngineError(results.ResultCode.BACKEND_ERROR, message, False)
        return ChatStream(response)

    def _request(
        self,
        path: str,
        body: dict[str, Any],
        tag: str,
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                "POST",
                self._base + path,
                json=body,
                headers={"X-Request-Tag": tag},
                timeout=timeout,
                preload_content=False,
                retries=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise EngineError(
                results.ResultCode.NOT_SENT, str(error), False
            ) from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise EngineError(
                results.ResultCode.NOT_SENT, str(error), False
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise EngineError(
                results.ResultCode.BACKEND_ERROR, str(error), True
            ) from error
