"""What a running call passes to the thread that answers its caller.

A call runs in a task of its own, so it goes on when its caller's connection
breaks, and the caller's thread can report progress while the call waits.
"""

from __future__ import annotations

import dataclasses
import queue
from collections.abc import Iterator
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import errors
from balsamloom_entry import requests, streams


@dataclasses.dataclass(frozen=True)
class Data:
    """JSON texts of chunks that arrived together."""

    texts: list[str]


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


Item = Data | Finished | Ended


class Feed:
    """Items of one call, in order; one writer, one reader.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._items: queue.SimpleQueue[Item] = queue.SimpleQueue()
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

        :param item: chunks, or the end of the call.
        """
        self._items.put(item)

    def read(self, timeout_ms: float) -> list[Item]:
        """Return all items that have arrived, waiting for the first.

        :param timeout_ms: longest wait.
        """
        try:
            timeout_s = max(timeout_ms, 0) / clocks.MS_PER_S
            found = [self._items.get(timeout=timeout_s)]
            while True:
                found.append(self._items.get_nowait())
        except queue.Empty:
            return found if "found" in locals() else []

    def waited_ms(self) -> float:
        """Return the time since the call came."""
        return self._clock.now_ms() - self.started_ms


def stream_answer(feed: Feed, progress_ms: int) -> requests.Answer:
    """Answer with server-sent events.

    An error that comes before anything else is given as a plain answer with
    its HTTP status.

    :param feed: items of the call.
    :param progress_ms: time after which the caller hears that the call waits.
    """
    first = feed.read(progress_ms)
    if first and isinstance(first[0], Ended):
        return requests.error_answer(first[0].error)
    headers = {
        "Content-Type": requests.STREAM_TYPE,
        "Cache-Control": "no-cache",
    }
    return requests.Answer(200, headers, _events(feed, first, progress_ms))


def json_answer(feed: Feed) -> requests.Answer:
    """Answer with one JSON object when the call has ended.

    :param feed: items of the call.
    """
    while True:
        for item in feed.read(clocks.MS_PER_S):
            match item:
                case Finished(answer=answer):
                    return requests.json_answer(answer)
                case Ended(error=error):
                    return requests.error_answer(error)
                case Data():
                    continue


def _events(
    feed: Feed, items: list[Item], progress_ms: int
) -> Iterator[bytes]:
    writer = streams.EventWriter()
    while True:
        if not items:
            yield writer.progress(feed.reason, feed.waited_ms(), feed.position)
        encoded = [_encoded(writer, item) for item in items]
        if encoded:
            yield b"".join(encoded)
        if items and not isinstance(items[-1], Data):
            return
        items = feed.read(progress_ms)


def _encoded(writer: streams.EventWriter, item: Item) -> bytes:
    match item:
        case Data(texts):
            return b"".join([writer.chunk(text) for text in texts])
        case Finished(code, answer, is_committed):
            body = {"code": code, "committed": is_committed, "result": answer}
            return writer.done(body)
        case Ended(error):
            body = {"code": int(error.code), "committed": False}
            return writer.done({**body, **requests.error_document(error)})
