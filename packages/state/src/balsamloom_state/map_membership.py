"""Joining the partition map and leaving it as planned."""

from __future__ import annotations

from balsamloom_core import errors, results
from balsamloom_state import (
    journal_storage,
    local,
    partition_moves,
    partitions,
    takeover,
)

LEAVE_RETRY_INTERVAL_MS = 100


class MapMembership:
    """Adds this member to the partition map and removes it.

    :param state: state of the member.
    :param mover: moves partitions.
    :param takeovers: finishes imports before this member leaves.
    """

    def __init__(
        self,
        state: local.LocalState,
        mover: partition_moves.PartitionMover,
        takeovers: takeover.Takeover,
    ) -> None:
        self._state = state
        self.has_kept_journal = False
        self._mover = mover
        self._takeovers = takeovers

    def join(self) -> None:
        """Open the journal and add this member to the map; idempotent.

        :raises StoreUnavailable: if the store does not answer.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member's journal
            is sealed.
        """
        member = self._state.member
        self._state.journal.open()
        if self._state.has_joined:
            return
        changed = partitions.update(
            self._state.store,
            lambda current: with_member(current, member),
            self._state.clock,
            # Without the guard, a retry after a lost answer could add a
            # member that has been taken over.
            self._state.journal.fence_comparisons(),
        )
        if member.member_id not in changed.members:
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        self._state.has_joined = True
        self._state.observe_map(changed)

    def leave(self, timeout_ms: float) -> bool:
        """Hand over all partitions and leave the map.

        The last member has no receiver. It stops once its calls have ended
        and their records are durable (``has_kept_journal``). Its journal and
        its map entry stay, and the next member that joins takes them over.

        :param timeout_ms: longest wait.
        :return: whether everything was handed over.
        """
        end_ms = self._state.clock.now_ms() + timeout_ms
        self._state.is_leaving = True
        while not self._state.journal.is_deposed:
            try:
                if self._try_leave(end_ms):
                    return True
                if self._has_no_receiver() and self._is_idle():
                    left_ms = max(end_ms - self._state.clock.now_ms(), 0)
                    self.has_kept_journal = self._state.journal.close(left_ms)
                    return False
            except errors.BalsamloomError:
                # The next attempt starts from the state in the store.
                pass
            if self._state.clock.now_ms() >= end_ms:
                return False
            self._state.clock.sleep(LEAVE_RETRY_INTERVAL_MS)
        return False

    def _has_no_receiver(self) -> bool:
        own_id = self._state.member.member_id
        return not any(
            name != own_id and not member.is_leaving
            for name, member in self._state.map.members.items()
        )

    def _is_idle(self) -> bool:
        owned = self._state.owned
        return not any(
            owned.calls_in_progress(number) for number in owned.states()
        )

    def _mark_leaving(self) -> None:
        """Mark this member as leaving in the map.

        :raises StoreUnavailable: if the store does not answer.
        """
        self._state.is_leaving = True
        own_id = self._state.member.member_id
        self._state.update_map(
            lambda current: with_leaving_member(current, own_id)
        )

    def _hand_over(self, end_ms: float) -> bool:
        """Move a batch of partitions whose calls have ended.

        :param end_ms: time of the timeout.
        :return: whether this member owns no more partitions.
        :raises StoreUnavailable: if the store does not answer.
        """
        self._mover.finish_moves()
        own_id = self._state.member.member_id
        current = self._state.map
        receivers = [
            name
            for name, member in current.members.items()
            if name != own_id and not member.is_leaving
        ]
        numbers = sorted(
            self._mover.movable_partitions(),
            key=self._state.owned.calls_in_progress,
        )[: self._state.settings.max_moves_per_round]
        paused = self._pause_partitions(numbers, end_ms) if receivers else []
        if paused:
            self._mover.move(
                {
                    number: current.members[
                        _choose_receiver(number, receivers)
                    ]
                    for number in paused
                }
            )
        return not self._state.map.partitions_of(own_id)

    def _pause_partitions(
        self, numbers: list[int], end_ms: float
    ) -> list[int]:
        """Pause the idle partitions, or else those that soon become idle."""
        owned = self._state.owned
        idle = [number for number in numbers if owned.pause_if_idle(number)]
        if idle or not numbers:
            return idle
        settle_ms = self._state.settings.move_settle_ms
        owned.wait_idle(numbers[0], settle_ms)
        paused = [number for number in numbers if owned.pause(number)]
        # Calls in progress get another ``settle_ms`` to finish. New calls to
        # the paused partitions wait at most as long.
        end_ms = min(end_ms, self._state.clock.now_ms() + settle_ms)
        ready = []
        for number in paused:
            left_ms = end_ms - self._state.clock.now_ms()
            if owned.wait_idle(number, left_ms):
                ready.append(number)
            else:
                owned.resume(number)
        return ready

    def _try_leave(self, end_ms: float) -> bool:
        if not self._state.has_joined:
            return True
        self._mark_leaving()
        self._takeovers.run_imports()
        if not self._hand_over(end_ms):
            return False
        left_ms = end_ms - self._state.clock.now_ms()
        if not self._state.journal.close(left_ms):
            return False
        own_id = self._state.member.member_id
        if own_id in self._state.map.members:
            # A member that the map lacks may have been removed by a request
            # whose response was lost. Its journal may then be deleted, and a
            # seal would recreate it.
            journal_storage.seal(self._state.store, own_id, own_id)
        self._state.is_removing_itself = True
        self._state.update_map(lambda current: without_member(current, own_id))
        self._takeovers.delete_journal(own_id)
        return True


def _choose_receiver(number: int, receivers: list[str]) -> str:
    return partitions.rank(f"partition {number}", receivers)[0]


def with_member(
    current: partitions.PartitionMap, member: partitions.Member
) -> partitions.PartitionMap | None:
    """Add a member, which gets the partitions without an owner.

    :param current: current map.
    :param member: member that joins.
    :return: new map, or ``None`` if the member is present.
    """
    if member.member_id in current.members:
        return None
    owners = dict(current.owners)
    for number in range(current.partition_count):
        if number not in owners:
            owners[number] = partitions.Ownership(
                member.member_id, partitions.FIRST_EPOCH
            )
    members = {**current.members, member.member_id: member}
    return current._replace(members=members, owners=owners)


def with_leaving_member(
    current: partitions.PartitionMap, own_id: str
) -> partitions.PartitionMap | None:
    """Mark a member as leaving.

    :param current: current map.
    :param own_id: member that leaves.
    :return: new map, or ``None`` if nothing changes.
    """
    member = current.members.get(own_id)
    if member is None or member.is_leaving:
        return None
    members = {**current.members, own_id: member._replace(is_leaving=True)}
    return current._replace(members=members)


def without_member(
    current: partitions.PartitionMap, own_id: str
) -> partitions.PartitionMap | None:
    """Remove a member without partitions and retire its journal.

    :param current: current map.
    :param own_id: member that leaves.
    :return: new map, or ``None`` if the member is absent.
    :raises BalsamloomError: with ``PARTITION_MOVING`` if it owns partitions.
    """
    if own_id not in current.members:
        return None
    if current.partitions_of(own_id):
        raise errors.BalsamloomError(results.ResultCode.PARTITION_MOVING)
    members = {**current.members}
    del members[own_id]
    retired = tuple(sorted({*current.retired, own_id}))
    return current._replace(members=members, retired=retired)
