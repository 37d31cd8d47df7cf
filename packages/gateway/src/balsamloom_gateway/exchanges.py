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


class RequestEndedError(Exception):
    """The process has ended the request at the end of its stop."""


class Exchange:
    """One request of a caller and how far this process got with it.

    The end of a stop refuses the request, unless it has been passed on or its
    answer has begun before. ``read_ms`` is the time at which its head, with
    the fields in ``headers``, had been read.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_refused = False
        self.is_passed_on = False
        self.is_answered = False
        self.read_ms: float | None = None
        self.headers: Mapping[bytes, bytes] = {}

    def begin(self, headers: Mapping[bytes, bytes], now_ms: float) -> None:
        """Record that the head of the request has been read."""
        self.headers = headers
        self.read_ms = now_ms

    def pass_on(self) -> None:
        """Record that the request is about to be sent to a server.

        :raises RequestEndedError: it has been refused.
        """
        with self._lock:
            self._check()
            self.is_passed_on = True

    def take_back(self) -> None:
        """Record that no server can have run the request."""
        with self._lock:
            self.is_passed_on = False

    def answer(self) -> None:
        """Record that the answer begins.

        :raises RequestEndedError: the request has been refused.
        """
        with self._lock:
            self._check()
            self.is_answered = True

    def refuse(self) -> bool:
        """Refuse the request, and return whether it now never runs."""
        with self._lock:
            if self.is_passed_on or self.is_answered:
                return False
            self._is_refused = True
        return True

    def _check(self) -> None:
        if self._is_refused:
            raise RequestEndedError("the process has ended the request")
