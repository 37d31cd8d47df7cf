"""Admission control: refuses calls that a pool cannot serve in time."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from balsamloom_core import results
from balsamloom_policy import calls, settings

BUCKET_MS = 200.0
BUCKET_COUNT = 10
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 60000.0
NO_SERVER_RETRY_AFTER_MS = 1000
MAX_RETRY_DEFERRAL_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class AdaptiveControl:
    """Refuses by estimated wait, deadline and fair share."""


@dataclasses.dataclass(frozen=True)
class UnlimitedAdmission:
    """Accepts every call; baseline for comparison."""


Admission = AdaptiveControl | UnlimitedAdmission


def from_settings(values: settings.PolicySettings) -> Admission:
    """Return the variant that the settings select."""
    return (
        AdaptiveControl()
        if values.admission == "adaptive"
        else UnlimitedAdmission()
    )


class DrainRate:
    """Rate of ended calls over the last two seconds."""

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0
        self._first_bucket: int | None = None

    def record_end(self, now_ms: float) -> None:
        """Count the end of a call."""
        bucket = int(now_ms // BUCKET_MS)
        if self._first_bucket is None:
            self._first_bucket = bucket
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
        if self._first_bucket is None:
            return 0.0
        window = min(bucket - self._first_bucket + 1, BUCKET_COUNT)
        return self._total / (window * BUCKET_MS)

    def _drop_old(self, bucket: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket - BUCKET_COUNT:
            self._total -= self._buckets.popleft()[1]


class RetrySchedule:
    """Spaces out the retry times of refused callers.

    Callers with the same retry time would return together and be refused
    again, so the times follow each other at the drain rate.
    """

    def __init__(self) -> None:
        self._last_ms = 0.0

    def schedule(
        self, refusal: calls.Refusal, drain_per_ms: float, now_ms: float
    ) -> calls.Refusal:
        """Return the refusal with the next free retry time.

        :param drain_per_ms: drain rate; 0 leaves the time unchanged.
        """
        if refusal.retry_after_ms is None or drain_per_ms <= 0:
            return refusal
        earliest_ms = now_ms + refusal.retry_after_ms
        retry_ms = max(earliest_ms, self._last_ms + 1 / drain_per_ms)
        retry_ms = min(retry_ms, earliest_ms + MAX_RETRY_DEFERRAL_MS)
        self._last_ms = retry_ms
        return dataclasses.replace(
            refusal, retry_after_ms=int(retry_ms - now_ms)
        )


class PoolLoad(NamedTuple):
    """Load of a pool when a call arrives."""

    queued: int
    ahead: int
    drain_per_ms: float
    service_ms: float
    customer_calls: int
    total_calls: int
    customer_count: int


def check(
    admission: Admission,
    profile: calls.CallProfile,
    load: PoolLoad,
    now_ms: float,
    values: settings.PolicySettings,
) -> calls.Refusal | None:
    """Return the refusal of a call, or None if it is accepted.

    A new program is checked against the whole queue, even if its first call
    would be served early: its later calls delay programs that are running.
    """
    match admission:
        case UnlimitedAdmission():
            return None
        case AdaptiveControl():
            return _check_adaptive(profile, load, now_ms, values)


def _check_adaptive(
    profile: calls.CallProfile,
    load: PoolLoad,
    now_ms: float,
    values: settings.PolicySettings,
) -> calls.Refusal | None:
    wait_ms = _wait_ms(load.ahead, load)
    queue_ms = _wait_ms(load.queued, load)
    target_ms = values.queue_target_ms
    if profile.deadline_ms is not None:
        late_ms = now_ms + wait_ms + load.service_ms - profile.deadline_ms
        if late_ms > 0:
            return _refuse(
                results.ResultCode.DEADLINE_CANNOT_BE_MET,
                f"the call would end {late_ms:.0f} ms after its deadline",
                late_ms if wait_ms > 0 else None,
            )
    if profile.is_urgent:
        return None
    is_new = profile.is_new_program
    if is_new and queue_ms > target_ms / 2 and load.customer_count > 1:
        fair_share = load.total_calls / load.customer_count
        if load.customer_calls + 1 > fair_share * values.fair_share_slack:
            return _refuse(
                results.ResultCode.FAIR_SHARE_EXCEEDED,
                f"customer {profile.customer!r} has "
                f"{load.customer_calls} calls; its share is {fair_share:.0f}",
                queue_ms,
            )
    allowed_ms = target_ms if is_new else target_ms * values.under_way_factor
    if queue_ms > allowed_ms:
        return _refuse(
            results.ResultCode.OVERLOADED,
            f"{load.queued} calls wait, about {queue_ms:.0f} ms of work",
            queue_ms - allowed_ms / 2,
        )
    return None


def _wait_ms(count: int, load: PoolLoad) -> float:
    if count == 0 or load.drain_per_ms <= 0:
        return 0.0
    return count / load.drain_per_ms


def _refuse(
    code: results.ResultCode, message: str, retry_after_ms: float | None
) -> calls.Refusal:
    if retry_after_ms is not None:
        retry_after_ms = min(
            max(retry_after_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS
        )
        return calls.Refusal(code, message, int(retry_after_ms))
    return calls.Refusal(code, message)
