"""Versions at which streams began, as storage hosts remember them.

Storage hosts outlive edge processes, so that a stream can go on at its
version after all edge processes have restarted. Nothing is written to a disk.
"""

from __future__ import annotations

import collections
import json
import threading
from collections.abc import Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import json_parsing

RETENTION_MS = 60_000.0
MAX_STREAMS = 100_000


class StreamStart(NamedTuple):
    """Version of the server that began a stream.

    ``stream_id`` is the identifier of the request that began it.
    """

    stream_id: str
    version: str


class _Entry(NamedTuple):
    version: str
    expires_ms: float


class StreamRegistry:
    """Streams that began lately; the oldest are forgotten first.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def record(self, starts: Iterable[StreamStart]) -> None:
        """Record where streams began; a later record replaces an earlier."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for stream_id, version in starts:
                entry = _Entry(version, now_ms + RETENTION_MS)
                self._entries[stream_id] = entry
                self._entries.move_to_end(stream_id)
            self._drop_old(now_ms)

    def version_of(self, stream_id: str) -> str | None:
        """Return the version at which a stream began, if it is known."""
        with self._lock:
            entry = self._entries.get(stream_id)
        if entry is None or entry.expires_ms <= self._clock.now_ms():
            return None
        return entry.version

    def _drop_old(self, now_ms: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_old = oldest.expires_ms <= now_ms
            if not is_old and len(self._entries) <= MAX_STREAMS:
                return
            self._entries.popitem(last=False)


def encode_starts(starts: Iterable[StreamStart]) -> bytes:
    """Encode stream starts as JSON."""
    return json.dumps(list(starts), separators=(",", ":")).encode()


def decode_starts(body: bytes) -> list[StreamStart]:
    """Decode stream starts.

    :raises ValueError: they are malformed.
    """
    try:
        return [
            StreamStart(str(stream_id), str(version))
            for stream_id, version in json_parsing.parse(body)
        ]
    except TypeError as error:
        raise ValueError(str(error)) from error


def encode_version(version: str | None) -> bytes:
    """Encode the version at which a stream began as JSON."""
    return json.dumps(version).encode()


def decode_version(body: bytes) -> str | None:
    """Decode the version at which a stream began, if it is known.

    :raises ValueError: it is malformed.
    """
    version = json_parsing.parse(body)
    if version is not None and not isinstance(version, str):
        raise ValueError("the version is not a string")
    return version
