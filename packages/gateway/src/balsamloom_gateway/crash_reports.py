"""Reports of crashes under requests, shared through the store.

The store keeps them while processes restart, and each process follows it. A
crash has a key of its own, so that writes need no conditions and may be
repeated.
"""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable, Iterable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    crash_ledger,
    interfaces,
    json_parsing,
    traffic,
)

MAX_OPERATIONS = 32
# The oldest waiting writes are given up beyond this number.
MAX_PENDING = 1_000
MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 2_000.0
CLEANUP_INTERVAL_MS = 30_000.0


class CrashReports:
    """Records crashes under requests and follows those of other processes.

    :param store: platform's store.
    :param records: keys of the records.
    :param rank: returns this member's place among the members.
    :param clock: time source.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        rank: Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._records = records
        self._rank = rank
        self._clock = clock
        self._ledger = crash_ledger.CrashLedger()
        self._lock = threading.Lock()
        self._work = threading.Event()
        # Value to write by key, None to delete it.
        self._pending: dict[str, bytes | None] = {}
        self.on_crash: Callable[[crash_ledger.Crash], None] = callbacks.ignore

    def apply(self, changes: list[interfaces.Change]) -> None:
        """Apply changed records of crashes."""
        for change in changes:
            match self._records.kind(change.key), change:
                case interfaces.CrashRecord(), interfaces.Item():
                    self._apply_crash(change)
                case (
                    interfaces.CrashRecord(target_id, body_id, run),
                    interfaces.Deletion(),
                ):
                    key = crash_ledger.RequestKey(target_id, body_id)
                    self._ledger.remove(key, run)
                case interfaces.SharedTargetRecord(target), interfaces.Item():
                    self._ledger.share_target(target)
                case (
                    interfaces.SharedTargetRecord(target),
                    interfaces.Deletion(),
                ):
                    self._ledger.unshare_target(target)
                case _:
                    pass

    def report(
        self,
        key: crash_ledger.RequestKey,
        server: traffic.BackendServer,
        request_id: str,
    ) -> None:
        """Record that a server crashed while it had a request."""
        run = f"{server.server_id}.{server.incarnation}"
        crash = crash_ledger.Crash(key, run, self._clock.wall_ms())
        if not self._ledger.add(crash):
            return
        events.log(
            events.Event.SERVER_CRASHED,
            logging.WARNING,
            request_id=request_id,
            server_id=server.server_id,
            incarnation=server.incarnation,
            target_id=key.target_id,
            body_id=key.body_id,
            crashes=self._ledger.count(key),
        )
        record_key = self._records.crash_key(*key, run)
        self._enqueue({record_key: _encode(crash)})
        self.on_crash(crash)
        self._share_target(key.target_id)

    def add(self, crashes: Iterable[crash_ledger.Crash]) -> None:
        """Add crashes that another member recorded."""
        for crash in crashes:
            self._ledger.add(crash)
            self._share_target(crash.key.target_id)

    def record_served(self, key: crash_ledger.RequestKey) -> None:
        """Record that a server answered a request without a crash."""
        cleared = self._ledger.record_served(key)
        if not cleared and not self._ledger.must_share(key.target_id):
            return
        self._remove(cleared)
        self._share_target(key.target_id)

    def blocked_ms(self, key: crash_ledger.RequestKey) -> float | None:
        """Return how long a request may not run, ``None`` if it may."""
        until_ms = self._ledger.blocked_until_ms(key)
        if until_ms is None:
            return None
        left_ms = until_ms - self._clock.wall_ms()
        return left_ms if left_ms > 0 else None

    def run(self) -> None:
        """Write pending changes; the first member also removes old ones."""
        failures = 0
        cleanup_ms = self._clock.now_ms()
        while True:
            if failures:
                pause_ms = min(MIN_RETRY_MS * 2**failures, MAX_RETRY_MS)
                self._clock.sleep(pause_ms)
            else:
                self._clock.wait(self._work, CLEANUP_INTERVAL_MS)
            self._work.clear()
            now_ms = self._clock.now_ms()
            if self._rank() == 0 and now_ms >= cleanup_ms:
                cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
                self.remove_expired()
            failures = 0 if self.write_pending() else min(failures + 1, 6)

    def write_pending(self) -> bool:
        """Write all pending changes; return whether the store took them."""
        while True:
            with self._lock:
                batch = dict(list(self._pending.items())[:MAX_OPERATIONS])
            if not batch:
                return True
            writes = [
                interfaces.Write(key, value)
                for key, value in batch.items()
                if value is not None
            ]
            deletes = [key for key, value in batch.items() if value is None]
            try:
                self._store.transact((), writes, deletes)
            except interfaces.StoreError as error:
                events.log(
                    events.Event.CRASH_NOT_RECORDED,
                    logging.WARNING,
                    records=len(batch),
                    reason=str(error),
                )
                return False
            with self._lock:
                for key, value in batch.items():
                    if self._pending.get(key) == value:
                        self._pending.pop(key, None)

    def remove_expired(self) -> None:
        """Remove the records of requests that may run again."""
        self._remove(self._ledger.expired(self._clock.wall_ms()))
        for target_id in self._ledger.unused_shared_targets():
            self._ledger.unshare_target(target_id)
            key = self._records.shared_target_key(target_id)
            self._enqueue({key: None})

    def _remove(self, crashes: list[crash_ledger.Crash]) -> None:
        """Forget crashes here at once and in the store."""
        for crash in crashes:
            self._ledger.remove(crash.key, crash.server_run)
        self._enqueue(
            {
                self._records.crash_key(*crash.key, crash.server_run): None
                for crash in crashes
            }
        )

    def _apply_crash(self, item: interfaces.Item) -> None:
        kind = self._records.kind(item.key)
        assert isinstance(kind, interfaces.CrashRecord)
        key = crash_ledger.RequestKey(kind.target_id, kind.body_id)
        try:
            record = json_parsing.parse(item.value)
            wall_ms = json_parsing.finite(record["wall_ms"])
        except (ValueError, KeyError, TypeError) as error:
            events.log(
                events.Event.RECORD_UNREADABLE,
                logging.WARNING,
                key=item.key,
                revision=item.revision,
                reason=repr(error),
            )
            return
        crash = crash_ledger.Crash(key, kind.server_run, wall_ms)
        if self._ledger.is_cleared(crash):
            # The store executed a write after the deletion that followed it.
            self._remove([crash])
        else:
            self.add([crash])

    def _share_target(self, target_id: str) -> None:
        """Tell the others that a target's requests are served here."""
        if not self._ledger.must_share(target_id):
            return
        self._ledger.share_target(target_id)
        self._enqueue({self._records.shared_target_key(target_id): b"{}"})

    def _enqueue(self, changes: dict[str, bytes | None]) -> None:
        if not changes:
            return
        with self._lock:
            self._pending.update(changes)
            while len(self._pending) > MAX_PENDING:
                self._pending.pop(next(iter(self._pending)))
        self._work.set()


def _encode(crash: crash_ledger.Crash) -> bytes:
    return json.dumps({"wall_ms": round(crash.wall_ms)}).encode()
