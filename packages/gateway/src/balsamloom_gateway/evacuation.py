"""Completes evacuation orders for storage hosts that are not registered.

Such a host stores no turns, so its order is complete at once. Members answer
in the order of their ranks, with a delay per rank, so that usually one write
suffices and no single member is required. A registered host answers itself.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import interfaces

DELAY_PER_RANK_MS = 700.0
RETRY_INTERVAL_MS = 500.0


class Evacuations:
    """Writes the status of evacuation orders that nobody has answered.

    :param store: platform's store.
    :param records: keys and formats of the records.
    :param rank: returns this member's place among the members.
    :param is_registered: returns whether a storage host is registered.
    :param clock: time source.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        rank: Callable[[], int],
        is_registered: Callable[[str], bool],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._records = records
        self._rank = rank
        self._is_registered = is_registered
        self._clock = clock
        self._lock = threading.Lock()
        # Time at which this member answers a pending order, by host.
        self._due_ms: dict[str, float] = {}
        self._status_revisions: dict[str, int] = {}

    def apply(self, changes: list[interfaces.Change]) -> None:
        """Apply changes of orders and statuses."""
        with self._lock:
            for change in changes:
                self._apply(change)

    def answer_due(self) -> None:
        """Answer the pending orders that are due for this member."""
        now_ms = self._clock.now_ms()
        with self._lock:
            hosts = [
                host
                for host, due_ms in self._due_ms.items()
                if due_ms <= now_ms
            ]
        for host in hosts:
            if not self._is_registered(host):
                self._answer(host)

    def _apply(self, change: interfaces.Change) -> None:
        match self._records.kind(change.key), change:
            case interfaces.EvacuationOrder(host), interfaces.Item():
                if self._status_revisions.get(host, 0) < change.revision:
                    delay_ms = self._rank() * DELAY_PER_RANK_MS
                    self._due_ms[host] = self._clock.now_ms() + delay_ms
            case interfaces.EvacuationOrder(host), interfaces.Deletion():
                self._due_ms.pop(host, None)
            case interfaces.EvacuationStatus(host), interfaces.Item():
                self._status_revisions[host] = change.revision
                self._due_ms.pop(host, None)
            case _:
                pass

    def _answer(self, host: str) -> None:
        key, value = self._records.evacuation_status(host, is_complete=True)
        try:
            self._store.transact((), [interfaces.Write(key, value)])
        except interfaces.StoreError as error:
            events.log(
                events.Event.EVACUATION_DECIDED,
                logging.WARNING,
                host=host,
                outcome="not written",
                reason=str(error),
            )
            with self._lock:
                if host in self._due_ms:
                    self._due_ms[host] = (
                        self._clock.now_ms() + RETRY_INTERVAL_MS
                    )
            return
        with self._lock:
            self._due_ms.pop(host, None)
        events.log(events.Event.EVACUATION_DECIDED, host=host, outcome="empty")
