"""Answers of a server, compared with those of its peers."""

from __future__ import annotations

import enum
import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

# Calls differ in work, so few answers need a larger difference.
SLOW_LOG_RATIO = math.log(2.0)
# Up to this ratio a server serves like its peers.
LIKE_LOG_RATIO = math.log(1.5)
MIN_PEER_ANSWERS = 3
# Least weights of an answer in the averages. A paced server changes fast.
PEER_WEIGHT = 0.1
PACED_WEIGHT = 0.3
# Duration of a usual call until one has been observed.
DEFAULT_CALL_MS = 200.0
# Bounds the ratios of calls that took no measurable time.
MIN_DURATION_MS = 0.1


class Answer(enum.Enum):
    """How a server answered one call, compared with its peers."""

    GOOD = "good"
    UNSURE = "unsure"
    SLOW = "slow"
    REFUSED = "refused"
    FAILED = "failed"


class Result(enum.Enum):
    """How a call at a server ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class Load(NamedTuple):
    """Requests at a server as it reports them."""

    running: int
    waiting: int

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.running + self.waiting


class Timing(NamedTuple):
    """Duration of a call, and that of such a call at a usual server."""

    duration_ms: float
    usual_ms: float

    @property
    def log_ratio(self) -> float:
        """Return the logarithm of the duration relative to the usual one."""
        duration_ms = max(self.duration_ms, MIN_DURATION_MS)
        return math.log(duration_ms / max(self.usual_ms, MIN_DURATION_MS))


class Evidence(NamedTuple):
    """End of one call.

    ``load`` and ``peer_loads`` are the latest reports of this server and of
    the others of its service, as far as there are recent ones.
    """

    result: Result
    timing: Timing | None = None
    load: Load | None = None
    peer_loads: Sequence[Load] = ()

    def is_queue_unusual(self) -> bool:
        """Return whether calls wait at the server but not at its peers."""
        if self.load is None or not self.load.waiting:
            return False
        return _median([peer.waiting for peer in self.peer_loads]) == 0

    def is_load_usual(self) -> bool:
        """Return whether the server has as many requests as its peers."""
        if self.load is None or not self.peer_loads:
            return False
        usual = _median([peer.total for peer in self.peer_loads])
        return self.load.total >= usual


class Durations:
    """Moving averages of the durations of calls.

    The average of logarithms is that of the ratio to the usual duration.

    :param min_weight: least weight of the latest answer.
    """

    def __init__(self, min_weight: float = PEER_WEIGHT) -> None:
        self._min_weight = min_weight
        self.count = 0
        self.log_ratio = 0.0
        self._call_ms = DEFAULT_CALL_MS

    def add(self, timing: Timing) -> None:
        """Add the timing of one call."""
        weight = max(self._min_weight, 1 / (self.count + 1))
        self.log_ratio += weight * (timing.log_ratio - self.log_ratio)
        self._call_ms += weight * (timing.duration_ms - self._call_ms)
        self.count += 1

    @property
    def call_ms(self) -> float:
        """Return the average duration of a call."""
        return self._call_ms

    def is_slow(self, peers: Durations) -> bool:
        """Return whether these calls take well over twice as long."""
        if not self.count or peers.count < MIN_PEER_ANSWERS:
            return False
        needed = SLOW_LOG_RATIO * (1 + 1 / math.sqrt(self.count))
        return self.log_ratio - peers.log_ratio > needed

    def is_like(self, peers: Durations) -> bool:
        """Return whether these calls take about as long."""
        if not self.count or peers.count < MIN_PEER_ANSWERS:
            return True
        return self.log_ratio - peers.log_ratio <= LIKE_LOG_RATIO


def judge(evidence: Evidence, own: Durations, peers: Durations) -> Answer:
    """Return how a server answered.

    :param own: durations at this server, with that of this call.
    :param peers: durations at the other servers of its service.
    """
    match evidence.result:
        case Result.FAILED:
            return Answer.FAILED
        case Result.REFUSED:
            return Answer.REFUSED
        case Result.ANSWERED:
            if own.is_slow(peers) or evidence.is_queue_unusual():
                return Answer.SLOW
            return Answer.GOOD if own.is_like(peers) else Answer.UNSURE


def _median(values: Sequence[int]) -> float:
    return statistics.median(values) if values else 0.0
