"""Metrics of storage processes in Prometheus text format."""

from __future__ import annotations

import prometheus_client
from prometheus_client import registry

from balsamloom_conversations import database
from balsamloom_gateway import listeners, metrics
from balsamloom_ingress import refusals
from balsamloom_storage import replica_repair

_GAUGES = {
    "turns": "Turns on the disk.",
    "groups": "Conversations on the disk.",
    "bytes": "Size of the database.",
    "is_whole": "1 if the host misses no turn that it should have.",
    "other_hosts_up": "Other storage hosts that answer.",
    "missing_bytes": "Size of the listed turns that are still to be fetched.",
    "fetched_turns": "Turns that were short of a copy and fetched here.",
}


class StorageMetrics:
    """Gauges of one storage process.

    :param store: database of this host's turns.
    :param kept: copies at this host.
    """

    def __init__(
        self, store: database.TurnDatabase, kept: replica_repair.ReplicaRepair
    ) -> None:
        self._store = store
        self._copies = kept
        self._registry = registry.CollectorRegistry()
        self._gauges = {
            name: prometheus_client.Gauge(
                f"balsamloom_storage_{name}", text, registry=self._registry
            )
            for name, text in _GAUGES.items()
        }
        self._limited = metrics.limited_callers(self._registry)

    def record_limited_caller(self, reason: refusals.Reason) -> None:
        """Count a caller that was refused or cut off at a limit."""
        self._limited.labels(reason.value).inc()

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer a request for the metrics."""
        counts = self._store.counts()
        values = {
            "turns": counts.turns,
            "groups": counts.groups,
            "bytes": counts.size_bytes,
            "is_whole": int(self._store.claim.has_turns),
            "other_hosts_up": len(self._copies.other_active_hosts()),
            "fetched_turns": self._copies.fetched_turns,
            "missing_bytes": self._copies.missing_bytes(),
        }
        for name, value in values.items():
            self._gauges[name].set(value)
        metrics.send_metrics(self._registry, request, response)
