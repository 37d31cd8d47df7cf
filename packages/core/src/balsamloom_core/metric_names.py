"""Names of the statsd metrics. ``docs/metrics.md`` lists them.

A test compares that table with this module.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

PREFIX = "balsamloom"


class Kind(enum.Enum):
    """Type of a statsd metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class Metric(NamedTuple):
    """Metric whose label values are appended to its name with dots."""

    name: str
    kind: Kind
    unit: str
    labels: tuple[str, ...]
    meaning: str

    def key(self, *values: str) -> str:
        """Return the statsd key.

        :param values: one value for each label; dots and statsd's special
            characters are replaced by underscores.
        :raises ValueError: if a value is missing or superfluous.
        """
        if len(values) != len(self.labels):
            raise ValueError(
                f"metric {self.name} takes labels {self.labels}, not {values}"
            )
        return ".".join([PREFIX, self.name, *map(_escape, values)])


_ESCAPE_TABLE = str.maketrans(dict.fromkeys(".:|@#/ \n", "_"))


def _escape(value: str) -> str:
    return value.translate(_ESCAPE_TABLE)


def _counter(name: str, meaning: str, *labels: str) -> Metric:
    return Metric(name, Kind.COUNTER, "count", labels, meaning)


def _gauge(name: str, unit: str, meaning: str, *labels: str) -> Metric:
    return Metric(name, Kind.GAUGE, unit, labels, meaning)


def _timing(name: str, meaning: str, *labels: str) -> Metric:
    return Metric(name, Kind.TIMING, "ms", labels, meaning)


CALLS_FINISHED = _counter(
    "calls.finished", "Calls that ended, by result code.", "code"
)
CALLS_REFUSED = _counter(
    "calls.refused", "Calls refused as not run, by result code.", "code"
)
CALLS_HEDGED = _counter(
    "calls.hedged", "Idempotent calls sent to a second server.", "pool"
)
CALLS_FORWARDED = _counter(
    "calls.forwarded", "Requests forwarded to the owner of their program."
)
PROGRAMS_STARTED = _counter(
    "programs.started", "Programs started, by customer.", "customer"
)
PROGRAMS_ENDED = _counter(
    "programs.ended", "Programs ended, by customer.", "customer"
)
TOKENS_GENERATED = _counter(
    "tokens.generated", "Tokens passed on to callers, by model.", "model"
)
STORE_READS = _counter("store.reads", "Reads of the key-value service.")
STORE_WRITES = _counter("store.writes", "Writes to the key-value service.")
STORE_FAILURES = _counter(
    "store.failures", "Calls to the key-value service without an answer."
)

EVENTS = _counter("events", "Log events, by number.", "event")

PROGRAMS_HELD = _gauge(
    "programs.held", "programs", "Programs that this process owns."
)
PARTITIONS_OWNED = _gauge(
    "partitions.owned", "partitions", "Partitions that this process owns."
)
CALLS_RUNNING = _gauge("calls.running", "calls", "Calls sent.", "pool")
CALLS_WAITING = _gauge("calls.waiting", "calls", "Calls that wait.", "pool")
SERVERS_AVAILABLE = _gauge(
    "servers.available", "servers", "Servers that take new work.", "pool"
)
MEMBERS = _gauge(
    "membership.members", "members", "Members of the partition map in use."
)
CONFIGURATION_REVISION = _gauge(
    "configuration.revision", "revision", "Configuration in force."
)
MAP_VERSION = _gauge(
    "membership.map_version", "version", "Partition map in use."
)

CALL_DURATION = _timing(
    "calls.duration", "Arrival of a call to its final event.", "pool"
)
FIRST_TOKEN = _timing(
    "calls.first_token", "Arrival of a call to its first token.", "model"
)
STORE_CALL_DURATION = _timing(
    "store.duration", "One call to the key-value service."
)
TAKEOVER_DURATION = _timing(
    "membership.takeover", "Confirmed suspicion to serving again."
)

ALL: tuple[Metric, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Metric)
)
