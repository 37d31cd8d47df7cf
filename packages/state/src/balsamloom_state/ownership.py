"""Which partitions this member serves, and the calls in progress in each."""

from __future__ import annotations

import dataclasses
import threading

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_state import partitions

RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True)
class Serving:
    """The partition is owned here and its calls run."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class Importing:
    """The partition is owned here; its programs are still to be read."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class Moving:
    """The partition is owned here and is being handed over."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class Elsewhere:
    """Another member owns the partition."""

    member: partitions.Member


@dataclasses.dataclass(frozen=True)
class Unowned:
    """No member owns the partition, as far as this member knows."""


PartitionState = Serving | Importing | Moving | Elsewhere | Unowned


@dataclasses.dataclass
class _Slot:
    state: Serving | Importing | Moving
    in_progress: int = 0


class Slots:
    """States of the partitions that this member owns.

    :param clock: time source of the waits.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._slots: dict[int, _Slot] = {}

    def state(self, partition: int) -> Serving | Importing | Moving | None:
        """Return the state of an owned partition."""
        with self._changed:
            slot = self._slots.get(partition)
            return slot.state if slot else None

    def epoch(self, partition: int) -> int:
        """Return the epoch of an owned partition, else zero."""
        state = self.state(partition)
        return state.epoch if state else 0

    def all(self) -> dict[int, Serving | Importing | Moving]:
        """Return the states of all owned partitions."""
        with self._changed:
            return {number: slot.state for number, slot in self._slots.items()}

    def serving(self) -> list[int]:
        """Return the partitions that take new calls."""
        return sorted(
            number
            for number, state in self.all().items()
            if isinstance(state, Serving)
        )

    def put(self, partition: int, state: Serving | Importing | Moving) -> None:
        """Set the state of a partition and keep its count of calls."""
        with self._changed:
            slot = self._slots.setdefault(partition, _Slot(state))
            slot.state = state
            self._changed.notify_all()

    def drop(self, partition: int) -> None:
        """Forget a partition that this member no longer owns."""
        with self._changed:
            self._slots.pop(partition, None)
            self._changed.notify_all()

    def enter(self, partition: int, wait_ms: float) -> None:
        """Count a call in progress.

        :param partition: partition of the call's program.
        :param wait_ms: longest wait while the partition moves.
        :raises BalsamloomError: with ``PARTITION_MOVING`` if it still moves
            or is being imported, or with ``WRONG_OWNER``.
        """
        end_ms = self._clock.now_ms() + wait_ms
        with self._changed:
            while True:
                slot = self._slots.get(partition)
                if slot is None:
                    raise errors.BalsamloomError(
                        results.ResultCode.WRONG_OWNER
                    )
                if isinstance(slot.state, Serving):
                    slot.in_progress += 1
                    return
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0:
                    raise moving_error()
                self._clock.wait_condition(self._changed, left_ms)

    def leave(self, partition: int) -> None:
        """Count a call as ended."""
        with self._changed:
            slot = self._slots.get(partition)
            if slot is not None:
                slot.in_progress = max(slot.in_progress - 1, 0)
                self._changed.notify_all()

    def in_progress(self, partition: int) -> int:
        """Return the number of calls in progress."""
        with self._changed:
            slot = self._slots.get(partition)
            return slot.in_progress if slot else 0

    def hold_if_idle(self, partition: int) -> bool:
        """Hold new calls of a partition in which no call is in progress."""
        with self._changed:
            slot = self._slots.get(partition)
            if slot is None or slot.in_progress > 0:
                return False
            if not isinstance(slot.state, Serving):
                return False
            slot.state = Moving(slot.state.epoch)
            return True

    def hold(self, partition: int) -> bool:
        """Hold new calls of a partition; calls in progress go on."""
        with self._changed:
            slot = self._slots.get(partition)
            if slot is None or not isinstance(slot.state, Serving):
                return False
            slot.state = Moving(slot.state.epoch)
            return True

    def resume(self, partition: int) -> None:
        """Let the calls of a held partition go on here."""
        with self._changed:
            slot = self._slots.get(partition)
            if slot is not None and isinstance(slot.state, Moving):
                slot.state = Serving(slot.state.epoch)
                self._changed.notify_all()

    def wait_idle(self, partition: int, timeout_ms: float) -> bool:
        """Wait until no call of a partition is in progress.

        :param partition: partition to wait for.
        :param timeout_ms: longest wait.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while True:
                slot = self._slots.get(partition)
                if slot is None or slot.in_progress == 0:
                    return True
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return False
                self._clock.wait_condition(self._changed, left_ms)


def moving_error() -> errors.BalsamloomError:
    """Return the error for a partition that changes its owner."""
    return errors.BalsamloomError(
        results.ResultCode.PARTITION_MOVING, retry_after_ms=RETRY_AFTER_MS
    )
