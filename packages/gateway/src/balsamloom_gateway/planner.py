"""Placement of turns by the member that holds their programs' budgets.

A holder is involved in every turn of its programs, an edge process only in a
few of them. Each group of holders places turns on engines of its own, so that
it knows their load and which prompts they have cached.
"""

from __future__ import annotations

import itertools
import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    candidates,
    estimates,
    fleet,
    health,
    limited_placement,
    membership,
    rate_quota,
    send_permits,
    traffic,
)

# Reports may arrive this long after the latest end of a turn.
REPORT_GRACE_MS = 1_000.0


class TurnRequest(NamedTuple):
    """Request to place a turn; ``left_ms`` is the time to its deadline.

    Only servers of ``version`` may run it, all if it is ``None``.
    """

    service: str
    prompt: tuple[traffic.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    left_ms: float
    version: str | None = None


class Plan(NamedTuple):
    """Server that a holder chose for a turn, with its estimated cost.

    ``permit`` counts the turn in the server's rate limit, if it has one.
    """

    plan_id: int
    server_id: str
    estimate_ms: float
    permit: rate_quota.Granted | None = None


class TurnReport(NamedTuple):
    """How a turn ended; ``server_id`` is empty if no server ran it.

    ``is_server_leaving`` is true if the server announced that it drains.
    ``limit`` is the rate limit that its answer named, ``None`` without an
    answer.
    """

    server_id: str
    outcome: health.Outcome
    observation: estimates.Observation
    is_server_leaving: bool = False
    limit: rate_quota.LimitReport | None = None


NOT_RUN = TurnReport("", health.Outcome.ABANDONED, estimates.Observation())


class _PendingPlan(NamedTuple):
    placement: balancer.Placement
    expires_ms: float


class TurnPlanner:
    """Chooses servers for turns and records how the turns ended.

    :param name: name of this member.
    :param servers: balancer that is used for planned turns only.
    :param view: registered members and servers.
    :param permits: permits to send to servers that limit their rate.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        servers: balancer.Balancer,
        view: fleet.Fleet,
        permits: send_permits.SendPermits,
        clock: clocks.Clock,
    ) -> None:
        self._permits = permits
        self._name = name
        self._balancer = servers
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        self._plan_ids = itertools.count(1)
        self._pending: dict[int, _PendingPlan] = {}
        self._group_key: tuple[object, object] = ((), ())
        self._group_servers: frozenset[str] | None = None

    def plan(
        self, request: TurnRequest, recent_servers: tuple[str, ...]
    ) -> Plan | None:
        """Choose a server for a turn, which counts there until its report.

        :param recent_servers: servers of the program's last turns.
        :return: ``None`` if there is no server.
        """
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        profile = estimates.CallProfile(
            request.prompt,
            request.prompt_tokens,
            request.output_tokens,
            recent_servers,
            version=request.version,
        )
        group = self.preferred_servers()
        found = limited_placement.choose_permitted(
            self._balancer,
            self._permits,
            lambda avoid: self._balancer.choose(
                request.service, profile, avoid, group
            ),
            request.left_ms,
        )
        if isinstance(found, candidates.NoServer):
            return None
        placement = self._balancer.start(found.choice)
        expires_ms = now_ms + request.left_ms + REPORT_GRACE_MS
        with self._lock:
            plan_id = next(self._plan_ids)
            self._pending[plan_id] = _PendingPlan(placement, expires_ms)
        estimate_ms = round(placement.estimate_ms, 1)
        return Plan(
            plan_id,
            placement.server.server_id,
            estimate_ms,
            rate_quota.Granted(found.wait_ms) if found.has_permit else None,
        )

    def finish(self, plan_id: int, report: TurnReport) -> None:
        """Record the end of a planned turn; ignore repeated reports."""
        with self._lock:
            pending = self._pending.pop(plan_id, None)
        if pending is None:
            return
        placement = pending.placement
        if report.server_id == placement.server.server_id:
            if report.limit is not None:
                self._permits.record(placement.server, report.limit)
            self._balancer.release(
                placement, report.outcome, report.observation
            )
            return
        self._balancer.release(
            placement, health.Outcome.REFUSED, estimates.Observation()
        )

    def preferred_servers(self) -> frozenset[str] | None:
        """Return the servers that this member prefers for its turns.

        :return: ``None`` if it prefers none.
        """
        members = self._fleet.members()
        servers = self._fleet.servers()
        group_key = (
            members,
            [server.server_id for server in servers],
        )
        with self._lock:
            if group_key != self._group_key:
                self._group_key = group_key
                self._group_servers = membership.preferred_servers(
                    self._name, members, servers
                )
            return self._group_servers

    def _drop_expired(self, now_ms: float) -> None:
        """Release the placements whose reports were lost."""
        with self._lock:
            expired = [
                plan_id
                for plan_id, pending in self._pending.items()
                if now_ms >= pending.expires_ms
            ]
        for plan_id in expired:
            self.finish(plan_id, NOT_RUN)
