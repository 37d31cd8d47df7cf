"""Records of stand-ins and entry processes, for checks of a test run."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterable
from typing import Any

from balsamloom_standins import fleet

SAMPLE_INTERVAL_S = 0.05
# An engine's tag is a path: the program comes first and the call last.
TAG_PROGRAM, TAG_CALL = 0, 2


class RevisionSampler:
    """Sampler of the configuration revision of every entry process.

    :param entries: returns the entry processes to sample.
    :param status: returns the status of an entry process.
    """

    def __init__(
        self,
        entries: Callable[[], Iterable[fleet.Process]],
        status: Callable[[fleet.Process], dict[str, Any]],
    ) -> None:
        self._entries = entries
        self._status = status
        self._stopped = threading.Event()
        self._revisions: dict[int, list[int]] = collections.defaultdict(list)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> list[str]:
        """Stop sampling and describe each process whose revision decreased."""
        self._stopped.set()
        self._thread.join()
        return [
            f"R10: revision of process {pid} decreased: {revisions}"
            for pid, revisions in self._revisions.items()
            if revisions != sorted(revisions)
        ]

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            for entry in list(self._entries()):
                revision = self._status(entry).get("configuration_revision")
                revisions = self._revisions[entry.pid]
                if revision is not None and revisions[-1:] != [revision]:
                    revisions.append(revision)


def fetch_records(standins: Iterable[fleet.Process]) -> list[dict[str, Any]]:
    """Return the records of all requests to the given stand-ins.

    :param standins: model engines or tool services.
    """
    return [
        record
        for standin in standins
        for record in standin.request("GET", "/records")["records"]
    ]


def fetch_hold_tags(engines: Iterable[fleet.Process]) -> list[str]:
    """Return the tags of all memory that model engines hold.

    :param engines: model engines.
    """
    return [
        hold["tag"]
        for engine in engines
        for hold in engine.request("GET", "/holds")["holds"]
    ]


def program_of(tag: str) -> str:
    """Return the program identifier in an engine's tag.

    :param tag: tag of a request or of held memory.
    """
    return tag.split("/")[TAG_PROGRAM]
