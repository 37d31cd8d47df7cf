"""Placement of turns at the member that holds their programs' budgets.

A holder hears of every turn of its programs, while an edge process sees a few
of them. Each group of holders places turns on engines of its own, so that it
knows how busy they are and which prompts they hold.
"""

from __future__ import annotations

import itertools
import threading
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    estimates,
    fleet,
    health,
    membership,
    traffic,
)

# Time after the end of a turn in which its report may still arrive.
REPORT_GRACE_MS = 1_000.0


class TurnRequest(NamedTuple):
    """What a holder needs to place a turn; ``left_ms`` bounds its duration."""

    service: str
    prompt: tuple[traffic.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    left_ms: float


class Plan(NamedTuple):
    """Server that a holder chose for a turn, with its estimated cost."""

    plan_id: int
    server_id: str
    estimate_ms: float


class TurnReport(NamedTuple):
    """How a turn ended; ``server_id`` is empty if no server ran it.

    ``is_server_leaving`` passes on the server's word that it leaves.
    """

    server_id: str
    outcome: health.Outcome
    observation: estimates.Observation
    is_server_leaving: bool = False


NOT_RUN = TurnReport("", health.Outcome.ABANDONED, estimates.Observation())


class _OpenPlan(NamedTuple):
    placement: balancer.Placement
    until_ms: float


class TurnPlanner:
    """Chooses servers for turns and learns from what became of them.

    :param name: name of this member.
    :param servers: choice of servers, for planned turns only.
    :param view: members and servers.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        servers: balancer.Balancer,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._balancer = servers
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._open: dict[int, _OpenPlan] = {}
        self._grouped: tuple[object, object] = ((), ())
        self._own_servers: frozenset[str] | None = None

    def plan(
        self, request: TurnRequest, recent_servers: tuple[str, ...]
    ) -> Plan | None:
        """Choose a server for a turn; it is busy until the turn's report.

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
        )
        placement = self._balancer.place(
            request.service, profile, tracked=self._group()
        )
        if isinstance(placement, balancer.NoServer):
            return None
        until_ms = now_ms + request.left_ms + REPORT_GRACE_MS
        with self._lock:
            plan_id = next(self._numbers)
            self._open[plan_id] = _OpenPlan(placement, until_ms)
        estimate_ms = round(placement.estimate_ms, 1)
        return Plan(plan_id, placement.server.server_id, estimate_ms)

    def finish(self, plan_id: int, report: TurnReport) -> None:
        """Take in what became of a planned turn."""
        with self._lock:
            found = self._open.pop(plan_id, None)
        if found is None:
            return
        placement = found.placement
        if report.server_id == placement.server.server_id:
            self._balancer.release(
                placement, report.outcome, report.observation
            )
            return
        self._balancer.release(
            placement, health.Outcome.REFUSED, estimates.Observation()
        )

    def _group(self) -> frozenset[str] | None:
        """Return the servers that this member places turns on first."""
        members = self._fleet.members()
        servers = self._fleet.servers()
        seen = (
            [member.name for member in members],
            [server.server_id for server in servers],
        )
        with self._lock:
            if seen != self._grouped:
                self._grouped = seen
                self._own_servers = membership.own_servers(
                    self._name, members, servers
                )
            return self._own_servers

    def _drop_expired(self, now_ms: float) -> None:
        """Give places back whose reports were lost."""
        with self._lock:
            expired = [
                plan_id
                for plan_id, found in self._open.items()
                if now_ms >= found.until_ms
            ]
        for plan_id in expired:
            self.finish(plan_id, NOT_RUN)
