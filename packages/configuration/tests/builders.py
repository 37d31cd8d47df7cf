"""Test data for configuration, and an in-memory store with faults."""

import logging
import threading
import time

from balsamloom_configuration import distribution, editing
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_platform import store as stores


def server(server_id, **fields):
    return {"id": server_id, "address": "127.0.0.1:9001", **fields}


def models(name="booking-7b", *server_ids, **fields):
    servers = [server(found) for found in server_ids or (f"{name}-1",)]
    return {name: {"servers": servers, **fields}}


def customers(share=1.0):
    return {"indus-restwell": {"share": share}}


def edit(section, content, base_revision=0, author="asha", comment="test"):
    return editing.Edit(
        section,
        content,
        base_revision,
        author,
        comment,
        editing.new_edit_id(),
    )


class RejectionHandler(logging.Handler):
    """Log handler that sets ``seen`` when a configuration is rejected."""

    def __init__(self):
        super().__init__()
        self.seen = threading.Event()

    def emit(self, record):
        if record.event == events.Event.CONFIGURATION_REJECTED:
            self.seen.set()


class FakeStore:
    """In-memory key-value service with injected faults.

    ``is_down`` fails every call. ``lost_answers`` is the number of commits
    that take effect but fail, ``lost_requests`` the number that fail the same
    way without effect. ``stale_reads`` is the number of reads answered from
    ``stale_items``. ``before_commit`` runs once before the next commit. Each
    watch releases ``watches``; with ``ends_watches`` it ends at once.
    """

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.is_down = False
        self.lost_answers = 0
        self.lost_requests = 0
        self.stale_reads = 0
        self.stale_items = {}
        self.before_commit = None
        self.watches = threading.Semaphore(0)
        self.ends_watches = False
        self.changes = []
        self.changed = threading.Condition()

    def get(self, key, timeout_ms=0):
        return self._items_for_read().get(key)

    def list_keys(self, prefix, limit=0, start="", timeout_ms=0):
        found = [
            item
            for key, item in sorted(self._items_for_read().items())
            if key.startswith(prefix) and key >= start
        ]
        return stores.Page(found, False, self.revision)

    def commit(self, comparisons, operations, timeout_ms=0):
        hook, self.before_commit = self.before_commit, None
        if hook:
            hook()
        self._raise_if_down(True)
        if self.lost_requests:
            self.lost_requests -= 1
            raise stores.StoreUnavailable("request lost", True)
        with self.changed:
            if not all(self._is_satisfied(found) for found in comparisons):
                return stores.Conflict(self.revision, {})
            self.revision += 1
            for operation in operations:
                self._apply_operation(operation)
            self.changed.notify_all()
        if self.lost_answers:
            self.lost_answers -= 1
            raise stores.StoreUnavailable("answer lost", True)
        return stores.Committed(self.revision)

    def watch(self, prefix, from_revision, timeout_ms):
        self.watches.release()
        if self.ends_watches:
            return
        end_s = time.monotonic() + timeout_ms / 1000
        while time.monotonic() < end_s:
            self._raise_if_down(False)
            with self.changed:
                found = [
                    change
                    for change in self.changes
                    if change.revision >= from_revision
                    and change.key.startswith(prefix)
                ]
                if not found:
                    self.changed.wait(0.02)
            if found:
                from_revision = found[-1].revision + 1
                yield found

    def _items_for_read(self):
        self._raise_if_down(False)
        if self.stale_reads:
            self.stale_reads -= 1
            return self.stale_items
        return dict(self.items)

    def _raise_if_down(self, may_have_applied):
        if self.is_down:
            raise stores.StoreUnavailable("down", may_have_applied)

    def _is_satisfied(self, comparison):
        item = self.items.get(comparison.key)
        if isinstance(comparison, stores.KeyAbsent):
            return item is None
        return item is not None and (
            item.mod_revision == comparison.mod_revision
        )

    def _apply_operation(self, operation):
        key = operation.key
        if isinstance(operation, stores.Delete):
            self.items.pop(key, None)
            return
        item = stores.Item(key, operation.value, 0, self.revision)
        self.items[key] = item
        self.changes.append(stores.Change(key, item, self.revision))


def editor(store):
    return editing.Editor(store, clocks.Clock())


def active_configuration(
    store, is_watcher=False, peer_offers=lambda: (), clock=None
):
    return distribution.ActiveConfiguration(
        store, clock or clocks.Clock(), lambda: is_watcher, peer_offers
    )
