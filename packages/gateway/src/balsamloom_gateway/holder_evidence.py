"""Evidence by which holders that are slow differ from those that are lost."""

from __future__ import annotations

import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import traffic

# A holder that is lost or frozen may have answered others until just after a
# call was sent.
MIN_LATER_MS = 100.0


class SentCall(NamedTuple):
    """Call that was sent to a holder."""

    holder: traffic.Member
    sent_ms: float


class HolderEvidence:
    """Remembers when each holder answered last.

    A call without an answer says that its holder may be lost. An answer to
    another call that came well after this one was sent says that the holder
    lives and is slow. Each start of a process is another holder.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Last answered calls by name, with the time of the answer.
        self._answered: dict[str, tuple[traffic.Member, float]] = {}

    def record_sent(self, holder: traffic.Member) -> SentCall:
        """Return a call that is sent now."""
        return SentCall(holder, self._clock.now_ms())

    def record_answered(self, call: SentCall) -> None:
        """Record that a holder answered a call in time."""
        with self._lock:
            self._answered[call.holder.name] = (
                call.holder,
                self._clock.now_ms(),
            )

    def is_slow(self, call: SentCall) -> bool:
        """Return whether the holder of an unanswered call is only slow."""
        with self._lock:
            answered = self._answered.get(call.holder.name)
        if answered is None:
            return False
        holder, answered_ms = answered
        is_later = answered_ms >= call.sent_ms + MIN_LATER_MS
        return is_later and holder.incarnation == call.holder.incarnation
