"""Order in which members become the holders of budgets.

A holder serves the turns of many other members, so those with the most
processor capacity come first, from the failure domains in turn.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Sequence

from balsamloom_gateway import incarnations, traffic

# Views of the members between which a process changes back and forth.
MAX_CACHED_VIEWS = 8


def sort(members: Sequence[traffic.Member]) -> tuple[traffic.Member, ...]:
    """Return members in the order of holders.

    While the build of one does not tell its capacity, that is the order of
    names for all, as in that build, so that builds side by side agree.

    :param members: registered members, sorted by name.
    """
    return _sort(tuple(members))


@functools.lru_cache(MAX_CACHED_VIEWS)
def _sort(members: tuple[traffic.Member, ...]) -> tuple[traffic.Member, ...]:
    capacities: dict[str, int] = {}
    for member in members:
        capacity = incarnations.capacity_millicores(member.incarnation)
        if capacity is None:
            return members
        capacities[member.name] = capacity
    # Members of the same capacity and failure domain so far.
    counts: collections.Counter[tuple[int, str]] = collections.Counter()
    keys: dict[str, tuple[int, int, str]] = {}
    for member in members:
        capacity = capacities[member.name]
        place = counts[capacity, member.failure_domain]
        counts[capacity, member.failure_domain] += 1
        keys[member.name] = (-capacity, place, member.name)
    return tuple(sorted(members, key=lambda member: keys[member.name]))
