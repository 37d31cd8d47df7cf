"""What stand-ins and entry processes recorded while callers pressed on."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterable
from typing import Any

from balsamloom_standins import fleet

SAMPLE_INTERVAL_S = 0.05
# The first part of an engine's tag is the program, the last one the call.
TAG_PROGRAM, TAG_CALL = 0, 2


class RevisionSampler:
    """Notes the configuration revision of every entry process over time.

    :param entries: returns the entry processes.
    :param status: reads the status of one.
    """

    def __init__(
        self,
        entries: Callable[[], Iterable[fleet.Process]],
        status: Callable[[fleet.Process], dict[str, Any]],
    ) -> None:
        self._entries = entries
        self._status = status
        self._ended = threading.Event()
        self._seen: dict[int, list[int]] = collections.defaultdict(list)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> list[str]:
        """End sampling and return the members whose revision fell."""
        self._ended.set()
        self._thread.join()
        return [
            f"R10: process {pid} went through revisions {seen}"
            for pid, seen in self._seen.items()
            if seen != sorted(seen)
        ]

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            for entry in list(self._entries()):
                revision = self._status(entry).get("configuration_revision")
                seen = self._seen[entry.pid]
                if revision is not None and seen[-1:] != [revision]:
                    seen.append(revision)


def fetch_records(standins: Iterable[fleet.Process]) -> list[dict[str, Any]]:
    """Return the records of all requests that stand-ins have seen.

    :param standins: engines or tool services.
    """
    return [
        record
        for standin in standins
        for record in standin.request("GET", "/records")["records"]
    ]


def fetch_hold_tags(engines: Iterable[fleet.Process]) -> list[str]:
    """Return the tags of all memory that engines hold.

    :param engines: engines.
    """
    return [
        hold["tag"]
        for engine in engines
        for hold in engine.request("GET", "/holds")["holds"]
    ]


def program_of(tag: str) -> str:
    """Return the program of an engine's tag.

    :param tag: tag of a request or of held memory.
    """
    return tag.split("/")[TAG_PROGRAM]
