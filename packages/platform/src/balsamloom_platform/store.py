"""The platform's key-value service.

:class:`Store` is the interface; :mod:`balsamloom_platform.etcd_gateway` is the
client of the JSON gateway of the etcd v3 API. Keys are text, values are at
most :data:`MAX_VALUE_BYTES` bytes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

from balsamloom_core import errors, results

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_MS = 2_000


class StoreUnavailable(errors.BalsamloomError):
    """A request to the key-value service failed.

    :param message: cause.
    :param may_have_applied: whether a write may have been applied
        nevertheless.
    """

    def __init__(self, message: str, may_have_applied: bool) -> None:
        super().__init__(results.ResultCode.STORE_UNAVAILABLE, message)
        self.may_have_applied = may_have_applied


class Item(NamedTuple):
    """Key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


class Page(NamedTuple):
    """Items in key order; ``more`` is set if the limit left some out."""

    items: list[Item]
    more: bool
    revision: int


@dataclasses.dataclass(frozen=True)
class KeyAbsent:
    """Comparison that holds if the key does not exist."""

    key: str


@dataclasses.dataclass(frozen=True)
class RevisionIs:
    """Comparison that holds if the key was last modified at a revision."""

    key: str
    mod_revision: int


Comparison = KeyAbsent | RevisionIs


@dataclasses.dataclass(frozen=True)
class Put:
    """Operation that writes a value."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """Operation that deletes a key."""

    key: str


Operation = Put | Delete


@dataclasses.dataclass(frozen=True)
class Committed:
    """All comparisons held and all operations were applied."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A comparison failed; ``current`` has the compared keys that exist."""

    revision: int
    current: dict[str, Item]


class Change(NamedTuple):
    """Change reported by a watch; ``item`` is ``None`` for a deletion."""

    key: str
    item: Item | None
    revision: int


class Store(Protocol):
    """Interface of the key-value service."""

    def get(
        self, key: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> Item | None:
        """Return the item of a key, ``None`` if the key does not exist."""

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Page:
        """Return the items with a prefix, from ``start``, in key order."""

    def commit(
        self,
        comparisons: Sequence[Comparison],
        operations: Sequence[Operation],
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Committed | Conflict:
        """Apply all operations if all comparisons hold."""

    def watch(
        self, prefix: str, from_revision: int, timeout_ms: int
    ) -> Iterator[list[Change]]:
        """Yield changes as they arrive, until none does in a timeout."""

    def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease and return its identifier."""

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return false if it has expired."""

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes its keys."""
