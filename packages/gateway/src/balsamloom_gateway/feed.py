"""Copy of the store's records, passed on from process to process.

One process follows the store itself. The others ask a process before them in
the members' order, so that the store's calls do not grow with the fleet. Only
changes of meaning are passed on: heartbeats of servers are not. Nor is a value
that the reader has: a configuration may fill a thin link for seconds.
"""

from __future__ import annotations

import base64
import threading
import uuid
import zlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from balsamloom_core import clock as clocks
from balsamloom_gateway import interfaces

# Fast compression: a process may have a third of a core.
COMPRESSION_LEVEL = 1
MAX_VALUE_BYTES = 64_000_000
# Encoded values from this size on are kept for the next readers.
MIN_CACHED_VALUE_BYTES = 4_096


class FeedQuery(NamedTuple):
    """What a reader has.

    ``epoch`` and ``cursor`` are those of the answer before, if there is one;
    its copy is complete up to ``store_revision``.
    """

    epoch: str
    cursor: int
    store_revision: int


class FeedAnswer(TypedDict):
    """Changes that a process passes on, as JSON.

    ``unchanged`` names keys of which the reader has the value.
    """

    epoch: str
    cursor: int
    age_ms: float
    store_revision: int
    changes: list[tuple[str, str | None, int]]
    unchanged: list[str]


class _Entry(NamedTuple):
    change: interfaces.Change
    cursor: int
    meaning: object
    encoded: str | None = None


class Feed:
    """Latest known change of each key.

    :param clock: time source.
    :param decode: decodes an item to what readers see of it; changes with
        the meaning that a key already has are not passed on.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        decode: Callable[[interfaces.Item], object],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._cursor = 0
        self._epoch = uuid.uuid4().hex
        self._fresh_at_ms: float | None = None
        self.store_revision = 0

    def age_ms(self) -> float | None:
        """Return the age of the copy, ``None`` before the first reading."""
        if self._fresh_at_ms is None:
            return None
        return self._clock.now_ms() - self._fresh_at_ms

    def record_read(self, store_revision: int, fresh_at_ms: float) -> None:
        """Note that the copy is complete up to a revision.

        :param fresh_at_ms: time at which the store was known to be there.
        """
        with self._lock:
            self.store_revision = max(self.store_revision, store_revision)
            if self._fresh_at_ms is None or fresh_at_ms > self._fresh_at_ms:
                self._fresh_at_ms = fresh_at_ms

    def apply(
        self, changes: Iterable[interfaces.Change]
    ) -> list[interfaces.Change]:
        """Take in changes and return those that change a meaning.

        Changes that are older than what is known of a key are dropped.
        """
        with self._lock:
            return [change for change in changes if self._apply(change)]

    def replace(
        self,
        items: Iterable[interfaces.Item],
        store_revision: int,
        unchanged: Iterable[str] = (),
    ) -> list[interfaces.Change]:
        """Take in all items of the store and return the changes.

        Keys that the store no longer has count as deleted.

        :param unchanged: further keys that the store has as they are here.
        """
        found = list(items)
        keys = {item.key for item in found}
        keys.update(unchanged)
        with self._lock:
            removed = [
                interfaces.Deletion(key, store_revision)
                for key, entry in self._entries.items()
                if key not in keys
                and isinstance(entry.change, interfaces.Item)
                and entry.change.revision <= store_revision
            ]
        return self.apply([*found, *removed])

    def answer(self, query: FeedQuery) -> FeedAnswer | None:
        """Return what another process lacks, ``None`` before a reading.

        :param query: what it has; one with another epoch is told all keys.
        """
        with self._lock:
            if self._fresh_at_ms is None:
                return None
            is_known = query.epoch == self._epoch
            after = query.cursor if is_known else 0
            newer = [
                entry
                for entry in self._entries.values()
                if entry.cursor > after
            ]
            changes = [
                self._encode(entry)
                for entry in newer
                if entry.change.revision > query.store_revision
            ]
            unchanged = [
                entry.change.key
                for entry in newer
                if entry.change.revision <= query.store_revision
                and isinstance(entry.change, interfaces.Item)
                and not is_known
            ]
            return FeedAnswer(
                epoch=self._epoch,
                cursor=self._cursor,
                age_ms=self._clock.now_ms() - self._fresh_at_ms,
                store_revision=self.store_revision,
                changes=changes,
                unchanged=unchanged,
            )

    def _encode(self, entry: _Entry) -> tuple[str, str | None, int]:
        match entry.change:
            case interfaces.Item(key, value, revision):
                encoded = entry.encoded or _encode_value(value)
                if len(value) >= MIN_CACHED_VALUE_BYTES:
                    self._entries[key] = entry._replace(encoded=encoded)
                return key, encoded, revision
            case interfaces.Deletion(key, revision):
                return key, None, revision

    def _apply(self, change: interfaces.Change) -> bool:
        known = self._entries.get(change.key)
        if known is not None and known.change.revision >= change.revision:
            return False
        meaning: object = None
        if isinstance(change, interfaces.Item):
            meaning = self._decode(change)
        if known is not None and known.meaning == meaning:
            self._entries[change.key] = _Entry(change, known.cursor, meaning)
            return False
        self._cursor += 1
        self._entries[change.key] = _Entry(change, self._cursor, meaning)
        return True


def _encode_value(value: bytes) -> str:
    compressed = zlib.compress(value, COMPRESSION_LEVEL)
    return base64.b64encode(compressed).decode()


def _decode_value(encoded: str) -> bytes:
    compressed = base64.b64decode(encoded, validate=True)
    reader = zlib.decompressobj()
    value = reader.decompress(compressed, MAX_VALUE_BYTES)
    if not reader.eof:
        raise ValueError("a value is cut or too long")
    return value


def decode_changes(answer: dict[str, Any]) -> list[interfaces.Change]:
    """Decode the changes of a :class:`FeedAnswer`.

    :raises ValueError: the answer is malformed.
    """
    changes: list[interfaces.Change] = []
    try:
        for key, value, revision in answer["changes"]:
            if value is None:
                changes.append(interfaces.Deletion(key, int(revision)))
            else:
                decoded = _decode_value(value)
                changes.append(interfaces.Item(key, decoded, int(revision)))
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"malformed feed answer: {error}") from error
    return changes
