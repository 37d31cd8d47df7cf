"""Reading, sealing and deleting journals."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_core import events
from balsamloom_platform import store as stores
from balsamloom_state import records_pb2, segments

PREFIX = "/balsamloom/journal/"
PAGE_SIZE = 16
DELETES_PER_COMMIT = 64


class SegmentKey(NamedTuple):
    """Place of a segment."""

    member_id: str
    sequence: int

    def text(self) -> str:
        """Return the key in the store."""
        return f"{PREFIX}{self.member_id}/{self.sequence:010d}"


class Damage(NamedTuple):
    """A segment that cannot be read.

    ``program_ids`` names the programs touched, if that is known.
    """

    sequence: int
    program_ids: frozenset[str] | None


class JournalContent(NamedTuple):
    """What a journal holds; ``sequences`` gives the place of each record."""

    member_id: str
    records: list[records_pb2.Record]
    sequences: list[int]
    damages: list[Damage]
    next_sequence: int
    is_sealed: bool


def read(store: stores.Store, member_id: str) -> JournalContent:
    """Read a journal.

    A damaged segment is logged and left out; the others are read.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :raises StoreUnavailable: if the store does not answer.
    """
    prefix = f"{PREFIX}{member_id}/"
    content = JournalContent(member_id, [], [], [], 0, False)
    start = ""
    while True:
        page = store.list_keys(prefix, PAGE_SIZE, start)
        for item in page.items:
            content = _with_segment(content, item)
        if not page.more:
            return content
        start = page.items[-1].key + "\0"


def _with_segment(
    content: JournalContent, item: stores.Item
) -> JournalContent:
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
        content.damages.append(Damage(sequence, error.program_ids))
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
    """End another member's journal and return what it holds.

    Sealing again is harmless, so the caller may try again after an error.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :param sealer_id: member that seals.
    :param guard: further comparisons on which the seal depends, so that a
        journal that was deleted meanwhile is not made anew.
    :return: content of the journal, or nothing if the guard does not hold.
    :raises StoreUnavailable: if the store does not answer.
    """
    while True:
        content = read(store, member_id)
        if content.is_sealed:
            return content
        key = SegmentKey(member_id, content.next_sequence).text()
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

    The owner's next commit still fails, because it is conditional on its
    previous segment.

    :param store: key-value service.
    :param member_id: owner of the journal.
    :raises StoreUnavailable: if the store does not answer; deleting again is
        harmless.
    """
    prefix = f"{PREFIX}{member_id}/"
    while True:
        page = store.list_keys(prefix, DELETES_PER_COMMIT)
        if not page.items:
            return
        store.commit([], [stores.Delete(item.key) for item in page.items])
