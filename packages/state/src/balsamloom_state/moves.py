"""Planned moves of partitions to other members."""

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


class _Move(NamedTuple):
    """One partition whose programs the receiver has made durable."""

    partition: int
    epoch: int
    receiver: partitions.Member


class Mover:
    """Hands partitions over and takes them in.

    :param state: state of the member.
    :param transfer: sends records to another member.
    """

    def __init__(
        self, state: local.LocalState, transfer: local.Transfer
    ) -> None:
        self._state = state
        self._transfer = transfer
        self._unresolved: list[_Move] = []
        self._moving = threading.Lock()
        self._receiving = threading.Lock()

    def receive(
        self,
        sender_id: str,
        partition: int,
        epoch: int,
        records: list[records_pb2.Record],
    ) -> bool:
        """Make a partition's programs durable here, before the map changes.

        Receiving again is harmless.

        :param sender_id: owner of the partition.
        :param partition: partition that is to move here.
        :param epoch: epoch that the partition will have here.
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
        with self._receiving:
            batches = self._stage(partition, epoch, records)
        return all(self._is_durable(batch) for batch in batches)

    def move(
        self,
        targets: dict[int, partitions.Member],
        cap: int | None = None,
    ) -> int:
        """Move held partitions; those that cannot move go on here.

        :param targets: receiver of each partition; no call is in progress in
            any of them.
        :param cap: most partitions that a receiver may own after the move.
        :return: number of partitions moved.
        """
        with self._moving:
            pool = concurrent.futures.ThreadPoolExecutor(
                max(self._state.settings.move_threads, 1)
            )
            try:
                with pool:
                    sent = list(pool.map(self._send, targets.items()))
            except BaseException:
                # Held partitions would refuse their calls for ever.
                for partition in targets:
                    self._state.slots.resume(partition)
                raise
            accepted = [move for move in sent if move is not None]
            for partition in targets.keys() - {
                move.partition for move in accepted
            }:
                self._state.slots.resume(partition)
            self._unresolved += accepted
            return self._resolve(cap, is_retry=False)

    def resolve(self) -> int:
        """Finish moves whose change of the map got no answer.

        :return: number of partitions moved.
        :raises StoreUnavailable: if the store does not answer.
        """
        with self._moving:
            return self._resolve(None, is_retry=True)

    def rebalance_once(self) -> int:
        """Move idle partitions above the fair share to members below it.

        :return: number of partitions moved.
        :raises StoreUnavailable: if the store does not answer.
        """
        self.resolve()
        targets = self._surplus()
        held = {
            partition: receiver
            for partition, receiver in targets.items()
            if self._state.slots.hold_if_idle(partition)
        }
        if not held:
            return 0
        return self.move(held, cap=_ceiling(self._state.map))

    def movable(self) -> list[int]:
        """Return the partitions that may be handed over."""
        return [
            number
            for number in self._state.slots.serving()
            if not self._state.pending_imports(number)
        ]

    def _surplus(self) -> dict[int, partitions.Member]:
        found = self._state.map
        own_id = self._state.member.member_id
        counts = _counts(found)
        if own_id not in counts or len(counts) < 2:
            return {}
        floor = found.partition_count // len(counts)
        ceiling = _ceiling(found)
        level = ceiling if counts[own_id] > ceiling else floor
        places = [
            found.members[name]
            for name, count in counts.items()
            for _ in range(max(level - count, 0))
            if name != own_id
        ]
        number = min(counts[own_id] - floor, self._state.settings.move_batch)
        candidates = self.movable()[: max(number, 0)]
        return dict(zip(candidates, places, strict=False))

    def _send(self, target: tuple[int, partitions.Member]) -> _Move | None:
        partition, receiver = target
        epoch = self._state.slots.epoch(partition)
        records = self._records(partition, epoch + 1)
        try:
            is_durable = self._transfer.send_partition(
                receiver, partition, epoch + 1, records
            )
        except errors.BalsamloomError:
            is_durable = False
        return _Move(partition, epoch, receiver) if is_durable else None

    def _records(self, partition: int, epoch: int) -> list[records_pb2.Record]:
        records: list[records_pb2.Record] = []
        now_ms = self._state.clock.now_ms()
        for program in self._state.table.in_partition(partition):
            with program.lock:
                records += snapshots.take(program, epoch, now_ms)
        return records

    def _resolve(self, cap: int | None, is_retry: bool) -> int:
        pending = list(self._unresolved)
        if not pending:
            return 0
        own_id = self._state.member.member_id
        changed = self._state.update_map(
            lambda found: handed_over(found, own_id, pending, cap, is_retry)
        )
        self._unresolved = []
        moved: collections.Counter[str] = collections.Counter()
        for move in pending:
            owner = changed.owners[move.partition]
            if owner == partitions.Ownership(own_id, move.epoch):
                self._state.slots.resume(move.partition)
                continue
            moved[owner.member_id] += 1
        for receiver, count in moved.items():
            events.log(
                events.Event.PARTITIONS_MOVED,
                receiver=receiver,
                partitions=count,
            )
        return moved.total()

    def _stage(
        self, partition: int, epoch: int, records: list[records_pb2.Record]
    ) -> list[journal.Batch]:
        stale = self._state.staged.get(partition)
        found: dict[str, programs.Program] = {}
        now_ms = self._state.clock.now_ms()
        for record in records:
            program = found.setdefault(
                record.program_id,
                programs.Program(record.program_id, self._state.clock),
            )
            program.apply(record, now_ms)
        with self._state.lock:
            self._state.staged[partition] = local.Staged(epoch, found)
        forgotten = [
            snapshots.forgotten_record(program, epoch)
            for name, program in (stale.programs if stale else {}).items()
            if name not in found
        ]
        return [
            self._state.journal.append([record])
            for record in [*records, *forgotten]
        ]

    def _is_durable(self, batch: journal.Batch) -> bool:
        timeout_ms = self._state.settings.import_timeout_ms
        state = self._state.journal.wait(batch, timeout_ms)
        return isinstance(state, journal.Durable)


def handed_over(
    found: partitions.PartitionMap,
    own_id: str,
    moves: list[_Move],
    cap: int | None,
    is_retry: bool,
) -> partitions.PartitionMap | None:
    """Give partitions to their receivers, each at most once.

    :param found: map as it is.
    :param own_id: sender.
    :param moves: partitions that the receivers have made durable.
    :param cap: most partitions that a receiver may own.
    :param is_retry: whether an earlier try may still take effect; the map is
        then rewritten even if nothing changes, which makes that try fail.
    """
    owners = dict(found.owners)
    counts = _counts(found)
    for move in moves:
        name = move.receiver.member_id
        if owners.get(move.partition) != partitions.Ownership(
            own_id, move.epoch
        ):
            continue
        if name not in counts or (cap is not None and counts[name] >= cap):
            continue
        counts[name] += 1
        owners[move.partition] = partitions.Ownership(name, move.epoch + 1)
    if owners == found.owners and not is_retry:
        return None
    return found._replace(owners=owners)


def _counts(found: partitions.PartitionMap) -> dict[str, int]:
    """Return the number of partitions of each member that is not leaving."""
    counts = {
        name: 0
        for name, member in found.members.items()
        if not member.is_leaving
    }
    for owner in found.owners.values():
        if owner.member_id in counts:
            counts[owner.member_id] += 1
    return counts


def _ceiling(found: partitions.PartitionMap) -> int:
    live = max(len(_counts(found)), 1)
    return -(-found.partition_count // live)
