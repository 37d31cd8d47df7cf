"""Blocked links between entry processes, for tests of network partitions."""

from __future__ import annotations

import threading


class BlockedLinks:
    """Peers that this process treats as unreachable, for fault injection.

    The peers can be changed at run time. An entry process allows it only if
    its setting ``fault_injection`` is on.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._outgoing: frozenset[str] = frozenset()
        self._incoming: frozenset[str] = frozenset()

    def block(
        self, peer: str, outgoing: bool = True, incoming: bool = True
    ) -> None:
        """Block the link to a peer.

        :param peer: member id or peer address.
        :param outgoing: whether requests to the peer are blocked.
        :param incoming: whether requests from the peer are blocked.
        """
        with self._lock:
            if outgoing:
                self._outgoing |= {peer}
            if incoming:
                self._incoming |= {peer}

    def unblock(self, peer: str) -> None:
        """Restore both directions of the link to a peer.

        :param peer: member id or peer address given to :meth:`block`.
        """
        with self._lock:
            self._outgoing -= {peer}
            self._incoming -= {peer}

    def clear(self) -> None:
        """Restore all links."""
        with self._lock:
            self._outgoing = frozenset()
            self._incoming = frozenset()

    def blocks_outgoing(self, *peers: str) -> bool:
        """Return whether requests to any of these names are blocked.

        :param peers: names of one peer, its member id and its address.
        """
        return not self._outgoing.isdisjoint(peers)

    def blocks_incoming(self, *peers: str) -> bool:
        """Return whether requests from any of these names are blocked.

        :param peers: names of one peer, its member id and its address.
        """
        return not self._incoming.isdisjoint(peers)
