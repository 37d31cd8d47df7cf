"""The platform's key-value service.

:class:`Store` is the interface; :mod:`balsamloom_platform.etcd_gateway` speaks
the published JSON-over-HTTP gateway of the etcd v3 API. Keys are text, values
are bytes of at most :data:`MAX_VALUE_BYTES`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

from balsamloom_core import errors, results

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_MS = 2_000


class StoreUnavailable(errors.BalsamloomError):
    """The service did not answer.

    :param message: cause.
    :param may_have_applied: whether a write may have taken effect all the
        same.
    """

    def __init__(self, message: str, may_have_applied: bool) -> None:
        super().__init__(results.ResultCode.STORE_UNAVAILABLE, message)
        self.may_have_applied = may_have_applied


class Item(NamedTuple):
    """A key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


class Page(NamedTuple):
    """Items in key order; ``more`` says that the limit cut the list."""

    items: list[Item]
    more: bool
    revision: int


@dataclasses.dataclass(frozen=True)
class KeyAbsent:
    """Comparison that holds if the key does not exist."""

    key: str


@dataclasses.dataclass(frozen=True)
class RevisionIs:
    """Comparison that holds if the key was last changed at this revision."""

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
    """Operation that removes a key."""

    key: str


Operation = Put | Delete


@dataclasses.dataclass(frozen=True)
class Committed:
    """All comparisons held and all operations took effect."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A comparison failed; ``current`` has the compared keys that exist."""

    revision: int
    current: dict[str, Item]


class Change(NamedTuple):
    """One change seen by a watch; ``item`` is absent for a removal."""

    key: str
    item: Item | None
    revision: int


class Store(Protocol):
    """What balsamloom needs of the key-value service."""

    def get(
        self, key: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> Item | None:
        """Read one key."""

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Page:
        """Read keys with a prefix, from ``start`` on, in key order."""

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
        """Yield changes as they come; end when the timeout has passed."""

    def grant_lease(self, ttl_ms: int) -> int:
        """Return the identifier of a new lease."""

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; false if it has lapsed."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
