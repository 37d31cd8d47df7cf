"""Times of a planned stop, and which requests are still taken."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_core import clock as clocks

# Requests read after this time of a stop are refused, so that each request
# that is passed on was sent while the process was still accepting.
PASS_ON_MS = 2_800.0
# A leaving process accepts connections for this time, so that callers can
# look up other addresses first.
ACCEPT_MS = 3_000.0
# Callers that keep an address longest have looked up others by this time.
# Connections that wait for a request stay open up to it, and longer if the
# process has requests in progress.
CLOSE_WAITING_MS = 3_600.0
# Part of the drain in which no request may begin to arrive any more.
LAST_PART_MS = 200.0
# Part of the stop's grace period reserved for releasing budgets.
RESERVE_MS = 700.0
MAX_RESERVE_SHARE = 0.125
# Share of that part that is left for the end of the process.
END_SHARE = 0.3


class Schedule(NamedTuple):
    """Times of one stop on the process's clock."""

    started_ms: float
    pass_on_until_ms: float
    accept_until_ms: float
    close_waiting_ms: float
    last_request_ms: float
    deadline_ms: float
    release_until_ms: float


def schedule(started_ms: float, grace_ms: float) -> Schedule:
    """Return the times of a stop that began at a time.

    :param started_ms: begin of the stop.
    :param grace_ms: time after which the process may be killed.
    """
    reserve_ms = min(RESERVE_MS, grace_ms * MAX_RESERVE_SHARE)
    left_ms = grace_ms - reserve_ms
    return Schedule(
        started_ms,
        started_ms + min(PASS_ON_MS, left_ms),
        started_ms + min(ACCEPT_MS, left_ms),
        started_ms + min(CLOSE_WAITING_MS, left_ms),
        started_ms
        + max(min(CLOSE_WAITING_MS, left_ms), left_ms - LAST_PART_MS),
        started_ms + left_ms,
        started_ms + grace_ms - reserve_ms * END_SHARE,
    )


def may_pass_on(stop: Schedule | None, read_ms: float) -> bool:
    """Return whether a request that was read at a time may be passed on.

    :param stop: times of the stop, ``None`` if there is none.
    :param read_ms: time at which the whole request had been read.
    """
    return stop is None or read_ms < stop.pass_on_until_ms


class Drain:
    """Planned stop of one process, which may not have begun.

    :param clock: time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._schedule: Schedule | None = None

    def start(self, grace_ms: float) -> Schedule:
        """Begin the stop and return its times."""
        self._schedule = schedule(self._clock.now_ms(), grace_ms)
        return self._schedule

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._schedule is not None

    @property
    def takes_requests(self) -> bool:
        """Return whether a request that was read now may be passed on."""
        return may_pass_on(self._schedule, self._clock.now_ms())
