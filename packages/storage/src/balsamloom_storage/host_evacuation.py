"""Evacuates this storage host when operators order it."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import messages, replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import interfaces, peers
from balsamloom_storage import (
    replica_repair,
)

RETRY_INTERVAL_MS = 300.0
COPY_TIMEOUT_MS = 5_000.0


class StorageEvacuation:
    """Has the other hosts copy the turns of this one and reports completion.

    :param own: this host.
    :param repair: replica repair of this host.
    :param clients: calls to other processes.
    :param store: platform's store.
    :param records: keys and formats of the records.
    :param clock: time source.
    :param copies: number of hosts that must store a turn.
    :param is_registered: returns whether this host is registered.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        repair: replica_repair.ReplicaRepair,
        clients: peers.PeerClients,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
        copies: int,
        is_registered: Callable[[], bool],
    ) -> None:
        self._own = own
        self._repair = repair
        self._clients = clients
        self._store = store
        self._records = records
        self._clock = clock
        self._min_hosts = copies
        self._is_registered = is_registered
        self._stopped = threading.Event()
        self._is_ordered = False
        self._is_start_reported = False
        self.is_complete = False

    def apply(self, changes: Sequence[interfaces.Change]) -> None:
        """Apply changes of orders and statuses."""
        for change in changes:
            match self._records.kind(change.key), change:
                case interfaces.EvacuationOrder(host), interfaces.Item():
                    if host == self._own.name:
                        self._start()
                case interfaces.EvacuationOrder(host), interfaces.Deletion():
                    if host == self._own.name:
                        self._cancel()
                case _:
                    pass

    def run(self) -> None:
        """Carry out orders until :meth:`stop`."""
        while not self._stopped.is_set():
            if self._is_ordered and not self.is_complete:
                self.try_once()
            self._clock.wait(self._stopped, RETRY_INTERVAL_MS)

    def stop(self) -> None:
        """Let :meth:`run` end."""
        self._stopped.set()

    def try_once(self) -> bool:
        """Have all turns copied; return whether the evacuation is complete.

        Edge processes answer the order for a host that is not registered.
        """
        if not self._is_registered():
            return False
        if not self._is_start_reported:
            self._is_start_reported = self._write_status(is_complete=False)
        if not self._copy_to_others():
            return False
        self.is_complete = self._write_status(is_complete=True)
        return self.is_complete

    def _start(self) -> None:
        self._is_ordered = True
        self._repair.is_leaving = True
        self._find_successors()

    def _cancel(self) -> None:
        if not self.is_complete:
            self._is_ordered = False
            self._is_start_reported = False
            self._repair.is_leaving = False
            self._repair.refuses_turns = False

    def _find_successors(self) -> list[replicas.StorageHost]:
        """Return the hosts that take over; none if they are too few.

        Until they are enough, this host accepts new turns, which could not be
        stored without it.
        """
        hosts = self._repair.other_active_hosts()
        self._repair.refuses_turns = len(hosts) >= self._min_hosts
        return hosts if self._repair.refuses_turns else []

    def _copy_to_others(self) -> bool:
        """Have all other hosts copy; return whether all turns are copied.

        Each host places turns on the hosts that it knows, so all of those
        must have copied, too.
        """
        hosts = self._find_successors()
        if not hosts:
            return False
        expected: set[str] = set()
        body = messages.encode_names([self._own.name])
        for host in hosts:
            try:
                answer = self._clients.post(
                    host.address, peers.COPY_TURNS_PATH, body, COPY_TIMEOUT_MS
                )
                expected.update(messages.decode_names(answer))
            except (
                peers.PeerUnavailableError,
                messages.InvalidMessageError,
            ) as error:
                events.log(
                    events.Event.STORAGE_CALL_FAILED,
                    logging.WARNING,
                    host=host.name,
                    reason=str(error),
                )
                return False
        return expected == {host.name for host in hosts}

    def _write_status(self, is_complete: bool) -> bool:
        key, value = self._records.evacuation_status(
            self._own.name, is_complete
        )
        deletes: tuple[str, ...] = ()
        if is_complete:
            deletes = (self._records.storage_host_key(self._own.name),)
        try:
            self._store.transact((), [interfaces.Write(key, value)], deletes)
        except interfaces.StoreError as error:
            events.log(
                events.Event.EVACUATION_DECIDED,
                logging.WARNING,
                host=self._own.name,
                outcome="not written",
                reason=str(error),
            )
            return False
        events.log(
            events.Event.EVACUATION_DECIDED,
            host=self._own.name,
            outcome="empty" if is_complete else "begun",
        )
        return True
