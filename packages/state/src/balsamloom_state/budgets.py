"""Budget of a program, shared by its sub-agents.

Calls use up blocks of the budget, and a block is reserved durably before a
call may use it. After a crash the outstanding block counts as spent, so the
budget is never exceeded.
"""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_core import errors, results
from balsamloom_state import records_pb2

# A block covers several calls, so that few calls wait for a commit. A crash
# loses at most one block.
BLOCKS_PER_BUDGET = 16

# Time after which a call in progress may have returned what it did not use.
HELD_RETRY_AFTER_MS = 500


class Amount(NamedTuple):
    """Number of generated tokens and of calls."""

    generated_tokens: int = 0
    calls: int = 0

    def add(self, other: Amount) -> Amount:
        """Return the sum."""
        return Amount(
            self.generated_tokens + other.generated_tokens,
            self.calls + other.calls,
        )

    def subtract(self, other: Amount) -> Amount:
        """Return the difference, which may be negative."""
        return Amount(
            self.generated_tokens - other.generated_tokens,
            self.calls - other.calls,
        )

    def maximum(self, other: Amount) -> Amount:
        """Return the maximum of both amounts for tokens and for calls."""
        return Amount(
            max(self.generated_tokens, other.generated_tokens),
            max(self.calls, other.calls),
        )

    def minimum(self, other: Amount) -> Amount:
        """Return the minimum of both amounts for tokens and for calls."""
        return Amount(
            min(self.generated_tokens, other.generated_tokens),
            min(self.calls, other.calls),
        )

    def covers(self, other: Amount) -> bool:
        """Return whether every quantity is at least that of ``other``."""
        return self.maximum(other) == self


ZERO = Amount()
ONE_CALL = Amount(0, 1)


class MaxUse(NamedTuple):
    """Maximum that one call may use."""

    generated_tokens: int = 0

    def amount(self) -> Amount:
        """Return the tokens and the call itself as an amount."""
        return Amount(self.generated_tokens, 1)


class Limits(NamedTuple):
    """Budget of a whole program; zero means no limit."""

    generated_tokens: int = 0
    calls: int = 0
    wall_ms: int = 0


# Represents "no limit" in sums; fits the 64-bit fields of the records.
UNLIMITED = 1 << 60


class Account:
    """Budget account of a root program; the caller holds its lock.

    ``used`` and ``reserved`` are written to records; ``held`` is the part of
    ``reserved`` that is assigned to calls in progress.

    :param limits: budget of the program.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.used = ZERO
        self.reserved = ZERO
        self.held = ZERO
        self._wall_used_ms = 0.0
        self._wall_since_ms: float | None = None

    def wall_ms(self, now_ms: float) -> float:
        """Return the wall time used so far.

        :param now_ms: time on this host's monotonic clock.
        """
        if self._wall_since_ms is None:
            return self._wall_used_ms
        return self._wall_used_ms + now_ms - self._wall_since_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the program's wall time is used up.

        :param now_ms: time on this host's monotonic clock.
        """
        limit_ms = self.limits.wall_ms
        return bool(limit_ms) and self.wall_ms(now_ms) >= limit_ms

    def limit(self) -> Amount:
        """Return the budget, with ``UNLIMITED`` in place of zero."""
        return Amount(
            self.limits.generated_tokens or UNLIMITED,
            self.limits.calls or UNLIMITED,
        )

    def remaining(self) -> Amount:
        """Return what is not used, reserved or not."""
        return self.limit().subtract(self.used).maximum(ZERO)

    def unreserved(self) -> Amount:
        """Return what can still be reserved."""
        spent = self.used.add(self.reserved)
        return self.limit().subtract(spent).maximum(ZERO)

    def available(self) -> Amount:
        """Return the part of the reserved block that no call holds."""
        return self.reserved.subtract(self.held).maximum(ZERO)

    def is_spent(self) -> bool:
        """Return whether no further call can ever run."""
        return self.used.calls >= self.limit().calls

    def extend(self, max_use: Amount) -> bool:
        """Reserve more of the budget if the block does not cover a call.

        :param max_use: maximum that the call may use.
        :return: whether the block grew and must be made durable.
        :raises BalsamloomError: with ``BUDGET_EXHAUSTED`` if the budget does
            not cover the call, or with ``OVERLOADED`` if it may do so once
            calls in progress have finished.
        """
        available = self.available()
        if available.covers(max_use):
            return False
        if not available.add(self.unreserved()).covers(max_use):
            raise self._refusal(max_use)
        missing = max_use.subtract(available).maximum(ZERO)
        wanted = missing.maximum(self._block_size())
        self.reserved = self.reserved.add(wanted.minimum(self.unreserved()))
        return True

    def hold(self, max_use: Amount) -> None:
        """Assign part of the block to a call.

        :param max_use: maximum that the call may use.
        """
        self.held = self.held.add(max_use)

    def release(self, max_use: Amount) -> None:
        """Return the part of a call that did not run to the block.

        :param max_use: amount passed to :meth:`hold`.
        """
        self.held = self.held.subtract(max_use).maximum(ZERO)

    def settle(self, max_use: Amount, spent: Amount) -> None:
        """Count the use of a finished call and refill the block.

        :param max_use: amount passed to :meth:`hold`.
        :param spent: what the call used.
        """
        self.release(max_use)
        self.used = self.used.add(spent)
        self.reserved = self.reserved.subtract(spent).maximum(ZERO)
        # An engine may generate more tokens than requested, which leaves less
        # to reserve.
        self.reserved = self.reserved.minimum(self.remaining())
        missing = self._block_size().subtract(self.available()).maximum(ZERO)
        self.reserved = self.reserved.add(missing.minimum(self.unreserved()))

    def spend_reserved(self) -> bool:
        """Count the outstanding block as spent after a crash.

        :return: whether a block was outstanding.
        """
        if self.reserved == ZERO:
            return False
        self.used = self.used.add(self.reserved)
        self.reserved = ZERO
        self.held = ZERO
        return True

    def load(
        self,
        used: records_pb2.Budget,
        reserved: records_pb2.Budget,
        now_ms: float,
    ) -> None:
        """Set the totals from a record.

        :param used: total use so far.
        :param reserved: outstanding block.
        :param now_ms: time from which further wall time is counted.
        """
        self.used = Amount(used.generated_tokens, used.calls)
        self.reserved = Amount(reserved.generated_tokens, reserved.calls)
        self._wall_used_ms = used.wall_ms
        self._wall_since_ms = now_ms

    def _refusal(self, max_use: Amount) -> errors.BalsamloomError:
        remaining = self.remaining()
        if remaining.covers(max_use):
            return errors.BalsamloomError(
                results.ResultCode.OVERLOADED,
                f"the call may use {max_use}; of the {remaining} left, calls "
                f"in progress may use {self.held}",
                HELD_RETRY_AFTER_MS,
            )
        return errors.BalsamloomError(
            results.ResultCode.BUDGET_EXHAUSTED,
            f"the call may use {max_use}; the budget has {remaining} left",
        )

    def _block_size(self) -> Amount:
        limits = self.limits
        return Amount(
            limits.generated_tokens // BLOCKS_PER_BUDGET,
            limits.calls // BLOCKS_PER_BUDGET,
        )


def to_record(amount: Amount, wall_ms: float = 0) -> records_pb2.Budget:
    """Convert an amount to a field of a record.

    :param amount: tokens and calls.
    :param wall_ms: wall time used.
    """
    return records_pb2.Budget(
        generated_tokens=amount.generated_tokens,
        calls=amount.calls,
        wall_ms=round(wall_ms),
    )
