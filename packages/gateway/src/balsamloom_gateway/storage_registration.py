"""Registers a storage host in the store, for as long as its disk lives.

The registration has no lease: a host that is down still has its turns, and
whether it answers is learnt by calling it.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import fleet, interfaces

CHECK_MS = 400.0
RETRY_MS = 500.0


class StorageRegistration:
    """Keeps a storage host's registration as it should be.

    A deployment without stateful routes needs none.

    :param own: what is registered.
    :param store: platform's store.
    :param records: keys and formats of the records.
    :param view: registrations and configuration as they are known here.
    :param is_leaving: returns whether the host is being emptied.
    :param clock: time source.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        view: fleet.Fleet,
        is_leaving: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._store = store
        self._write = interfaces.Write(
            records.storage_host_key(own.name), fleet.encode_storage_host(own)
        )
        self._fleet = view
        self._is_leaving = is_leaving
        self._clock = clock
        self._is_written = False
        self._stopped = threading.Event()

    def run(self) -> None:
        """Register when that is needed, until :meth:`stop`."""
        while not self._stopped.is_set():
            self._clock.wait(self._stopped, self.check_once())

    def check_once(self) -> float:
        """Register if needed and return the pause until the next check."""
        if self._own in self._fleet.storage_hosts():
            self._is_written = True
        if self._is_written or not self._is_needed():
            return CHECK_MS
        try:
            self._store.transact((), [self._write])
        except interfaces.StoreError as error:
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                user="storage registration",
                reason=str(error),
            )
            return RETRY_MS
        self._is_written = True
        return CHECK_MS

    def stop(self) -> None:
        """Register no more."""
        self._stopped.set()

    def _is_needed(self) -> bool:
        in_force = self._fleet.active_configuration
        if in_force is None or self._is_leaving():
            return False
        return any(
            route.is_stateful for route in in_force.configuration.routes
        )
