"""Storage process: stores turns on the disk of one host."""

from __future__ import annotations

import logging
import math
import pathlib
import threading
from typing import NamedTuple

from balsamloom_conversations import (
    database,
    group_commit,
    replicas,
    turns_table,
    usage_entries,
)
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    background,
    feed,
    fleet,
    follower,
    interfaces,
    listener_limits,
    listeners,
    peers,
    read_schedule,
    store_revisions,
    stream_registry,
)
from balsamloom_ingress import guards
from balsamloom_ingress import limits as ingress_limits
from balsamloom_storage import (
    host_evacuation,
    registration,
    replica_repair,
    service,
    storage_metrics,
)

# Intervals between repair rounds: after a complete round, and otherwise.
REPAIR_INTERVAL_MS = 1_000.0
REPAIR_RETRY_INTERVAL_MS = 300.0
MAINTENANCE_INTERVAL_MS = 5_000.0
# Time for requests in progress during a graceful shutdown.
STOP_TIMEOUT_MS = 1_500.0
STOP_CHECK_INTERVAL_MS = 20.0
MAX_CALL_BYTES = 16_000_000
THREADS = 48


class StorageSettings(NamedTuple):
    """Settings of one storage process."""

    name: str
    failure_domain: str
    address: str
    metrics_address: str
    directory: pathlib.Path
    disk_bytes: int | None
    copies: int
    is_first_start: bool
    view_bound_ms: float
    ingress_limits: ingress_limits.ProcessLimits = ingress_limits.UNLIMITED


class StorageProcess:
    """Components of a storage process.

    :param settings: checked settings.
    :param store: platform's store.
    :param records: keys and formats of the store's records.
    :param clock: time source.
    :raises DatabaseError: the disk cannot be used.
    """

    def __init__(
        self,
        settings: StorageSettings,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        clock: clocks.Clock,
    ) -> None:
        store = store_revisions.ObservedStore(store, clock)
        self._clock = clock
        self._stopped = threading.Event()
        self._database = database.TurnDatabase(
            settings.directory,
            clock,
            settings.disk_bytes,
            settings.is_first_start,
        )
        self.host = replicas.StorageHost(
            settings.name,
            settings.address,
            settings.failure_domain,
            self._database.disk_id,
        )
        self._commits = group_commit.GroupCommit(self._database.add, clock)
        self._fleet = fleet.Fleet(records, clock)
        clients = peers.PeerClients(clock)
        self._repair = replica_repair.ReplicaRepair(
            self.host,
            self._fleet.storage_hosts,
            self._database,
            self._commits,
            clients,
            clock,
            settings.copies,
            self._knows_hosts,
            self._longest_retention_ms,
        )
        self._registration = registration.StorageRegistration(
            self.host,
            store,
            records,
            self._fleet,
            lambda: self._repair.is_leaving,
            self._knows_hosts,
            clock,
        )
        self._evacuation = host_evacuation.StorageEvacuation(
            self.host,
            self._repair,
            clients,
            store,
            records,
            clock,
            settings.copies,
            lambda: self._fleet.has_storage_host(settings.name),
        )
        self._fleet.on_changes = (self._evacuation.apply,)
        self._follower = follower.Follower(
            settings.name,
            store,
            records,
            feed.Feed(clock, self._fleet.decode_or_raw),
            self._fleet,
            clients,
            clock,
            read_schedule.intervals(settings.view_bound_ms),
        )
        self._metrics = storage_metrics.StorageMetrics(
            self._database, self._repair
        )
        handler = service.StorageService(
            self._database,
            self._commits,
            self._repair,
            stream_registry.StreamRegistry(clock, settings.is_first_start),
            settings.name,
        )
        limits = listeners.Limits(
            THREADS,
            listener_limits.INITIAL_HEADER_BYTES,
            MAX_CALL_BYTES,
            listener_limits.INITIAL_HEADER_TIMEOUT_MS,
            listener_limits.PEER_IDLE_TIMEOUT_MS,
            settings.ingress_limits.connections(ingress_limits.CALLERS_SHARE),
        )
        guard = guards.Guard(settings.ingress_limits, clock)
        guard.refusals.on_refusal = self._metrics.record_limited_caller
        self._listener = listeners.Listener(
            settings.address, handler.handle, limits, guard
        )
        self._metrics_listener = listeners.Listener(
            settings.metrics_address,
            self._metrics.handle,
            limits._replace(
                threads=listener_limits.AUXILIARY_THREADS,
                connections=settings.ingress_limits.connections(
                    ingress_limits.OTHERS_SHARE
                ),
            ),
            guard,
        )

    def start(self) -> None:
        """Serve requests and repair replicas in the background."""
        self._listener.start()
        self._metrics_listener.start()
        for target in (
            self._commits.run,
            self._follower.run,
            self._registration.run,
            self._evacuation.run,
            self._run_repair,
            self._run_maintenance,
        ):
            background.start(target, self._clock)
        events.log(
            events.Event.PROCESS_STARTED,
            member=self.host.name,
            disk_id=self.host.disk_id,
            turns=self._database.counts().turns,
            is_whole=self._database.claim.has_turns,
            has_usage=self._database.claim.has_usage,
        )

    def leave(self) -> None:
        """Finish the requests in progress and close the database."""
        events.log(events.Event.PROCESS_LEAVING, member=self.host.name)
        self._stopped.set()
        for part in (self._registration, self._evacuation, self._follower):
            part.stop()
        self._listener.set_draining()
        self._listener.stop_accepting()
        until_ms = self._clock.now_ms() + STOP_TIMEOUT_MS
        while not self._listener.is_idle and self._clock.now_ms() < until_ms:
            self._clock.sleep(STOP_CHECK_INTERVAL_MS)
        self._commits.stop()
        self._database.close()
        events.log(events.Event.PROCESS_STOPPED, member=self.host.name)

    def _knows_hosts(self, since_ms: float) -> bool:
        """Return whether all hosts that were registered then are known."""
        return self._follower.await_records(since_ms, until_ms=since_ms)

    def _longest_retention_ms(self) -> float:
        """Return how long turns and usage entries are kept at most."""
        in_force = self._fleet.active_configuration
        if in_force is None:
            return math.inf
        retentions_ms = [
            route.retention_ms for route in in_force.configuration.routes
        ]
        longest_ms = max([usage_entries.RETENTION_MS, *retentions_ms])
        return longest_ms + turns_table.RETENTION_MARGIN_MS

    def _run_repair(self) -> None:
        while not self._stopped.is_set():
            pause_ms = REPAIR_RETRY_INTERVAL_MS
            if self._repair.run_round():
                pause_ms = REPAIR_INTERVAL_MS
            self._clock.wait(self._stopped, pause_ms)

    def _run_maintenance(self) -> None:
        while not self._stopped.is_set():
            self._clock.wait(self._stopped, MAINTENANCE_INTERVAL_MS)
            self._maintain()

    def _maintain(self) -> None:
        """Delete expired and damaged turns."""
        try:
            expired = self._database.expire()
            damaged = self._database.delete_damaged()
        except database.DatabaseError as error:
            events.log(
                events.Event.DISK_FAILED, logging.WARNING, reason=str(error)
            )
            return
        if expired:
            events.log(events.Event.TURNS_EXPIRED, turns=expired)
        if damaged:
            events.log(
                events.Event.TURNS_DAMAGED,
                logging.ERROR,
                turns=len(damaged),
                first=damaged[0],
            )
