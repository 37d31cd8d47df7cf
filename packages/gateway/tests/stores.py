"""In-memory key-value store for the gateway's tests."""

from __future__ import annotations

import bisect
import threading
import time

from balsamloom_gateway import interfaces


class Store:
    """In-memory key-value store that can simulate failures."""

    def __init__(self) -> None:
        self.items: dict[str, interfaces.Item] = {}
        self.revision = 0
        self.error: interfaces.StoreError | None = None
        # Transactions take effect, but their answers are lost.
        self.loses_answers = False
        self.has_history = True
        # A watch ends with the revision in which it has this many changes.
        self.max_changes: int | None = None
        # A watch names this revision, whatever the store has.
        self.reported_revision: int | None = None
        # The call after which all others fail.
        self._last_call: str | None = None
        self.changes: list[interfaces.Change] = []
        self.calls: list[str] = []
        self.leases: dict[int, set[str]] = {}
        self.lock = threading.Lock()

    def put(self, key: str, value: bytes) -> None:
        """Write a key on behalf of another client."""
        with self.lock:
            self._write(key, value, self.revision + 1)

    def delete(self, key: str) -> None:
        """Delete a key on behalf of another client."""
        with self.lock:
            self._delete(key, self.revision + 1)

    def list_page(
        self, prefix: str, after: str, may_be_stale: bool
    ) -> interfaces.Page:
        """Return the items under a prefix in a single page."""
        self._check("list")
        with self.lock:
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return interfaces.Page(tuple(found), False, self.revision)

    def current_revision(self) -> int:
        """Return the latest revision."""
        self._check("revision")
        return self.revision

    def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> interfaces.Changes:
        """Return the changes since a revision without waiting."""
        self._check("watch")
        if not self.has_history:
            raise interfaces.HistoryCompactedError("dropped")
        with self.lock:
            newer = bisect.bisect_right(self.changes, revision, key=_revision)
            found = [
                change
                for change in self.changes[newer:]
                if change.key.startswith(prefix)
            ]
            until = self.revision
        if self.max_changes is not None and len(found) > self.max_changes:
            until = found[self.max_changes - 1].revision
            # All changes of a transaction have the same revision.
            del found[bisect.bisect_right(found, until, key=_revision) :]
        if self.reported_revision is not None:
            until = self.reported_revision
        return interfaces.Changes(tuple(found), until)

    def transact(self, conditions, writes, deletes=()):
        """Apply all writes and deletes if all conditions hold, else none."""
        if not self.loses_answers:
            self._check("transact")
        with self.lock:
            named = {
                condition.key: self.items[condition.key]
                for condition in conditions
                if condition.key in self.items
            }
            for key, revision in conditions:
                item = self.items.get(key)
                if (item.revision if item else 0) != revision:
                    return interfaces.Conflict(named)
            revision = self.revision + 1
            for write in writes:
                self._write(write.key, write.value, revision)
                if write.lease_id:
                    self.leases[write.lease_id].add(write.key)
            for key in deletes:
                self._delete(key, revision)
            committed = interfaces.Committed(self.revision)
        if self.loses_answers:
            raise interfaces.StoreOutcomeUnknownError("lost")
        return committed

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its identifier."""
        self._check("grant")
        lease_id = len(self.leases) + 1
        self.leases[lease_id] = set()
        return lease_id

    def renew_lease(self, lease_id: int) -> bool:
        """Return whether a lease still exists."""
        self._check("keep")
        return lease_id in self.leases

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        self._check("end")
        for key in self.leases.pop(lease_id, set()):
            self.delete(key)

    def fail_after(self, call: str) -> None:
        """Fail all calls after the next one of a kind."""
        self._last_call = call

    def _check(self, call: str) -> None:
        self.calls.append(call)
        if self.error is not None:
            raise self.error
        if call == self._last_call:
            self.error = interfaces.StoreUnavailableError("down")

    def _write(self, key: str, value: bytes, revision: int) -> None:
        self.revision = revision
        item = interfaces.Item(key, value, revision)
        self.items[key] = item
        self.changes.append(item)

    def _delete(self, key: str, revision: int) -> None:
        if self.items.pop(key, None) is not None:
            self.revision = revision
            self.changes.append(interfaces.Deletion(key, revision))


class SlowStore(Store):
    """Store whose transactions all succeed, each after the same time.

    :param write_ms: duration of a transaction.
    """

    def __init__(self, write_ms: float) -> None:
        super().__init__()
        self.write_ms = write_ms

    def transact(self, conditions, writes, deletes=()):
        """Apply a transaction after the time that it takes."""
        time.sleep(self.write_ms / 1_000)
        return super().transact(conditions, writes, deletes)


def _revision(change: interfaces.Change) -> int:
    return change.revision
