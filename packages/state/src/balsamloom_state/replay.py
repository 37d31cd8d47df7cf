"""Rebuilding programs from the journals of former owners."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, identifiers
from balsamloom_state import programs, records_pb2, sealed


class Source(NamedTuple):
    """A sealed journal and the partitions to take from it.

    ``epochs`` gives for each partition the epoch in which the journal's owner
    held it. Records of a lower epoch were left behind by an earlier ownership
    and do not count.
    """

    content: sealed.JournalContent
    epochs: dict[int, int]


class RebuildResult(NamedTuple):
    """Programs read from journals; ``damaged`` names those with lost data."""

    programs: list[programs.Program]
    damaged: set[str]


class _Entry(NamedTuple):
    record: records_pb2.Record
    source: int
    sequence: int


def rebuild(
    sources: Sequence[Source], clock: clocks.Clock, now_ms: float
) -> RebuildResult:
    """Apply the records of the wanted partitions.

    Records are sorted by version, so the order of the journals and records
    present in several of them make no difference.

    :param sources: sealed journals.
    :param clock: time source of the programs.
    :param now_ms: time from which durations in the records count.
    """
    entries = _by_program(sources)
    found: list[programs.Program] = []
    damaged: set[str] = set()
    has_damage = any(source.content.damages for source in sources)
    for program_id, own in entries.items():
        program = _replay(program_id, own, clock, now_ms)
        if not _is_present(program, has_damage):
            continue
        found.append(program)
        if program.has_gap or _may_miss_newest(program_id, own, sources):
            damaged.add(program_id)
            events.log(
                events.Event.SEGMENT_DAMAGED,
                logging.ERROR,
                program_id=program_id,
                cause="records of the program may be missing",
            )
    return RebuildResult(found, damaged)


def partition_or_none(program_id: str) -> int | None:
    """Return the partition of a program, or nothing for a malformed name.

    :param program_id: identifier from a record.
    """
    try:
        return identifiers.partition_of(program_id)
    except errors.BalsamloomError:
        return None


def _by_program(sources: Sequence[Source]) -> dict[str, list[_Entry]]:
    entries: dict[str, list[_Entry]] = {}
    for number, source in enumerate(sources):
        content = source.content
        for record, sequence in zip(
            content.records, content.sequences, strict=True
        ):
            partition = partition_or_none(record.program_id)
            epoch = source.epochs.get(-1 if partition is None else partition)
            if epoch is not None and record.epoch >= epoch:
                entry = _Entry(record, number, sequence)
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
    # Without a damaged segment, records whose beginning is missing belong to
    # a program that was dropped and compacted away in part.
    return program.has_base or (has_damage and program.version > 0)


def _may_miss_newest(
    program_id: str, entries: Sequence[_Entry], sources: Sequence[Source]
) -> bool:
    """Return whether a damaged segment may have held the newest records.

    A record after the damaged segment with no gap before it shows that
    nothing is missing.
    """
    for number, source in enumerate(sources):
        own = [entry.sequence for entry in entries if entry.source == number]
        for damage in source.content.damages:
            ids = damage.program_ids
            is_touched = program_id in ids if ids is not None else bool(own)
            if is_touched and max(own, default=-1) < damage.sequence:
                return True
    return False
