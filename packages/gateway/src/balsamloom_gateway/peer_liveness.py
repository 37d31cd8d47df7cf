"""Decides which members cannot serve callers at the moment.

A member that loses power stays registered until its lease ends, and for as
long as the store is down. Callers that hold its address lose every call on
their open connections, and a call that may not be repeated ends its program.
This module performs no I/O.
"""

from __future__ import annotations

import collections
import hashlib
import math
import threading
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import traffic

# Members to which each member sends heartbeats.
MAX_WATCHED_MEMBERS = 6
# A single heartbeat can be lost or delayed by a short pause.
MISSES_UNTIL_SILENT = 2
# Reports by others are used for this time; their reporters repeat them with
# each heartbeat.
MAX_REPORT_AGE_MS = 1_500.0
# A member that this process does not watch needs this many reporters. The
# path between it and a single reporter may be interrupted.
REQUIRED_REPORTERS = 2
# Bounds the size of a heartbeat.
MAX_SENT_REPORTS = 64


class Report(NamedTuple):
    """Statement that a member cannot serve callers.

    Heartbeats carry the fields as a list in this order.
    """

    member: str
    reporter: str
    age_ms: float


class _Observation:
    """What the heartbeats to one member showed."""

    def __init__(self) -> None:
        self.misses = 0
        self.is_ready = True

    @property
    def is_unavailable(self) -> bool:
        return self.misses >= MISSES_UNTIL_SILENT or not self.is_ready


class PeerLiveness:
    """Members that are silent or leaving, by own heartbeats and by reports.

    Own observations take precedence over reports.

    :param name: name of this member.
    :param clock: time source.
    """

    def __init__(self, name: str, clock: clocks.Clock) -> None:
        self._name = name
        self._clock = clock
        self._lock = threading.Lock()
        self._observed: dict[str, _Observation] = {}
        # Time of the statement, by member and reporter.
        self._reported_ms: dict[tuple[str, str], float] = {}

    def watch(self, members: Iterable[str]) -> None:
        """Set the members that this one sends heartbeats to."""
        with self._lock:
            self._observed = {
                name: self._observed.get(name, _Observation())
                for name in members
            }

    def silent(self) -> frozenset[str]:
        """Return the watched members that do not answer."""
        with self._lock:
            return frozenset(
                member
                for member, observed in self._observed.items()
                if observed.misses >= MISSES_UNTIL_SILENT
            )

    def record_answer(self, member: str, is_ready: bool) -> bool:
        """Record an answered heartbeat; return whether the verdict changed.

        :param is_ready: whether the member accepts callers' requests.
        """
        with self._lock:
            observed = self._observed.setdefault(member, _Observation())
            was_unavailable = observed.is_unavailable
            observed.misses = 0
            observed.is_ready = is_ready
            return observed.is_unavailable != was_unavailable

    def record_miss(self, member: str) -> bool:
        """Record a missing answer; return whether the verdict changed."""
        with self._lock:
            observed = self._observed.setdefault(member, _Observation())
            was_unavailable = observed.is_unavailable
            observed.misses += 1
            return observed.is_unavailable != was_unavailable

    def merge(self, reports: Iterable[Report]) -> None:
        """Merge the reports of another member."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for report in reports:
                if self._name in (report.reporter, report.member):
                    continue
                key = report.member, report.reporter
                said_ms = now_ms - max(report.age_ms, 0.0)
                known_ms = self._reported_ms.get(key, -math.inf)
                self._reported_ms[key] = max(known_ms, said_ms)
            self._drop_old_reports(now_ms)

    def reports(self) -> list[Report]:
        """Return own and forwarded reports, the newest first."""
        now_ms = self._clock.now_ms()
        with self._lock:
            own = [
                Report(member, self._name, 0.0)
                for member, observed in self._observed.items()
                if observed.is_unavailable
            ]
            self._drop_old_reports(now_ms)
            forwarded = [
                Report(member, reporter, round(now_ms - said_ms, 1))
                for (member, reporter), said_ms in self._reported_ms.items()
            ]
        forwarded.sort(key=lambda report: report.age_ms)
        return _select_reports([*own, *forwarded])

    def unavailable(self) -> frozenset[str]:
        """Return the members that callers should not use now.

        If none of the watched members answers, this process is probably cut
        off itself, so the result is empty.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            if all(observed.misses for observed in self._observed.values()):
                return frozenset()
            self._drop_old_reports(now_ms)
            found = {
                member
                for member, observed in self._observed.items()
                if observed.is_unavailable
            }
            reporters: dict[str, set[str]] = {}
            for member, reporter in self._reported_ms:
                if member not in self._observed:
                    reporters.setdefault(member, set()).add(reporter)
        found.update(
            member
            for member, names in reporters.items()
            if len(names) >= REQUIRED_REPORTERS
        )
        return frozenset(found)

    def _drop_old_reports(self, now_ms: float) -> None:
        oldest_ms = now_ms - MAX_REPORT_AGE_MS
        self._reported_ms = {
            key: said_ms
            for key, said_ms in self._reported_ms.items()
            if said_ms >= oldest_ms
        }


def _select_reports(reports: Iterable[Report]) -> list[Report]:
    """Return as many reports of each member as others need."""
    counts: collections.Counter[str] = collections.Counter()
    selected = []
    for report in reports:
        counts[report.member] += 1
        if counts[report.member] <= REQUIRED_REPORTERS:
            selected.append(report)
    return selected[:MAX_SENT_REPORTS]


def watched_members(
    name: str,
    members: Sequence[traffic.Member],
    silent: Collection[str] = (),
) -> list[traffic.Member]:
    """Return the members that a member sends heartbeats to.

    On a hash ring, they follow it at distances of 1, 2, 4 and so on. Each
    member is thus watched by as many others, and reports reach all members
    in a number of steps that grows with the logarithm of the fleet. Each
    silent one adds a further member, up to twice the usual number.
    """
    following = _following_members(name, members)
    distances = range(1, len(following) + 1)
    powers_of_two = [one for one in distances if one.bit_count() == 1]
    others = [one for one in distances if one.bit_count() > 1]
    watched: list[traffic.Member] = []
    answering = 0
    for distance in [*powers_of_two, *others][: 2 * MAX_WATCHED_MEMBERS]:
        if answering == MAX_WATCHED_MEMBERS:
            break
        member = following[distance - 1]
        watched.append(member)
        answering += member.name not in silent
    return watched


def _following_members(
    name: str, members: Sequence[traffic.Member]
) -> list[traffic.Member]:
    """Return the other members in the order of the ring after ``name``."""
    own_position = _ring_position(name)
    others = sorted(
        (_ring_position(member.name), member)
        for member in members
        if member.name != name
    )
    after = [member for position, member in others if position > own_position]
    before = [member for position, member in others if position < own_position]
    return after + before


def _ring_position(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
