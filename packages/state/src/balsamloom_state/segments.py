"""Encoding of journal segments: compressed records and a checksum."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from google.protobuf import message

from balsamloom_core import errors, results
from balsamloom_state import records_pb2


class DamagedSegment(errors.BalsamloomError):
    """Segment whose length or checksum is wrong.

    :param key: key of the segment in the store.
    :param cause: reason why the segment is damaged.
    :param program_ids: programs with records in the segment, ``None`` if
        that is unknown.
    """

    def __init__(
        self, key: str, cause: str, program_ids: frozenset[str] | None = None
    ) -> None:
        super().__init__(
            results.ResultCode.DAMAGED_MESSAGE, f"segment {key}: {cause}"
        )
        self.key = key
        self.program_ids = program_ids


class SegmentEntry(NamedTuple):
    """Highest version and total size of a program's records in a segment."""

    version: int
    size_bytes: int


class SegmentInfo(NamedTuple):
    """Content of a written segment by program, used for compaction."""

    sequence: int
    size_bytes: int
    entries: dict[str, SegmentEntry]


def summarize(
    sequence: int, records: Sequence[records_pb2.Record]
) -> SegmentInfo:
    """Return the content of a segment by program.

    :param sequence: number of the segment in its journal.
    :param records: records of the segment.
    """
    entries: dict[str, SegmentEntry] = {}
    for record in records:
        known = entries.get(record.program_id, SegmentEntry(0, 0))
        entries[record.program_id] = SegmentEntry(
            max(known.version, record.version),
            known.size_bytes + record.ByteSize(),
        )
    size_bytes = sum(entry.size_bytes for entry in entries.values())
    return SegmentInfo(sequence, size_bytes, entries)


def pack_batch(records: Sequence[records_pb2.Record]) -> bytes:
    """Encode records as one compressed batch.

    :param records: records in order.
    """
    batch = records_pb2.RecordBatch(records=records)
    return zlib.compress(batch.SerializeToString(), 1)


def encode(
    records: Sequence[records_pb2.Record], writer_id: str, nonce: str
) -> bytes:
    """Encode a segment.

    :param records: records in order.
    :param writer_id: member that writes the segment.
    :param nonce: value that distinguishes this write from any other.
    """
    body = pack_batch(records)
    program_ids = sorted({record.program_id for record in records})
    segment = records_pb2.Segment(
        nonce=nonce,
        writer_id=writer_id,
        crc32=zlib.crc32(body),
        size_bytes=len(body),
        compressed_batch=body,
        program_ids=program_ids,
        program_ids_crc32=_checksum(program_ids),
    )
    return segment.SerializeToString()


def encode_seal(writer_id: str, nonce: str) -> bytes:
    """Encode a seal, which ends a journal.

    :param writer_id: member that seals the journal.
    :param nonce: value that distinguishes this write from any other.
    """
    segment = records_pb2.Segment(
        nonce=nonce, writer_id=writer_id, is_seal=True
    )
    return segment.SerializeToString()


def decode(key: str, value: bytes) -> records_pb2.Segment:
    """Decode a segment and check it.

    :param key: key of the segment, named in the error.
    :param value: bytes read from the store.
    :raises DamagedSegment: if the length or the checksum is wrong.
    """
    segment = records_pb2.Segment()
    try:
        segment.ParseFromString(value)
    except message.DecodeError as error:
        raise DamagedSegment(key, f"cannot be parsed: {error}") from error
    if len(segment.compressed_batch) != segment.size_bytes:
        raise DamagedSegment(key, "wrong length", _program_ids(segment))
    if zlib.crc32(segment.compressed_batch) != segment.crc32:
        raise DamagedSegment(key, "wrong checksum", _program_ids(segment))
    if not segment.is_seal and not segment.size_bytes:
        # An empty value is parsed as an empty message.
        raise DamagedSegment(key, "empty batch", _program_ids(segment))
    return segment


def records_of(segment: records_pb2.Segment) -> list[records_pb2.Record]:
    """Return the records of a decoded segment.

    :param segment: segment from :func:`decode`.
    """
    if segment.is_seal or not segment.compressed_batch:
        return []
    batch = records_pb2.RecordBatch()
    batch.ParseFromString(zlib.decompress(segment.compressed_batch))
    return list(batch.records)


def _program_ids(segment: records_pb2.Segment) -> frozenset[str] | None:
    program_ids = list(segment.program_ids)
    if not program_ids or (
        _checksum(program_ids) != segment.program_ids_crc32
    ):
        return None
    return frozenset(program_ids)


def _checksum(program_ids: list[str]) -> int:
    return zlib.crc32(",".join(program_ids).encode())
