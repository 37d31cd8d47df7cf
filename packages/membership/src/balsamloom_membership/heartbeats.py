"""Transport of heartbeats and probes, and a rate limit on their content."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_peers import client, messages

# Applies to the server states and shares in all messages of a member. Without
# a limit, 16 of each per message would add 15 KB/s to the bare heartbeats.
MAX_CONTENT_BYTES_PER_S = 2_000
MAX_STATES_OVER_LIMIT = 2
ENTRY_OVERHEAD_BYTES = 12


class Peer(NamedTuple):
    """Another member and the address of its gRPC server."""

    member_id: str
    peer_address: str


class Transport(Protocol):
    """Sender of the messages of failure detection."""

    def heartbeat(
        self, peer: Peer, content: messages.Heartbeat, timeout_ms: float
    ) -> messages.Heartbeat:
        """Exchange states with a peer."""

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it."""


class PoolTransport:
    """Transport over a pool of gRPC channels to peers.

    :param pool: clients of all peers.
    """

    def __init__(self, pool: client.PeerPool) -> None:
        self._pool = pool

    def heartbeat(
        self, peer: Peer, content: messages.Heartbeat, timeout_ms: float
    ) -> messages.Heartbeat:
        """Exchange states with a peer.

        :param peer: receiver.
        :param content: own state.
        :param timeout_ms: maximum wait for the answer.
        :raises PeerUnreachable: if no answer comes in time.
        :raises PeerMessageDamaged: if a message was damaged.
        """
        peer_client = self._pool.client(peer.peer_address)
        return peer_client.heartbeat(content, timeout_ms, peer.member_id)

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it.

        :param prober: receiver.
        :param probe: member to check.
        :param timeout_ms: maximum wait for the answer.
        :raises PeerUnreachable: if no answer comes in time.
        """
        peer_client = self._pool.client(prober.peer_address)
        return peer_client.probe(probe, timeout_ms)


class ContentRateLimiter:
    """Token bucket for the bytes of server states and shares sent.

    Not thread-safe; the caller must hold a lock.

    :param now_ms: current time.
    """

    def __init__(self, now_ms: float) -> None:
        self._available_bytes = float(MAX_CONTENT_BYTES_PER_S)
        self._refilled_at_ms = now_ms

    def limit(
        self, content: messages.Heartbeat, now_ms: float
    ) -> messages.Heartbeat:
        """Return a heartbeat, shortened if the rate limit is exceeded.

        The first states, which are the recent changes, are always kept.
        """
        elapsed_ms = now_ms - self._refilled_at_ms
        self._refilled_at_ms = now_ms
        earned_bytes = elapsed_ms * MAX_CONTENT_BYTES_PER_S / clocks.MS_PER_S
        self._available_bytes = min(
            self._available_bytes + earned_bytes, MAX_CONTENT_BYTES_PER_S
        )
        if self._available_bytes <= 0:
            content = content._replace(
                server_states=content.server_states[:MAX_STATES_OVER_LIMIT],
                server_shares=(),
            )
        names = [state.server_id for state in content.server_states]
        names += [share.server_id for share in content.server_shares]
        self._available_bytes -= sum(
            ENTRY_OVERHEAD_BYTES + len(name) for name in names
        )
        return content
