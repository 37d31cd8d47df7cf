"""Selection of the members that a member sends heartbeats to."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

MAX_WATCHED_PEERS = 6


def successors(
    self_id: str,
    peers: Collection[str],
    dead: Collection[str],
    watched_peers: int,
) -> list[str]:
    """Return the successors to watch on the hash ring of member ids.

    Members confirmed dead stay watched in case they answer again. Each adds a
    further successor, up to twice the usual number in total.
    """
    ring = _sorted_by_position([*peers, self_id])
    start = ring.index(self_id) + 1
    following = (ring[start:] + ring)[: len(peers)]
    limit = min(watched_peers, MAX_WATCHED_PEERS)
    chosen: list[str] = []
    live = 0
    for member_id in following:
        if live == limit or len(chosen) == 2 * limit:
            break
        chosen.append(member_id)
        live += member_id not in dead
    return chosen


def _sorted_by_position(names: Iterable[str]) -> list[str]:
    return sorted(names, key=_ring_position)


def _ring_position(member_id: str) -> bytes:
    return hashlib.blake2b(member_id.encode(), digest_size=8).digest()
