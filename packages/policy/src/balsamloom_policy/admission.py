"""Early refusal of calls that a pool cannot serve in time."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from balsamloom_core import results
from balsamloom_policy import calls, settings

BUCKET_MS = 200.0
BUCKET_COUNT = 10
RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_MAX_MS = 60000.0
NO_SERVER_RETRY_MS = 1000
LINE_MAX_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class Adaptive:
    """Refuses by estimated wait, deadline and customers' shares."""


@dataclasses.dataclass(frozen=True)
class Open:
    """Takes every call; the baseline."""


Admission = Adaptive | Open


def policy(values: settings.PolicySettings) -> Admission:
    """Return the variant that the settings select."""
    return Adaptive() if values.admission == "adaptive" else Open()


class DrainRate:
    """Calls that ended within the last two seconds."""

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0
        self._start: int | None = None

    def add(self, now_ms: float) -> None:
        """Note the end of a call."""
        bucket = int(now_ms // BUCKET_MS)
        if self._start is None:
            self._start = bucket
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1] = (bucket, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((bucket, 1))
        self._total += 1
        self._drop_old(bucket)

    def per_ms(self, now_ms: float) -> float:
        """Return the measured rate of calls per ms."""
        bucket = int(now_ms // BUCKET_MS)
        self._drop_old(bucket)
        if self._start is None:
            return 0.0
        window = min(bucket - self._start + 1, BUCKET_COUNT)
        return self._total / (window * BUCKET_MS)

    def _drop_old(self, bucket: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket - BUCKET_COUNT:
            self._total -= self._buckets.popleft()[1]


class ReturnLine:
    """Times at which refused callers were told to come back.

    Callers told the same time would return together and be refused again,
    so each refusal takes the next place at the rate of drain.
    """

    def __init__(self) -> None:
        self._last_ms = 0.0

    def place(
        self, refused: calls.Refusal, rate_per_ms: float, now_ms: float
    ) -> calls.Refusal:
        """Return the refusal with its place in the line.

        :param rate_per_ms: rate of drain; without one the time is kept.
        """
        if refused.retry_after_ms is None or rate_per_ms <= 0:
            return refused
        earliest_ms = now_ms + refused.retry_after_ms
        place_ms = max(earliest_ms, self._last_ms + 1 / rate_per_ms)
        place_ms = min(place_ms, earliest_ms + LINE_MAX_MS)
        self._last_ms = place_ms
        return dataclasses.replace(
            refused, retry_after_ms=int(place_ms - now_ms)
        )


class Pressure(NamedTuple):
    """State of a pool at the moment of a call's arrival."""

    queued: int
    ahead: int
    rate_per_ms: float
    service_ms: float
    customer_calls: int
    all_calls: int
    customer_count: int


def judge(
    admission: Admission,
    profile: calls.CallProfile,
    pressure: Pressure,
    now_ms: float,
    values: settings.PolicySettings,
) -> calls.Refusal | None:
    """Return why a call is refused, or None if it is taken.

    A new program is judged by the whole queue, also where its own call would
    be served early: it brings more calls that delay programs under way.
    """
    match admission:
        case Open():
            return None
        case Adaptive():
            return _judge_adaptive(profile, pressure, now_ms, values)


def _judge_adaptive(
    profile: calls.CallProfile,
    pressure: Pressure,
    now_ms: float,
    values: settings.PolicySettings,
) -> calls.Refusal | None:
    wait_ms = _wait_ms(pressure.ahead, pressure)
    queue_ms = _wait_ms(pressure.queued, pressure)
    target_ms = values.queue_target_ms
    if profile.deadline_ms is not None:
        late_ms = now_ms + wait_ms + pressure.service_ms - profile.deadline_ms
        if late_ms > 0:
            return _refuse(
                results.ResultCode.DEADLINE_CANNOT_BE_MET,
                f"the call would end {late_ms:.0f} ms after its deadline",
                late_ms if wait_ms > 0 else None,
            )
    if profile.is_urgent:
        return None
    is_new = profile.is_new_program
    if is_new and queue_ms > target_ms / 2 and pressure.customer_count > 1:
        fair = pressure.all_calls / pressure.customer_count
        if pressure.customer_calls + 1 > fair * values.fair_share_slack:
            return _refuse(
                results.ResultCode.FAIR_SHARE_EXCEEDED,
                f"customer {profile.customer!r} has "
                f"{pressure.customer_calls} calls; its share is {fair:.0f}",
                queue_ms,
            )
    allowed_ms = target_ms if is_new else target_ms * values.under_way_factor
    if queue_ms > allowed_ms:
        return _refuse(
            results.ResultCode.OVERLOADED,
            f"{pressure.queued} calls wait, about {queue_ms:.0f} ms of work",
            queue_ms - allowed_ms / 2,
        )
    return None


def _wait_ms(count: int, pressure: Pressure) -> float:
    if count == 0 or pressure.rate_per_ms <= 0:
        return 0.0
    return count / pressure.rate_per_ms


def _refuse(
    code: results.ResultCode, message: str, retry_after_ms: float | None
) -> calls.Refusal:
    if retry_after_ms is not None:
        retry_after_ms = min(
            max(retry_after_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS
        )
        return calls.Refusal(code, message, int(retry_after_ms))
    return calls.Refusal(code, message)
