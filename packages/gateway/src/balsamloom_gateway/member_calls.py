"""Calls between members that spare those which did not answer."""

from __future__ import annotations

from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import circuit_breaker, peers, traffic


class MemberCalls:
    """Calls of one purpose to other members, with a circuit breaker.

    :param clients: other members.
    :param backoff: how long a member that did not answer is not called.
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
        if not self._breaker.allow_call(member.peer_address):
            return None
        try:
            answer = self._clients.call(
                member.peer_address, path, body, timeout_ms
            )
        except peers.PeerUnavailableError as error:
            self._breaker.record_failure(member.peer_address)
            events.log(
                events.Event.PEER_CALL_FAILED,
                member=member.name,
                call=path,
                reason=str(error),
            )
            return None
        self._breaker.record_success(member.peer_address)
        return answer
