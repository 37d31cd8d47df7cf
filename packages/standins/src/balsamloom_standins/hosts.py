"""Stand-in for the host list and the weight store, in one server."""

from __future__ import annotations

import collections
import threading
import time
from typing import Any

import cherrypy

from balsamloom_standins import _faults, _serving

_FAULT_MODES = ("refuse", "hang", "slow")
_SETTINGS = ("lag_ms", "fetches_per_s", "burst", "weight_bytes")


class HostsStandin:
    """CherryPy handlers of the host list and the weight store.

    :param lag_ms: age of the returned host list.
    :param fetches_per_s: rate limit of the weight store.
    :param burst: fetches allowed in a burst, the size of the token bucket.
    """

    def __init__(
        self, lag_ms: float = 0, fetches_per_s: float = 1, burst: float = 2
    ) -> None:
        self._lock = threading.Lock()
        self._faults = _faults.Faults()
        self._settings = {
            "lag_ms": lag_ms,
            "fetches_per_s": fetches_per_s,
            "burst": burst,
            "weight_bytes": 1_000_000_000.0,
        }
        self._lists: collections.deque[tuple[float, list[Any]]] = (
            collections.deque([(0.0, [])])
        )
        self._tokens = burst
        self._refilled_s = time.monotonic()
        self._fetch_counts: collections.Counter[str] = collections.Counter()

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> Any:
        """Serve ``/hosts``, ``/fetch``, ``/faults``, ``/stats``, /control."""
        body = _serving.read_json()
        match (cherrypy.request.method, *path):
            case ("POST", "control"):
                return self._control(body)
            case ("POST", "faults"):
                error = self._faults.set(body)
                status = 400 if error else 200
                return _serving.write_json({"error": error}, status)
            case ("GET", "stats"):
                with self._lock:
                    return _serving.write_json({"fetched": self._fetch_counts})
            case ("GET", "hosts") | ("POST", "fetch"):
                if self._faults.apply_to_request(_FAULT_MODES) == "refuse":
                    return _serving.write_json({"error": "unavailable"}, 503)
                if path == ("hosts",):
                    return _serving.write_json({"hosts": self._hosts()})
                return self._fetch(body["model"])
            case _:
                return _serving.write_json({"error": "not found"}, 404)

    def _control(self, body: dict[str, Any]) -> bytes:
        unknown = sorted(set(body) - {"hosts", *_SETTINGS})
        if unknown:
            message = (
                f"unknown settings {unknown};"
                f" use hosts, {', '.join(_SETTINGS)}"
            )
            return _serving.write_json({"error": message}, 400)
        with self._lock:
            hosts = body.pop("hosts", None)
            if hosts is not None:
                self._lists.append((time.monotonic(), hosts))
            self._settings.update(body)
            return _serving.write_json(self._settings)

    def _hosts(self) -> list[Any]:
        with self._lock:
            limit_s = time.monotonic() - self._settings["lag_ms"] / 1000
            while len(self._lists) > 1 and self._lists[1][0] <= limit_s:
                self._lists.popleft()
            return self._lists[0][1]

    def _fetch(self, model: str) -> bytes:
        with self._lock:
            now_s = time.monotonic()
            rate = self._settings["fetches_per_s"]
            refilled = self._tokens + (now_s - self._refilled_s) * rate
            self._tokens = min(refilled, self._settings["burst"])
            self._refilled_s = now_s
            if self._tokens < 1:
                wait_ms = int((1 - self._tokens) / rate * 1000) + 1
                document = {"retry_after_ms": wait_ms}
                return _serving.write_json(document, 429, wait_ms)
            self._tokens -= 1
            self._fetch_counts[model] += 1
            size_bytes = int(self._settings["weight_bytes"])
        return _serving.write_json({"model": model, "bytes": size_bytes})
