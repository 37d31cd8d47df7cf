"""Taking over the partitions of a dead member.

Each step is written to the store before the next one begins and may be
repeated, so a take-over can be interrupted anywhere or run by two members.
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

# A planned move raises the epoch by one. A transfer that was given up has left
# records of that next epoch in the receiver's journal; the larger step keeps
# them from counting if the same receiver becomes the importer.
EPOCH_STEP = 2


class TakeoverReport(NamedTuple):
    """What a take-over did here; other survivors import their own part."""

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
        if self._seal(dead_id):
            self._state.update_map(
                lambda found: reassign(found, dead_id, own_id)
            )
        imported = self.run_imports()
        self._delete_retired([dead_id])
        return TakeoverReport(dead_id, imported)

    def _seal(self, dead_id: str) -> bool:
        """Seal a journal; false if its owner is gone from the map."""
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
        """Import what the map assigns to this member.

        :raises StoreUnavailable: if the store does not answer; a later call
            goes on.
        """
        report = self._importer.run()
        self._delete_retired(report.journals)
        return report

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

    def _delete_retired(self, journal_ids: Sequence[str]) -> None:
        gone = set(journal_ids) & set(self._state.map.retired)
        if not gone:
            return
        for journal_id in sorted(gone):
            journal_storage.delete(self._state.store, journal_id)
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
        epoch = owners[number].epoch + EPOCH_STEP
        owners[number] = partitions.Ownership(target, epoch)
    imports = [
        entry for entry in found.imports if entry.importer_id != dead_id
    ] + _grouped(debts, owners)
    changed = found._replace(
        members=members, owners=owners, imports=tuple(imports)
    )
    former = {entry.journal_id for entry in found.imports}
    return partitions.with_retired_journals(changed, former | {dead_id})


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
