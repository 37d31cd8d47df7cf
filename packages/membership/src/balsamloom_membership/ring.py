"""Which members a member sends heartbeats to."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

MAX_WATCHED = 6


def successors(
    self_id: str,
    peers: Collection[str],
    dead: Collection[str],
    watched_peers: int,
) -> list[str]:
    """Return the successors on the ring of member ids.

    Confirmed dead members stay watched, in case they answer again, and
    are replaced by further ones up to twice the usual number.
    """
    ring = _ring([*peers, self_id])
    start = ring.index(self_id) + 1
    following = (ring[start:] + ring)[: len(peers)]
    limit = min(watched_peers, MAX_WATCHED)
    chosen: list[str] = []
    live = 0
    for member_id in following:
        if live == limit or len(chosen) == 2 * limit:
            break
        chosen.append(member_id)
        live += member_id not in dead
    return chosen


def _ring(names: Iterable[str]) -> list[str]:
    return sorted(names, key=_place)


def _place(member_id: str) -> bytes:
    return hashlib.blake2b(member_id.encode(), digest_size=8).digest()
