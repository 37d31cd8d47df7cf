"""State that the components of one member share."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import identifiers
from balsamloom_platform import store as stores
from balsamloom_state import (
    budgets,
    journal,
    ownership,
    partitions,
    programs,
    records_pb2,
)


class OwnerSettings(NamedTuple):
    """Limits, rates and timeouts of a member."""

    commits_per_s: float = journal.DEFAULT_COMMITS_PER_S
    commit_burst: int = journal.DEFAULT_BURST
    claim_send_window_ms: int = 1_000
    result_retention_ms: int = 600_000
    move_settle_ms: int = 1_000
    move_wait_ms: int = 500
    max_moves_per_round: int = 32
    move_threads: int = 8
    import_timeout_ms: int = 5_000
    store_grace_ms: int = 2_000
    default_budget: budgets.Limits = budgets.Limits(
        generated_tokens=200_000, calls=200, wall_ms=3_600_000
    )
    # 130,000 tokens of about 4 bytes, doubled for JSON and tool answers.
    max_history_bytes: int = 1_000_000
    # Rewriting a smaller journal is not worthwhile.
    compaction_min_bytes: int = 200_000
    writes_in_background: bool = True


class Transfer(Protocol):
    """Client that sends partitions to other members."""

    def send_partition(
        self,
        receiver: partitions.Member,
        partition: int,
        epoch: int,
        records: Sequence[records_pb2.Record],
    ) -> bool:
        """Send records; return whether the receiver made them durable."""


class StagedPrograms(NamedTuple):
    """Programs in this member's journal that it does not serve yet."""

    epoch: int
    programs: dict[str, programs.Program]


@dataclasses.dataclass
class LocalState:
    """Map, partitions and programs of one member.

    ``staged`` holds transferred and imported programs by partition until this
    member becomes the owner of the partition.
    """

    store: stores.Store
    member: partitions.Member
    clock: clocks.Clock
    settings: OwnerSettings
    journal: journal.Journal
    table: programs.ProgramTable
    owned: ownership.OwnedPartitions
    map: partitions.PartitionMap = partitions.EMPTY_MAP
    staged: dict[int, StagedPrograms] = dataclasses.field(default_factory=dict)
    sealed_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    damaged_segments: int = 0
    has_joined: bool = False
    is_leaving: bool = False
    is_removing_itself: bool = False
    lock: threading.RLock = dataclasses.field(default_factory=threading.RLock)

    def epoch_of(self, program: programs.Program) -> int:
        """Return the epoch in which this member owns a program."""
        return self.owned.epoch(identifiers.partition_of(program.program_id))

    def observe_map(self, candidate: partitions.PartitionMap) -> None:
        """Adopt a map if its version is higher than that of the known one.

        :param candidate: map from the store or a peer.
        """
        with self.lock:
            if candidate.version <= self.map.version:
                return
            self.map = candidate
            self._depose_if_removed()
            for number in set(self.owned.states()):
                self._drop_if_lost(number)
            for number in candidate.partitions_of(self.member.member_id):
                self._add_gained(number, candidate.owners[number].epoch)
            for number in set(self.staged):
                self._drop_if_outdated(number)

    def update_map(
        self, change: partitions.MapChange
    ) -> partitions.PartitionMap:
        """Change the map in the store and adopt the result.

        :param change: see :func:`partitions.update`.
        :raises StoreUnavailable: if the store does not answer.
        """
        changed = partitions.update(self.store, change, self.clock)
        self.observe_map(changed)
        return changed

    def serve_staged(self, partition: int) -> None:
        """Serve a partition whose programs are in this member's journal.

        :param partition: partition that the map assigns to this member.
        """
        with self.lock:
            epoch = self.map.owners[partition].epoch
            staged = self.staged.pop(partition, StagedPrograms(epoch, {}))
            for program in staged.programs.values():
                if not program.is_forgotten:
                    self.table.add(program)
            self.owned.set_state(partition, ownership.ServingState(epoch))

    def _depose_if_removed(self) -> None:
        if self.member.member_id in self.map.members or not self.has_joined:
            return
        if not self.is_removing_itself:
            # Other members remove a member only after sealing its journal.
            self.journal.depose()

    def _drop_if_lost(self, number: int) -> None:
        owner = self.map.owners.get(number)
        state = self.owned.state(number)
        if (
            owner is not None
            and owner.member_id == self.member.member_id
            and state is not None
            and state.epoch == owner.epoch
        ):
            return
        self.owned.remove(number)
        for program in self.table.in_partition(number):
            self.table.remove(program.program_id)

    def _drop_if_outdated(self, number: int) -> None:
        owner = self.map.owners.get(number)
        if (
            owner is not None
            and owner.member_id != self.member.member_id
            and owner.epoch >= self.staged[number].epoch
        ):
            del self.staged[number]

    def _add_gained(self, number: int, epoch: int) -> None:
        if self.owned.state(number) is not None:
            return
        staged = self.staged.get(number)
        if self.pending_imports(number):
            self.owned.set_state(number, ownership.ImportingState(epoch))
        elif staged is not None and staged.epoch == epoch:
            self.serve_staged(number)
        elif epoch == partitions.FIRST_EPOCH:
            self.owned.set_state(number, ownership.ServingState(epoch))
        else:
            # The programs were not transferred to this run of the process.
            self.owned.set_state(number, ownership.ImportingState(epoch))

    def pending_imports(self, number: int) -> list[partitions.Import]:
        """Return this member's unfinished imports of a partition."""
        return [
            entry
            for entry in self.map.imports
            if entry.importer_id == self.member.member_id
            and number in entry.partitions
        ]
