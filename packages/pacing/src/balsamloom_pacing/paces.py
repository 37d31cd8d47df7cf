"""Paces of all servers at one host."""

from __future__ import annotations

import hashlib
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import events
from balsamloom_pacing import answers, pace

# If a larger share of a service's servers have started or had their limit
# released, the others can't carry the load of all, and no pace limits these.
MAX_STARTED_SHARE = 0.34
# If a larger share of them have failed, the failures have a common cause.
MAX_RETURNED_SHARE = 0.5
# Durations of a usual call in which the share of hosts doubles. The first
# calls end before, also at a server that is slower than usual.
CALLS_PER_WIDENING = 2.5
# A pace that begins this soon after another one goes on from its setbacks.
REPEAT_MS = 10_000.0
# Mean utilization of the others at which paced servers take more calls.
RELIEF_UTILIZATION = 0.8
# Bounds the log lines about one server.
MIN_LOG_INTERVAL_MS = 1_000.0
_HASH_BYTES = 8


class Run(NamedTuple):
    """One run of a server."""

    server_id: str
    incarnation: int
    address: str


class Candidate(NamedTuple):
    """Server that could take a call.

    ``in_flight`` counts this host's calls there. ``utilization`` is the number
    of all requests there, as far as it is known, divided by the slots.
    """

    run: Run
    in_flight: int
    utilization: float


class Selection(NamedTuple):
    """Servers that may take a call.

    ``probed`` are those of them whose earlier answers are out of date.
    """

    allowed: frozenset[Run]
    probed: frozenset[Run]


class _Entry:
    """Pace of one run, with the time of its last log line."""

    def __init__(self, service: str, current: pace.Pace) -> None:
        self.service = service
        self.pace = current
        self.ended_ms: float | None = None
        self.logged_ms = -MIN_LOG_INTERVAL_MS


