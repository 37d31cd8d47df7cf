"""Taking over the partitions of a dead member.

Each step is written to the store before the next one begins and may be
repeated, so a take-over can be interrupted anywhere or run by two members.
"""

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


class TakeoverReport(NamedTuple):
    """What a take-over did here; other survivors import their own part."""

    member_id: str
    imported: ImportReport


class _Running(NamedTuple):
    """An import whose snapshots are on the way to the store."""

    entries: list[partitions.Import]
    epochs: dict[int, int]
    batches: list[journal.Batch]
    report: ImportReport


class Takeover:
    """Seals journals of dead members and imports their programs.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state
        self._running: _Running | None = None
        self._importing = threading.Lock()

    def take_over(self, dead_id: str) -> TakeoverReport:
        """Take over a dead member's partitions.

        :param dead_id: member confirmed as dead.
        :raises StoreUnavailable: if the store does not answer; the caller
            tries again.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member was
            itself removed from the map.
        """
        own_id = self._state.member.member_id
        if dead_id == own_id:
            raise ValueError("a member cannot take over its own partitions")
        current, _ = partitions.load(self._state.store)
        self._state.observe_map(current)
        if own_id not in current.members:
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        if dead_id in current.members:
            events.log(events.Event.TAKEOVER_STARTED, member_id=dead_id)
            sealed.seal(self._state.store, dead_id, own_id)
            self._state.sealed_ms[dead_id] = self._state.clock.now_ms()
            self._state.update_map(
                lambda found: reassign(found, dead_id, own_id)
            )
        imported = self.run_imports()
        self._delete_retired([dead_id])
        return TakeoverReport(dead_id, imported)

    def run_imports(self) -> ImportReport:
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
            member_id=",".join(
                sorted({entry.journal_id for entry in running.entries})
            ),
            partitions=running.report.partitions,
            programs=running.report.programs,
            unknown_calls=running.report.unknown_calls,
        )
        self._delete_retired([entry.journal_id for entry in running.entries])
        return running.report

    def delete_retired(self) -> None:
        """Delete journals that nobody needs, if this member is in charge.

        :raises StoreUnavailable: if the store does not answer.
        """
        found = self._state.map
        self._delete_retired(
            [
                journal_id
                for journal_id in found.retired
                if partitions.rank(journal_id, found.members)[:1]
                == [self._state.member.member_id]
            ]
        )

    def delete_journal(self, journal_id: str) -> None:
        """Delete one retired journal.

        :param journal_id: member whose journal it is.
        :raises StoreUnavailable: if the store does not answer; another member
            then deletes it.
        """
        self._delete_retired([journal_id])

    def _delete_retired(self, journal_ids: list[str]) -> None:
        gone = set(journal_ids) & set(self._state.map.retired)
        if not gone:
            return
        for journal_id in sorted(gone):
            sealed.delete(self._state.store, journal_id)
        self._state.update_map(
            lambda found: (
                found._replace(
                    retired=tuple(
                        name for name in found.retired if name not in gone
                    )
                )
                if gone & set(found.retired)
                else None
            )
        )

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
            len(numbers), len(rebuilt.programs), unknown, len(rebuilt.damaged)
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
        self, rebuilt: replay.Rebuilt, sources: list[replay.Source]
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
                program.make_unknown(call, from_ms + call.timeout_ms)
                unknown += 1
                events.log(
                    events.Event.CALL_OUTCOME_UNKNOWN,
                    logging.WARNING,
                    program_id=program.program_id,
                    key=call.key,
                )
            program.account.write_off()
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
                stale = self._state.staged.get(number)
                self._state.staged[number] = local.Staged(epoch, own)
            if stale is not None:
                batches += _supersede(self._state, epoch, stale, own)
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


def reassign(
    found: partitions.PartitionMap, dead_id: str, own_id: str
) -> partitions.PartitionMap | None:
    """Spread a dead member's partitions and imports over the survivors.

    :param found: map as it is.
    :param dead_id: member whose journal is sealed.
    :param own_id: member that takes over, used if all others are leaving.
    :return: new map, or nothing if the member is gone from the map.
    """
    if dead_id not in found.members or own_id not in found.members:
        return None
    members = {**found.members}
    del members[dead_id]
    live = [name for name, member in members.items() if not member.is_leaving]
    survivors = live or [own_id]
    owners = dict(found.owners)
    held = found.partitions_of(dead_id)
    debts = [
        (dead_id, number, owners[number].epoch) for number in held
    ] + _open_imports(found, dead_id)
    for number in held:
        target = partitions.rank(f"partition {number}", survivors)[0]
        epoch = owners[number].epoch + 1
        owners[number] = partitions.Ownership(target, epoch)
    imports = [
        entry for entry in found.imports if entry.importer_id != dead_id
    ] + _grouped(debts, owners)
    changed = found._replace(
        members=members, owners=owners, imports=tuple(imports)
    )
    former = {entry.journal_id for entry in found.imports}
    return _with_retired(changed, former | {dead_id})


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
    return _with_retired(changed, {entry.journal_id for entry in done})


def _open_imports(
    found: partitions.PartitionMap, importer_id: str
) -> list[tuple[str, int, int]]:
    """Return journal, partition and epoch of what an importer left over."""
    return [
        (entry.journal_id, number, epoch)
        for entry in found.imports
        if entry.importer_id == importer_id
        for number, epoch in zip(entry.partitions, entry.epochs, strict=True)
        if found.owners[number].member_id == importer_id
    ]


def _grouped(
    debts: list[tuple[str, int, int]],
    owners: dict[int, partitions.Ownership],
) -> list[partitions.Import]:
    groups: dict[tuple[str, str], dict[int, int]] = {}
    for journal_id, number, epoch in debts:
        key = (journal_id, owners[number].member_id)
        groups.setdefault(key, {})[number] = epoch
    return [
        partitions.Import(
            journal_id, importer_id, tuple(epochs), tuple(epochs.values())
        )
        for (journal_id, importer_id), epochs in groups.items()
    ]


def _with_retired(
    found: partitions.PartitionMap, candidates: set[str]
) -> partitions.PartitionMap:
    needed = {entry.journal_id for entry in found.imports}
    retired = (candidates - needed) | set(found.retired)
    return found._replace(retired=tuple(sorted(retired)))


def _append_snapshot(
    state: local.LocalState, program: programs.Program, epoch: int
) -> list[journal.Batch]:
    now_ms = state.clock.now_ms()
    parts = snapshots.take(program, epoch, now_ms)
    program.version = program.base_version = parts[0].version
    return [state.journal.append([part]) for part in parts]


def _supersede(
    state: local.LocalState,
    epoch: int,
    stale: local.Staged,
    own: dict[str, programs.Program],
) -> list[journal.Batch]:
    """Make an earlier, abandoned transfer of the partition void.

    Its records are in the own journal; the new snapshots need higher
    versions, and programs that are gone must not come back.
    """
    batches = []
    for program_id, old in stale.programs.items():
        if program_id in own:
            own[program_id].version = max(own[program_id].version, old.version)
        else:
            batches.append(
                state.journal.append([snapshots.forget(old, epoch)])
            )
    return batches
