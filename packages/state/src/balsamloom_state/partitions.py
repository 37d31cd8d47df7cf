"""The partition map: which member owns which partition, in which epoch."""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_platform import store as stores

KEY = "/balsamloom/map"
DEFAULT_PARTITION_COUNT = 256
FIRST_EPOCH = 1
# After a race the loser waits a random time up to this one.
RACE_DELAY_MS = 50


class Member(NamedTuple):
    """One run of an entry process."""

    member_id: str
    http_address: str
    peer_address: str
    failure_domain: str
    is_leaving: bool = False


class Ownership(NamedTuple):
    """Owner of a partition; the epoch rises at each change of owner."""

    member_id: str
    epoch: int


class Import(NamedTuple):
    """Partitions that a member has still to read from a sealed journal.

    ``epochs`` has, for each partition, the epoch in which the journal's owner
    held it.
    """

    journal_id: str
    importer_id: str
    partitions: tuple[int, ...]
    epochs: tuple[int, ...] = ()


class PartitionMap(NamedTuple):
    """Members and owners, as one value in the store.

    ``retired`` names journals that nobody needs any more and that are to be
    deleted.
    """

    version: int
    partition_count: int
    members: dict[str, Member]
    owners: dict[int, Ownership]
    imports: tuple[Import, ...]
    retired: tuple[str, ...] = ()

    def owner_of(self, partition: int) -> Member | None:
        """Return the owner of a partition, if it has one."""
        ownership = self.owners.get(partition)
        return self.members.get(ownership.member_id) if ownership else None

    def partitions_of(self, member_id: str) -> list[int]:
        """Return the partitions that a member owns, in order."""
        return sorted(
            number
            for number, ownership in self.owners.items()
            if ownership.member_id == member_id
        )


EMPTY = PartitionMap(0, DEFAULT_PARTITION_COUNT, {}, {}, ())

Change = Callable[[PartitionMap], PartitionMap | None]


def encode(partition_map: PartitionMap) -> bytes:
    """Return the map as the value kept in the store.

    :param partition_map: map to encode.
    """
    document: dict[str, Any] = {
        "version": partition_map.version,
        "partition_count": partition_map.partition_count,
        "members": [list(member) for member in partition_map.members.values()],
        "owners": [
            [number, *ownership]
            for number, ownership in sorted(partition_map.owners.items())
        ],
        "imports": [list(entry) for entry in partition_map.imports],
        "retired": list(partition_map.retired),
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(value: bytes) -> PartitionMap:
    """Return the map kept in a value.

    :param value: bytes from :func:`encode`.
    """
    document = json.loads(value)
    members = [Member(*fields) for fields in document["members"]]
    return PartitionMap(
        document["version"],
        document["partition_count"],
        {member.member_id: member for member in members},
        {
            number: Ownership(member_id, epoch)
            for number, member_id, epoch in document["owners"]
        },
        tuple(
            Import(journal, importer, tuple(partitions), tuple(epochs))
            for journal, importer, partitions, epochs in document["imports"]
        ),
        tuple(document.get("retired", ())),
    )


def load(store: stores.Store) -> tuple[PartitionMap, int]:
    """Read the map and its revision in the store.

    :param store: key-value service.
    :return: the map, and zero as revision if there is none yet.
    """
    item = store.get(KEY)
    if item is None:
        return EMPTY, 0
    return decode(item.value), item.mod_revision


def update(
    store: stores.Store,
    change: Change,
    clock: clocks.Clock | None = None,
    guard: Sequence[stores.Comparison] = (),
) -> PartitionMap:
    """Change the map by compare-and-swap, trying again after a race.

    The change must be safe to apply again: if an answer was lost, the caller
    tries again and the change is computed anew from the map as it then is. A
    change whose effect is present returns nothing.

    :param store: key-value service.
    :param change: gives the new map, or nothing to leave it as it is.
    :param clock: time source of the waits between tries.
    :param guard: further comparisons on which the change depends.
    :raises StoreUnavailable: if the store does not answer.
    :raises BalsamloomError: with ``WRONG_OWNER`` if the guard does not hold.
    """
    current, revision = load(store)
    while True:
        wanted = change(current)
        if wanted is None:
            return current
        wanted = wanted._replace(version=current.version + 1)
        comparison: stores.Comparison = stores.KeyAbsent(KEY)
        if revision:
            comparison = stores.RevisionIs(KEY, revision)
        put = stores.Put(KEY, encode(wanted))
        match store.commit([comparison, *guard], [put]):
            case stores.Committed():
                return wanted
            case stores.Conflict(current=found):
                item = found.get(KEY)
        if not all(_holds(condition, found) for condition in guard):
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        (clock or clocks.Clock()).sleep(random.uniform(0, RACE_DELAY_MS))
        current, revision = EMPTY, 0
        if item is not None:
            current, revision = decode(item.value), item.mod_revision


def with_retired(found: PartitionMap, candidates: set[str]) -> PartitionMap:
    """Retire journals that no import names.

    :param found: map as it is.
    :param candidates: sealed journals.
    """
    needed = {entry.journal_id for entry in found.imports}
    retired = (candidates - needed) | set(found.retired)
    return found._replace(retired=tuple(sorted(retired)))


def _holds(
    condition: stores.Comparison, current: dict[str, stores.Item]
) -> bool:
    item = current.get(condition.key)
    match condition:
        case stores.KeyAbsent():
            return item is None
        case stores.RevisionIs(mod_revision=revision):
            return item is not None and item.mod_revision == revision


def rank(key: str, member_ids: Iterable[str]) -> list[str]:
    """Order members for a key by rendezvous hashing.

    :param key: what is to be placed.
    :param member_ids: candidates.
    """
    return sorted(member_ids, key=lambda member: _weight(key, member))


def _weight(key: str, member_id: str) -> bytes:
    return hashlib.blake2b(
        f"{key}|{member_id}".encode(), digest_size=8
    ).digest()
