"""Calls of an edge process to storage hosts, and which of them answer.

A registration remains after its storage host fails, so whether a host is
reachable is inferred from the calls of this process.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import circuit_breaker, peers

# While its circuit is open, a host is tried last and with a short timeout.
BREAKER_BACKOFF = circuit_breaker.Backoff(1_000.0, 16_000.0, trial_ms=0.0)
# A host that is unreachable for this long counts as lost, and what it may have
# no longer delays answers that the other hosts can give.
LOST_HOST_TIMEOUT_MS = 10_000.0


class StorageCalls:
    """Calls to storage hosts.

    :param clients: calls to other processes.
    :param clock: time source.
    """

    def __init__(
        self, clients: peers.PeerClients, clock: clocks.Clock
    ) -> None:
        self.clients = clients
        self._clock = clock
        self.breaker = circuit_breaker.CircuitBreaker(BREAKER_BACKOFF, clock)
        # Time of the last answer of each storage host, by address.
        self._answered_ms: dict[str, float] = {}

    def call(
        self,
        host: replicas.StorageHost,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> bytes:
        """Call a host and retry once if the connection ends early.

        A pooled connection may be closed while a call is sent on it. Calls to
        storage hosts are idempotent.

        :raises PeerUnavailableError: no usable response arrived in time.
        """
        try:
            answer = self.clients.post(host.address, path, body, timeout_ms)
        except peers.PeerConnectionLostError:
            answer = self.clients.post(host.address, path, body, timeout_ms)
        self.breaker.record_success(host.address)
        self._answered_ms[host.address] = self._clock.now_ms()
        return answer

    def record_failure(
        self, host: replicas.StorageHost, error: Exception
    ) -> None:
        """Record that a call failed."""
        self.breaker.record_failure(host.address)
        events.log(
            events.Event.STORAGE_CALL_FAILED,
            logging.WARNING,
            host=host.name,
            reason=str(error),
        )

    def has_answered_since(
        self, host: replicas.StorageHost, since_ms: float
    ) -> bool:
        """Return whether a host answered a call since a time."""
        return self._answered_ms.get(host.address, -math.inf) >= since_ms

    def is_failing(self, host: replicas.StorageHost) -> bool:
        """Return whether a host failed a short time ago."""
        return self.breaker.is_open(host.address)

    def is_lost(self, host: replicas.StorageHost) -> bool:
        """Return whether a host has been unreachable for a long time."""
        failing_ms = self.breaker.failing_ms(host.address)
        return failing_ms >= LOST_HOST_TIMEOUT_MS

    def move_failed_last(
        self, hosts: Sequence[replicas.StorageHost]
    ) -> list[replicas.StorageHost]:
        """Return hosts in the same order, but failing ones last."""
        return sorted(hosts, key=self.is_failing)
