"""Software versions of each service's servers, as a record in the store.

A process that has just started sees only the servers of now. The record tells
which versions have left lately, so that streams may have begun there. A
version is possible until the record lacks it, so that all processes agree.
"""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable, Mapping

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import fleet, interfaces, json_parsing, traffic

# A caller may take a stream up this long after its server has left.
STREAM_RETENTION_MS = 30_000.0
# Members write in the order of their ranks, so that one write suffices.
DELAY_PER_RANK_MS = 700.0

# Time of day at which a version left, None while its servers are registered.
Versions = Mapping[str, float | None]


def update_versions(
    known: Versions, registered: frozenset[str], wall_ms: float
) -> dict[str, float | None]:
    """Return the versions of a service after a change of its servers.

    The oldest comes first, and those that came at once in alphabetical order.

    :param registered: versions of the servers that are registered now.
    """
    versions: dict[str, float | None] = {}
    for version, left_ms in known.items():
        if version in registered:
            versions[version] = None
        else:
            versions[version] = wall_ms if left_ms is None else left_ms
    versions.update(dict.fromkeys(sorted(registered - versions.keys())))
    return versions


def must_write(known: Versions, registered: frozenset[str]) -> bool:
    """Return whether the record does not show the registered versions."""
    recorded = {
        version for version, left_ms in known.items() if left_ms is None
    }
    return recorded != registered


class VersionHistory:
    """Versions of the services whose streams can be resumed.

    :param store: platform's store.
    :param records: keys of the records.
    :param view: servers and configuration known to this process.
    :param rank: returns this member's place among the members.
    :param clock: time source.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        view: fleet.Fleet,
        rank: Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._records = records
        self._fleet = view
        self._rank = rank
        self._clock = clock
        self._lock = threading.Lock()
        self._known: dict[str, Versions] = {}
        self._revisions: dict[str, int] = {}
        # Time from which this member writes a service's record.
        self._due_ms: dict[str, float] = {}
        # Since when this member has seen a recorded version without servers.
        self._absent_since_ms: dict[tuple[str, str], float] = {}

    def apply(self, changes: list[interfaces.Change]) -> None:
        """Apply changed records of versions."""
        for change in changes:
            match self._records.kind(change.key), change:
                case interfaces.VersionsRecord(service), interfaces.Item():
                    self._put(service, change)
                case _:
                    pass

    def possible(self, service: str) -> frozenset[str]:
        """Return the versions at which a stream under way may have begun."""
        return frozenset(self._versions(service))

    def _versions(self, service: str) -> Versions:
        with self._lock:
            known = self._known.get(service, {})
        registered = self._registered().get(service, frozenset())
        return update_versions(known, registered, self._clock.wall_ms())

    def elder(self, service: str) -> str | None:
        """Return the oldest possible version, ``None`` without any.

        All processes agree on it, as its place is kept in the record.
        """
        return next(iter(self._versions(service)), None)

    def mixed_services(self) -> frozenset[str]:
        """Return the services whose streams may be of several versions."""
        return frozenset(
            service
            for service in self.resumable_services()
            if len(self.possible(service)) > 1
        )

    def write_due(self) -> None:
        """Write the records that lack a change of versions."""
        now_ms = self._clock.now_ms()
        registered = self._registered()
        for service in self.resumable_services():
            present = registered.get(service, frozenset())
            with self._lock:
                known = self._forget_old(service, present, now_ms)
                is_whole = known == self._known.get(service, {})
                is_due = not is_whole or must_write(known, present)
                if not present or not is_due:
                    self._due_ms.pop(service, None)
                    continue
                delay_ms = self._rank() * DELAY_PER_RANK_MS
                due_ms = self._due_ms.setdefault(service, now_ms + delay_ms)
            if now_ms >= due_ms:
                self._write(service, known, present)

    def _forget_old(
        self, service: str, registered: frozenset[str], now_ms: float
    ) -> Versions:
        """Return the recorded versions at which streams may be under way.

        The time of day may jump, so each member measures by itself for how
        long a version has had no server.
        """
        kept: dict[str, float | None] = {}
        for version, left_ms in self._known.get(service, {}).items():
            key = service, version
            if version in registered:
                self._absent_since_ms.pop(key, None)
            elif (
                now_ms - self._absent_since_ms.setdefault(key, now_ms)
                >= STREAM_RETENTION_MS
            ):
                continue
            kept[version] = left_ms
        return kept

    def _write(
        self, service: str, known: Versions, registered: frozenset[str]
    ) -> None:
        versions = update_versions(known, registered, self._clock.wall_ms())
        key = self._records.versions_key(service)
        condition = interfaces.Condition(key, self._revisions.get(service, 0))
        write = interfaces.Write(key, json.dumps(versions).encode())
        try:
            result = self._store.transact([condition], [write])
        except interfaces.StoreError as error:
            events.log(
                events.Event.VERSIONS_CHANGED,
                logging.WARNING,
                service=service,
                versions=sorted(versions),
                outcome=f"not written: {error}",
            )
            return
        match result:
            case interfaces.Committed(revision):
                self._put(service, interfaces.Item(key, write.value, revision))
            case interfaces.Conflict(items) if key in items:
                self._put(service, items[key])
            case _:
                pass

    def _put(self, service: str, item: interfaces.Item) -> None:
        try:
            versions = _decode(item.value)
        except ValueError as error:
            events.log(
                events.Event.RECORD_UNREADABLE,
                logging.WARNING,
                key=item.key,
                revision=item.revision,
                reason=str(error),
            )
            return
        with self._lock:
            if item.revision <= self._revisions.get(service, 0):
                return
            self._revisions[service] = item.revision
            self._known[service] = versions
            self._absent_since_ms = {
                key: since_ms
                for key, since_ms in self._absent_since_ms.items()
                if key[0] != service or key[1] in versions
            }
        events.log(
            events.Event.VERSIONS_CHANGED,
            service=service,
            versions=versions,
            outcome="recorded",
        )

    def _registered(self) -> dict[str, frozenset[str]]:
        """Return the versions of the registered servers, by service.

        Servers that drain still run streams. A server without a version
        beside others that have one may be a record of another writer.
        """
        found: dict[str, set[str]] = {}
        for server in self._fleet.registered_servers():
            found.setdefault(server.service, set()).add(server.version)
        return {
            service: frozenset(versions - {""} or versions)
            for service, versions in found.items()
        }

    def resumable_services(self) -> list[str]:
        """Return the services with streams that callers can resume."""
        active = self._fleet.active_configuration
        if active is None:
            return []
        return sorted(
            {
                share.service
                for route in active.configuration.routes
                if is_resumable(route)
                for share in route.shares
            }
        )


def is_resumable(route: traffic.Route) -> bool:
    """Return whether callers may resume the streams of a route."""
    return route.kind is traffic.RouteKind.STREAMING and route.is_resumable


def _decode(value: bytes) -> dict[str, float | None]:
    """Decode a record.

    :raises ValueError: it is malformed.
    """
    document = json_parsing.parse_object(value)
    try:
        return {
            version: None if left_ms is None else json_parsing.finite(left_ms)
            for version, left_ms in document.items()
        }
    except TypeError as error:
        raise ValueError(str(error)) from error
