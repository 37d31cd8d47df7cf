"""Crashes of backend servers under requests, counted by request.

A request that crashes its server comes again with another request
identifier, through any process. It is recognised by its workspace, target and
body. If several bodies of one target crash servers and no request of the
workspace for that target was ever served, the target as a whole counts as one
request. Servers that one body has crashed, as many as it may, show nothing
about the others.
"""

from __future__ import annotations

import collections
import hashlib
import threading
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

from balsamloom_workspaces import scopes

T = TypeVar("T")

# Crashes after which a request is not sent to any other server.
MAX_CRASHES = 3
# The same for a request that was answered before. It probably waited at
# servers that another one crashed, which is stopped sooner.
MAX_CRASHES_OF_SERVED = 5
# A request may run again this long after its last crash.
RETENTION_MS = 600_000.0
# Served targets, and served requests, that a process remembers.
MAX_SERVED = 4_096
DIGEST_BYTES = 12


class RequestKey(NamedTuple):
    """Digests of a request's owner, method, host and target, and of its body.

    ``target_id`` stands for all but the body.
    """

    target_id: str
    body_id: str


class Crash(NamedTuple):
    """Crash of one run of a server under a request.

    ``wall_ms`` is the time of day, which all processes share.
    """

    key: RequestKey
    server_run: str
    wall_ms: float


def request_key(
    method: bytes,
    host: bytes,
    target: bytes,
    body: bytes,
    scope: scopes.Scope = scopes.UNSCOPED,
) -> RequestKey:
    """Return the key under which crashes of a request are counted.

    What is served to one workspace says nothing about the requests of others,
    as servers are told whose request it is.

    :param body: the caller's body, without earlier turns.
    :param scope: workspace of the caller.
    """
    line = b"%s %s %s" % (method, host.lower(), target)
    owned = scope.identifier(line.decode("latin-1"))
    return RequestKey(_digest(owned.encode("latin-1")), _digest(body))


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class CrashLedger:
    """Crashes that this process knows of, from itself and from others."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._crashes: dict[str, dict[tuple[str, str], float]] = {}
        self._shared_targets: set[str] = set()
        self._served: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._served_requests: collections.OrderedDict[RequestKey, None] = (
            collections.OrderedDict()
        )
        # Crashes that an answer has cleared, by request and run of a server.
        self._cleared: collections.OrderedDict[tuple[RequestKey, str], None]
        self._cleared = collections.OrderedDict()

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it was unknown."""
        entry = (crash.key.body_id, crash.server_run)
        with self._lock:
            crashes = self._crashes.setdefault(crash.key.target_id, {})
            is_new = entry not in crashes
            crashes[entry] = crash.wall_ms
            self._cleared.pop((crash.key, crash.server_run), None)
            return is_new

    def remove(self, key: RequestKey, server_run: str) -> None:
        """Forget a crash."""
        with self._lock:
            crashes = self._crashes.get(key.target_id, {})
            crashes.pop((key.body_id, server_run), None)
            if not crashes:
                self._crashes.pop(key.target_id, None)

    def share_target(self, target_id: str) -> None:
        """Count a target's requests by body, since some were served."""
        with self._lock:
            self._shared_targets.add(target_id)

    def unshare_target(self, target_id: str) -> None:
        """Forget that requests for a target were served."""
        with self._lock:
            self._shared_targets.discard(target_id)

    def record_served(self, key: RequestKey) -> list[Crash]:
        """Record that a server answered a request.

        :return: crashes under the same request, which it did not cause.
        """
        with self._lock:
            _remember(self._served, key.target_id)
            _remember(self._served_requests, key)
            cleared = self._of_body(key)
            for crash in cleared:
                _remember(self._cleared, (key, crash.server_run))
            return cleared

    def is_cleared(self, crash: Crash) -> bool:
        """Return whether an answer has cleared a crash before.

        A run of a server crashes once, so its record is an old one.
        """
        with self._lock:
            return (crash.key, crash.server_run) in self._cleared

    def must_share(self, target_id: str) -> bool:
        """Return whether only this process knows that a target is served."""
        with self._lock:
            return (
                target_id in self._served
                and target_id in self._crashes
                and target_id not in self._shared_targets
            )

    def count(self, key: RequestKey) -> int:
        """Return how many runs of servers crashed under a request."""
        with self._lock:
            return len(self._runs(key))

    def blocked_until_ms(self, key: RequestKey) -> float | None:
        """Return the time of day until which a request may not run.

        A process that has seen it answered lets it run a little longer; if it
        is answered again, its crashes are forgotten by all.

        :return: ``None`` if it may run.
        """
        with self._lock:
            runs = self._runs(key)
            is_served = key in self._served_requests
            limit = MAX_CRASHES_OF_SERVED if is_served else MAX_CRASHES
            if len(runs) < limit:
                return None
            return max(runs.values()) + RETENTION_MS

    def expired(self, wall_ms: float) -> list[Crash]:
        """Return the crashes of targets without a recent crash."""
        with self._lock:
            return [
                Crash(RequestKey(target_id, body_id), server_run, crash_ms)
                for target_id, crashes in self._crashes.items()
                if max(crashes.values()) + RETENTION_MS <= wall_ms
                for (body_id, server_run), crash_ms in crashes.items()
            ]

    def unused_shared_targets(self) -> list[str]:
        """Return the shared targets without any crash."""
        with self._lock:
            return sorted(self._shared_targets - set(self._crashes))

    def _runs(self, key: RequestKey) -> dict[str, float]:
        """Return the crashed runs that count, with the latest time."""
        crashes = self._crashes.get(key.target_id)
        if crashes is None:
            return {}
        is_shared = (
            key.target_id in self._shared_targets
            or key.target_id in self._served
        )
        explained = _runs_of_blocked_bodies(crashes)
        runs: dict[str, float] = {}
        for (body_id, server_run), wall_ms in crashes.items():
            is_of_target = not is_shared and server_run not in explained
            if body_id == key.body_id or is_of_target:
                runs[server_run] = max(wall_ms, runs.get(server_run, wall_ms))
        return runs

    def _of_body(self, key: RequestKey) -> list[Crash]:
        crashes = self._crashes.get(key.target_id, {})
        return [
            Crash(key, server_run, wall_ms)
            for (body_id, server_run), wall_ms in crashes.items()
            if body_id == key.body_id
        ]


def _runs_of_blocked_bodies(
    crashes: Iterable[tuple[str, str]],
) -> frozenset[str]:
    """Return the runs that crashed under bodies which alone may not run.

    :param crashes: body and run of each crash of a target.
    """
    runs: dict[str, set[str]] = collections.defaultdict(set)
    for body_id, server_run in crashes:
        runs[body_id].add(server_run)
    blocked = (found for found in runs.values() if len(found) >= MAX_CRASHES)
    return frozenset().union(*blocked)


def _remember(served: collections.OrderedDict[T, None], entry: T) -> None:
    """Add an entry as the latest one, and drop the oldest beyond a limit."""
    served[entry] = None
    served.move_to_end(entry)
    if len(served) > MAX_SERVED:
        served.popitem(last=False)
