"""Notices of crashes under requests, sent to other members at once.

The store brings each crash to all members within about a second. By then the
caller may have tried again at several of them.
"""

from __future__ import annotations

import math
import random
import threading
from collections.abc import Sequence
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    circuit_breaker,
    crash_ledger,
    crash_reports,
    fleet,
    member_calls,
    peers,
)

# Members that get a notice. In a larger fleet the others learn from the store.
MAX_MEMBERS = 16
NOTICE_TIMEOUT_MS = 100.0
WAIT_MS = 30_000.0
BREAKER_BACKOFF = circuit_breaker.Backoff(
    1_000.0, 1_000.0, trial_ms=NOTICE_TIMEOUT_MS
)


class CrashNotices:
    """Sends the crashes that this member saw to other members.

    :param name: name of this member.
    :param reports: crashes of this member.
    :param clients: other members.
    :param view: registered members.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        reports: crash_reports.CrashReports,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._calls = member_calls.MemberCalls(clients, BREAKER_BACKOFF, clock)
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        self._work = threading.Event()
        self._pending: list[crash_ledger.Crash] = []
        reports.on_crash = self._enqueue

    def run(self) -> None:
        """Send notices for as long as the process runs."""
        while True:
            self._clock.wait(self._work, WAIT_MS)
            self._work.clear()
            self.send_pending()

    def send_pending(self) -> None:
        """Send all pending crashes to other members."""
        with self._lock:
            crashes = self._pending
            self._pending = []
        if not crashes:
            return
        members = [
            member
            for member in self._fleet.members()
            if member.name != self._name
        ]
        random.shuffle(members)
        body = {"crashes": encode(crashes)}
        for member in members[:MAX_MEMBERS]:
            self._calls.call(member, peers.CRASH_PATH, body, NOTICE_TIMEOUT_MS)

    def _enqueue(self, crash: crash_ledger.Crash) -> None:
        with self._lock:
            self._pending.append(crash)
        self._work.set()


def encode(crashes: Sequence[crash_ledger.Crash]) -> list[list[Any]]:
    """Encode crashes as JSON."""
    return [[*crash.key, crash.server_run, crash.wall_ms] for crash in crashes]


def decode(body: dict[str, Any]) -> list[crash_ledger.Crash]:
    """Decode the crashes of a notice.

    :raises ValueError: it is malformed.
    """
    crashes = []
    try:
        for target_id, body_id, server_run, wall_ms in body["crashes"]:
            key = crash_ledger.RequestKey(str(target_id), str(body_id))
            time_ms = float(wall_ms)
            if not math.isfinite(time_ms):
                raise ValueError(f"{wall_ms!r} is no time")
            crashes.append(crash_ledger.Crash(key, str(server_run), time_ms))
    except (KeyError, TypeError) as error:
        raise ValueError(repr(error)) from error
    return crashes
