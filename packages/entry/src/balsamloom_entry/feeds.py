"""What a running call passes to the thread that answers its caller.

A call runs in a task of its own, so it goes on when its caller's connection
breaks, and the caller's thread can report progress while the call waits. Once
an engine's tokens flow, the caller's thread reads them itself: a second thread
on the way of each chunk cost 250 us of processor time a chunk.
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


class Source(Protocol):
    """A model's answer that is still coming."""

    def texts(self) -> Iterator[list[str]]:
        """Yield the texts of chunks that arrived together.

        Closing the iterator early leaves the rest to the call's task.
        """

    def abandon(self) -> None:
        """Leave all of it to the call's task."""


@dataclasses.dataclass(frozen=True)
class Live:
    """The caller's thread has to read the answer's chunks from here."""

    source: Source


@dataclasses.dataclass(frozen=True)
class Finished:
    """The call ended with an answer; ``is_committed`` if it is durable."""

    code: int
    answer: dict[str, Any]
    is_committed: bool


@dataclasses.dataclass(frozen=True)
class Ended:
    """The call ended without an answer."""

    error: errors.BalsamloomError


Item = Live | Finished | Ended


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

    def waits_for(self, reason: str, position: int | None = None) -> None:
        """Say what the call is waiting for.

        :param reason: short text for the caller.
        :param position: place in the queue, if there is one.
        """
        self.reason = reason
        self.position = position

    def put(self, item: Item) -> None:
        """Add an item.

        :param item: chunks to come, or the end of the call.
        """
        with self._lock:
            if not self._is_closed:
                self._items.put(item)
                return
        _abandon(item)

    def read(self, timeout_ms: float) -> Item | None:
        """Return the next item, or nothing if none comes in time.

        :param timeout_ms: longest wait.
        """
        try:
            return self._items.get(
                timeout=max(timeout_ms, 0) / clocks.MS_PER_S
            )
        except queue.Empty:
            return None

    def close(self) -> None:
        """Note that nobody reads any more."""
        with self._lock:
            self._is_closed = True
        while (item := self.read(0)) is not None:
            _abandon(item)

    def waited_ms(self) -> float:
        """Return the time since the call came."""
        return self._clock.now_ms() - self.started_ms


def stream_response(feed: Feed, progress_ms: int) -> requests.Response:
    """Answer with server-sent events.

    An error that comes before anything else is given as a plain answer with
    its HTTP status.

    :param feed: items of the call.
    :param progress_ms: time after which the caller hears that the call waits.
    """
    first = feed.read(progress_ms)
    if isinstance(first, Ended):
        return requests.error_response(first.error)
    headers = {
        "Content-Type": requests.STREAM_TYPE,
        "Cache-Control": "no-cache",
    }
    return requests.Response(
        200, headers, EventChunks(feed, first, progress_ms)
    )


def json_response(feed: Feed) -> requests.Response:
    """Answer with one JSON object when the call has ended.

    :param feed: items of the call.
    """
    while True:
        match feed.read(clocks.MS_PER_S):
            case Live(source):
                for _ in source.texts():
                    pass
            case Finished(answer=answer):
                return requests.json_response(answer)
            case Ended(error):
                return requests.error_response(error)
            case None:
                continue


class EventChunks:
    """Encoded events of one call.

    It closes the feed even if no event was asked for, which a generator
    alone would not.

    :param feed: items of the call.
    :param first: first item, if one has come.
    :param progress_ms: time after which the caller hears that the call waits.
    """

    def __init__(
        self, feed: Feed, first: Item | None, progress_ms: int
    ) -> None:
        self._feed = feed
        self._events = _events(feed, first, progress_ms)

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next events that arrived together."""
        return next(self._events)

    def close(self) -> None:
        """End the answer; the call goes on."""
        self._events.close()
        self._feed.close()


def _events(
    feed: Feed, item: Item | None, progress_ms: int
) -> Generator[bytes, None, None]:
    writer = streams.EventWriter()
    while True:
        match item:
            case None:
                yield writer.progress(
                    feed.reason, feed.waited_ms(), feed.position
                )
            case Live(source):
                for texts in source.texts():
                    yield writer.chunks(texts)
            case Finished(code, answer, is_committed):
                body = {"code": code, "committed": is_committed}
                yield writer.done({**body, "result": answer})
                return
            case Ended(error):
                body = {"code": int(error.code), "committed": False}
                yield writer.done({**body, **requests.error_document(error)})
                return
        item = feed.read(progress_ms)


def _abandon(item: Item) -> None:
    if isinstance(item, Live):
        item.source.abandon()
