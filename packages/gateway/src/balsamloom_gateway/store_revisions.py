"""Revisions of the store that its answers show, with their times."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import interfaces


class Observation(NamedTuple):
    """Revision that the store had reached at most at a time.

    A copy that is complete up to ``revision`` shows all that was in the store
    at ``as_of_ms``.
    """

    revision: int
    as_of_ms: float


class ObservedStore:
    """Store client that keeps the latest revision seen in an answer.

    :param store: client that makes the calls.
    :param clock: time source.
    """

    def __init__(
        self, store: interfaces.KeyValueStore, clock: clocks.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._latest: Observation | None = None

    @property
    def latest(self) -> Observation | None:
        """Return the latest observation, if there is one."""
        return self._latest

    def observe(self) -> Observation:
        """Ask the store for its revision.

        :raises StoreError: the call failed.
        """
        sent_ms = self._clock.now_ms()
        return self._record(self._store.current_revision(), sent_ms)

    def current_revision(self) -> int:
        """Return the store's revision."""
        return self.observe().revision

    def list_page(
        self, prefix: str, after: str, may_be_stale: bool
    ) -> interfaces.Page:
        """Return the items under a prefix that sort after a given key."""
        return self._store.list_page(prefix, after, may_be_stale)

    def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> interfaces.Changes:
        """Return the changes since a revision, or a part of them."""
        return self._store.watch(prefix, revision, wait_ms)

    def transact(
        self,
        conditions: Sequence[interfaces.Condition],
        writes: Sequence[interfaces.Write],
        deletes: Sequence[str] = (),
    ) -> interfaces.TransactionResult:
        """Apply all writes and deletes if all conditions hold, else none."""
        sent_ms = self._clock.now_ms()
        result = self._store.transact(conditions, writes, deletes)
        match result:
            case interfaces.Committed(revision):
                self._record(revision, sent_ms)
            case _:
                pass
        return result

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its identifier."""
        return self._store.grant_lease(ttl_ms)

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return whether it still existed."""
        return self._store.renew_lease(lease_id)

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        self._store.revoke_lease(lease_id)

    def _record(self, revision: int, sent_ms: float) -> Observation:
        found = Observation(revision, sent_ms)
        with self._lock:
            if self._latest is None or self._latest.as_of_ms < sent_ms:
                self._latest = found
        return found
