"""Importing programs from the sealed journals of former owners."""

from __future__ import annotations

import logging
import threading
from typing import NamedTuple

from balsamloom_core import errors, events, identifiers, results
from balsamloom_state import (
    journal,
    lifecycles,
    local,
    ownership,
    partitions,
    programs,
    replay,
    sealed,
    snapshots,
)


class ImportReport(NamedTuple):
    """What an import brought to this member."""

    partitions: int = 0
    programs: int = 0
    unknown_calls: int = 0
    damaged_programs: int = 0
    is_complete: bool = True
    journals: tuple[str, ...] = ()


class _Running(NamedTuple):
    """An import whose snapshots are on the way to the store."""

    entries: list[partitions.Import]
    epochs: dict[int, int]
    batches: list[journal.Batch]
    report: ImportReport


class Importer:
    """Brings programs from sealed journals into the own journal.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state
        self._running: _Running | None = None
        self._importing = threading.Lock()

    def run(self) -> ImportReport:
        """Import what the map assigns to this member.

        :return: what was imported; ``is_complete`` is false if the snapshots
            are not durable yet, and a later call goes on.
        :raises StoreUnavailable: if the store does not answer; a later call
            goes on.
        """
        with self._importing:
            running = self._running or self._begin()
            if running is None:
                return ImportReport()
            self._running = running
            if not self._are_durable(running.batches):
                return running.report._replace(is_complete=False)
            self._serve(running.epochs)
            self._clear(running.entries)
            self._running = None
        events.log(
            events.Event.TAKEOVER_FINISHED,
            member_id=",".join(running.report.journals),
            partitions=running.report.partitions,
            programs=running.report.programs,
            unknown_calls=running.report.unknown_calls,
        )
        return running.report

    def _begin(self) -> _Running | None:
        own_id = self._state.member.member_id
        found = self._state.map
        entries = [
            entry for entry in found.imports if entry.importer_id == own_id
        ]
        if not entries:
            return None
        numbers = sorted(
            {
                number
                for entry in entries
                for number in entry.partitions
                if isinstance(
                    self._state.slots.state(number), ownership.Importing
                )
            }
        )
        sources = self._sources(entries, set(numbers))
        now_ms = self._state.clock.now_ms()
        rebuilt = replay.rebuild(sources, self._state.clock, now_ms)
        unknown = self._settle(rebuilt, sources)
        batches = self._stage(numbers, rebuilt.programs)
        report = ImportReport(
            len(numbers),
            len(rebuilt.programs),
            unknown,
            len(rebuilt.damaged),
            journals=tuple(sorted({entry.journal_id for entry in entries})),
        )
        epochs = {
            number: self._state.slots.epoch(number) for number in numbers
        }
        return _Running(entries, epochs, batches, report)

    def _sources(
        self, entries: list[partitions.Import], wanted: set[int]
    ) -> list[replay.Source]:
        epochs: dict[str, dict[int, int]] = {}
        for entry in entries:
            own = epochs.setdefault(entry.journal_id, {})
            pairs = zip(entry.partitions, entry.epochs, strict=True)
            own.update(pair for pair in pairs if pair[0] in wanted)
        sources = []
        for journal_id, own in epochs.items():
            content = sealed.read(self._state.store, journal_id)
            self._state.damaged_segments += len(content.damages)
            sources.append(replay.Source(content, own))
        return sources

    def _settle(
        self, rebuilt: replay.RebuildResult, sources: list[replay.Source]
    ) -> int:
        now_ms = self._state.clock.now_ms()
        # A claim is blocked from the seal on; without an own seal, counting
        # from now is later and thus safe.
        from_ms = max(
            (
                self._state.sealed_ms.get(source.content.member_id, now_ms)
                for source in sources
            ),
            default=now_ms,
        )
        unknown = 0
        for program in rebuilt.programs:
            for call in program.claimed_without_result():
                program.mark_unknown(call, from_ms + call.timeout_ms)
                unknown += 1
                events.log(
                    events.Event.CALL_OUTCOME_UNKNOWN,
                    logging.WARNING,
                    program_id=program.program_id,
                    key=call.key,
                )
            program.account.spend_reserved()
            if program.program_id in rebuilt.damaged:
                lifecycles.end_damaged(program, now_ms)
        return unknown

    def _stage(
        self, numbers: list[int], found: list[programs.Program]
    ) -> list[journal.Batch]:
        """Write snapshots of imported programs to the own journal."""
        batches: list[journal.Batch] = []
        by_partition: dict[int, dict[str, programs.Program]] = {
            number: {} for number in numbers
        }
        for program in found:
            number = identifiers.partition_of(program.program_id)
            by_partition[number][program.program_id] = program
        for number, own in by_partition.items():
            epoch = self._state.slots.epoch(number)
            with self._state.lock:
                self._state.staged[number] = local.Staged(epoch, own)
            for program in own.values():
                batches += _append_snapshot(self._state, program, epoch)
        return batches

    def _are_durable(self, batches: list[journal.Batch]) -> bool:
        end_ms = (
            self._state.clock.now_ms() + self._state.settings.import_timeout_ms
        )
        for batch in batches:
            left_ms = end_ms - self._state.clock.now_ms()
            match self._state.journal.wait(batch, left_ms):
                case journal.Deposed():
                    raise errors.BalsamloomError(
                        results.ResultCode.WRONG_OWNER
                    )
                case journal.Pending():
                    return False
        return True

    def _serve(self, epochs: dict[int, int]) -> None:
        for number, epoch in epochs.items():
            # After a lost answer the partition may have been away and be due
            # for another import, in a higher epoch.
            state = self._state.slots.state(number)
            if state == ownership.Importing(epoch):
                self._state.serve_staged(number)

    def _clear(self, entries: list[partitions.Import]) -> None:
        self._state.update_map(lambda found: without_imports(found, entries))


def without_imports(
    found: partitions.PartitionMap, done: list[partitions.Import]
) -> partitions.PartitionMap | None:
    """Clear imports and retire journals that nobody has to read any more.

    :param found: map as it is.
    :param done: imports that are durable in the importer's journal.
    """
    left = tuple(entry for entry in found.imports if entry not in done)
    if len(left) == len(found.imports):
        return None
    changed = found._replace(imports=left)
    return partitions.with_retired(
        changed, {entry.journal_id for entry in done}
    )


def _append_snapshot(
    state: local.LocalState, program: programs.Program, epoch: int
) -> list[journal.Batch]:
    now_ms = state.clock.now_ms()
    parts = snapshots.take(program, epoch, now_ms)
    program.version = program.base_version = parts[0].version
    return [state.journal.append([part]) for part in parts]
