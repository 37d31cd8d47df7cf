"""View of the configuration, servers and members in one process."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Sequence
from typing import TypeVar

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    interfaces,
    leaving_servers,
    registration_records,
    registrations,
    routes,
    traffic,
)
from balsamloom_workspaces import key_tables

T = TypeVar("T")

# Registrations that expired during a store outage are kept for this time
# after it, so that running processes can register again.
OUTAGE_GRACE_MS = 2_500.0
# Registrations that lapsed in an outage are back this long after it.
SETTLING_MS = 3_000.0
# A lost member may still answer other members for this time.
LOST_MEMBER_RETENTION_MS = 15_000.0
# Programs that moved to or past a new member are looked up at their earlier
# holders for this time.
ARRIVAL_RETENTION_MS = 60_000.0
# A copy of the store's records older than this indicates a store outage.
MAX_COPY_AGE_MS = 1_500.0


class ActiveConfiguration:
    """Configuration that is in use, its route table and its keys.

    ``keys`` is ``None`` if callers need no key.
    """

    def __init__(self, configuration: traffic.Configuration) -> None:
        self.configuration = configuration
        self.table = routes.RouteTable(configuration.routes)
        self.keys: key_tables.KeyTable[traffic.Workspace] | None = None
        if configuration.workspaces is not None:
            self.keys = key_tables.KeyTable(configuration.workspaces)


class Fleet:
    """Configuration, servers and members, built from changes in the store.

    :param records: keys and formats of the store's records.
    :param clock: time source.
    """

    def __init__(
        self, records: interfaces.Records, clock: clocks.Clock
    ) -> None:
        self._records = records
        self._clock = clock
        self._lock = threading.Lock()
        # Held while on_servers_changed is called, so that no older list
        # follows a newer one.
        self._notification_lock = threading.Lock()
        self._notified_servers: list[traffic.BackendServer] = []
        self._servers: registrations.Registrations[traffic.BackendServer] = (
            registrations.Registrations()
        )
        self._members: registrations.Registrations[traffic.Member] = (
            registrations.Registrations()
        )
        self._storage_hosts: dict[str, replicas.StorageHost] = {}
        self._leaving = leaving_servers.LeavingServers()
        # Lost members with the time at which the loss was detected.
        self._lost: list[tuple[float, traffic.Member]] = []
        # Time at which each member registered first.
        self._arrived_ms: dict[str, float] = {}
        # Lost members for which on_member_lost has not been called yet.
        self._unreported_losses: list[str] = []
        self._has_unreported_arrival = False
        self._outage_end_ms = -math.inf
        # Whether a change or a callback failed, so that a part of the process
        # lacks changes.
        self._must_reapply = False
        self._is_stale = False
        self._first_read_ms: float | None = None
        self._active_configuration: ActiveConfiguration | None = None
        self.on_changes: Sequence[
            Callable[[list[interfaces.Change]], None]
        ] = ()
        self.on_member_lost: Callable[[str], None] = callbacks.ignore
        self.on_member_added: Callable[[], None] = callbacks.ignore
        self.on_servers_changed: Sequence[
            Callable[[list[traffic.BackendServer]], None]
        ] = ()
        self.on_configuration_changed: Callable[
            [ActiveConfiguration], None
        ] = callbacks.ignore

    @property
    def active_configuration(self) -> ActiveConfiguration | None:
        """Return the configuration in use, if one is known."""
        return self._active_configuration

    def decode_or_raw(self, item: interfaces.Item) -> object:
        """Decode an item; return its bytes if it cannot be decoded."""
        try:
            return self._decode(item)
        except interfaces.InvalidRecordError:
            return item.value

    def _decode(self, item: interfaces.Item) -> object:
        """Decode an item.

        :raises InvalidRecordError: it cannot be decoded, whatever the reason.
        """
        try:
            return self._decode_known(item)
        except interfaces.InvalidRecordError:
            raise
        except Exception as error:
            self._must_reapply = True
            raise interfaces.InvalidRecordError(repr(error)) from error

    def members(self) -> list[traffic.Member]:
        """Return the registered members, sorted by name."""
        with self._lock:
            return sorted(self._members.values())

    def storage_hosts(self) -> list[replicas.StorageHost]:
        """Return the registered storage hosts, including those down."""
        with self._lock:
            return sorted(self._storage_hosts.values())

    def lost_members(self) -> list[traffic.Member]:
        """Return recently lost members that have not registered again.

        Some may still run and only have lost their connection to the store.
        """
        runs = self.lost_runs()
        with self._lock:
            return [one for one in runs if one.name not in self._members]

    def lost_runs(self) -> list[traffic.Member]:
        """Return recently lost runs of members, also if another one runs."""
        oldest_ms = self._clock.now_ms() - LOST_MEMBER_RETENTION_MS
        with self._lock:
            self._lost = [
                entry for entry in self._lost if entry[0] > oldest_ms
            ]
            return [member for _, member in self._lost]

    def earlier_members(self) -> list[traffic.Member]:
        """Return the members before recent arrivals and losses, sorted.

        Of a host that has restarted since, that is its former run.
        """
        former: dict[str, traffic.Member] = {}
        for run in self.lost_runs():
            former.setdefault(run.name, run)
        oldest_ms = self._clock.now_ms() - ARRIVAL_RETENTION_MS
        with self._lock:
            kept = [
                member
                for member in self._members.values()
                if member.name not in former
                and self._arrived_ms.get(member.name, oldest_ms) <= oldest_ms
            ]
        return sorted([*kept, *former.values()])

    def has_storage_host(self, name: str) -> bool:
        """Return whether a storage host is registered."""
        with self._lock:
            return name in self._storage_hosts

    def servers(self) -> list[traffic.BackendServer]:
        """Return the servers that may receive calls."""
        with self._lock:
            return self._usable_servers()

    @property
    def is_stale(self) -> bool:
        """Return whether this process cannot follow the store's records."""
        return self._is_stale

    @property
    def has_read_records(self) -> bool:
        """Return whether this process has read all records once.

        Before that, a record that is not known here may well exist.
        """
        return self._first_read_ms is not None

    @property
    def has_settled(self) -> bool:
        """Return whether registrations that lapsed have had time to return.

        Those that lapsed in an outage of the store are missing in the first
        read of a process that starts just after it.
        """
        first_ms = self._first_read_ms
        if first_ms is None:
            return False
        return self._clock.now_ms() - first_ms >= SETTLING_MS

    def registered_servers(self) -> list[traffic.BackendServer]:
        """Return all servers, also those that drain."""
        with self._lock:
            return list(self._servers.values())

    def mark_server_leaving(self, server_id: str) -> None:
        """Exclude a server that announced its shutdown.

        It receives no more calls until it restarts, also if it is not
        registered at this moment.
        """
        with self._lock:
            incarnation = self._leaving.add(server_id)
        if incarnation is None:
            return
        events.log(
            events.Event.SERVER_LEAVING,
            server_id=server_id,
            incarnation=incarnation,
        )
        self._notify_of_servers()

    @property
    def must_reapply(self) -> bool:
        """Return whether a part of the process lacks changes."""
        return self._must_reapply

    def apply(self, changes: list[interfaces.Change]) -> None:
        """Apply changed records and call the callbacks that they concern.

        What fails for one change or callback does not affect the others, and
        :attr:`must_reapply` is true then.
        """
        if not changes:
            return
        with self._lock:
            previous_configuration = self._active_configuration
            for change in changes:
                self._call(self._apply, change)
            active = self._active_configuration
        self._report_member_changes()
        self._call_all(self.on_changes, changes)
        self._notify_of_servers()
        if active is not None and active is not previous_configuration:
            self._call(self.on_configuration_changed, active)

    def reapply(self, changes: list[interfaces.Change]) -> None:
        """Apply all records again and call all callbacks.

        :param changes: latest change of each key.
        """
        self._must_reapply = False
        self.apply(changes)
        self._notify_of_servers(is_forced=True)
        if self._active_configuration is not None:
            self._call(
                self.on_configuration_changed, self._active_configuration
            )

    def _call_all(
        self, found: Sequence[Callable[[T], object]], argument: T
    ) -> None:
        for callback in found:
            self._call(callback, argument)

    def _call(
        self, callback: Callable[..., object], *arguments: object
    ) -> bool:
        """Run a callback; return whether it raised no error."""
        is_done = callbacks.run_isolated(callback, *arguments)
        if not is_done:
            self._must_reapply = True
        return is_done

    def update_age(
        self, age_ms: float | None, propagation_ms: float = 0.0
    ) -> None:
        """Detect store outages by the age of this process's copy.

        Also removes held registrations whose grace period is over.

        :param age_ms: age of the copy; ``None`` before the first read.
        :param propagation_ms: age that propagation between members explains.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            if age_ms is None:
                return
            if self._first_read_ms is None:
                self._first_read_ms = now_ms
            if age_ms > MAX_COPY_AGE_MS + propagation_ms:
                self._is_stale = True
            elif self._is_stale:
                self._is_stale = False
                self._outage_end_ms = now_ms
            self._drop_expired(now_ms)
        self._report_member_changes()
        self._notify_of_servers()

    def _notify_of_servers(self, is_forced: bool = False) -> None:
        """Call back with the usable servers if they have changed.

        :param is_forced: call back also if they have not.
        """
        with self._notification_lock:
            usable = self.servers()
            if is_forced or usable != self._notified_servers:
                self._notified_servers = usable
                self._call_all(self.on_servers_changed, usable)

    def _usable_servers(self) -> list[traffic.BackendServer]:
        return [
            server
            for server in self._servers.values()
            if not server.is_draining and server not in self._leaving
        ]

    def _decode_known(self, item: interfaces.Item) -> object:
        match self._records.kind(item.key):
            case interfaces.ConfigurationRecord():
                return self._records.configuration(item.value)
            case interfaces.ServerRecord(server_id):
                return self._records.server(server_id, item.value)
            case interfaces.MemberRecord(name):
                return registration_records.decode_member(name, item.value)
            case interfaces.StorageHostRecord(name):
                return registration_records.decode_storage_host(
                    name, item.value
                )
            case _:
                return item.value

    def _apply(self, change: interfaces.Change) -> None:
        kind = self._records.kind(change.key)
        match change:
            case interfaces.Deletion():
                self._delete(kind, change)
            case interfaces.Item():
                try:
                    self._put(kind, self._decode(change), change.revision)
                except interfaces.InvalidRecordError as error:
                    self._reject(kind, change, error)

    def _put(
        self, kind: interfaces.RecordKind, value: object, revision: int
    ) -> None:
        match kind, value:
            case interfaces.ConfigurationRecord(), traffic.Configuration():
                self._apply_configuration(value, revision)
            case interfaces.ServerRecord(server_id), traffic.BackendServer():
                self._servers.put(server_id, value)
                self._leaving.record(value)
                events.log(
                    events.Event.SERVER_VIEW_CHANGED,
                    server_id=server_id,
                    state="draining" if value.is_draining else "ready",
                    service=value.service,
                    revision=revision,
                )
            case interfaces.MemberRecord(name), traffic.Member():
                known = self._members.put(name, value)
                if known and known.incarnation != value.incarnation:
                    self._record_lost_member(known)
                if known is None:
                    self._arrived_ms[name] = self._clock.now_ms()
                    self._has_unreported_arrival = True
                events.log(
                    events.Event.MEMBER_VIEW_CHANGED,
                    member=name,
                    state="registered",
                    revision=revision,
                )
            case interfaces.StorageHostRecord(name), replicas.StorageHost():
                self._storage_hosts[name] = value
                events.log(
                    events.Event.STORAGE_HOST_CHANGED,
                    host=name,
                    state="registered",
                    disk_id=value.disk_id,
                    revision=revision,
                )

    def _apply_configuration(
        self, configuration: traffic.Configuration, revision: int
    ) -> None:
        known = self._active_configuration
        if known and configuration == known.configuration:
            return
        if known and configuration.version <= known.configuration.version:
            events.log(
                events.Event.CONFIGURATION_REJECTED,
                logging.WARNING,
                version=configuration.version,
                in_force=known.configuration.version,
                reason="not newer than the version in force",
                revision=revision,
            )
            return
        self._active_configuration = ActiveConfiguration(configuration)
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
            revision=revision,
        )
        keyless = [
            workspace.name
            for workspace in configuration.workspaces or ()
            if not workspace.key_digests
        ]
        if keyless:
            events.log(
                events.Event.WORKSPACE_WITHOUT_KEYS,
                logging.WARNING,
                version=configuration.version,
                workspaces=keyless,
                revision=revision,
            )

    def _reject(
        self,
        kind: interfaces.RecordKind,
        change: interfaces.Item,
        error: interfaces.InvalidRecordError,
    ) -> None:
        """Log a record that cannot be decoded; remove a server it defines."""
        events.log(
            events.Event.RECORD_UNREADABLE,
            logging.WARNING,
            key=change.key,
            revision=change.revision,
            reason=str(error),
        )
        match kind:
            case interfaces.ServerRecord(server_id):
                self._servers.remove(server_id)
            case _:
                pass

    def _delete(
        self, kind: interfaces.RecordKind, change: interfaces.Deletion
    ) -> None:
        now_ms = self._clock.now_ms()
        hold_until_ms = self._outage_end_ms + OUTAGE_GRACE_MS
        is_held = self._is_stale or now_ms < hold_until_ms
        if self._is_stale:
            hold_until_ms = now_ms + OUTAGE_GRACE_MS
        match kind:
            case interfaces.ServerRecord(server_id):
                if is_held:
                    self._servers.hold(server_id, hold_until_ms)
                else:
                    self._servers.remove(server_id)
                name = server_id
            case interfaces.MemberRecord(member):
                if is_held:
                    self._members.hold(member, hold_until_ms)
                else:
                    self._record_lost_member(self._members.remove(member))
                name = member
            case interfaces.StorageHostRecord(host):
                is_held = False
                self._storage_hosts.pop(host, None)
                name = host
            case _:
                return
        events.log(
            events.Event.REGISTRATION_DELETED,
            name=name,
            revision=change.revision,
            is_held=is_held,
        )

    def _drop_expired(self, now_ms: float) -> None:
        self._servers.drop_expired(now_ms)
        for member in self._members.drop_expired(now_ms):
            self._record_lost_member(member)

    def _record_lost_member(self, member: traffic.Member | None) -> None:
        if member is not None:
            self._arrived_ms.pop(member.name, None)
            self._lost.append((self._clock.now_ms(), member))
            self._unreported_losses.append(member.name)

    def _report_member_changes(self) -> None:
        """Call back about members without the lock, which callbacks take."""
        with self._lock:
            names = self._unreported_losses
            self._unreported_losses = []
            has_arrival = self._has_unreported_arrival
            self._has_unreported_arrival = False
        failed = [
            name for name in names if not self._call(self.on_member_lost, name)
        ]
        is_arrival_reported = not has_arrival or self._call(
            self.on_member_added
        )
        with self._lock:
            self._unreported_losses.extend(failed)
            self._has_unreported_arrival |= not is_arrival_reported
