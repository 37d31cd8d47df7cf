"""States of partitions and the calls in progress in each."""

from __future__ import annotations

import dataclasses
import threading
from typing import ClassVar

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_state import partitions

RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True)
class ServingState:
    """State of an owned partition whose calls run on this member."""

    # Name of the state in the state dump.
    dump_name: ClassVar[str] = "serving"
    epoch: int


@dataclasses.dataclass(frozen=True)
class ImportingState:
    """State of an owned partition whose programs are not yet imported."""

    dump_name: ClassVar[str] = "importing"
    epoch: int


@dataclasses.dataclass(frozen=True)
class MovingState:
    """State of an owned partition that is being handed over."""

    dump_name: ClassVar[str] = "moving"
    epoch: int


@dataclasses.dataclass(frozen=True)
class RemoteState:
    """State of a partition that another member owns."""

    dump_name: ClassVar[str] = "elsewhere"
    member: partitions.Member


@dataclasses.dataclass(frozen=True)
class UnownedState:
    """State of a partition without a known owner."""

    dump_name: ClassVar[str] = "unowned"


PartitionState = (
    ServingState | ImportingState | MovingState | RemoteState | UnownedState
)


@dataclasses.dataclass
class _OwnedPartition:
    state: ServingState | ImportingState | MovingState
    calls_in_progress: int = 0


class OwnedPartitions:
    """States of the partitions that this member owns.

    :param clock: time source of the waits.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._entries: dict[int, _OwnedPartition] = {}

    def state(
        self, partition: int
    ) -> ServingState | ImportingState | MovingState | None:
        """Return the state of an owned partition."""
        with self._changed:
            entry = self._entries.get(partition)
            return entry.state if entry else None

    def epoch(self, partition: int) -> int:
        """Return the epoch of an owned partition, else zero."""
        state = self.state(partition)
        return state.epoch if state else 0

    def states(self) -> dict[int, ServingState | ImportingState | MovingState]:
        """Return the states of all owned partitions."""
        with self._changed:
            return {
                number: entry.state for number, entry in self._entries.items()
            }

    def serving(self) -> list[int]:
        """Return the partitions that accept new calls, in order."""
        return sorted(
            number
            for number, state in self.states().items()
            if isinstance(state, ServingState)
        )

    def set_state(
        self,
        partition: int,
        state: ServingState | ImportingState | MovingState,
    ) -> None:
        """Set the state of a partition; its call count is unchanged."""
        with self._changed:
            entry = self._entries.setdefault(partition, _OwnedPartition(state))
            entry.state = state
            self._changed.notify_all()

    def remove(self, partition: int) -> None:
        """Remove a partition that this member no longer owns."""
        with self._changed:
            self._entries.pop(partition, None)
            self._changed.notify_all()

    def begin_call(self, partition: int, wait_ms: float) -> None:
        """Count a call as started, waiting while the partition moves.

        :param partition: partition of the call's program.
        :param wait_ms: longest wait for the move to end.
        :raises BalsamloomError: with ``PARTITION_MOVING`` if it still moves
            or is being imported, or with ``WRONG_OWNER``.
        """
        end_ms = self._clock.now_ms() + wait_ms
        with self._changed:
            while True:
                entry = self._entries.get(partition)
                if entry is None:
                    raise errors.BalsamloomError(
                        results.ResultCode.WRONG_OWNER
                    )
                if isinstance(entry.state, ServingState):
                    entry.calls_in_progress += 1
                    return
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0:
                    raise moving_error()
                self._clock.wait_condition(self._changed, left_ms)

    def end_call(self, partition: int) -> None:
        """Count a call as ended; ignore partitions that are not owned."""
        with self._changed:
            entry = self._entries.get(partition)
            if entry is not None:
                entry.calls_in_progress = max(entry.calls_in_progress - 1, 0)
                self._changed.notify_all()

    def calls_in_progress(self, partition: int) -> int:
        """Return the number of calls in progress."""
        with self._changed:
            entry = self._entries.get(partition)
            return entry.calls_in_progress if entry else 0

    def pause_if_idle(self, partition: int) -> bool:
        """Delay new calls unless a call is in progress."""
        with self._changed:
            entry = self._entries.get(partition)
            if entry is None or entry.calls_in_progress > 0:
                return False
            if not isinstance(entry.state, ServingState):
                return False
            entry.state = MovingState(entry.state.epoch)
            return True

    def pause(self, partition: int) -> bool:
        """Delay new calls while calls in progress continue."""
        with self._changed:
            entry = self._entries.get(partition)
            if entry is None or not isinstance(entry.state, ServingState):
                return False
            entry.state = MovingState(entry.state.epoch)
            return True

    def resume(self, partition: int) -> None:
        """Admit the calls of a paused partition again."""
        with self._changed:
            entry = self._entries.get(partition)
            if entry is not None and isinstance(entry.state, MovingState):
                entry.state = ServingState(entry.state.epoch)
                self._changed.notify_all()

    def wait_idle(self, partition: int, timeout_ms: float) -> bool:
        """Wait until no call of a partition is in progress.

        :param partition: partition to wait for.
        :param timeout_ms: longest wait.
        :return: whether it is idle.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while True:
                entry = self._entries.get(partition)
                if entry is None or entry.calls_in_progress == 0:
                    return True
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return False
                self._clock.wait_condition(self._changed, left_ms)


def moving_error() -> errors.BalsamloomError:
    """Return the retryable error for a partition that changes owner."""
    return errors.BalsamloomError(
        results.ResultCode.PARTITION_MOVING, retry_after_ms=RETRY_AFTER_MS
    )