class Paces:
    """Decides which servers may take a call, from how they answer.

    Not thread-safe; the owner must hold a lock.

    :param member: name of this host.
    :param count_members: returns the number of hosts that send calls.
    :param on_change: called with the change and the reason of a pace.
    """

    def __init__(
        self,
        member: str,
        count_members: Callable[[], int],
        on_change: Callable[[str, str], object],
    ) -> None:
        self._member = member
        self._count_members = count_members
        self._on_change = on_change
        self._entries: dict[Run, _Entry] = {}
        self._active: set[Run] = set()
        self._peers: dict[str, answers.Durations] = {}

    def begin(
        self,
        service: str,
        run: Run,
        slots: int,
        reason: pace.Reason,
        from_ms: float,
        now_ms: float,
    ) -> None:
        """Begin the pace of a server; postpone it if one has begun.

        :param from_ms: when the server may get its first call.
        """
        self._note_ends(now_ms)
        known = self._entries.get(run)
        if known is not None and self.is_paced(run, now_ms):
            known.pace.postpone(from_ms)
            if reason is pace.Reason.RETURNED:
                known.pace.reason = reason
            return
        start = pace.Start(
            slots,
            self._count_members(),
            position(self._member, run),
            CALLS_PER_WIDENING * self._durations(service).call_ms,
            _earlier_setbacks(known, now_ms),
        )
        entry = _Entry(service, pace.Pace(reason, start, from_ms))
        self._entries[run] = entry
        self._active.add(run)
        self._log("begun", run, entry, now_ms)

    def keep_only(self, runs: Iterable[Run]) -> None:
        """Forget all servers but those given."""
        kept = set(runs)
        self._entries = {
            run: entry for run, entry in self._entries.items() if run in kept
        }
        self._active &= kept

    @property
    def has_paced_servers(self) -> bool:
        """Return whether the calls of any server may be limited."""
        return bool(self._active)

    def select(
        self,
        candidates: Sequence[Candidate],
        now_ms: float,
        is_retry: bool = False,
    ) -> Selection:
        """Return the candidates that may take a call, at least one.

        :param candidates: servers of a service that could take it.
        :param is_retry: another server has turned the call away.
        """
        everything = frozenset(one.run for one in candidates)
        paced = {
            one.run: self._entries[one.run].pace
            for one in candidates
            if self.is_paced(one.run, now_ms)
        }
        if not paced:
            return Selection(everything, frozenset())
        free = [one for one in candidates if one.run not in paced]
        admitted = frozenset(
            one.run
            for one in candidates
            if one.run in paced
            and paced[one.run].allows(one.in_flight, now_ms)
        )
        if not free:
            return Selection(everything, admitted)
        exempt = _exempt(paced, len(candidates))
        used = statistics.fmean(one.utilization for one in free)
        if is_retry or used >= RELIEF_UTILIZATION:
            exempt |= frozenset(
                one.run
                for one in candidates
                if one.run in paced
                and paced[one.run].allows_relief(one.in_flight, is_retry)
            )
        return Selection(
            frozenset(one.run for one in free) | admitted | exempt, admitted
        )

    def is_paced(self, run: Run, now_ms: float) -> bool:
        """Return whether a server's calls are limited."""
        if run not in self._active:
            return False
        return not self._entries[run].pace.is_over(now_ms)

    def record(
        self,
        service: str,
        run: Run,
        evidence: answers.Evidence,
        now_ms: float,
    ) -> bool:
        """Record the end of a call at any server.

        :return: whether a pace ended as the server serves like its peers.
        """
        self._note_ends(now_ms)
        peers = self._durations(service)
        if not self.is_paced(run, now_ms):
            if evidence.timing is not None:
                peers.add(evidence.timing)
            return False
        entry = self._entries[run]
        if evidence.timing is not None:
            entry.pace.durations.add(evidence.timing)
        answer = answers.judge(evidence, entry.pace.durations, peers)
        entry.pace.record(answer, evidence.is_load_usual(), now_ms)
        if answer is not answers.Answer.GOOD:
            self._log(answer.value, run, entry, now_ms)
        self._note_ends(now_ms)
        return entry.pace.is_proven

    def describe(self, run: Run, now_ms: float) -> dict[str, object] | None:
        """Return the pace of a server for a state dump, if it has one."""
        if not self.is_paced(run, now_ms):
            return None
        current = self._entries[run].pace
        return {
            "reason": current.reason.value,
            "allowance": round(current.allowance(now_ms), 3),
            "position": round(position(self._member, run), 3),
            "widening_ms": round(current.widening_ms(), 1),
            "setbacks": current.setbacks,
        }

    def _durations(self, service: str) -> answers.Durations:
        return self._peers.setdefault(service, answers.Durations())

    def _note_ends(self, now_ms: float) -> None:
        """Log the paces that are over."""
        over = [
            run
            for run in self._active
            if self._entries[run].pace.is_over(now_ms)
        ]
        for run in over:
            self._active.discard(run)
            entry = self._entries[run]
            entry.ended_ms = now_ms
            self._log("ended", run, entry, now_ms)

    def _log(
        self, change: str, run: Run, entry: _Entry, now_ms: float
    ) -> None:
        """Report a change; repeated bad answers are logged now and then."""
        reason = entry.pace.reason.value
        self._on_change(change, reason)
        is_bad = change not in ("begun", "ended")
        if is_bad and now_ms - entry.logged_ms < MIN_LOG_INTERVAL_MS:
            return
        entry.logged_ms = now_ms
        events.log(
            events.Event.SERVER_PACE_CHANGED,
            server_id=run.server_id,
            incarnation=run.incarnation,
            service=entry.service,
            change=change,
            reason=reason,
            allowance=round(entry.pace.allowance(now_ms), 3),
            widening_ms=round(entry.pace.widening_ms(), 1),
        )


def position(member: str, run: Run) -> float:
    """Return the place of a host among all at a server, from 0 to 1."""
    text = f"{member}\n{run.server_id}\n{run.incarnation}\n{run.address}"
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2.0 ** (8 * _HASH_BYTES)


def _exempt(paced: Mapping[Run, pace.Pace], count: int) -> frozenset[Run]:
    """Return the servers that are not limited as too many are.

    :param count: number of candidates with and without a pace.
    """
    returned = frozenset(
        run for run, one in paced.items() if one.reason is pace.Reason.RETURNED
    )
    started = frozenset(paced) - returned
    exempt: frozenset[Run] = frozenset()
    if len(started) > MAX_STARTED_SHARE * count:
        exempt |= started
    if len(returned) > MAX_RETURNED_SHARE * count:
        exempt |= returned
    return exempt


def _earlier_setbacks(known: _Entry | None, now_ms: float) -> int:
    """Return the setbacks from which a new pace goes on."""
    if known is None or known.ended_ms is None:
        return 0
    if now_ms - known.ended_ms > REPEAT_MS:
        return 0
    return known.pace.setbacks + 1
