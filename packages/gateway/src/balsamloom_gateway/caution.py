"""Periods in which unknown programs may be those of lost holders."""

from __future__ import annotations

import math

from balsamloom_core import clock as clocks

# After a loss, unknown programs may be those of the lost process for this
# time.
CAUTION_MS = 60_000.0


class Caution:
    """Decides whether a program without an account must be new.

    :param clock: time source.
    :param is_restart: whether an earlier process of this member may have held
        budgets.
    """

    def __init__(self, clock: clocks.Clock, is_restart: bool) -> None:
        self._clock = clock
        self._inherits_until_ms = -math.inf
        self._after_loss_until_ms = -math.inf
        if is_restart:
            self.start()

    def start(self) -> None:
        """Assume for a while that an earlier holder of programs is lost."""
        self._inherits_until_ms = self._clock.now_ms() + CAUTION_MS

    def handle_loss(self) -> None:
        """Handle a loss, also of a member that was no primary holder.

        It may have granted a turn in place of this primary holder.
        """
        self._after_loss_until_ms = self._clock.now_ms() + CAUTION_MS

    def knows_all_programs(self) -> bool:
        """Return whether a program without an account is not inherited."""
        return self._clock.now_ms() >= self._inherits_until_ms

    def knows_all_holders(self) -> bool:
        """Return whether an unknown program has had no other holder."""
        is_after_loss = self._clock.now_ms() < self._after_loss_until_ms
        return self.knows_all_programs() and not is_after_loss
