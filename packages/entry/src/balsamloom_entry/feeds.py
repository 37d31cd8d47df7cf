"""Queue between the task that runs a call and the thread of its caller.

A call runs in its own task, so it continues when the caller's connection
breaks, and the caller's thread can report progress while the call waits. Once
an engine sends tokens, the caller's thread reads them directly: passing each
chunk through a second thread cost 250 us of processor time per chunk.
"""

from __future__ import annotations

import dataclasses
import queue
import threading
from collections.abc import Generator, Iterator
from typing import Any, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import errors
from balsamloom_entry import requests, streams


class ChunkSource(Protocol):
    """Chunks of a model's answer that is still being generated."""

    def texts(self) -> Iterator[list[str]]:
        """Yield the texts of chunks that arrived together.

        If the iterator is closed early, the call's task reads the rest.
        """

    def abandon(self) -> None:
        """Stop reading; the call's task reads the whole answer."""


@dataclasses.dataclass(frozen=True)
class StreamStarted:
    """An engine sent its first tokens; the caller's thread reads the rest."""

    source: ChunkSource


@dataclasses.dataclass(frozen=True)
class CallCompleted:
    """The call has an answer; ``is_committed`` says whether it is durable."""

    code: int
    answer: dict[str, Any]
    is_committed: bool


@dataclasses.dataclass(frozen=True)
class CallFailed:
    """The call ended with an error."""

    error: errors.BalsamloomError


Item = StreamStarted | CallCompleted | CallFailed


class Feed:
    """Items of one call, in order; one writer, one reader.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._items: queue.SimpleQueue[Item] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._is_closed = False
        self.started_ms = clock.now_ms()
        self.reason = "start"
        self.position: int | None = None

    def set_wait_reason(
        self, reason: str, position: int | None = None
    ) -> None:
        """Set the wait reason that progress events report.

        :param reason: short text for the caller.
        :param position: position in the queue, if there is one.
        """
        self.reason = reason
        self.position = position

    def put(self, item: Item) -> None:
        """Add an item, or abandon its source if the feed is closed.

        :param item: start of a stream, or the result of the call.
        """
        with self._lock:
            if not self._is_closed:
                self._items.put(item)
                return
        _abandon(item)

    def read(self, timeout_ms: float) -> Item | None:
        """Return the next item, or ``None`` after the timeout.

        :param timeout_ms: maximum wait.
        """
        try:
            return self._items.get(
                timeout=max(timeout_ms, 0) / clocks.MS_PER_S
            )
        except queue.Empty:
            return None

    def close(self) -> None:
        """Close the reader's side and abandon the items left."""
        with self._lock:
            self._is_closed = True
        while (item := self.read(0)) is not None:
            _abandon(item)

    def elapsed_ms(self) -> float:
        """Return the time since the call arrived."""
        return self._clock.now_ms() - self.started_ms


def stream_response(feed: Feed, progress_ms: int) -> requests.Response:
    """Respond with server-sent events.

    An error that precedes all other items becomes a JSON response with its
    HTTP status.

    :param feed: items of the call.
    :param progress_ms: interval of progress events while the call waits.
    """
    first = feed.read(progress_ms)
    if isinstance(first, CallFailed):
        return requests.error_response(first.error)
    headers = {
        "Content-Type": requests.STREAM_TYPE,
        "Cache-Control": "no-cache",
    }
    return requests.Response(
        200, headers, EventChunks(feed, first, progress_ms)
    )


def json_response(feed: Feed) -> requests.Response:
    """Respond with one JSON object when the call has ended.

    :param feed: items of the call.
    """
    while True:
        match feed.read(clocks.MS_PER_S):
            case StreamStarted(source):
                for _ in source.texts():
                    pass
            case CallCompleted(answer=answer):
                return requests.json_response(answer)
            case CallFailed(error):
                return requests.error_response(error)
            case None:
                continue


class EventChunks:
    """Iterator over the encoded events of one call.

    Closing it closes the feed even if no event was read; the ``finally`` of
    a generator that was never started does not run.

    :param feed: items of the call.
    :param first: first item, if one has arrived.
    :param progress_ms: interval of progress events while the call waits.
    """

    def __init__(
        self, feed: Feed, first: Item | None, progress_ms: int
    ) -> None:
        self._feed = feed
        self._events = _encode_events(feed, first, progress_ms)

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next encoded event or batch of events."""
        return next(self._events)

    def close(self) -> None:
        """End the response; the call continues."""
        self._events.close()
        self._feed.close()


def _encode_events(
    feed: Feed, item: Item | None, progress_ms: int
) -> Generator[bytes, None, None]:
    encoder = streams.EventEncoder()
    while True:
        match item:
            case None:
                yield encoder.progress(
                    feed.reason, feed.elapsed_ms(), feed.position
                )
            case StreamStarted(source):
                for texts in source.texts():
                    yield encoder.chunks(texts)
            case CallCompleted(code, answer, is_committed):
                body = {"code": code, "committed": is_committed}
                yield encoder.done({**body, "result": answer})
                return
            case CallFailed(error):
                body = {"code": int(error.code), "committed": False}
                yield encoder.done({**body, **error.document()})
                return
        item = feed.read(progress_ms)


def _abandon(item: Item) -> None:
    if isinstance(item, StreamStarted):
        item.source.abandon()
