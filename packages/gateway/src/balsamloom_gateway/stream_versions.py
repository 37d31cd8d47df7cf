"""Decides at which version a stream that a caller resumes may go on."""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    circuit_breaker,
    fleet,
    member_calls,
    peers,
    stream_registry,
    traffic,
    version_history,
)

# Storage hosts that remember a stream.
COPIES = 2
# Hosts that are asked for a stream, in case others were added or lost.
MAX_LOOKUPS = 3
CALL_TIMEOUT_MS = 150.0
# The first event waits this long for a host to know its stream.
RECORD_TIMEOUT_MS = 60.0
BREAKER_BACKOFF = circuit_breaker.Backoff(
    1_000.0, 4_000.0, trial_ms=CALL_TIMEOUT_MS
)
THREADS = 8
MAX_STREAMS = 20_000


@dataclasses.dataclass(frozen=True)
class Known:
    """The stream may go on at servers of a version."""

    version: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Nobody knows at which of several versions the stream began."""

    reason: str


Origin = Known | Unknown


class _Stream(NamedTuple):
    service: str
    version: str
    began_ms: float


def _wait_for_nothing() -> None:
    """Return at once, as only one version is in service."""


class StreamVersions:
    """Versions of streams that this process began, and of those of others.

    While a service has had servers of one version only, nothing is recorded
    and nobody is asked.

    :param name: name of this member.
    :param history: versions of the services.
    :param view: members and storage hosts.
    :param clients: calls to other processes.
    :param is_current: returns whether the view is as recent as the store.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        history: version_history.VersionHistory,
        view: fleet.Fleet,
        clients: peers.PeerClients,
        is_current: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._history = history
        self._fleet = view
        self._clients = clients
        self._is_current = is_current
        self._clock = clock
        self._breaker = circuit_breaker.CircuitBreaker(BREAKER_BACKOFF, clock)
        self._members = member_calls.MemberCalls(
            clients, BREAKER_BACKOFF, clock
        )
        self._calls = concurrent.futures.ThreadPoolExecutor(
            THREADS, "stream-versions"
        )
        self._lock = threading.Lock()
        self._streams: collections.OrderedDict[str, _Stream] = (
            collections.OrderedDict()
        )
        # Services whose streams are recorded at storage hosts.
        self._mixed: frozenset[str] = frozenset()

    def begin(
        self, stream_id: str, server: traffic.BackendServer
    ) -> Callable[[], None]:
        """Record that a server is about to begin a stream.

        :return: waits until others can find it, for a short time.
        """
        stream = _Stream(server.service, server.version, self._clock.now_ms())
        with self._lock:
            self._streams[stream_id] = stream
            self._streams.move_to_end(stream_id)
            self._drop_old()
        if len(self._history.possible(server.service)) < 2:
            return _wait_for_nothing
        start = stream_registry.StreamStart(stream_id, server.version)
        future = self._calls.submit(self._record, [start])
        return lambda: _wait(future)

    def origin(self, stream_id: str, service: str) -> Origin:
        """Return where a stream may go on.

        :param stream_id: request that began it, empty if not known.
        """
        possible = self._history.possible(service)
        if not self._is_current():
            known_to_others = self._ask_members(service)
            if known_to_others is None:
                possible = frozenset()
            else:
                possible |= known_to_others
        if len(possible) == 1:
            return Known(next(iter(possible)))
        version = self._local_version(stream_id) or self._find(stream_id)
        events.log(
            events.Event.STREAM_RESUMED,
            stream_id=stream_id,
            service=service,
            possible_versions=sorted(possible),
            version=version,
        )
        if version is None:
            return Unknown("the version that began the stream is not known")
        return Known(version)

    def record_earlier(self) -> None:
        """Record streams that began while their service had one version.

        Storage hosts may register only when they are needed for this.
        """
        mixed = self._history.mixed_services()
        if not self._fleet.storage_hosts():
            mixed = frozenset()
        added = mixed - self._mixed
        self._mixed = mixed
        if not added:
            return
        with self._lock:
            starts = [
                stream_registry.StreamStart(stream_id, stream.version)
                for stream_id, stream in self._streams.items()
                if stream.service in added
            ]
        self._calls.submit(self._record, starts)

    def _ask_members(self, service: str) -> frozenset[str] | None:
        """Return the possible versions that another member knows.

        While this process cannot follow the records, another version may
        have come. A member that answers shows that it is not cut off alone.

        :return: ``None`` if no other member answers.
        """
        others = [
            member
            for member in self._fleet.members()
            if member.name != self._name
        ]
        random.shuffle(others)
        body = {"service": service}
        for member in others[:MAX_LOOKUPS]:
            answer = self._members.call(
                member, peers.VERSIONS_PATH, body, CALL_TIMEOUT_MS
            )
            versions = answer.get("versions") if answer else None
            if isinstance(versions, list) and versions:
                return frozenset(str(version) for version in versions)
        return None

    def _local_version(self, stream_id: str) -> str | None:
        with self._lock:
            stream = self._streams.get(stream_id)
        return None if stream is None else stream.version

    def _record(self, starts: list[stream_registry.StreamStart]) -> None:
        """Record streams at the storage hosts of each."""
        by_host: dict[replicas.StorageHost, list[stream_registry.StreamStart]]
        by_host = {}
        hosts = self._fleet.storage_hosts()
        for start in starts:
            for host in replicas.rank(start.stream_id, hosts)[:COPIES]:
                by_host.setdefault(host, []).append(start)
        for host, found in by_host.items():
            body = stream_registry.encode_starts(found)
            self._call(host, peers.RECORD_STREAMS_PATH, body)

    def _find(self, stream_id: str) -> str | None:
        """Ask storage hosts for the version at which a stream began."""
        if not stream_id:
            return None
        ranked = replicas.rank(stream_id, self._fleet.storage_hosts())
        for host in ranked[:MAX_LOOKUPS]:
            answer = self._call(
                host, peers.FIND_STREAM_PATH, stream_id.encode("latin-1")
            )
            if answer is None:
                continue
            try:
                version = stream_registry.decode_version(answer)
            except ValueError:
                continue
            if version is not None:
                return version
        return None

    def _call(
        self, host: replicas.StorageHost, path: str, body: bytes
    ) -> bytes | None:
        if not self._breaker.allow_call(host.address):
            return None
        try:
            answer = self._clients.post(
                host.address, path, body, CALL_TIMEOUT_MS
            )
        except peers.PeerUnavailableError as error:
            self._breaker.record_failure(host.address)
            events.log(
                events.Event.STORAGE_CALL_FAILED,
                host=host.name,
                reason=str(error),
            )
            return None
        self._breaker.record_success(host.address)
        return answer

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - stream_registry.RETENTION_MS
        while self._streams:
            stream = next(iter(self._streams.values()))
            is_old = stream.began_ms < oldest_ms
            if not is_old and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)


def _wait(future: concurrent.futures.Future[None]) -> None:
    concurrent.futures.wait([future], RECORD_TIMEOUT_MS / clocks.MS_PER_S)
