"""Rebuilds programs from the journals of former owners."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, identifiers
from balsamloom_state import journal_storage, programs, records_pb2


class Source(NamedTuple):
    """Sealed journal and the partitions to rebuild from it.

    ``epochs`` maps each partition to the epoch in which the owner of the
    journal owned it. Records of a lower epoch are from an earlier ownership
    and are ignored.
    """

    content: journal_storage.JournalContent
    epochs: dict[int, int]


class RebuildResult(NamedTuple):
    """Rebuilt programs; ``damaged`` has the ids of those that lost data."""

    programs: list[programs.Program]
    damaged: set[str]


class _Entry(NamedTuple):
    record: records_pb2.Record
    source_index: int
    sequence: int


def rebuild(
    sources: Sequence[Source], clock: clocks.Clock, now_ms: float
) -> RebuildResult:
    """Rebuild the programs of the requested partitions.

    Records are applied in the order of their versions, so the order of the
    journals and duplicate records make no difference.

    :param sources: sealed journals with the partitions to rebuild.
    :param clock: time source of the programs.
    :param now_ms: start time of durations in the records.
    """
    entries = _by_program(sources)
    found: list[programs.Program] = []
    damaged: set[str] = set()
    has_damage = any(source.content.damaged_segments for source in sources)
    for program_id, records in entries.items():
        program = _replay(program_id, records, clock, now_ms)
        if not _is_present(program, has_damage):
            continue
        found.append(program)
        if program.has_gap or _may_miss_newest(program_id, records, sources):
            damaged.add(program_id)
            events.log(
                events.Event.SEGMENT_DAMAGED,
                logging.ERROR,
                program_id=program_id,
                cause="records of the program may be missing",
            )
    return RebuildResult(found, damaged)


def partition_or_none(program_id: str) -> int | None:
    """Return the partition of a program, ``None`` for a malformed id.

    :param program_id: identifier from a record.
    """
    try:
        return identifiers.partition_of(program_id)
    except errors.BalsamloomError:
        return None


def _by_program(sources: Sequence[Source]) -> dict[str, list[_Entry]]:
    entries: dict[str, list[_Entry]] = {}
    for index, source in enumerate(sources):
        content = source.content
        for record, sequence in zip(
            content.records, content.sequences, strict=True
        ):
            partition = partition_or_none(record.program_id)
            epoch = source.epochs.get(-1 if partition is None else partition)
            if epoch is not None and record.epoch >= epoch:
                entry = _Entry(record, index, sequence)
                entries.setdefault(record.program_id, []).append(entry)
    return entries


def _replay(
    program_id: str,
    entries: Iterable[_Entry],
    clock: clocks.Clock,
    now_ms: float,
) -> programs.Program:
    program = programs.Program(program_id, clock)
    for entry in sorted(entries, key=lambda entry: entry.record.version):
        program.apply(entry.record, now_ms)
    return program


def _is_present(program: programs.Program, has_damage: bool) -> bool:
    if program.is_forgotten:
        return False
    # Without a damaged segment, a missing beginning means that the program was
    # removed and compaction has already deleted its older records.
    return program.has_initial_state or (has_damage and program.version > 0)


def _may_miss_newest(
    program_id: str, entries: Sequence[_Entry], sources: Sequence[Source]
) -> bool:
    """Return whether a damaged segment may have had the newest records.

    If a record follows the damaged segment, then missing records show up as a
    gap between the versions.
    """
    for index, source in enumerate(sources):
        sequences = [
            entry.sequence for entry in entries if entry.source_index == index
        ]
        for damage in source.content.damaged_segments:
            ids = damage.program_ids
            is_affected = (
                program_id in ids if ids is not None else bool(sequences)
            )
            if is_affected and max(sequences, default=-1) < damage.sequence:
                return True
    return False
