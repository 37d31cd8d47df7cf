"""Rate limits of backend servers as this process knows them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from balsamloom_core import events
from balsamloom_gateway import callbacks, rate_quota, traffic

_Run = tuple[str, int]


class ServerLimits:
    """Latest sighting of each server's limit, from answers and members.

    A server without an entry was never seen with a limit.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sightings: dict[_Run, rate_quota.LimitSighting] = {}
        # Called with a server that no longer has a limit.
        self.on_released: Callable[[str], object] = callbacks.ignore

    def record(
        self, server_id: str, incarnation: int, seen: rate_quota.LimitSighting
    ) -> None:
        """Record what a server said, unless a later answer is known."""
        run = (server_id, incarnation)
        with self._lock:
            known = self._sightings.get(run)
            if known is None and seen.limit_per_s is None:
                return
            if known is not None and seen.seen_ms <= known.seen_ms:
                return
            self._sightings[run] = seen
        if known is None or known.limit_per_s != seen.limit_per_s:
            events.log(
                events.Event.SERVER_LIMIT_CHANGED,
                server_id=server_id,
                incarnation=incarnation,
                limit_per_s=seen.limit_per_s,
            )
        if known is not None and known.limit_per_s and not seen.limit_per_s:
            self.on_released(server_id)

    def latest(
        self, server_id: str, incarnation: int
    ) -> rate_quota.LimitSighting | None:
        """Return the latest sighting, ``None`` if no limit was ever seen."""
        with self._lock:
            return self._sightings.get((server_id, incarnation))

    def is_limited(self, server: traffic.BackendServer) -> bool:
        """Return whether a server has a limit now."""
        seen = self.latest(server.server_id, server.incarnation)
        return seen is not None and seen.limit_per_s is not None

    def limited_servers(self) -> frozenset[str]:
        """Return the identifiers of all servers that have a limit now."""
        with self._lock:
            return frozenset(
                server_id
                for (server_id, _), seen in self._sightings.items()
                if seen.limit_per_s is not None
            )

    def keep_only(self, servers: Iterable[traffic.BackendServer]) -> None:
        """Forget the limits of all servers but those given."""
        runs = {(server.server_id, server.incarnation) for server in servers}
        with self._lock:
            self._sightings = {
                run: seen
                for run, seen in self._sightings.items()
                if run in runs
            }
