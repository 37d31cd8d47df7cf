"""Heartbeats and probes: whom they go to and how much they carry."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_peers import client, messages

# Server states and shares in all messages of a member together. At the full
# size of 16 each they would take 15 KB/s beyond the bare heartbeats.
CONTENT_BYTES_PER_S = 2_000
STATES_OVER_BUDGET = 2
ENTRY_BYTES = 12


class Peer(NamedTuple):
    """Another member and where its gRPC server listens."""

    member_id: str
    peer_address: str


class Transport(Protocol):
    """Messages that failure detection sends."""

    def heartbeat(
        self, peer: Peer, content: messages.Heartbeat, timeout_ms: float
    ) -> messages.Heartbeat:
        """Exchange states with a peer."""

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it."""


class PoolTransport:
    """Transport over the channels to peers.

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
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no answer comes in time.
        :raises PeerMessageDamaged: if a message was damaged.
        """
        found = self._pool.client(peer.peer_address)
        return found.heartbeat(content, timeout_ms, peer.member_id)

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it.

        :param prober: receiver.
        :param probe: member to check.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no answer comes in time.
        """
        found = self._pool.client(prober.peer_address)
        return found.probe(probe, timeout_ms)


class ContentBudget:
    """Limits the bytes of the states that a member sends.

    Not safe for several threads; the owner has a lock.

    :param now_ms: time of the start.
    """

    def __init__(self, now_ms: float) -> None:
        self._left_bytes = float(CONTENT_BYTES_PER_S)
        self._earned_ms = now_ms

    def cut(
        self, content: messages.Heartbeat, now_ms: float
    ) -> messages.Heartbeat:
        """Return a heartbeat, cut down if the budget is used up.

        The first states, which are the news, always go out.
        """
        elapsed_ms = now_ms - self._earned_ms
        self._earned_ms = now_ms
        earned = elapsed_ms * CONTENT_BYTES_PER_S / clocks.MS_PER_S
        self._left_bytes = min(self._left_bytes + earned, CONTENT_BYTES_PER_S)
        if self._left_bytes <= 0:
            content = content._replace(
                server_states=content.server_states[:STATES_OVER_BUDGET],
                server_shares=(),
            )
        names = [state.server_id for state in content.server_states]
        names += [share.server_id for share in content.server_shares]
        self._left_bytes -= sum(ENTRY_BYTES + len(name) for name in names)
        return content
