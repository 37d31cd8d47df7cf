"""Takeover of the partitions of a dead member.

Each step is idempotent and stored before the next one starts, so a takeover
can be interrupted at any point or run by two members at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_core import errors, events, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    journal_storage,
    local,
    partition_imports,
    partitions,
)

# A planned move raises the epoch by one. An abandoned transfer leaves records
# of that next epoch in the receiver's journal. With the larger step they are
# ignored if that receiver becomes the importer.
TAKEOVER_EPOCH_STEP = 2


class TakeoverReport(NamedTuple):
    """Result of a takeover on this member; the others import their part."""

    member_id: str
    imported: partition_imports.ImportReport


class Takeover:
    """Seals journals of dead members and imports their programs.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state
        self._importer = partition_imports.Importer(state)

    def take_over(self, dead_id: str) -> TakeoverReport:
        """Take over the partitions of a dead member.

        :param dead_id: member confirmed as dead.
        :raises StoreUnavailable: if the store does not answer; the caller
            retries.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member is not in
            the map.
        """
        own_id = self._state.member.member_id
        if dead_id == own_id:
            raise ValueError("a member cannot take over its own partitions")
        if self._seal_journal(dead_id):
            self._state.update_map(
                lambda current: reassign(current, dead_id, own_id)
            )
        imported = self.run_imports()
        self._delete_retired([dead_id])
        return TakeoverReport(dead_id, imported)

    def _seal_journal(self, dead_id: str) -> bool:
        """Seal a journal; return false if its owner is not in the map."""
        own_id = self._state.member.member_id
        store = self._state.store
        content = None
        while content is None:
            current, revision = partitions.load(store)
            self._state.observe_map(current)
            if own_id not in current.members:
                raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
            if dead_id not in current.members:
                return False
            events.log(events.Event.TAKEOVER_STARTED, member_id=dead_id)
            guard = [stores.RevisionIs(partitions.KEY, revision)]
            content = journal_storage.seal(store, dead_id, own_id, guard)
        self._state.sealed_ms[dead_id] = self._state.clock.now_ms()
        return True

    def run_imports(self) -> partition_imports.ImportReport:
        """Run the imports that the map assigns to this member.

        :raises StoreUnavailable: if the store does not answer; the next call
            continues.
        """
        report = self._importer.run()
        self._delete_retired(report.journals)
        return report

    def delete_retired(self) -> None:
        """Delete the retired journals that are assigned to this member.

        :raises StoreUnavailable: if the store does not answer.
        """
        current = self._state.map
        self._delete_retired(
            [
                journal_id
                for journal_id in current.retired
                if partitions.rank(journal_id, current.members)[:1]
                == [self._state.member.member_id]
            ]
        )

    def delete_journal(self, journal_id: str) -> None:
        """Delete one retired journal.

        :param journal_id: member id of its owner.
        :raises StoreUnavailable: if the store does not answer; another member
            deletes it later.
        """
        self._delete_retired([journal_id])

    def _delete_retired(self, journal_ids: Sequence[str]) -> None:
        deleted = set(journal_ids) & set(self._state.map.retired)
        if not deleted:
            return
        for journal_id in sorted(deleted):
            journal_storage.delete(self._state.store, journal_id)
        self._state.update_map(
            lambda current: (
                current._replace(
                    retired=tuple(
                        name for name in current.retired if name not in deleted
                    )
                )
                if deleted & set(current.retired)
                else None
            )
        )


def reassign(
    current: partitions.PartitionMap, dead_id: str, own_id: str
) -> partitions.PartitionMap | None:
    """Distribute a dead member's partitions and imports to the survivors.

    :param current: current map.
    :param dead_id: member whose journal is sealed.
    :param own_id: member that takes over; it gets all partitions if every
        other member is leaving.
    :return: new map, or ``None`` if the map lacks one of the two members.
    """
    if dead_id not in current.members or own_id not in current.members:
        return None
    members = {**current.members}
    del members[dead_id]
    live = [name for name, member in members.items() if not member.is_leaving]
    survivors = live or [own_id]
    owners = dict(current.owners)
    owned = current.partitions_of(dead_id)
    open_imports = [
        (dead_id, number, owners[number].epoch) for number in owned
    ] + _unfinished_imports(current, dead_id)
    for number in owned:
        target = partitions.rank(f"partition {number}", survivors)[0]
        epoch = owners[number].epoch + TAKEOVER_EPOCH_STEP
        owners[number] = partitions.Ownership(target, epoch)
    imports = [
        entry for entry in current.imports if entry.importer_id != dead_id
    ] + _group_imports(open_imports, owners)
    changed = current._replace(
        members=members, owners=owners, imports=tuple(imports)
    )
    former_journals = {entry.journal_id for entry in current.imports}
    return partitions.with_retired_journals(
        changed, former_journals | {dead_id}
    )


def _unfinished_imports(
    current: partitions.PartitionMap, importer_id: str
) -> list[tuple[str, int, int]]:
    """Return journal, partition and epoch of a member's pending imports."""
    return [
        (entry.journal_id, number, epoch)
        for entry in current.imports
        if entry.importer_id == importer_id
        for number, epoch in zip(entry.partitions, entry.epochs, strict=True)
        if current.owners[number].member_id == importer_id
    ]


def _group_imports(
    open_imports: list[tuple[str, int, int]],
    owners: dict[int, partitions.Ownership],
) -> list[partitions.Import]:
    groups: dict[tuple[str, str], dict[int, int]] = {}
    for journal_id, number, epoch in open_imports:
        key = (journal_id, owners[number].member_id)
        groups.setdefault(key, {})[number] = epoch
    return [
        partitions.Import(
            journal_id, importer_id, tuple(epochs), tuple(epochs.values())
        )
        for (journal_id, importer_id), epochs in groups.items()
    ]
