"""What callers send, how far it got, and which of it is shed first.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from balsamloom_core import clock as clocks

# A sender counts as stalled without this much progress in this time.
PROGRESS_BYTES = 1_024
STALLED_MS = 250.0
# Differences below this size don't matter for who is shed: a large body one
# byte short of its end is no nearer to it than a small one.
STEP_BYTES = 65_536


class Transfer:
    """One request that a caller sends.

    :param clock: time source.
    :param evict: ends the caller's sending; called once, by any thread.
    """

    def __init__(
        self, clock: clocks.Clock, evict: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._evict = evict
        self.held_bytes = 0
        # What may still arrive: announced, or up to the limit.
        self.remaining_bytes = 0
        self.is_evicted = False
        # False once all of it has arrived; it is not evicted any more then.
        self.is_arriving = True
        self._progress_ms = clock.now_ms()
        self._new_bytes = 0

    def expect(self, remaining_bytes: int) -> None:
        """Record how much may still arrive."""
        self.remaining_bytes = remaining_bytes

    def add(self, received_bytes: int) -> None:
        """Record that a part has arrived."""
        self._new_bytes += received_bytes
        if self._new_bytes >= PROGRESS_BYTES:
            self._new_bytes = 0
            self._progress_ms = self._clock.now_ms()

    def shedding_rank(self, now_ms: float) -> tuple[float, int, int, float]:
        """Return a rank; the transfer with the highest one is shed first."""
        silent_ms = now_ms - self._progress_ms
        return (
            silent_ms if silent_ms >= STALLED_MS else 0.0,
            self.remaining_bytes // STEP_BYTES,
            self.held_bytes // STEP_BYTES,
            silent_ms,
        )

    def evict(self) -> None:
        """End the transfer, as its room is needed."""
        self.is_evicted = True
        self._evict()


def in_shedding_order(
    transfers: Iterable[Transfer], now_ms: float
) -> list[Transfer]:
    """Return the transfers that may be shed, those to shed first in front.

    Those without progress come first, the longest silent one in front; the
    others follow, those furthest from their end in front, and of equal ones
    those that hold more.
    """
    candidates = [
        each for each in transfers if each.is_arriving and not each.is_evicted
    ]
    return sorted(
        candidates,
        key=lambda each: each.shedding_rank(now_ms),
        reverse=True,
    )
