"""Metrics of edge processes in Prometheus text format."""

from __future__ import annotations

import prometheus_client
from prometheus_client import registry

from balsamloom_gateway import listeners
from balsamloom_ingress import refusals

METRICS_PATH = "/metrics"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Metrics:
    """Counters and latency histograms of one edge process."""

    def __init__(self) -> None:
        self._registry = registry.CollectorRegistry()
        self._responses = prometheus_client.Counter(
            "balsamloom_answers",
            "Final answers by route kind and status.",
            ["kind", "status"],
            registry=self._registry,
        )
        self._failures = prometheus_client.Counter(
            "balsamloom_failed_attempts",
            "Attempts at servers that brought no answer.",
            ["kind", "may_have_run"],
            registry=self._registry,
        )
        self._limited = limited_callers(self._registry)
        self._first_event_s = prometheus_client.Histogram(
            "balsamloom_first_event_seconds",
            "Time from a request's arrival to the first part of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._total_s = prometheus_client.Histogram(
            "balsamloom_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

        self._paces = prometheus_client.Counter(
            "balsamloom_server_pace_changes",
            "Changes of the paces of started or recovered servers.",
            ["change", "reason"],
            registry=self._registry,
        )

    def add_collector(self, collector: registry.Collector) -> None:
        """Serve what a collector yields, too."""
        self._registry.register(collector)

    def record_pace(self, change: str, reason: str) -> None:
        """Count a change of a server's pace."""
        self._paces.labels(change, reason).inc()

    def record_response(
        self, kind: str, status: int, total_ms: float, first_ms: float | None
    ) -> None:
        """Count a final response and record its latency.

        :param first_ms: time to the first part of a server's response;
            ``None`` if no server responded.
        """
        self._responses.labels(kind, status).inc()
        self._total_s.labels(kind).observe(total_ms / 1000)
        if first_ms is not None:
            self._first_event_s.labels(kind).observe(first_ms / 1000)

    def record_failure(self, kind: str, may_have_run: bool) -> None:
        """Count an attempt without a response."""
        self._failures.labels(kind, str(may_have_run).lower()).inc()

    def record_limited_caller(self, reason: refusals.Reason) -> None:
        """Count a caller that was refused or cut off at a limit."""
        self._limited.labels(reason.value).inc()

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer a request for the metrics."""
        send_metrics(self._registry, request, response)


def limited_callers(
    collectors: registry.CollectorRegistry,
) -> prometheus_client.Counter:
    """Register the counter of callers at a limit of a process."""
    return prometheus_client.Counter(
        "balsamloom_limited_callers",
        "Callers refused or cut off at a limit of the process, by reason.",
        ["reason"],
        registry=collectors,
    )


def send_metrics(
    collectors: registry.CollectorRegistry,
    request: listeners.Request,
    response: listeners.Response,
) -> None:
    """Answer a request for the metrics of a process."""
    if request.path != METRICS_PATH:
        response.send(404, ())
        return
    body = prometheus_client.generate_latest(collectors)
    fields = ((b"Content-Type", b"text/plain; version=0.0.4"),)
    response.send(200, fields, body)
