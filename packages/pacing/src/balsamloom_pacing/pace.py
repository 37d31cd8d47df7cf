"""Calls that one host may have in flight at one run of a server."""

from __future__ import annotations

import enum
from typing import NamedTuple

from balsamloom_pacing import answers

# First calls of all hosts together, as a share of the server's slots.
INITIAL_SLOT_SHARE = 0.125
# Bounds of the time in which the share of hosts that may send doubles.
MIN_WIDENING_MS = 50.0
MAX_WIDENING_MS = 8_000.0
# A server that failed may still be down: its probes are as rare as ejections.
RETURN_WIDENING_MS = 800.0
# A pace ends this long after its beginning and the last bad answer.
QUIET_MS = 10_000.0
GOOD_ANSWERS_TO_END = 3
# After as many slow answers in a row the server's speed is known.
SLOW_ANSWERS_TO_END = 8
# More doublings, or setbacks, exceed any allowance or time.
_MAX_DOUBLINGS = 64.0
_MAX_SETBACKS = 16
# Factor of the allowance after a bad answer, and its highest value then.
_SHRINKAGE = {
    answers.Answer.SLOW: 0.5,
    answers.Answer.REFUSED: 0.5,
    answers.Answer.FAILED: 0.25,
}


class Reason(enum.Enum):
    """Why a pace began."""

    STARTED = "started"
    RETURNED = "returned"
    LIMIT_RELEASED = "limit_released"


class Start(NamedTuple):
    """Conditions under which a pace begins.

    ``position`` orders the hosts, from 0 to 1. ``widening_ms`` is the time
    in which the share of hosts that may send doubles. ``earlier_setbacks``
    counts those of a recent pace of the same server.
    """

    slots: int
    members: int
    position: float
    widening_ms: float
    earlier_setbacks: int = 0


class Pace:
    """Allowance of this host at one run of a server.

    From 1 on it is the number of calls in flight. Below, it is the share of
    hosts that may have one.

    :param reason: why it begins.
    :param start: conditions under which it begins.
    :param from_ms: when the server may get its first call.
    """

    def __init__(self, reason: Reason, start: Start, from_ms: float) -> None:
        self.reason = reason
        self.durations = answers.Durations(answers.PACED_WEIGHT)
        self.setbacks = start.earlier_setbacks
        self._start = start
        self._initial = _initial_allowance(start)
        self._even_share = start.slots / max(start.members, 1)
        self._allowance = self._initial
        self._updated_ms = from_ms
        self._quiet_since_ms = from_ms
        self._good_in_row = 0
        self._slow_in_row = 0
        self._is_over = False
        # It ended because the server serves like its peers.
        self.is_proven = False

    def allowance(self, now_ms: float) -> float:
        """Return the calls, or the share of hosts that may send one."""
        if self._allowance >= 1:
            return self._allowance
        elapsed_ms = max(now_ms - self._updated_ms, 0.0)
        doublings = min(elapsed_ms / self.widening_ms(), _MAX_DOUBLINGS)
        doubled = self._allowance * 2.0**doublings
        # The first calls of hosts take half of the slots at most.
        begun = self._allowance + doublings * self._even_share / 2
        return float(min(doubled, begun, 1.0))

    def widening_ms(self) -> float:
        """Return the time in which the share of hosts doubles."""
        base_ms = max(self._start.widening_ms, MIN_WIDENING_MS)
        if self.reason is Reason.RETURNED:
            base_ms = max(base_ms, RETURN_WIDENING_MS)
        return min(
            base_ms * 2.0 ** min(self.setbacks, _MAX_SETBACKS), MAX_WIDENING_MS
        )

    def allows(self, in_flight: int, now_ms: float) -> bool:
        """Return whether this host may send one more call."""
        if now_ms < self._updated_ms:
            return False
        allowance = self.allowance(now_ms)
        if allowance < 1:
            return in_flight == 0 and self._start.position < allowance
        return in_flight < int(allowance)

    def allows_relief(self, in_flight: int, is_retry: bool) -> bool:
        """Return whether one more call may go there while others are full.

        :param is_retry: another server has turned the call away.
        """
        if self._even_share < 1 and not is_retry:
            return in_flight == 0 and self._start.position < self._even_share
        return in_flight < max(int(self._even_share), 1)

    def is_over(self, now_ms: float) -> bool:
        """Return whether the server is chosen by its cost alone."""
        is_quiet = now_ms - self._quiet_since_ms >= QUIET_MS
        return self._is_over or (is_quiet and self.allowance(now_ms) >= 1)

    def postpone(self, until_ms: float) -> None:
        """Allow no calls until a time at which an ejection ends."""
        self._updated_ms = max(self._updated_ms, until_ms)
        self._quiet_since_ms = max(self._quiet_since_ms, until_ms)

    def record(
        self, answer: answers.Answer, is_load_usual: bool, now_ms: float
    ) -> None:
        """Adapt the allowance to an answer.

        :param is_load_usual: the server has as many requests as its peers.
        """
        match answer:
            case answers.Answer.GOOD:
                self._slow_in_row = 0
                self._record_good(is_load_usual, now_ms)
            case answers.Answer.UNSURE:
                self._slow_in_row = 0
                self._hold(now_ms)
            case answers.Answer.SLOW:
                self._slow_in_row += 1
                self._shrink(answer, now_ms)
            case answers.Answer.REFUSED | answers.Answer.FAILED:
                self._slow_in_row = 0
                self._shrink(answer, now_ms)
        if self._slow_in_row >= SLOW_ANSWERS_TO_END:
            self._is_over = True

    def _record_good(self, is_load_usual: bool, now_ms: float) -> None:
        self._good_in_row += 1
        self.setbacks = self._start.earlier_setbacks
        allowance = self.allowance(now_ms)
        if allowance < 1:
            self._set(1.0, now_ms)
        elif not is_load_usual:
            self._set(allowance + 1, now_ms)
        has_share = is_load_usual or self._allowance >= self._even_share
        if self._good_in_row >= GOOD_ANSWERS_TO_END and has_share:
            self._is_over = True
            self.is_proven = True

    def _hold(self, now_ms: float) -> None:
        """Keep half of the slots busy until more answers tell."""
        self._good_in_row = 0
        self.setbacks += 1
        held = max(self._even_share / 2, self._initial)
        if held < 1:
            held = min(self.allowance(now_ms), held)
        self._set(held, now_ms)

    def _shrink(self, answer: answers.Answer, now_ms: float) -> None:
        factor = _SHRINKAGE[answer]
        allowance = min(self.allowance(now_ms), 1.0) * factor
        self._good_in_row = 0
        self.setbacks += 1
        self._quiet_since_ms = max(self._quiet_since_ms, now_ms)
        # The shares of hosts that know nothing are never below this one.
        self._set(max(allowance, self._initial * factor), now_ms)

    def _set(self, allowance: float, now_ms: float) -> None:
        self._allowance = allowance
        self._updated_ms = max(self._updated_ms, now_ms)


def _initial_allowance(start: Start) -> float:
    calls = max(start.slots * INITIAL_SLOT_SHARE, 1.0)
    return calls / max(start.members, 1)
