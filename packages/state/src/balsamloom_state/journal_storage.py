"""Reading, sealing and deleting journals."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_core import events
from balsamloom_platform import store as stores
from balsamloom_state import records_pb2, segments

KEY_PREFIX = "/balsamloom/journal/"
SEGMENTS_PER_PAGE = 16
MAX_DELETES_PER_COMMIT = 64


class SegmentId(NamedTuple):
    """Position of a segment in the journal of a member."""

    member_id: str
    sequence: int

    def store_key(self) -> str:
        """Return the key of the segment in the store."""
        return f"{KEY_PREFIX}{self.member_id}/{self.sequence:010d}"


class SegmentDamage(NamedTuple):
    """Damaged segment that cannot be read.

    ``program_ids`` holds the affected programs, or ``None`` if unknown.
    """

    sequence: int
    program_ids: frozenset[str] | None


class JournalContent(NamedTuple):
    """Content of a journal; ``sequences`` has the segment of each record."""

    member_id: str
    records: list[records_pb2.Record]
    sequences: list[int]
    damaged_segments: list[SegmentDamage]
    next_sequence: int
    is_sealed: bool


def read(store: stores.Store, member_id: str) -> JournalContent:
    """Read a journal.

    A damaged segment is logged and skipped.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :raises StoreUnavailable: if the store does not answer.
    """
    prefix = f"{KEY_PREFIX}{member_id}/"
    content = JournalContent(member_id, [], [], [], 0, False)
    start = ""
    while True:
        page = store.list_keys(prefix, SEGMENTS_PER_PAGE, start)
        for item in page.items:
            content = _add_segment(content, item)
        if not page.more:
            return content
        start = page.items[-1].key + "\0"


def _add_segment(content: JournalContent, item: stores.Item) -> JournalContent:
    sequence = int(item.key.rpartition("/")[2])
    is_sealed = content.is_sealed
    try:
        segment = segments.decode(item.key, item.value)
    except segments.DamagedSegment as error:
        events.log(
            events.Event.SEGMENT_DAMAGED,
            logging.ERROR,
            key=item.key,
            cause=error.message,
        )
        content.damaged_segments.append(
            SegmentDamage(sequence, error.program_ids)
        )
    else:
        found = segments.records_of(segment)
        content.records.extend(found)
        content.sequences.extend([sequence] * len(found))
        is_sealed = is_sealed or segment.is_seal
    return content._replace(next_sequence=sequence + 1, is_sealed=is_sealed)


def seal(
    store: stores.Store,
    member_id: str,
    sealer_id: str,
    guard: Sequence[stores.Comparison] = (),
) -> JournalContent | None:
    """Seal another member's journal and return its content.

    This is idempotent, so the caller may retry after an error.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param sealer_id: member that seals.
    :param guard: additional conditions of the write, which keep it from
        recreating a journal that has been deleted.
    :return: content of the journal, or ``None`` if the guard fails.
    :raises StoreUnavailable: if the store does not answer.
    """
    while True:
        content = read(store, member_id)
        if content.is_sealed:
            return content
        key = SegmentId(member_id, content.next_sequence).store_key()
        value = segments.encode_seal(sealer_id, secrets.token_hex(8))
        match store.commit(
            [stores.KeyAbsent(key), *guard], [stores.Put(key, value)]
        ):
            case stores.Committed():
                events.log(
                    events.Event.JOURNAL_SEALED,
                    member_id=member_id,
                    sequence=content.next_sequence,
                )
                return content._replace(is_sealed=True)
            case stores.Conflict(current=current) if key not in current:
                return None


def delete(store: stores.Store, member_id: str) -> None:
    """Delete a sealed journal, the seal last.

    Later commits of its owner still fail because each is conditional on the
    previous segment.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :raises StoreUnavailable: if the store does not answer; the caller may
        retry.
    """
    prefix = f"{KEY_PREFIX}{member_id}/"
    while True:
        page = store.list_keys(prefix, MAX_DELETES_PER_COMMIT)
        if not page.items:
            return
        store.commit([], [stores.Delete(item.key) for item in page.items])
