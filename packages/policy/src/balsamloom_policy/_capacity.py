"""Division of each server's slots among this process and its peers."""

from __future__ import annotations

import math

from balsamloom_policy import _policies, _servers, calls, limits, settings


class Capacity:
    """Divides the servers' slots among the processes that share them.

    Not thread-safe; the caller must hold the dispatcher's lock.
    """

    def __init__(self) -> None:
        self.member_count = 1
        self._peers: dict[str, dict[str, limits.PeerShare]] = {}

    def set_member_count(self, count: int) -> bool:
        """Set the number of processes; return whether it changed."""
        previous = self.member_count
        self.member_count = max(count, 1)
        return previous != self.member_count

    def update_peer_shares(
        self,
        member_id: str,
        shares: list[calls.ServerShare],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> None:
        """Replace a peer's shares and drop peers whose shares expired."""
        self._peers[member_id] = {
            share.server_id: limits.PeerShare(share, now_ms)
            for share in shares
        }
        valid_ms = values.peer_valid_ms
        for name, peer_shares in list(self._peers.items()):
            if all(
                now_ms - share.received_ms > valid_ms
                for share in peer_shares.values()
            ):
                del self._peers[name]

    def starting_limit(
        self, server: calls.Server, policies: _policies.Policies
    ) -> float:
        """Return the limit of a server without samples."""
        return limits.starting_limit(
            policies.limits, server, self.member_count, policies.values
        )

    def update_slots(
        self,
        state: _servers.ServerState,
        now_ms: float,
        policies: _policies.Policies,
    ) -> None:
        """Recompute a server's concurrency limit and its load from peers."""
        peers = self._fresh_shares(
            state.server.server_id, now_ms, policies.values
        )
        state.peer_in_flight = sum(peer.in_flight for peer in peers)
        state.peer_ejections = sum(peer.is_ejected for peer in peers)
        if not policies.has_limit:
            state.slots = math.inf
            return
        cap = limits.cap(state, peers, self.member_count, policies.values)
        state.slots = min(state.limit, cap)

    def _fresh_shares(
        self, server_id: str, now_ms: float, values: settings.PolicySettings
    ) -> list[calls.ServerShare]:
        found = [shares.get(server_id) for shares in self._peers.values()]
        return [
            peer_share.share
            for peer_share in found
            if peer_share is not None
            and now_ms - peer_share.received_ms <= values.peer_valid_ms
        ]
