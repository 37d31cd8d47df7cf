"""Stand-in for tool services: counts the runs of each idempotency key."""

from __future__ import annotations

import collections
import threading
import time
from typing import Any

import cherrypy

from balsamloom_standins import _serving


class ToolStandin:
    """CherryPy handlers of a tool service.

    :param duration_ms: time that one operation takes.
    """

    def __init__(self, duration_ms: float = 5.0) -> None:
        self._duration_ms = duration_ms
        self._lock = threading.Lock()
        self._runs: collections.Counter[str] = collections.Counter()

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> Any:
        """Run an operation, or give the count of runs at ``/runs``."""
        if path == ("runs",):
            with self._lock:
                return _serving.write_json(dict(self._runs))
        body = _serving.read_json()
        key = cherrypy.request.headers.get("Idempotency-Key", "")
        with self._lock:
            self._runs[key] += 1
            runs = self._runs[key]
        time.sleep(self._duration_ms / 1000)
        return _serving.write_json(
            {"operation": "/".join(path), "input": body, "runs": runs}
        )
