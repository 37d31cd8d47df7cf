"""Decides at which version a stream that a caller resumes may go on."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import dataclasses
import math
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
# And so much longer if its stream could be joined to one of another version.
REPEAT_TIMEOUT_MS = 500.0
# Streams begin at one version this long after one could not be recorded.
UNRELIABLE_PERIOD_MS = 5_000.0
BREAKER_BACKOFF = circuit_breaker.Backoff(
    1_000.0, 4_000.0, trial_ms=CALL_TIMEOUT_MS
)
THREADS = 16
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
_Calls = list[concurrent.futures.Future[bytes | None]]


class _Stream(NamedTuple):
    service: str
    version: str
    began_ms: float


class StreamVersions:
    """Versions of streams that this process began, and of those of others.

    While a service has had servers of one version only, nothing is recorded.

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
        self._is_current = is_current
        self._clock = clock
        self._clients = clients
        self._processes = member_calls.MemberCalls(
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
        self._unreliable_until_ms = -math.inf

    def begin(
        self,
        stream_id: str,
        server: traffic.BackendServer,
        is_first: bool = True,
    ) -> bool:
        """Record that a server has begun a stream, so that others find it.

        A record that was given up here may still arrive, so a stream that may
        not be sent must not begin again.

        :param is_first: whether no other member can have begun the stream.
        :return: whether the stream may be sent.
        """
        stream = _Stream(server.service, server.version, self._clock.now_ms())
        with self._lock:
            self._streams[stream_id] = stream
            self._streams.move_to_end(stream_id)
            self._drop_old()
        if len(self._history.possible(server.service)) < 2:
            return True
        start = stream_registry.StreamStart(stream_id, server.version)
        return self._record_in_time(start, server.service, is_first)

    def required_version(self, service: str) -> str | None:
        """Return the version at which a new stream must begin.

        A stream that nobody has recorded counts as one of the oldest version.
        So streams begin at another one only if they can be recorded.

        :return: ``None`` for any.
        """
        if self._can_record():
            return None
        elder = self._history.elder(service)
        if len(self._history.possible(service)) < 2:
            return None
        has_server = any(
            server.service == service and server.version == elder
            for server in self._fleet.servers()
        )
        return elder if has_server else None

    def _can_record(self) -> bool:
        """Return whether storage hosts have lately recorded what they got."""
        if self._clock.now_ms() < self._unreliable_until_ms:
            return False
        return bool(self._fleet.storage_hosts())

    def _record_in_time(
        self,
        start: stream_registry.StreamStart,
        service: str,
        is_first: bool,
    ) -> bool:
        """Wait until a host knows a stream; return whether it may be sent.

        Without a record, others take it for one of the oldest version, unless
        a record of another member arrives later.
        """
        if _wait(self._record([start]), RECORD_TIMEOUT_MS):
            return True
        self._unreliable_until_ms = self._clock.now_ms() + UNRELIABLE_PERIOD_MS
        required = self.required_version(service)
        if is_first and required in (None, start.version):
            return True
        return _wait(self._record_again(start), REPEAT_TIMEOUT_MS)

    def _record_again(self, start: stream_registry.StreamStart) -> _Calls:
        """Record a stream at all hosts that are asked for it."""
        hosts = replicas.rank(start.stream_id, self._fleet.storage_hosts())
        return [
            self._calls.submit(self._post_again, host, start)
            for host in hosts[:MAX_LOOKUPS]
        ]

    def _post_again(
        self, host: replicas.StorageHost, start: stream_registry.StreamStart
    ) -> bytes | None:
        """Call a host even if it has just failed to answer."""
        body = stream_registry.encode_starts([start])
        try:
            return self._clients.post(
                host.address,
                peers.RECORD_STREAMS_PATH,
                body,
                REPEAT_TIMEOUT_MS,
            )
        except peers.PeerUnavailableError:
            return None

    def origin(
        self,
        stream_id: str,
        service: str,
        await_records: Callable[[], bool],
    ) -> Origin:
        """Return where a stream may go on.

        :param stream_id: request that began it, empty if not known.
        :param await_records: waits until this process knows all that was in
            the store when the request came; returns whether it does.
        """
        found = self._look_up(stream_id, service, await_records)
        possible = self._possible(service, found, await_records)
        version = self._conclude(found, service, possible)
        events.log(
            events.Event.STREAM_RESUMED,
            stream_id=stream_id,
            service=service,
            lookup=type(found).__name__,
            possible_versions=sorted(possible),
            version=version,
        )
        if version is None:
            return Unknown("the version that began the stream is not known")
        return Known(version)

    def _look_up(
        self,
        stream_id: str,
        service: str,
        await_records: Callable[[], bool],
    ) -> stream_registry.Lookup:
        """Return what this process or the storage hosts know of a stream.

        With several versions, hosts that this process has not read yet are
        asked too before the stream counts as not recorded.
        """
        version = self._local_version(stream_id)
        if version is not None:
            return stream_registry.Recorded(version)
        hosts = self._fleet.storage_hosts()
        found = self._find(stream_id, hosts)
        is_mixed = len(self._history.possible(service)) > 1
        if not isinstance(found, stream_registry.NotRecorded) or not is_mixed:
            return found
        if not await_records():
            return stream_registry.Unsure()
        known_hosts = self._fleet.storage_hosts()
        if set(known_hosts) <= set(hosts):
            return found
        return self._find(stream_id, known_hosts)

    def _possible(
        self,
        service: str,
        found: stream_registry.Lookup,
        await_records: Callable[[], bool],
    ) -> frozenset[str]:
        """Return the versions at which a stream may have begun.

        :return: none if another process may know of others.
        """
        if not self._is_current():
            known_to_others = self._ask_members(service)
            if known_to_others is None:
                return frozenset()
            return self._history.possible(service) | known_to_others
        is_unsure = isinstance(found, stream_registry.Unsure)
        if is_unsure and not await_records():
            return frozenset()
        return self._history.possible(service)

    def _conclude(
        self,
        found: stream_registry.Lookup,
        service: str,
        possible: frozenset[str],
    ) -> str | None:
        """Return the version at which a stream began, if it is certain."""
        match found:
            case stream_registry.Recorded(version):
                return version
            case stream_registry.Ambiguous():
                return None
            case _ if len(possible) == 1:
                return next(iter(possible))
            case stream_registry.NotRecorded() if self._is_current():
                return self._history.elder(service)
            case _:
                return None

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
        self._record(starts)

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
            answer = self._processes.call(
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

    def _record(self, starts: list[stream_registry.StreamStart]) -> _Calls:
        """Record streams at the storage hosts of each.

        :return: a call for each host, which run at the same time.
        """
        by_host: dict[replicas.StorageHost, list[stream_registry.StreamStart]]
        by_host = {}
        hosts = self._fleet.storage_hosts()
        for start in starts:
            for host in replicas.rank(start.stream_id, hosts)[:COPIES]:
                by_host.setdefault(host, []).append(start)
        return [
            self._calls.submit(
                self._processes.post,
                host,
                peers.RECORD_STREAMS_PATH,
                stream_registry.encode_starts(found),
                CALL_TIMEOUT_MS,
            )
            for host, found in by_host.items()
        ]

    def _find(
        self, stream_id: str, hosts: list[replicas.StorageHost]
    ) -> stream_registry.Lookup:
        """Ask storage hosts for the version at which a stream began.

        A host may know of a version that this process has not seen yet.
        """
        ranked = replicas.rank(stream_id, hosts)
        if not stream_id or not ranked:
            return stream_registry.Unsure()
        found: list[stream_registry.Lookup] = []
        for host in ranked[:MAX_LOOKUPS]:
            found.append(self._find_at(host, stream_id))
            if _is_confirmed(found):
                break
        return stream_registry.combine(found)

    def _find_at(
        self, host: replicas.StorageHost, stream_id: str
    ) -> stream_registry.Lookup:
        answer = self._processes.post(
            host,
            peers.FIND_STREAM_PATH,
            stream_id.encode("latin-1"),
            CALL_TIMEOUT_MS,
        )
        if answer is None:
            return stream_registry.Unsure()
        try:
            return stream_registry.decode_lookup(answer)
        except ValueError:
            return stream_registry.Unsure()

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - stream_registry.RETENTION_MS
        while self._streams:
            stream = next(iter(self._streams.values()))
            is_old = stream.began_ms < oldest_ms
            if not is_old and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)


def _is_confirmed(found: list[stream_registry.Lookup]) -> bool:
    """Return whether as many hosts have a record as keep one."""
    records = [
        one for one in found if isinstance(one, stream_registry.Recorded)
    ]
    return len(records) >= COPIES


def _wait(calls: _Calls, timeout_ms: float) -> bool:
    """Wait for some time until a call succeeds; return whether one did."""
    timeout_s = timeout_ms / clocks.MS_PER_S
    with contextlib.suppress(TimeoutError):
        for call in concurrent.futures.as_completed(calls, timeout_s):
            if call.result() is not None:
                return True
    return False
