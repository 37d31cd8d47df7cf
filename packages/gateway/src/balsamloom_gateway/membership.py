"""Order of members: who follows whom and who holds a program's budget."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from balsamloom_gateway import traffic

# Members that read the store's records from one member.
FOLLOWERS_MAX = 8
# Members for each one that holds budgets. Few holders record many blocks in
# one transaction.
MEMBERS_PER_HOLDER = 16
# Members asked for a budget: the holder and its standbys.
HOLDERS = 3
ADDRESSES_MAX = 64


def source_of(
    name: str, members: Sequence[traffic.Member]
) -> traffic.Member | None:
    """Return the member that a member reads the store's records from.

    The members form a tree in the order of their names.

    :return: ``None`` if the member reads the store itself.
    """
    before = sum(member.name < name for member in members)
    if before == 0:
        return None
    return members[(before - 1) // FOLLOWERS_MAX]


def rank_of(name: str, members: Sequence[traffic.Member]) -> int:
    """Return how many members stand before a member."""
    return sum(member.name < name for member in members)


def budget_holders(
    program_id: str, members: Sequence[traffic.Member]
) -> list[traffic.Member]:
    """Return the members to ask for a program's budget, the first one first.

    The first one is a member at the start of the order, the others are the
    standbys that follow it.

    :param members: registered members in the order of their names.
    """
    if not members:
        return []
    count = -(-len(members) // MEMBERS_PER_HOLDER)
    first = max(
        range(count),
        key=lambda place: _weight(program_id, members[place].name),
    )
    places = range(first, first + min(HOLDERS, len(members)))
    return [members[place % len(members)] for place in places]


def _weight(program_id: str, name: str) -> int:
    return zlib.crc32(f"{program_id}/{name}".encode())


def caller_addresses(
    members: Sequence[traffic.Member],
    own: traffic.Member | None,
    failure_domain: str,
) -> list[str]:
    """Return the addresses that a caller may use.

    :param own: this process if it takes requests; it may not be registered.
    :param failure_domain: where the caller is; its members come first.
    """
    known = {member.name: member for member in members}
    if own is not None:
        known[own.name] = own
    ordered = sorted(
        known.values(),
        key=lambda member: member.failure_domain != failure_domain,
    )
    return [member.caller_address for member in ordered[:ADDRESSES_MAX]]
