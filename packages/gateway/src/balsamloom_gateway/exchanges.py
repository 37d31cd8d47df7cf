"""Progress of callers' connections and of the requests on them."""

from __future__ import annotations

import enum
import threading
from collections.abc import Mapping


class ConnectionState(enum.Enum):
    """What a caller's connection is doing."""

    WAITING = "waiting"
    QUEUED = "queued"
    READING = "reading"
    IN_PROGRESS = "in_progress"


class Exchange:
    """One request of a caller and how far this process got with it.

    ``read_ms`` is the time at which the head of the request, with the fields
    in ``headers``, had been read.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.is_passed_on = False
        self.read_ms: float | None = None
        self.headers: Mapping[bytes, bytes] = {}

    def begin(self, headers: Mapping[bytes, bytes], now_ms: float) -> None:
        """Record that the head of the request has been read."""
        self.headers = headers
        self.read_ms = now_ms

    def pass_on(self) -> None:
        """Record that the request is about to be sent to a server."""
        with self._lock:
            self.is_passed_on = True
