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
# Upper bound of the random delay before a retry after a conflicting write.
MAX_CONFLICT_DELAY_MS = 50


class Member(NamedTuple):
    """One run of an entry process."""

    member_id: str
    http_address: str
    peer_address: str
    failure_domain: str
    is_leaving: bool = False


class Ownership(NamedTuple):
    """Owner of a partition; each change of owner raises the epoch."""

    member_id: str
    epoch: int


class Import(NamedTuple):
    """Partitions that a member must still import from a sealed journal.

    ``epochs`` holds, for each partition, the epoch in which the journal's
    owner served it.
    """

    journal_id: str
    importer_id: str
    partitions: tuple[int, ...]
    epochs: tuple[int, ...] = ()


class PartitionMap(NamedTuple):
    """Members and partition owners, stored as one value.

    ``retired`` lists journals that are no longer needed and can be deleted.
    """

    version: int
    partition_count: int
    members: dict[str, Member]
    owners: dict[int, Ownership]
    imports: tuple[Import, ...]
    retired: tuple[str, ...] = ()

    def owner_of(self, partition: int) -> Member | None:
        """Return the owner of a partition, or none."""
        ownership = self.owners.get(partition)
        return self.members.get(ownership.member_id) if ownership else None

    def partitions_of(self, member_id: str) -> list[int]:
        """Return the partitions that a member owns, sorted."""
        return sorted(
            number
            for number, ownership in self.owners.items()
            if ownership.member_id == member_id
        )


EMPTY_MAP = PartitionMap(0, DEFAULT_PARTITION_COUNT, {}, {}, ())

MapChange = Callable[[PartitionMap], PartitionMap | None]


def encode(partition_map: PartitionMap) -> bytes:
    """Encode the map as a value for the store.

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
    """Decode a map from its value in the store.

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
    :return: map and revision; the revision is zero if no map exists yet.
    """
    item = store.get(KEY)
    if item is None:
        return EMPTY_MAP, 0
    return decode(item.value), item.mod_revision


def update(
    store: stores.Store,
    change: MapChange,
    clock: clocks.Clock | None = None,
    guard: Sequence[stores.Comparison] = (),
) -> PartitionMap:
    """Change the map by compare-and-swap, with retries after a conflict.

    The change must be idempotent: if an answer is lost, the caller retries and
    the change is computed from the map as it is then. A change whose effect is
    already present returns ``None``.

    :param store: key-value service.
    :param change: returns the new map, or ``None`` to keep the current one.
    :param clock: time source of the delays between attempts.
    :param guard: additional conditions of the write.
    :raises StoreUnavailable: if the store does not answer.
    :raises BalsamloomError: with ``WRONG_OWNER`` if the guard fails.
    """
    current, revision = load(store)
    while True:
        updated = change(current)
        if updated is None:
            return current
        updated = updated._replace(version=current.version + 1)
        comparison: stores.Comparison = stores.KeyAbsent(KEY)
        if revision:
            comparison = stores.RevisionIs(KEY, revision)
        put = stores.Put(KEY, encode(updated))
        match store.commit([comparison, *guard], [put]):
            case stores.Committed():
                return updated
            case stores.Conflict(current=found):
                item = found.get(KEY)
        if not all(_is_satisfied(condition, found) for condition in guard):
            raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
        (clock or clocks.Clock()).sleep(
            random.uniform(0, MAX_CONFLICT_DELAY_MS)
        )
        current, revision = EMPTY_MAP, 0
        if item is not None:
            current, revision = decode(item.value), item.mod_revision


def with_retired_journals(
    current: PartitionMap, candidates: set[str]
) -> PartitionMap:
    """Retire the sealed journals that no pending import needs.

    :param current: current map.
    :param candidates: sealed journals.
    """
    needed = {entry.journal_id for entry in current.imports}
    retired = (candidates - needed) | set(current.retired)
    return current._replace(retired=tuple(sorted(retired)))


def _is_satisfied(
    condition: stores.Comparison, current: dict[str, stores.Item]
) -> bool:
    item = current.get(condition.key)
    match condition:
        case stores.KeyAbsent():
            return item is None
        case stores.RevisionIs(mod_revision=revision):
            return item is not None and item.mod_revision == revision


def rank(key: str, member_ids: Iterable[str]) -> list[str]:
    """Rank members for a key by rendezvous hashing.

    :param key: name of the item to place.
    :param member_ids: candidates.
    :return: member ids, the preferred one first.
    """
    return sorted(member_ids, key=lambda member: _weight(key, member))


def _weight(key: str, member_id: str) -> bytes:
    return hashlib.blake2b(
        f"{key}|{member_id}".encode(), digest_size=8
    ).digest()
