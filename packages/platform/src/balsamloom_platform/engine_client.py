"""HTTP client of model engines."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator, Sequence
from typing import Any

import sseclient
import urllib3

from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import engines, response_limits

READ_SIZE_BYTES = 65536
MAX_EVENT_BYTES = 1_000_000

_EVENT_DELIMITER = b"\n\n"


class ChatStream:
    """Streamed HTTP response of a model engine.

    :param response: response whose body has not been read.
    :param silence_ms: maximum time without an event.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, silence_ms: float
    ) -> None:
        self._response = response
        self._silence_ms = silence_ms
        self._clock = clocks.Clock()
        self.is_whole = False

    def batches(self) -> Iterator[list[engines.Chunk]]:
        """Yield the chunks of each network read as one batch.

        A batch is yielded without waiting for more chunks. :attr:`is_whole` is
        set when the engine's final ``[DONE]`` event was received.

        :raises EngineError: if the connection is lost, an event is malformed
            or too large, or no event arrives within the read timeout, even if
            other bytes such as comments do.
        """
        pending = b""
        last_event_ms = self._clock.now_ms()
        try:
            while raw := self._response.read1(READ_SIZE_BYTES):
                head, separator, pending = (pending + raw).rpartition(
                    _EVENT_DELIMITER
                )
                if len(pending) > MAX_EVENT_BYTES:
                    raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
                chunks = self._parse(head + separator)
                if chunks:
                    yield chunks
                    last_event_ms = self._clock.now_ms()
                elif self._clock.now_ms() - last_event_ms >= self._silence_ms:
                    raise TimeoutError(f"no event for {self._silence_ms} ms")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            # A connection lost after the final event loses no data.
            if not self.is_whole:
                raise _connection_error(error) from error
        except ValueError as error:
            raise engines.EngineError(
                results.ResultCode.DAMAGED_MESSAGE,
                f"invalid event in the stream: {error}",
                True,
            ) from error

    def close(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        self._response.close()

    def _parse(self, raw: bytes) -> list[engines.Chunk]:
        chunks = []
        for event in sseclient.SSEClient(iter([raw])).events():
            if event.data == "[DONE]":
                self.is_whole = True
            else:
                chunks.append(engines.Chunk(event.data))
        return chunks


class _UnchunkedConnection(urllib3.connection.HTTPConnection):
    """Connection that uses HTTP/1.0, whose responses are not chunked.

    A read then returns all bytes available. With chunked responses it returns
    one chunk, which cost a read and a write for each token even when many
    tokens were available.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"
    response_class = response_limits.StreamedResponse


class _UnchunkedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _UnchunkedConnection


def stream_pool(pools: int, size: int) -> urllib3.PoolManager:
    """Return a connection pool for streamed responses.

    :param pools: maximum number of servers with a connection pool.
    :param size: connections kept for each server.
    """
    return response_limits.pool_manager(_UnchunkedPool, pools, size)


class Engine:
    """HTTP client of one model engine.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    :param streams: pool for streamed responses, see :func:`stream_pool`;
        ``pool`` by default.
    """

    def __init__(
        self,
        address: str,
        pool: urllib3.PoolManager,
        streams: urllib3.PoolManager | None = None,
    ) -> None:
        self._base = f"http://{address}"
        self._pool = pool
        self._streams = streams or pool

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
        :param connect_timeout_ms: maximum wait for a connection.
        :param read_timeout_ms: maximum time without an event.
        :raises EngineError: if the engine does not accept the request.
        """
        timeout = urllib3.Timeout(
            connect=connect_timeout_ms / clocks.MS_PER_S,
            read=read_timeout_ms / clocks.MS_PER_S,
        )
        response = self._request(
            "POST",
            "/v1/chat/completions",
            {**body, "stream": True},
            timeout,
            tag,
            preload=False,
        )
        if response.status != 200:
            raise _status_error(response)
        return ChatStream(response, read_timeout_ms)

    def load(
        self, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> engines.LoadReport:
        """Return the load report.

        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        payload = self._request_json("GET", "/load", None, timeout_ms)
        with _convert_decode_errors():
            return engines.LoadReport(
                int(payload["running"]),
                int(payload.get("waiting", 0)),
                float(payload.get("tokens_per_s", 0)),
                payload.get("state") == "draining",
                float(payload.get("age_ms", 0)),
            )

    def holds(
        self, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> list[engines.Hold]:
        """Return the engine memory held.

        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        payload = self._request_json("GET", "/holds", None, timeout_ms)
        with _convert_decode_errors():
            return [
                engines.Hold(
                    hold["tag"],
                    int(hold["bytes"]),
                    bool(hold.get("is_running", False)),
                )
                for hold in payload["holds"]
            ]

    def release(
        self, tags: Sequence[str], timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> int:
        """Release memory and return the number of holds released.

        :param tags: tags of the holds; running requests keep their memory.
        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        payload = self._request_json(
            "POST", "/holds/release", {"tags": list(tags)}, timeout_ms
        )
        with _convert_decode_errors():
            return int(payload["released"])

    def cancel(
        self, tag_prefix: str, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> int:
        """Cancel requests and return their number.

        :param tag_prefix: prefix of the requests' tags.
        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        body = {"tag_prefix": tag_prefix}
        payload = self._request_json("POST", "/v1/cancel", body, timeout_ms)
        with _convert_decode_errors():
            return int(payload["cancelled"])

    def cache_events(
        self, after: int, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> list[engines.CacheEvent]:
        """Return cache events, which are delayed and may have gaps.

        :param after: number after which events are returned.
        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        path = f"/cache/events?after={after}"
        payload = self._request_json("GET", path, None, timeout_ms)
        with _convert_decode_errors():
            return [
                engines.CacheEvent(
                    int(event["number"]),
                    event["kind"],
                    event["block"],
                    int(event["tokens"]),
                )
                for event in payload["events"]
            ]

    def send_order(
        self,
        order: engines.Order,
        fence: int,
        sender: str = "",
        timeout_ms: int = engines.DEFAULT_TIMEOUT_MS,
    ) -> bool:
        """Send an order; return false if its fencing number was rejected.

        :param order: order that the engine must apply.
        :param fence: fencing number of the controller.
        :param sender: name of the controller, recorded by the engine.
        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails; if ``was_sent`` is set, the
            order may have been applied.
        """
        body = {**order._asdict(), "fence": fence, "sender": sender}
        response = self._request(
            "POST", "/orders", body, _total_timeout(timeout_ms), preload=True
        )
        if response.status == 409:
            return False
        if response.status != 200:
            raise _status_error(response)
        return True

    def orders(
        self, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> engines.OrderState:
        """Return the orders that the engine has applied.

        :param timeout_ms: maximum wait for the response.
        :raises EngineError: if the request fails.
        """
        payload = self._request_json("GET", "/orders", None, timeout_ms)
        with _convert_decode_errors():
            applied = [
                engines.AppliedOrder(
                    engines.Order(entry["kind"], entry["value"]),
                    int(entry["fence"]),
                    entry.get("sender", ""),
                )
                for entry in payload["applied"]
            ]
            return engines.OrderState(applied, dict(payload["in_force"]))

    def _request_json(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_ms: int,
    ) -> dict[str, Any]:
        response = self._request(
            method, path, body, _total_timeout(timeout_ms), preload=True
        )
        if response.status != 200:
            raise _status_error(response)
        with _convert_decode_errors():
            payload: dict[str, Any] = response.json()
            return payload

    def _request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout: urllib3.Timeout,
        tag: str = "",
        preload: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        try:
            pool = self._pool if preload else self._streams
            return pool.request(
                method,
                self._base + path,
                json=body,
                headers={"X-Request-Tag": tag} if tag else {},
                timeout=timeout,
                preload_content=preload,
                retries=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise engines.EngineError(
                results.ResultCode.NOT_SENT, str(error), False
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise _connection_error(error) from error


@contextlib.contextmanager
def _convert_decode_errors() -> Iterator[None]:
    """Convert decoding errors to :class:`engines.EngineError`."""
    try:
        yield
    except (ValueError, KeyError, TypeError) as error:
        raise engines.EngineError(
            results.ResultCode.DAMAGED_MESSAGE,
            f"invalid response: {error!r}",
            True,
        ) from error


def _total_timeout(timeout_ms: int) -> urllib3.Timeout:
    return urllib3.Timeout(total=timeout_ms / clocks.MS_PER_S)


def _connection_error(error: Exception) -> engines.EngineError:
    if isinstance(error, urllib3.exceptions.ReadTimeoutError | TimeoutError):
        code = results.ResultCode.BACKEND_TIMEOUT
        return engines.EngineError(code, f"no answer in time: {error}", True)
    code = results.ResultCode.BACKEND_ERROR
    return engines.EngineError(code, f"connection lost: {error}", True)


def _status_error(response: urllib3.BaseHTTPResponse) -> engines.EngineError:
    """Return the error for a response with a status other than 200."""
    try:
        raw = response.data
    except (urllib3.exceptions.HTTPError, OSError):
        raw = b""
    message = f"engine returned status {response.status}: {raw[:200]!r}"
    retry_after_ms = _retry_after_ms(response)
    if response.status == 503 and _error_code(raw) == "draining":
        code = results.ResultCode.NO_BACKEND_SERVER
        return engines.EngineError(code, message, False, retry_after_ms)
    if response.status in (429, 503):
        code = results.ResultCode.OVERLOADED
        return engines.EngineError(code, message, False, retry_after_ms)
    code = results.ResultCode.BACKEND_ERROR
    return engines.EngineError(code, message, response.status >= 500)


def _error_code(raw: bytes) -> str:
    try:
        return str(json.loads(raw)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


def _retry_after_ms(response: urllib3.BaseHTTPResponse) -> int | None:
    try:
        return int(float(response.headers["Retry-After"]) * clocks.MS_PER_S)
    except (KeyError, ValueError):
        return None
