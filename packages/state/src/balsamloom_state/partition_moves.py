"""Planned moves of partitions between members."""

from __future__ import annotations

import collections
import concurrent.futures
import threading
from typing import NamedTuple

from balsamloom_core import errors, events
from balsamloom_state import (
    journal,
    local,
    partitions,
    programs,
    records_pb2,
    replay,
    snapshots,
)


class _DurableMove(NamedTuple):
    """Move of a partition whose programs are durable at the receiver."""

    partition: int
    epoch: int
    receiver: partitions.Member


class PartitionMover:
    """Sends partitions to other members and receives theirs.

    :param state: state of the member.
    :param transfer: sends records to another member.
    """

    def __init__(
        self, state: local.LocalState, transfer: local.Transfer
    ) -> None:
        self._state = state
        self._transfer = transfer
        self._unconfirmed: list[_DurableMove] = []
        self._move_lock = threading.Lock()
        self._receive_lock = threading.Lock()

    def receive(
        self,
        sender_id: str,
        partition: int,
        epoch: int,
        records: list[records_pb2.Record],
    ) -> bool:
        """Store a partition's programs durably, before the map changes.

        This is idempotent.

        :param sender_id: owner of the partition.
        :param partition: partition that moves to this member.
        :param epoch: epoch of the partition after the move.
        :param records: snapshots of all its programs.
        :return: whether the records are durable.
        """
        if self._state.is_leaving or self._state.journal.is_deposed:
            return False
        owner = self._state.map.owners.get(partition)
        if owner is not None and owner.epoch >= epoch:
            return False
        if any(
            replay.partition_or_none(record.program_id) != partition
            or record.epoch != epoch
            for record in records
        ):
            return False
        with self._receive_lock:
            batches = self._stage_programs(partition, epoch, records)
        return all(self._is_durable(batch) for batch in batches)

    def move(
        self,
        targets: dict[int, partitions.Member],
        limit: int | None = None,
    ) -> int:
        """Move paused partitions; resume those that cannot move.

        :param targets: receiver of each partition; no call is in progress in
            any of them.
        :param limit: largest number of partitions of a receiver.
        :return: number of partitions moved.
        """
        with self._move_lock:
            pool = concurrent.futures.ThreadPoolExecutor(
                max(self._state.settings.move_threads, 1)
            )
            try:
                with pool:
                    sent = list(pool.map(self._send, targets.items()))
            except BaseException:
                # Paused partitions would otherwise reject calls for ever.
                for partition in targets:
                    self._state.owned.resume(partition)
                raise
            accepted = [move for move in sent if move is not None]
            for partition in targets.keys() - {
                move.partition for move in accepted
            }:
                self._state.owned.resume(partition)
            self._unconfirmed += accepted
            return self._commit_moves(limit, is_retry=False)

    def finish_moves(self) -> int:
        """Finish moves whose map change was not confirmed.

        :return: number of partitions moved.
        :raises StoreUnavailable: if the store does not answer.
        """
        with self._move_lock:
            return self._commit_moves(None, is_retry=True)

    def rebalance_once(self) -> int:
        """Move idle partitions above the fair share to members below it.

        :return: number of partitions moved.
        :raises StoreUnavailable: if the store does not answer.
        """
        self.finish_moves()
        targets = self._rebalance_targets()
        paused = {
            partition: receiver
            for partition, receiver in targets.items()
            if self._state.owned.pause_if_idle(partition)
        }
        if not paused:
            return 0
        return self.move(paused, limit=_max_share(self._state.map))

    def movable_partitions(self) -> list[int]:
        """Return the served partitions without a pending import."""
        return [
            number
            for number in self._state.owned.serving()
            if not self._state.pending_imports(number)
        ]

    def _rebalance_targets(self) -> dict[int, partitions.Member]:
        current = self._state.map
        own_id = self._state.member.member_id
        counts = _partition_counts(current)
        if own_id not in counts or len(counts) < 2:
            return {}
        min_share = current.partition_count // len(counts)
        max_share = _max_share(current)
        target_count = max_share if counts[own_id] > max_share else min_share
        receivers = [
            current.members[name]
            for name, count in counts.items()
            for _ in range(max(target_count - count, 0))
            if name != own_id
        ]
        number = min(
            counts[own_id] - min_share,
            self._state.settings.max_moves_per_round,
        )
        candidates = self.movable_partitions()[: max(number, 0)]
        return dict(zip(candidates, receivers, strict=False))

    def _send(
        self, target: tuple[int, partitions.Member]
    ) -> _DurableMove | None:
        partition, receiver = target
        epoch = self._state.owned.epoch(partition)
        records = self._take_snapshots(partition, epoch + 1)
        try:
            is_durable = self._transfer.send_partition(
                receiver, partition, epoch + 1, records
            )
        except errors.BalsamloomError:
            is_durable = False
        return _DurableMove(partition, epoch, receiver) if is_durable else None

    def _take_snapshots(
        self, partition: int, epoch: int
    ) -> list[records_pb2.Record]:
        records: list[records_pb2.Record] = []
        now_ms = self._state.clock.now_ms()
        for program in self._state.table.in_partition(partition):
            with program.lock:
                records += snapshots.take(program, epoch, now_ms)
        return records

    def _commit_moves(self, limit: int | None, is_retry: bool) -> int:
        pending = list(self._unconfirmed)
        if not pending:
            return 0
        own_id = self._state.member.member_id
        changed = self._state.update_map(
            lambda current: with_new_owners(
                current, own_id, pending, limit, is_retry
            )
        )
        self._unconfirmed = []
        moved: collections.Counter[str] = collections.Counter()
        for move in pending:
            owner = changed.owners[move.partition]
            if owner == partitions.Ownership(own_id, move.epoch):
                self._state.owned.resume(move.partition)
                continue
            moved[owner.member_id] += 1
        for receiver, count in moved.items():
            events.log(
                events.Event.PARTITIONS_MOVED,
                receiver=receiver,
                partitions=count,
            )
        return moved.total()

    def _stage_programs(
        self, partition: int, epoch: int, records: list[records_pb2.Record]
    ) -> list[journal.Batch]:
        old = self._state.staged.get(partition)
        received: dict[str, programs.Program] = {}
        now_ms = self._state.clock.now_ms()
        for record in records:
            program = received.setdefault(
                record.program_id,
                programs.Program(record.program_id, self._state.clock),
            )
            program.apply(record, now_ms)
        with self._state.lock:
            self._state.staged[partition] = local.StagedPrograms(
                epoch, received
            )
        forgotten = [
            snapshots.forgotten_record(program, epoch)
            for name, program in (old.programs if old else {}).items()
            if name not in received
        ]
        return [
            self._state.journal.append([record])
            for record in [*records, *forgotten]
        ]

    def _is_durable(self, batch: journal.Batch) -> bool:
        timeout_ms = self._state.settings.import_timeout_ms
        state = self._state.journal.wait(batch, timeout_ms)
        return isinstance(state, journal.Durable)


