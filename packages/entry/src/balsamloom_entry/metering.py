"""Metrics of a process: store calls, log events and periodic gauges."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, Any, TypeVar

from balsamloom_core import clock as clocks
from balsamloom_core import metric_names
from balsamloom_platform import metrics
from balsamloom_platform import store as stores

if TYPE_CHECKING:
    from collections.abc import Callable

_Result = TypeVar("_Result")


class MeteredStore:
    """Store wrapper that counts and times the calls.

    :param store: store to call.
    :param sink: receiver of the metrics.
    :param clock: source of time.
    """

    def __init__(
        self,
        store: stores.Store,
        sink: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._sink = sink
        self._clock = clock

    def get(
        self, key: str, timeout_ms: int = stores.DEFAULT_TIMEOUT_MS
    ) -> stores.Item | None:
        """Read one key, see :meth:`stores.Store.get`."""
        return self._measure(
            metric_names.STORE_READS, lambda: self._store.get(key, timeout_ms)
        )

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Page:
        """Read keys, see :meth:`stores.Store.list_keys`."""
        return self._measure(
            metric_names.STORE_READS,
            lambda: self._store.list_keys(prefix, limit, start, timeout_ms),
        )

    def commit(
        self,
        comparisons: Sequence[stores.Comparison],
        operations: Sequence[stores.Operation],
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Committed | stores.Conflict:
        """Write if all comparisons hold, see :meth:`stores.Store.commit`."""
        return self._measure(
            metric_names.STORE_WRITES,
            lambda: self._store.commit(comparisons, operations, timeout_ms),
        )

    def watch(
        self, prefix: str, from_revision: int, timeout_ms: int
    ) -> Iterator[list[stores.Change]]:
        """Watch keys, see :meth:`stores.Store.watch`."""
        self._sink.count(metric_names.STORE_READS.key())
        return self._store.watch(prefix, from_revision, timeout_ms)

    def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease, see :meth:`stores.Store.grant_lease`."""
        return self._measure(
            metric_names.STORE_WRITES, lambda: self._store.grant_lease(ttl_ms)
        )

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease, see :meth:`stores.Store.renew_lease`."""
        return self._measure(
            metric_names.STORE_WRITES,
            lambda: self._store.renew_lease(lease_id),
        )

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease, see :meth:`stores.Store.revoke_lease`."""
        self._measure(
            metric_names.STORE_WRITES,
            lambda: self._store.revoke_lease(lease_id),
        )

    def _measure(
        self, counter: metric_names.Metric, call: Callable[[], _Result]
    ) -> _Result:
        started_ms = self._clock.now_ms()
        self._sink.count(counter.key())
        try:
            return call()
        except stores.StoreUnavailable:
            self._sink.count(metric_names.STORE_FAILURES.key())
            raise
        finally:
            duration_ms = self._clock.now_ms() - started_ms
            key = metric_names.STORE_CALL_DURATION.key()
            self._sink.timing(key, duration_ms)


class EventCounter(logging.Handler):
    """Log handler that counts events by their number.

    :param sink: receiver of the metrics.
    """

    def __init__(self, sink: metrics.Metrics) -> None:
        super().__init__()
        self._sink = sink

    def emit(self, record: logging.LogRecord) -> None:
        """Count one log record.

        :param record: record of the ``logging`` module.
        """
        number = getattr(record, "event", None)
        if number is not None:
            self._sink.count(metric_names.EVENTS.key(str(number)))


def send_gauges(
    sink: metrics.Metrics,
    status: dict[str, Any],
    owner: dict[str, Any],
    scheduler: dict[str, Any],
) -> None:
    """Send the gauges of a process.

    :param sink: receiver of the metrics.
    :param status: summary of the state of the process.
    :param owner: state of the program owner.
    :param scheduler: state of the scheduler.
    """
    for metric, value in (
        (metric_names.PROGRAMS_HELD, owner["programs"]),
        (metric_names.PARTITIONS_OWNED, status["partitions"]),
        (metric_names.MEMBERS, status["members"]),
        (metric_names.MAP_VERSION, status["map_version"]),
        (
            metric_names.CONFIGURATION_REVISION,
            status["configuration_revision"],
        ),
    ):
        sink.gauge(metric.key(), value)
    for name, pool in scheduler["pools"].items():
        for metric, field in (
            (metric_names.CALLS_RUNNING, "in_flight"),
            (metric_names.CALLS_WAITING, "waiting"),
            (metric_names.SERVERS_AVAILABLE, "available"),
        ):
            sink.gauge(metric.key(name), pool[field])
