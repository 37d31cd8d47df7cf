"""Metrics for the platform's statsd.

:class:`Metrics` is the interface; :class:`StatsdMetrics` sends UDP packets.
"""

from __future__ import annotations

from typing import Any, Protocol

import statsd


class Metrics(Protocol):
    """Where counts, gauges and timings go."""

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""


class NullMetrics:
    """Drops all metrics."""

    def count(self, name: str, number: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Sends metrics as UDP packets; a failure loses them and never raises.

    :param address: ``host:port`` of statsd.
    :param prefix: start of all names.
    """

    def __init__(self, address: str, prefix: str = "balsamloom") -> None:
        host, _, port = address.rpartition(":")
        self._client: Any = None
        try:
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        except (OSError, ValueError):
            # A name that does not resolve must not keep a process from
            # starting.
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
            # statsd itself passes over socket errors, but not over a port
            # out of range.
            return
