"""Batches of records and how they are grouped into segments."""

from __future__ import annotations

import dataclasses
import secrets
import threading
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_state import records_pb2, segments

# The store accepts values of up to 1 MB. The margin covers the fields of the
# segment and the overhead of compressing incompressible data.
MAX_BATCH_BYTES = 700_000
MAX_SEGMENT_BYTES = 900_000
# Records are mostly text, which compresses to a third or less. A takeover
# writes many records, so it is faster the more fit in one segment.
MAX_GROUP_BYTES = 4 * MAX_BATCH_BYTES


@dataclasses.dataclass(frozen=True)
class Durable:
    """The records are durable."""


@dataclasses.dataclass(frozen=True)
class Pending:
    """The records are not durable yet; the journal keeps retrying."""


@dataclasses.dataclass(frozen=True)
class Deposed:
    """A successor sealed the journal; the records never become durable."""


CommitState = Durable | Pending | Deposed


class Batch:
    """Records that become durable together.

    ``write_started_ms`` is the time right before the first write attempt.
    """

    def __init__(self, records: Sequence[records_pb2.Record]) -> None:
        self.records = list(records)
        self.size_bytes = sum(record.ByteSize() for record in records)
        self.done = threading.Event()
        self.state: CommitState = Pending()
        self.write_started_ms: float | None = None

    def finish(self, state: CommitState) -> None:
        """Set the final state and wake the waiting threads.

        :param state: ``Durable`` or ``Deposed``.
        """
        if not self.done.is_set():
            self.state = state
            self.done.set()


class Group(NamedTuple):
    """Batches and the encoded segment that contains their records."""

    batches: list[Batch]
    value: bytes


def group(waiting: Sequence[Batch], member_id: str) -> Group:
    """Return the oldest batches that fit together in one segment.

    :param waiting: batches in commit order, at least one.
    :param member_id: member that writes the segment.
    """
    chosen = _select_batches(waiting, MAX_GROUP_BYTES)
    value = _encode(chosen, member_id)
    while len(value) > MAX_SEGMENT_BYTES and len(chosen) > 1:
        chosen = chosen[: len(chosen) // 2]
        value = _encode(chosen, member_id)
    return Group(chosen, value)


def _select_batches(waiting: Sequence[Batch], limit_bytes: int) -> list[Batch]:
    chosen: list[Batch] = []
    size_bytes = 0
    for batch in waiting:
        size_bytes += batch.size_bytes
        if chosen and size_bytes > limit_bytes:
            break
        chosen.append(batch)
    return chosen


def _encode(chosen: Sequence[Batch], member_id: str) -> bytes:
    records = [record for batch in chosen for record in batch.records]
    return segments.encode(records, member_id, secrets.token_hex(8))
