"""Sharing of the fleet's commit rate among its members.

Each member may commit at ``commits_per_s`` on average, so that the fleet stays
within the key-value service's rate. Demand is uneven: a member with a single
chain of tool calls waited 290 ms for each commit while the others were idle.
"""

from __future__ import annotations

from collections.abc import Collection

# Weight of a member without calls, so that its next call finds some rate.
IDLE_WEIGHT = 0.1


def rate_per_s(
    commits_per_s: float,
    own_calls: int,
    peer_calls: Collection[int],
    member_count: int,
) -> float:
    """Return the commit rate of this member.

    The rates of all members add up to their number times ``commits_per_s``
    if they know the same numbers; heartbeats are half a second old at most.

    :param commits_per_s: average rate of a member.
    :param own_calls: calls in progress here.
    :param peer_calls: calls in progress at the peers that are known.
    :param member_count: number of members, known here or not.
    """
    own = own_calls + IDLE_WEIGHT
    known = own + sum(calls + IDLE_WEIGHT for calls in peer_calls)
    # Peers that send no heartbeats here are taken to be as busy as the others.
    total = known * max(member_count / (1 + len(peer_calls)), 1)
    return commits_per_s * member_count * own / total
