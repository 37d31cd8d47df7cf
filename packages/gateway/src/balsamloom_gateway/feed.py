"""Copy of the store's records, passed on from process to process.

One process follows the store itself. The others ask a process before them in
the members' order, so that the store's calls do not grow with the fleet. Only
changes of meaning are passed on: heartbeats of servers are not.
"""

from __future__ import annotations

import base64
import threading
import uuid
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from balsamloom_core import clock as clocks
from balsamloom_gateway import interfaces


class FeedAnswer(TypedDict):
    """Changes that a process passes on, as JSON."""

    epoch: str
    cursor: int
    age_ms: float
    store_revision: int
    changes: list[tuple[str, str | None, int]]


class _Entry(NamedTuple):
    change: interfaces.Change
    cursor: int
    meaning: object


class Feed:
    """Latest known change of each key.

    :param clock: time source.
    :param meaning: decodes an item to what readers see of it; changes with
        the meaning that a key already has are not passed on.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        meaning: Callable[[interfaces.Item], object],
    ) -> None:
        self._clock = clock
        self._meaning = meaning
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._cursor = 0
        self._epoch = uuid.uuid4().hex
        self._fresh_ms: float | None = None
        self.store_revision = 0

    def age_ms(self) -> float | None:
        """Return the age of the copy, ``None`` before the first reading."""
        if self._fresh_ms is None:
            return None
        return self._clock.now_ms() - self._fresh_ms

    def note_read(self, store_revision: int, fresh_ms: float) -> None:
        """Note that the copy is complete up to a revision.

        :param fresh_ms: time at which the store was known to be there.
        """
        with self._lock:
            self.store_revision = max(self.store_revision, store_revision)
            if self._fresh_ms is None or fresh_ms > self._fresh_ms:
                self._fresh_ms = fresh_ms

    def apply(
        self, changes: Iterable[interfaces.Change]
    ) -> list[interfaces.Change]:
        """Take in changes and return those that change a meaning.

        Changes that are older than what is known of a key are dropped.
        """
        with self._lock:
            return [change for change in changes if self._apply(change)]

    def replace(
        self, items: Iterable[interfaces.Item], store_revision: int
    ) -> list[interfaces.Change]:
        """Take in all items of the store and return the changes.

        Keys that the store no longer has count as deleted.
        """
        found = list(items)
        keys = {item.key for item in found}
        with self._lock:
            gone = [
                interfaces.Deleted(key, store_revision)
                for key, entry in self._entries.items()
                if key not in keys
                and isinstance(entry.change, interfaces.Item)
                and entry.change.revision <= store_revision
            ]
        return self.apply([*found, *gone])

    def answer(self, epoch: str, cursor: int) -> FeedAnswer | None:
        """Return what another process lacks, ``None`` before a reading.

        :param epoch: epoch of the cursor; another one asks for everything.
        """
        with self._lock:
            if self._fresh_ms is None:
                return None
            after = cursor if epoch == self._epoch else 0
            changes = [
                _encode(entry.change)
                for entry in self._entries.values()
                if entry.cursor > after
            ]
            return FeedAnswer(
                epoch=self._epoch,
                cursor=self._cursor,
                age_ms=self._clock.now_ms() - self._fresh_ms,
                store_revision=self.store_revision,
                changes=changes,
            )

    def _apply(self, change: interfaces.Change) -> bool:
        known = self._entries.get(change.key)
        if known is not None and known.change.revision >= change.revision:
            return False
        meaning: object = None
        if isinstance(change, interfaces.Item):
            meaning = self._meaning(change)
        if known is not None and known.meaning == meaning:
            self._entries[change.key] = _Entry(change, known.cursor, meaning)
            return False
        self._cursor += 1
        self._entries[change.key] = _Entry(change, self._cursor, meaning)
        return True


def _encode(change: interfaces.Change) -> tuple[str, str | None, int]:
    match change:
        case interfaces.Item(key, value, revision):
            return key, base64.b64encode(value).decode(), revision
        case interfaces.Deleted(key, revision):
            return key, None, revision


def decode_changes(answer: dict[str, Any]) -> list[interfaces.Change]:
    """Decode the changes of a :class:`FeedAnswer`.

    :raises ValueError: the answer is malformed.
    """
    changes: list[interfaces.Change] = []
    try:
        for key, value, revision in answer["changes"]:
            if value is None:
                changes.append(interfaces.Deleted(key, int(revision)))
            else:
                decoded = base64.b64decode(value, validate=True)
                changes.append(interfaces.Item(key, decoded, int(revision)))
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed feed answer: {error}") from error
    return changes
