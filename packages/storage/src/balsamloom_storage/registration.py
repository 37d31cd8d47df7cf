"""Registers a storage host in the store for the lifetime of its disk.

The registration has no lease because a host that is down still has its turns.
Other processes detect failures from their own calls.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    fleet,
    interfaces,
    registration_records,
    version_history,
)

CHECK_INTERVAL_MS = 400.0
RETRY_INTERVAL_MS = 500.0


class StorageRegistration:
    """Writes a storage host's registration if it is missing.

    A deployment whose routes neither keep turns nor have streams that callers
    can resume needs no registration.

    :param own: this host.
    :param store: platform's store.
    :param records: keys and formats of the records.
    :param view: registrations and configuration known to this process.
    :param is_leaving: returns whether the host is being evacuated.
    :param knows_hosts: returns whether ``view`` shows all that was registered
        at a time.
    :param clock: time source.
    """

    def __init__(
        self,
        own: replicas.StorageHost,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        view: fleet.Fleet,
        is_leaving: Callable[[], bool],
        knows_hosts: Callable[[float], bool],
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._store = store
        self._write = interfaces.Write(
            records.storage_host_key(own.name),
            registration_records.encode_storage_host(own),
        )
        self._fleet = view
        self._is_leaving = is_leaving
        self._knows_hosts = knows_hosts
        self._clock = clock
        self._is_written = False
        # Time at which the registration was in the store for certain.
        self._registered_ms = 0.0
        self._stopped = threading.Event()

    def run(self) -> None:
        """Register when needed, until :meth:`stop`."""
        while not self._stopped.is_set():
            self._clock.wait(self._stopped, self.check_once())

    def check_once(self) -> float:
        """Register if needed and return the pause until the next check."""
        if self._own in self._fleet.storage_hosts():
            self._record_written()
        elif self._is_written and self._is_lost():
            # Other processes would not ask this host.
            self._is_written = False
        if self._is_written or not self._is_needed():
            return CHECK_INTERVAL_MS
        try:
            self._store.transact((), [self._write])
        except interfaces.StoreError as error:
            events.log(
                events.Event.STORE_UNAVAILABLE,
                logging.WARNING,
                user="storage registration",
                reason=str(error),
            )
            return RETRY_INTERVAL_MS
        self._record_written()
        return CHECK_INTERVAL_MS

    def _is_lost(self) -> bool:
        """Return whether the store has lost the registration."""
        if not self._knows_hosts(self._registered_ms):
            return False
        known = self._fleet.storage_hosts()
        return all(host.disk_id != self._own.disk_id for host in known)

    def _record_written(self) -> None:
        self._is_written = True
        self._registered_ms = self._clock.now_ms()

    def stop(self) -> None:
        """Let :meth:`run` end."""
        self._stopped.set()

    def _is_needed(self) -> bool:
        in_force = self._fleet.active_configuration
        if in_force is None or self._is_leaving():
            return False
        return any(
            route.is_stateful or version_history.is_resumable(route)
            for route in in_force.configuration.routes
        )
