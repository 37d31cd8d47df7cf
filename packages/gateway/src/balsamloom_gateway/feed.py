"""Copy of the store's records, replicated from process to process.

The first member reads the store. Each other member reads from one that
precedes it in the order of names, so that the load on the store does not grow
with the number of members. A call waits at that member until there is news, so
that a change takes no longer than the calls that pass it on.

Changes that decode to the same record, such as server heartbeats, are not
sent. Values that the reader already has are not sent either: a configuration
can occupy a slow network path for seconds.
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

# The fastest zlib level, because a process may have only a third of a core.
COMPRESSION_LEVEL = 1
MAX_VALUE_BYTES = 64_000_000
# Smallest value whose encoded form is cached for further readers.
MIN_CACHED_VALUE_BYTES = 4_096
# Calls that wait for news at a time; each occupies a thread.
MAX_WAITING_READERS = 16


class Position(NamedTuple):
    """What a reader has of a member's copy.

    ``epoch`` and ``cursor`` identify the last change, ``reads`` counts the
    reads with which the member renewed its copy.
    """

    epoch: str
    cursor: int
    reads: int


NO_POSITION = Position("", 0, 0)


class FeedQuery(NamedTuple):
    """State of a reader's copy.

    ``epoch`` and ``cursor`` come from the previous answer, ``""`` and 0 if
    there was none. The copy is complete up to ``store_revision``. An answer
    without news since the read number ``reads`` may wait for ``wait_ms``.
    """

    epoch: str
    cursor: int
    store_revision: int
    reads: int = 0
    wait_ms: float = 0.0


class FeedAnswer(TypedDict):
    """Changes that a reader lacks, as JSON.

    ``unchanged`` lists keys whose current value the reader already has.
    ``held_ms`` is the time for which the answer waited for news.
    """

    epoch: str
    cursor: int
    age_ms: float
    store_revision: int
    changes: list[tuple[str, str | None, int]]
    unchanged: list[str]
    reads: int
    held_ms: float


class _Entry(NamedTuple):
    change: interfaces.Change
    cursor: int
    decoded: object
    encoded: str | None = None


class Feed:
    """Latest known change of each key.

    :param clock: time source.
    :param decode: decodes an item. A change that decodes to the key's current
        content is not sent to readers.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        decode: Callable[[interfaces.Item], object],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._lock = threading.Lock()
        self._was_read = threading.Condition(self._lock)
        self._entries: dict[str, _Entry] = {}
        self._cursor = 0
        self._epoch = uuid.uuid4().hex
        self._fresh_at_ms: float | None = None
        # Reads that renewed the copy, and the cursor after the last one.
        self._reads = 0
        self._announced_cursor = 0
        self._waiting_readers = 0
        self._may_wait = True
        self.store_revision = 0

    def age_ms(self) -> float | None:
        """Return the age of the copy, ``None`` before the first read."""
        if self._fresh_at_ms is None:
            return None
        return self._clock.now_ms() - self._fresh_at_ms

    def advance(self, store_revision: int) -> None:
        """Record that the copy has all changes up to a revision."""
        with self._lock:
            self.store_revision = max(self.store_revision, store_revision)

    def record_read(self, store_revision: int, fresh_at_ms: float) -> None:
        """Record that the copy is complete up to a revision of the store.

        :param fresh_at_ms: time at which the copy is known to match the store.
        """
        with self._lock:
            self.store_revision = max(self.store_revision, store_revision)
            is_newer = (
                self._fresh_at_ms is None or fresh_at_ms > self._fresh_at_ms
            )
            if is_newer:
                self._fresh_at_ms = fresh_at_ms
            if is_newer or self._cursor != self._announced_cursor:
                self._reads += 1
                self._announced_cursor = self._cursor
                self._was_read.notify_all()

    def stop_waiting(self) -> None:
        """Answer all readers at once from now on."""
        with self._lock:
            self._may_wait = False
            self._was_read.notify_all()

    def wait_until_known(self, since_ms: float, until_ms: float) -> bool:
        """Wait until the copy shows all that was in the store at a time.

        What is missing in the copy then proves that it was absent. What is
        missing in an older copy proves nothing.

        :param since_ms: the time.
        :param until_ms: end of the wait.
        :return: whether the copy is that recent.
        """
        with self._was_read:
            while not self._is_known(since_ms):
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return False
                self._clock.wait_condition(self._was_read, left_ms)
            return True

    def _is_known(self, since_ms: float) -> bool:
        return self._fresh_at_ms is not None and self._fresh_at_ms >= since_ms

    def apply(
        self, changes: Iterable[interfaces.Change]
    ) -> list[interfaces.Change]:
        """Apply changes and return those that change a key's content.

        Changes that are not newer than the known one of a key are ignored.
        """
        with self._lock:
            return [change for change in changes if self._apply(change)]

    def latest(self) -> list[interfaces.Change]:
        """Return the latest known change of each key."""
        with self._lock:
            return [entry.change for entry in self._entries.values()]

    def replace(
        self,
        items: Iterable[interfaces.Item],
        store_revision: int,
        unchanged: Iterable[str] = (),
    ) -> list[interfaces.Change]:
        """Replace the copy by a full listing and return the changes.

        Keys that are not in the listing are deleted, unless the copy has a
        newer revision of them.

        :param unchanged: further keys in the store, whose values are known.
        """
        listed = list(items)
        keys = {item.key for item in listed}
        keys.update(unchanged)
        with self._lock:
            removed = [
                interfaces.Deletion(key, store_revision)
                for key, entry in self._entries.items()
                if key not in keys
                and isinstance(entry.change, interfaces.Item)
                and entry.change.revision <= store_revision
            ]
        return self.apply([*listed, *removed])

    def answer(self, query: FeedQuery) -> FeedAnswer | None:
        """Return the changes a reader lacks, ``None`` before the first read.

        Waits for news if the query allows it.

        :param query: state of its copy; with another epoch, the answer covers
            all keys.
        """
        with self._was_read:
            if self._fresh_at_ms is None:
                return None
            held_ms = self._wait_for_news(query)
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
                reads=self._reads,
                held_ms=held_ms,
            )

    def has_news(self, query: FeedQuery) -> bool:
        """Return whether the copy was renewed since a reader's last answer."""
        return query.epoch != self._epoch or query.reads != self._reads

    def _wait_for_news(self, query: FeedQuery) -> float:
        """Wait until there is news for a reader; return the time spent."""
        if self._waiting_readers >= MAX_WAITING_READERS:
            return 0.0
        started_ms = now_ms = self._clock.now_ms()
        until_ms = started_ms + query.wait_ms
        self._waiting_readers += 1
        try:
            while (
                self._may_wait
                and now_ms < until_ms
                and not self.has_news(query)
            ):
                self._clock.wait_condition(self._was_read, until_ms - now_ms)
                now_ms = self._clock.now_ms()
        finally:
            self._waiting_readers -= 1
        return now_ms - started_ms

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
        decoded: object = None
        if isinstance(change, interfaces.Item):
            decoded = self._decode(change)
        if known is not None and known.decoded == decoded:
            self._entries[change.key] = _Entry(change, known.cursor, decoded)
            return False
        self._cursor += 1
        self._entries[change.key] = _Entry(change, self._cursor, decoded)
        return True


def _encode_value(value: bytes) -> str:
    compressed = zlib.compress(value, COMPRESSION_LEVEL)
    return base64.b64encode(compressed).decode()


def _decode_value(encoded: str) -> bytes:
    compressed = base64.b64decode(encoded, validate=True)
    reader = zlib.decompressobj()
    value = reader.decompress(compressed, MAX_VALUE_BYTES)
    if not reader.eof:
        raise ValueError(
            f"value is truncated or exceeds {MAX_VALUE_BYTES} bytes"
        )
    return value


def decode_changes(answer: dict[str, Any]) -> list[interfaces.Change]:
    """Decode the changes of a :class:`FeedAnswer`.

    :raises ValueError: the answer is malformed.
    """
    changes: list[interfaces.Change] = []
    try:
        for key, value, revision in answer["changes"]:
            if not isinstance(key, str):
                raise TypeError(f"a key is {key!r}")
            if value is None:
                changes.append(interfaces.Deletion(key, int(revision)))
            else:
                decoded = _decode_value(value)
                changes.append(interfaces.Item(key, decoded, int(revision)))
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"malformed feed answer: {error}") from error
    return changes
