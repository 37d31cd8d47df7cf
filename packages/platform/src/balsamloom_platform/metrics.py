"""Metrics for the platform's statsd.

:class:`Metrics` is the interface, :class:`StatsdMetrics` the UDP client.
"""

from __future__ import annotations

from typing import Any, Protocol

import statsd


class Metrics(Protocol):
    """Interface of a metrics client."""

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""


class NullMetrics:
    """Metrics client that discards all metrics."""

    def count(self, name: str, number: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Sends metrics as UDP packets; errors are ignored and lose metrics.

    :param address: ``host:port`` of statsd.
    :param prefix: prefix of all names.
    """

    def __init__(self, address: str, prefix: str = "balsamloom") -> None:
        host, _, port = address.rpartition(":")
        self._client: Any = None
        try:
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        except (OSError, ValueError):
            # A process must start even if the name cannot be resolved.
            return

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name below the prefix.
        :param number: number to add.
        """
        self._send("incr", name, number)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: dotted name below the prefix.
        :param value: value to set.
        """
        self._send("gauge", name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration.

        :param name: dotted name below the prefix.
        :param duration_ms: duration to record.
        """
        self._send("timing", name, duration_ms)

    def _send(self, method: str, name: str, value: float) -> None:
        if self._client is None:
            return
        try:
            getattr(self._client, method)(name, value)
        except (OSError, OverflowError, ValueError):
            # The statsd client ignores socket errors, but not a port out of
            # range.
            return
