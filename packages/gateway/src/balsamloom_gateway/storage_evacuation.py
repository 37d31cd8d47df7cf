"""Empties this storage host when operators order it."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence

from balsamloom_conversations import messages, replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import copies, interfaces, peers

RETRY_MS = 300.0
COPY_TIMEOUT_MS = 5_000.0


class StorageEvacuation:
    """Lets the other hosts copy what this one holds, and says when they have.

    :param own: this host.
    :param kept: copies at this host.
    :param clients: calls to other processes.
    :param store: platform's store.
    :param records: keys and formats of the records.
    :param clock: time source.
    :param needed: disks that must hold a turn.
    :param is_registered: returns whether this host keeps turns at all.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        kept: copies.Copies,
        clients: peers.PeerClients,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
        needed: int,
        is_registered: Callable[[], bool],
    ) -> None:
        self._own = own
        self._copies = kept
        self._clients = clients
        self._store = store
        self._records = records
        self._clock = clock
        self._needed = needed
        self._is_registered = is_registered
        self._stopped = threading.Event()
        self._is_ordered = False
        self._has_begun = False
        self.is_complete = False

    def apply(self, changes: Sequence[interfaces.Change]) -> None:
        """Take in changes of orders and statuses."""
        for change in changes:
            match self._records.kind(change.key), change:
                case interfaces.EvacuationOrder(host), interfaces.Item():
                    if host == self._own.name:
                        self._begin()
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
            self._clock.wait(self._stopped, RETRY_MS)

    def stop(self) -> None:
        """Let :meth:`run` end."""
        self._stopped.set()

    def try_once(self) -> bool:
        """Have everything copied; return whether the order is complete.

        The edge processes answer for a host that is not registered.
        """
        if not self._is_registered():
            return False
        if not self._has_begun:
            self._has_begun = self._write_status(is_complete=False)
        if not self._is_copied():
            return False
        self.is_complete = self._write_status(is_complete=True)
        return self.is_complete

    def _begin(self) -> None:
        self._is_ordered = True
        self._copies.is_leaving = True

    def _cancel(self) -> None:
        if not self.is_complete:
            self._is_ordered = False
            self._has_begun = False
            self._copies.is_leaving = False

    def _is_copied(self) -> bool:
        """Let all other hosts copy; return whether they have everything.

        Each of them shares the turns with the hosts that it knows of, so all
        those must have copied, too.
        """
        hosts = self._copies.other_keepers()
        if len(hosts) < self._needed:
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
