"""Import of programs from the sealed journals of former owners."""

from __future__ import annotations

import logging
import threading
from typing import NamedTuple

from balsamloom_core import errors, events, identifiers, results
from balsamloom_state import (
    journal,
    journal_storage,
    lifecycles,
    local,
    ownership,
    partitions,
    programs,
    replay,
    snapshots,
)


class ImportReport(NamedTuple):
    """Counts of what an import added to this member."""

    partitions: int = 0
    programs: int = 0
    unknown_calls: int = 0
    damaged_programs: int = 0
    is_complete: bool = True
    journals: tuple[str, ...] = ()


class _PendingImport(NamedTuple):
    """Import whose snapshots are not yet known to be durable."""

    entries: list[partitions.Import]
    epochs: dict[int, int]
    batches: list[journal.Batch]
    report: ImportReport


class Importer:
    """Copies programs from sealed journals to this member's journal.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state
        self._pending: _PendingImport | None = None
        self._import_lock = threading.Lock()

    def run(self) -> ImportReport:
        """Run the imports that the map assigns to this member.

        :return: counts of the import; ``is_complete`` is false if the
            snapshots are not durable yet; the next call then continues.
        :raises StoreUnavailable: if the store does not answer; the next call
            continues.
        """
        with self._import_lock:
            pending = self._pending or self._start()
            if pending is None:
                return ImportReport()
            self._pending = pending
            if not self._wait_durable(pending.batches):
                return pending.report._replace(is_complete=False)
            self._serve_partitions(pending.epochs)
            self._clear_imports(pending.entries)
            self._pending = None
        events.log(
            events.Event.TAKEOVER_FINISHED,
            member_id=",".join(pending.report.journals),
            partitions=pending.report.partitions,
            programs=pending.report.programs,
            unknown_calls=pending.report.unknown_calls,
        )
        return pending.report

    def _start(self) -> _PendingImport | None:
        own_id = self._state.member.member_id
        current = self._state.map
        entries = [
            entry for entry in current.imports if entry.importer_id == own_id
        ]
        if not entries:
            return None
        numbers = sorted(
            {
                number
                for entry in entries
                for number in entry.partitions
                if isinstance(
                    self._state.owned.state(number), ownership.ImportingState
                )
            }
        )
        sources = self._read_journals(entries, set(numbers))
        now_ms = self._state.clock.now_ms()
        rebuilt = replay.rebuild(sources, self._state.clock, now_ms)
        unknown = self._recover_programs(rebuilt, sources)
        batches = self._stage_programs(numbers, rebuilt.programs)
        report = ImportReport(
            len(numbers),
            len(rebuilt.programs),
            unknown,
            len(rebuilt.damaged),
            journals=tuple(sorted({entry.journal_id for entry in entries})),
        )
        epochs = {
            number: self._state.owned.epoch(number) for number in numbers
        }
        return _PendingImport(entries, epochs, batches, report)

    def _read_journals(
        self, entries: list[partitions.Import], wanted: set[int]
    ) -> list[replay.Source]:
        epochs: dict[str, dict[int, int]] = {}
        for entry in entries:
            journal_epochs = epochs.setdefault(entry.journal_id, {})
            pairs = zip(entry.partitions, entry.epochs, strict=True)
            journal_epochs.update(pair for pair in pairs if pair[0] in wanted)
        sources = []
        for journal_id, journal_epochs in epochs.items():
            content = journal_storage.read(self._state.store, journal_id)
            self._state.damaged_segments += len(content.damaged_segments)
            sources.append(replay.Source(content, journal_epochs))
        return sources

    def _recover_programs(
        self, rebuilt: replay.RebuildResult, sources: list[replay.Source]
    ) -> int:
        now_ms = self._state.clock.now_ms()
        # An open claim blocks its program for the call's timeout, counted
        # from the seal. If another member sealed the journal, the block counts
        # from now, which is later and therefore safe.
        blocked_from_ms = max(
            (
                self._state.sealed_ms.get(source.content.member_id, now_ms)
                for source in sources
            ),
            default=now_ms,
        )
        unknown = 0
        for program in rebuilt.programs:
            for call in program.claimed_without_result():
                program.mark_unknown(call, blocked_from_ms + call.timeout_ms)
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

    def _stage_programs(
        self, numbers: list[int], imported: list[programs.Program]
    ) -> list[journal.Batch]:
        """Write snapshots of imported programs to this member's journal."""
        batches: list[journal.Batch] = []
        by_partition: dict[int, dict[str, programs.Program]] = {
            number: {} for number in numbers
        }
        for program in imported:
            number = identifiers.partition_of(program.program_id)
            by_partition[number][program.program_id] = program
        for number, staged in by_partition.items():
            epoch = self._state.owned.epoch(number)
            with self._state.lock:
                self._state.staged[number] = local.StagedPrograms(
                    epoch, staged
                )
            for program in staged.values():
                batches += _append_snapshot(self._state, program, epoch)
        return batches

    def _wait_durable(self, batches: list[journal.Batch]) -> bool:
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

    def _serve_partitions(self, epochs: dict[int, int]) -> None:
        for number, epoch in epochs.items():
            # The answer to the write of the map may have been lost, and
            # another member may have taken over the partition since then.
            # Its epoch is higher then, and it must be imported again.
            state = self._state.owned.state(number)
            if state == ownership.ImportingState(epoch):
                self._state.serve_staged(number)

    def _clear_imports(self, entries: list[partitions.Import]) -> None:
        self._state.update_map(
            lambda current: without_imports(current, entries)
        )


def without_imports(
    current: partitions.PartitionMap, finished: list[partitions.Import]
) -> partitions.PartitionMap | None:
    """Remove finished imports and retire journals that no import needs.

    :param current: current map.
    :param finished: imports that are durable in the importer's journal.
    :return: new map, or ``None`` if nothing changes.
    """
    remaining = tuple(
        entry for entry in current.imports if entry not in finished
    )
    if len(remaining) == len(current.imports):
        return None
    changed = current._replace(imports=remaining)
    return partitions.with_retired_journals(
        changed, {entry.journal_id for entry in finished}
    )


def _append_snapshot(
    state: local.LocalState, program: programs.Program, epoch: int
) -> list[journal.Batch]:
    now_ms = state.clock.now_ms()
    parts = snapshots.take(program, epoch, now_ms)
    program.version = program.base_version = parts[0].version
    return [state.journal.append([part]) for part in parts]
