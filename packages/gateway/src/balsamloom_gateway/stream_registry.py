"""Versions at which streams began, as storage hosts remember them.

Storage hosts outlive edge processes, so that a stream can go on at its
version after all edge processes have restarted. Nothing is written to a disk.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import math
import threading
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import json_parsing

RETENTION_MS = 60_000.0
MAX_STREAMS = 100_000
_AMBIGUOUS = b'{"is_ambiguous":true}'


class StreamStart(NamedTuple):
    """Version of the server that began a stream.

    ``stream_id`` is the identifier of the request that began it.
    """

    stream_id: str
    version: str


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The stream began at a version."""

    version: str


@dataclasses.dataclass(frozen=True)
class NotRecorded:
    """The stream was not recorded at this host."""


@dataclasses.dataclass(frozen=True)
class Unsure:
    """The host may have forgotten the stream."""


@dataclasses.dataclass(frozen=True)
class Ambiguous:
    """Several versions were recorded; messages may have changed places."""


Lookup = Recorded | NotRecorded | Unsure | Ambiguous


class _Entry(NamedTuple):
    # None if several versions were recorded.
    version: str | None
    expires_ms: float


class StreamRegistry:
    """Streams that began lately; the oldest are forgotten first.

    :param clock: time source.
    :param is_whole: whether no earlier process of this host has recorded
        streams.
    """

    def __init__(self, clock: clocks.Clock, is_whole: bool = False) -> None:
        self._clock = clock
        # Streams that were recorded before this time may be forgotten.
        self._whole_since_ms = -math.inf if is_whole else clock.now_ms()
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def record(self, starts: Iterable[StreamStart]) -> None:
        """Record where streams began.

        A call that its sender has given up may arrive after a later one, so
        the order of arrival decides nothing.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for stream_id, version in starts:
                known = self._entries.get(stream_id)
                is_same = known is None or known.version == version
                entry = _Entry(
                    version if is_same else None, now_ms + RETENTION_MS
                )
                self._entries[stream_id] = entry
                self._entries.move_to_end(stream_id)
            self._drop_old(now_ms)

    def find(self, stream_id: str) -> Lookup:
        """Return the version at which a stream under way began."""
        now_ms = self._clock.now_ms()
        with self._lock:
            entry = self._entries.get(stream_id)
            whole_since_ms = self._whole_since_ms
        if entry is not None and entry.expires_ms > now_ms:
            if entry.version is None:
                return Ambiguous()
            return Recorded(entry.version)
        if now_ms - whole_since_ms < RETENTION_MS:
            return Unsure()
        return NotRecorded()

    def _drop_old(self, now_ms: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_old = oldest.expires_ms <= now_ms
            if not is_old and len(self._entries) <= MAX_STREAMS:
                return
            if not is_old:
                self._whole_since_ms = now_ms
            self._entries.popitem(last=False)


def combine(found: Sequence[Lookup]) -> Lookup:
    """Return what several hosts know of a stream together.

    One record suffices, unless another host has one of another version.
    """
    recorded = {one for one in found if isinstance(one, Recorded)}
    if len(recorded) > 1 or Ambiguous() in found:
        return Ambiguous()
    if recorded:
        return recorded.pop()
    return Unsure() if Unsure() in found else NotRecorded()


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


def encode_lookup(found: Lookup) -> bytes:
    """Encode what a host knows of a stream as JSON.

    Hosts of an earlier release answer ``null`` for all unknown streams, and
    members of one take an ambiguous answer for a malformed one.
    """
    match found:
        case Recorded(version):
            return json.dumps(version).encode()
        case NotRecorded():
            return b"false"
        case Unsure():
            return b"null"
        case Ambiguous():
            return _AMBIGUOUS


def decode_lookup(body: bytes) -> Lookup:
    """Decode what a host knows of a stream.

    :raises ValueError: it is malformed.
    """
    match json_parsing.parse(body):
        case str(version):
            return Recorded(version)
        case False:
            return NotRecorded()
        case None:
            return Unsure()
        case {"is_ambiguous": True}:
            return Ambiguous()
        case _:
            raise ValueError("neither a version, false nor null")
