"""Replication tree, budget holders and server groups of the members.

All are computed from the registered members, sorted by name, so that members
with the same view agree without further messages.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from balsamloom_gateway import holder_order, traffic

# Members that read the store's records from the same member.
MAX_FOLLOWERS = 8
# Members per primary budget holder. With few holders, each records many
# blocks in one transaction.
MEMBERS_PER_HOLDER = 16
# Holders of a program's budget: the primary and its standbys.
MAX_HOLDERS = 4
# Servers of a service per group of holders. Smaller groups leave a holder
# too few servers to choose from.
MIN_SERVERS_PER_GROUP = 4
MAX_CALLER_ADDRESSES = 64


def source_of(
    name: str, members: Sequence[traffic.Member]
) -> traffic.Member | None:
    """Return the member from which a member reads the store's records.

    The members form a tree, with the first member by name at its root. What
    is not registered, such as a storage host, reads from any of them.

    :return: ``None`` if the member reads the store itself.
    """
    rank = _reading_rank(name, members)
    if rank is None:
        return None
    return members[rank]


def level_of(name: str, members: Sequence[traffic.Member]) -> int:
    """Return the depth of a member in the tree; 0 if it reads the store."""
    level = 0
    rank = _reading_rank(name, members)
    while rank is not None:
        rank = _source_rank(rank)
        level += 1
    return level


def _reading_rank(name: str, members: Sequence[traffic.Member]) -> int | None:
    """Return the rank of a process's source, ``None`` if it has none."""
    rank = rank_of(name, members)
    is_registered = rank < len(members) and members[rank].name == name
    if is_registered or not rank:
        return _source_rank(rank)
    # Otherwise all storage hosts, which sort alike, would read from one.
    return zlib.crc32(name.encode()) % len(members)


def _source_rank(rank: int) -> int | None:
    """Return the rank of the source of the member at a rank, if any."""
    return (rank - 1) // MAX_FOLLOWERS if rank else None


def rank_of(name: str, members: Sequence[traffic.Member]) -> int:
    """Return how many members precede a member in the order of names."""
    return sum(member.name < name for member in members)


def budget_holders(
    program_id: str, members: Sequence[traffic.Member]
) -> list[traffic.Member]:
    """Return a program's budget holders: the primary, then its standbys.

    The primary is chosen by rendezvous hashing among the first members in the
    order of holders. The standbys are the next members in it, from different
    failure domains where possible, so that one fault rarely affects all
    holders.

    :param members: registered members, sorted by name.
    """
    if not members:
        return []
    ordered = holder_order.sort(members)
    first = max(
        range(holder_count(members)),
        key=lambda rank: _weight(program_id, ordered[rank].name),
    )
    ring = [*ordered[first:], *ordered[:first]]
    found = ring[:1]
    domains = {ring[0].failure_domain}
    for member in ring[1:]:
        if len(found) < MAX_HOLDERS and member.failure_domain not in domains:
            found.append(member)
            domains.add(member.failure_domain)
    rest = [member for member in ring if member not in found]
    return [*found, *rest[: MAX_HOLDERS - len(found)]]


def may_inherit(
    name: str, lost: traffic.Member, members: Sequence[traffic.Member]
) -> bool:
    """Return whether a loss may make a member the primary of old programs.

    The programs of a lost primary may move to any other. The loss of another
    member may change the primaries, and shifts the ranks after it.

    :param members: registered members without the lost one, sorted by name.
    """
    before = sorted([*(one for one in members if one.name != lost.name), lost])
    former = primaries(before)
    if lost.name in former or former != primaries(members):
        return True
    names = [member.name for member in holder_order.sort(before)]
    return name not in names or names.index(lost.name) < names.index(name)


def preferred_servers(
    name: str,
    members: Sequence[traffic.Member],
    servers: Sequence[traffic.BackendServer],
) -> frozenset[str] | None:
    """Return the servers on which a budget holder places turns first.

    The servers of each service are divided into groups of equal size. Servers
    of other groups run turns of other holders, which this one does not see.

    :return: ``None`` if the member is not a primary holder and chooses among
        all servers.
    """
    holders = holder_count(members)
    names = [one.name for one in holder_order.sort(members)[:holders]]
    if name not in names:
        return None
    rank = names.index(name)
    found: set[str] = set()
    for service in {server.service for server in servers}:
        names = [one.server_id for one in servers if one.service == service]
        groups = min(holders, max(len(names) // MIN_SERVERS_PER_GROUP, 1))
        assigned = _assign_groups(names, groups)
        found.update(
            server_id
            for server_id, group in assigned.items()
            if group == rank % groups
        )
    return frozenset(found)


def _assign_groups(names: Sequence[str], groups: int) -> dict[str, int]:
    """Distribute names evenly over numbered groups.

    Rendezvous hashing with a capacity per group: each name goes to the group
    with its greatest weight that is not full, so that few names move when
    one is added or removed.
    """
    capacity = -(-len(names) // groups)
    sizes = [0] * groups
    assigned: dict[str, int] = {}
    for name in sorted(names, key=lambda found: _weight(found, "order")):
        group = max(
            (group for group in range(groups) if sizes[group] < capacity),
            key=lambda group: _weight(name, str(group)),
        )
        sizes[group] += 1
        assigned[name] = group
    return assigned


def holder_count(members: Sequence[traffic.Member]) -> int:
    """Return how many members are primary budget holders."""
    return _holder_count(len(members))


def primaries(members: Sequence[traffic.Member]) -> frozenset[str]:
    """Return the names of all members that are primary for some programs.

    :param members: registered members, sorted by name.
    """
    ordered = holder_order.sort(members)
    return frozenset(
        member.name for member in ordered[: holder_count(members)]
    )


def _holder_count(size: int) -> int:
    return -(-size // MEMBERS_PER_HOLDER)


def _weight(program_id: str, name: str) -> int:
    return zlib.crc32(f"{program_id}/{name}".encode())


def caller_addresses(
    members: Sequence[traffic.Member],
    own: traffic.Member | None,
    failure_domain: str,
) -> list[str]:
    """Return the addresses that a caller may use.

    :param own: this process if it accepts requests; it need not be registered.
    :param failure_domain: caller's failure domain; its members come first.
    """
    known = {member.name: member for member in members}
    if own is not None:
        known[own.name] = own
    ordered = sorted(
        known.values(),
        key=lambda member: member.failure_domain != failure_domain,
    )
    return [member.caller_address for member in ordered[:MAX_CALLER_ADDRESSES]]
