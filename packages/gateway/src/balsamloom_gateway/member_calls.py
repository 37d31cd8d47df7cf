"""Calls between processes that spare those which did not answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import circuit_breaker, peers, traffic

T = TypeVar("T")


class MemberCalls:
    """Calls of one purpose to other processes, with a circuit breaker.

    :param clients: other processes.
    :param backoff: how long a process that did not answer is not called.
    :param clock: time source.
    """

    def __init__(
        self,
        clients: peers.PeerClients,
        backoff: circuit_breaker.Backoff,
        clock: clocks.Clock,
    ) -> None:
        self._clients = clients
        self._breaker = circuit_breaker.CircuitBreaker(backoff, clock)

    def call(
        self,
        member: traffic.Member,
        path: str,
        body: dict[str, Any],
        timeout_ms: float,
    ) -> dict[str, Any] | None:
        """Return a member's answer, ``None`` if it gives none in time."""
        address = member.peer_address
        return self._send(
            member.name,
            address,
            path,
            lambda: self._clients.call(address, path, body, timeout_ms),
        )

    def post(
        self,
        host: replicas.StorageHost,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> bytes | None:
        """Return a storage host's answer, ``None`` without one in time."""
        return self._send(
            host.name,
            host.address,
            path,
            lambda: self._clients.post(host.address, path, body, timeout_ms),
        )

    def _send(
        self, name: str, address: str, path: str, send: Callable[[], T]
    ) -> T | None:
        """Send a call unless its receiver has just failed."""
        if not self._breaker.allow_call(address):
            return None
        try:
            answer = send()
        except peers.PeerUnavailableError as error:
            self._breaker.record_failure(address)
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=name,
                call=path,
                reason=str(error),
            )
            return None
        self._breaker.record_success(address)
        return answer
