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
    """An open answer of a model engine over HTTP.

    :param response: response whose body has not been read.
    :param silence_ms: longest time without an event.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, silence_ms: float
    ) -> None:
        self._response = response
        self._silence_ms = silence_ms
        self._clock = clocks.Clock()
        self.is_whole = False

    def batches(self) -> Iterator[list[engines.Chunk]]:
        """Yield the chunks of each read from the network together.

        Nothing waits for more chunks than have arrived. :attr:`is_whole` is
        set when the engine's closing ``[DONE]`` was seen.

        :raises EngineError: if the connection breaks or no event comes for
            longer than the read timeout, whatever else does.
        """
        pending = b""
        event_ms = self._clock.now_ms()
        try:
            while raw := self._response.read1(READ_SIZE_BYTES):
                head, separator, pending = (pending + raw).rpartition(
                    _EVENT_DELIMITER
                )
                if len(pending) > MAX_EVENT_BYTES:
                    raise ValueError("an event without end")
                chunks = self._parse(head + separator)
                if chunks:
                    yield chunks
                    event_ms = self._clock.now_ms()
                elif self._clock.now_ms() - event_ms >= self._silence_ms:
                    raise TimeoutError("no event in time")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            # A break after the closing event loses nothing.
            if not self.is_whole:
                raise _connection_error(error) from error
        except ValueError as error:
            raise engines.EngineError(
                results.ResultCode.DAMAGED_MESSAGE,
                f"stream has a damaged chunk: {error}",
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
    """Connection that asks for HTTP/1.0, whose answers are not chunked.

    A read then returns all that has arrived. With chunked answers it returns
    one chunk, which cost a read and a write for each token even when many
    had arrived.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"
    response_class = response_limits.StreamedResponse


class _UnchunkedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _UnchunkedConnection


def stream_pool(pools: int, size: int) -> urllib3.PoolManager:
    """Return a connection pool for streamed answers.

    :param pools: servers whose connections are kept track of.
    :param size: connections for each server.
    """
    return response_limits.pool_manager(_UnchunkedPool, pools, size)


class Engine:
    """HTTP client of one model engine.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    :param streams: connections of answers, see :func:`stream_pool`.
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
        :param connect_timeout_ms: longest wait for a connection.
        :param read_timeout_ms: longest silence of the engine.
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
        """Read the load report.

        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        answer = self._request_json("GET", "/load", None, timeout_ms)
        with _convert_decode_errors():
            return engines.LoadReport(
                int(answer["running"]),
                int(answer.get("waiting", 0)),
                float(answer.get("tokens_per_s", 0)),
                answer.get("state") == "draining",
                float(answer.get("age_ms", 0)),
            )

    def holds(
        self, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> list[engines.Hold]:
        """Read the memory held.

        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        answer = self._request_json("GET", "/holds", None, timeout_ms)
        with _convert_decode_errors():
            return [
                engines.Hold(
                    hold["tag"],
                    int(hold["bytes"]),
                    bool(hold.get("is_running", False)),
                )
                for hold in answer["holds"]
            ]

    def release(
        self, tags: Sequence[str], timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> int:
        """Release memory and return the number of holds released.

        :param tags: tags of the holds; a request under way keeps its memory.
        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        answer = self._request_json(
            "POST", "/holds/release", {"tags": list(tags)}, timeout_ms
        )
        with _convert_decode_errors():
            return int(answer["released"])

    def cancel(
        self, tag_prefix: str, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> int:
        """Cancel requests and return their number.

        :param tag_prefix: common start of the requests' tags.
        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        body = {"tag_prefix": tag_prefix}
        answer = self._request_json("POST", "/v1/cancel", body, timeout_ms)
        with _convert_decode_errors():
            return int(answer["cancelled"])

    def cache_events(
        self, after: int, timeout_ms: int = engines.DEFAULT_TIMEOUT_MS
    ) -> list[engines.CacheEvent]:
        """Read cache events; they come late and with gaps.

        :param after: highest number known.
        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        path = f"/cache/events?after={after}"
        answer = self._request_json("GET", path, None, timeout_ms)
        with _convert_decode_errors():
            return [
                engines.CacheEvent(
                    int(event["number"]),
                    event["kind"],
                    event["block"],
                    int(event["tokens"]),
                )
                for event in answer["events"]
            ]

    def send_order(
        self,
        order: engines.Order,
        fence: int,
        sender: str = "",
        timeout_ms: int = engines.DEFAULT_TIMEOUT_MS,
    ) -> bool:
        """Send an order; false if its fencing number was rejected.

        :param order: what the engine has to do.
        :param fence: fencing number of the controller.
        :param sender: controller, for the engine's record.
        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer; with ``was_sent`` the
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
        """Read back the orders applied.

        :param timeout_ms: longest wait for the answer.
        :raises EngineError: if there is no answer.
        """
        answer = self._request_json("GET", "/orders", None, timeout_ms)
        with _convert_decode_errors():
            applied = [
                engines.AppliedOrder(
                    engines.Order(entry["kind"], entry["value"]),
                    int(entry["fence"]),
                    entry.get("sender", ""),
                )
                for entry in answer["applied"]
            ]
            return engines.OrderState(applied, dict(answer["in_force"]))

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
            answer: dict[str, Any] = response.json()
            return answer

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
    """Turn a damaged answer into an :class:`engines.EngineError`."""
    try:
        yield
    except (ValueError, KeyError, TypeError) as error:
        raise engines.EngineError(
            results.ResultCode.DAMAGED_MESSAGE,
            f"damaged answer: {error!r}",
            True,
        ) from error


def _total_timeout(timeout_ms: int) -> urllib3.Timeout:
    return urllib3.Timeout(total=timeout_ms / clocks.MS_PER_S)


def _connection_error(error: Exception) -> engines.EngineError:
    if isinstance(error, urllib3.exceptions.ReadTimeoutError | TimeoutError):
        code = results.ResultCode.BACKEND_TIMEOUT
        return engines.EngineError(code, f"no answer in time: {error}", True)
    code = results.ResultCode.BACKEND_ERROR
    return engines.EngineError(code, f"connection broke: {error}", True)


def _status_error(response: urllib3.BaseHTTPResponse) -> engines.EngineError:
    """Return the error for a status other than 200."""
    try:
        raw = response.data
    except (urllib3.exceptions.HTTPError, OSError):
        raw = b""
    message = f"engine answered {response.status}: {raw[:200]!r}"
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