def with_new_owners(
    current: partitions.PartitionMap,
    own_id: str,
    moves: list[_DurableMove],
    limit: int | None,
    is_retry: bool,
) -> partitions.PartitionMap | None:
    """Assign each partition to its receiver unless that is already done.

    :param current: current map.
    :param own_id: sender.
    :param moves: moves whose programs are durable at the receiver.
    :param limit: largest number of partitions of a receiver.
    :param is_retry: whether an earlier write may still take effect; the map is
        then rewritten even if nothing changes, so that the earlier one fails.
    :return: new map, or ``None`` if nothing changes.
    """
    owners = dict(current.owners)
    counts = _partition_counts(current)
    for move in moves:
        name = move.receiver.member_id
        if owners.get(move.partition) != partitions.Ownership(
            own_id, move.epoch
        ):
            continue
        if name not in counts or (limit is not None and counts[name] >= limit):
            continue
        counts[name] += 1
        owners[move.partition] = partitions.Ownership(name, move.epoch + 1)
    if owners == current.owners and not is_retry:
        return None
    return current._replace(owners=owners)


def _partition_counts(current: partitions.PartitionMap) -> dict[str, int]:
    """Count the partitions of each member that is not leaving."""
    counts = {
        name: 0
        for name, member in current.members.items()
        if not member.is_leaving
    }
    for owner in current.owners.values():
        if owner.member_id in counts:
            counts[owner.member_id] += 1
    return counts


def _max_share(current: partitions.PartitionMap) -> int:
    live = max(len(_partition_counts(current)), 1)
    return -(-current.partition_count // live)
