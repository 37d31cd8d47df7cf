"""Entering the partition map and leaving it as planned."""

from __future__ import annotations

from balsamloom_core import errors, results
from balsamloom_state import local, moves, partitions, sealed, takeover

LEAVE_PAUSE_MS = 100


class Presence:
    """Enters the map and leaves it.

    :param state: state of the member.
    :param mover: moves partitions.
    :param imports: imports what is owed before leaving.
    """

    def __init__(
        self,
        state: local.LocalState,
        mover: moves.Mover,
        imports: takeover.Takeover,
    ) -> None:
        self._state = state
        self.has_kept_journal = False
        self._mover = mover
        self._imports = imports

    def join(self) -> None:
        """Open the journal and enter the map; trying again is harmless.

        :raises StoreUnavailable: if the store does not answer.
        :raises BalsamloomError: with ``WRONG_OWNER`` if this member was
            sealed meanwhile.
        """
        member = self._state.member
        self._state.journal.open()
        if self._state.has_joined:
            return
        changed = partitions.update(
            self._state.store,
            lambda found: joined(found, member),
            self._state.clock,
            # Without this, a try after a lost answer could add a member that
            # was taken over meanwhile.
            self._state.journal.fence_comparisons(),
        )
        if member.member_id not in changed.members:
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        self._state.has_joined = True
        self._state.observe_map(changed)

    def leave(self, timeout_ms: float) -> bool:
        """Hand over everything and leave the map.

        The last member has nobody to hand over to. It stops once its calls
        have ended and their records are durable (``has_kept_journal``); its
        journal and its place in the map stay, and the next member to join
        takes over from them.

        :param timeout_ms: longest wait.
        :return: whether everything was handed over.
        """
        end_ms = self._state.clock.now_ms() + timeout_ms
        self._state.is_leaving = True
        while not self._state.journal.is_deposed:
            try:
                if self._leave_step(end_ms):
                    return True
                if self._is_alone() and self._is_idle():
                    left_ms = max(end_ms - self._state.clock.now_ms(), 0)
                    self.has_kept_journal = self._state.journal.close(left_ms)
                    return False
            except errors.BalsamloomError:
                # The next round starts from the state of the store.
                pass
            if self._state.clock.now_ms() >= end_ms:
                return False
            self._state.clock.sleep(LEAVE_PAUSE_MS)
        return False

    def _is_alone(self) -> bool:
        own_id = self._state.member.member_id
        return not any(
            name != own_id and not member.is_leaving
            for name, member in self._state.map.members.items()
        )

    def _is_idle(self) -> bool:
        slots = self._state.slots
        return not any(slots.in_progress(number) for number in slots.all())

    def _announce(self) -> None:
        """Enter the state ``leaving`` in the map.

        :raises StoreUnavailable: if the store does not answer.
        """
        self._state.is_leaving = True
        own_id = self._state.member.member_id
        self._state.update_map(lambda found: marked_leaving(found, own_id))

    def _hand_over(self, end_ms: float) -> bool:
        """Move one batch of partitions once their calls have ended.

        :param end_ms: time at which to give up.
        :return: whether this member owns no partition any more.
        :raises StoreUnavailable: if the store does not answer.
        """
        self._mover.resolve()
        own_id = self._state.member.member_id
        found = self._state.map
        receivers = [
            name
            for name, member in found.members.items()
            if name != own_id and not member.is_leaving
        ]
        numbers = sorted(
            self._mover.movable(), key=self._state.slots.in_progress
        )[: self._state.settings.move_batch]
        held = self._hold(numbers, end_ms) if receivers else []
        if held:
            self._mover.move(
                {
                    number: found.members[_receiver(number, receivers)]
                    for number in held
                }
            )
        return not self._state.map.partitions_of(own_id)

    def _hold(self, numbers: list[int], end_ms: float) -> list[int]:
        """Hold idle partitions, or else those that soon become idle."""
        slots = self._state.slots
        idle = [number for number in numbers if slots.hold_if_idle(number)]
        if idle or not numbers:
            return idle
        settle_ms = self._state.settings.move_settle_ms
        slots.wait_idle(numbers[0], settle_ms)
        held = [number for number in numbers if slots.hold(number)]
        # Calls in progress get as long again; the others wait no longer.
        end_ms = min(end_ms, self._state.clock.now_ms() + settle_ms)
        ready = []
        for number in held:
            left_ms = end_ms - self._state.clock.now_ms()
            if slots.wait_idle(number, left_ms):
                ready.append(number)
            else:
                slots.resume(number)
        return ready

    def _leave_step(self, end_ms: float) -> bool:
        if not self._state.has_joined:
            return True
        self._announce()
        self._imports.run_imports()
        if not self._hand_over(end_ms):
            return False
        left_ms = end_ms - self._state.clock.now_ms()
        if not self._state.journal.close(left_ms):
            return False
        own_id = self._state.member.member_id
        if own_id in self._state.map.members:
            # Not after the journal was deleted, which a lost answer may hide.
            sealed.seal(self._state.store, own_id, own_id)
        self._state.is_departing = True
        self._state.update_map(lambda found: departed(found, own_id))
        self._imports.delete_journal(own_id)
        return True


def _receiver(number: int, receivers: list[str]) -> str:
    return partitions.rank(f"partition {number}", receivers)[0]


def joined(
    found: partitions.PartitionMap, member: partitions.Member
) -> partitions.PartitionMap | None:
    """Add a member; it takes the partitions that nobody owns.

    :param found: map as it is.
    :param member: member that joins.
    """
    if member.member_id in found.members:
        return None
    owners = dict(found.owners)
    for number in range(found.partition_count):
        if number not in owners:
            owners[number] = partitions.Ownership(
                member.member_id, partitions.FIRST_EPOCH
            )
    members = {**found.members, member.member_id: member}
    return found._replace(members=members, owners=owners)


def marked_leaving(
    found: partitions.PartitionMap, own_id: str
) -> partitions.PartitionMap | None:
    """Mark a member as leaving.

    :param found: map as it is.
    :param own_id: member that leaves.
    """
    member = found.members.get(own_id)
    if member is None or member.is_leaving:
        return None
    members = {**found.members, own_id: member._replace(is_leaving=True)}
    return found._replace(members=members)


def departed(
    found: partitions.PartitionMap, own_id: str
) -> partitions.PartitionMap | None:
    """Remove a member that owns nothing and retire its journal.

    :param found: map as it is.
    :param own_id: member that leaves.
    :raises BalsamloomError: with ``PARTITION_MOVING`` if it owns something.
    """
    if own_id not in found.members:
        return None
    if found.partitions_of(own_id):
        raise errors.BalsamloomError(results.ResultCode.PARTITION_MOVING)
    members = {**found.members}
    del members[own_id]
    retired = tuple(sorted({*found.retired, own_id}))
    return found._replace(members=members, retired=retired)
