"""Distribution of the fleet's commit rate among its members.

The members may commit at ``commits_per_s`` on average, so that the fleet stays
within the rate of the key-value service. Equal rates did not fit uneven load:
a member with one chain of tool calls waited 290 ms for each commit while the
others were idle.
"""

from __future__ import annotations

from collections.abc import Collection

# Weight of a member without calls, so that its next call can commit.
IDLE_WEIGHT = 0.1


def rate_per_s(
    commits_per_s: float,
    own_calls: int,
    peer_calls: Collection[int],
    member_count: int,
) -> float:
    """Return the commit rate of this member.

    The rates of all members add up to their number times ``commits_per_s``
    if all know the same call counts. Counts come with heartbeats and are at
    most 0.5 s old.

    :param commits_per_s: average rate of a member.
    :param own_calls: calls in progress at this member.
    :param peer_calls: calls in progress at each peer that sends heartbeats.
    :param member_count: number of members, including those without heartbeats.
    """
    own = own_calls + IDLE_WEIGHT
    known = own + sum(calls + IDLE_WEIGHT for calls in peer_calls)
    # Members that send no heartbeats here are assumed to be of average load.
    total = known * max(member_count / (1 + len(peer_calls)), 1)
    return commits_per_s * member_count * own / total
