"""Servers of a service that may take a call, and why the others may not."""

from __future__ import annotations

import dataclasses
import enum
from typing import NamedTuple

from balsamloom_gateway import estimates, health, paced_servers, traffic


@dataclasses.dataclass(frozen=True)
class NoServer:
    """Result if no server of the service can accept a call now."""

    reason: str
    retry_after_ms: float


class Obstacle(enum.Enum):
    """Why a server may not take a call now."""

    OTHER_VERSION = "other_version"
    TRIED = "tried"
    RATE_LIMIT = "rate_limit"
    EJECTED = "ejected"
    PACED = "paced"


class Candidates(NamedTuple):
    """Servers that may take a call, and what keeps it from the others.

    ``probed`` are the identifiers of those whose earlier failures don't count.
    ``obstacles`` are by the identifier of a server. ``refusal`` is set if no
    server may take the call.
    """

    states: list[estimates.ServerState]
    probed: frozenset[str]
    obstacles: dict[str, Obstacle]
    refusal: NoServer | None = None


class Assessment(NamedTuple):
    """What speaks for and against a server for a call.

    ``is_chosen`` is true for several servers of equal cost. ``pace`` is as in
    a state dump. ``report_age_ms`` is ``None`` if the server has reported no
    load here.
    """

    server: traffic.BackendServer
    cost: estimates.Cost
    is_chosen: bool
    obstacle: Obstacle | None
    in_flight: int
    load: float
    report_age_ms: float | None
    is_probed: bool
    denied_for_ms: float
    ejected_for_ms: float
    pace: dict[str, object] | None


def find(
    servers: list[estimates.ServerState],
    profile: estimates.CallProfile,
    avoid: frozenset[str],
    paced: paced_servers.PacedServers | None,
    now_ms: float,
) -> Candidates:
    """Return the servers of a service that may take a call now.

    :param servers: all servers of the service.
    :param avoid: servers that refused or failed this call before.
    :param paced: limits calls to servers that have started or recovered;
        ``None`` if nothing does.
    """
    states = [one for one in servers if profile.allows(one.server)]
    obstacles = _obstacles(servers, states, Obstacle.OTHER_VERSION)
    usable = [one for one in states if one.server.server_id not in avoid]
    obstacles |= _obstacles(states, usable, Obstacle.TRIED)
    if not usable:
        reason = _describe_absence(states, profile)
        refusal = NoServer(reason, health.RETRY_AFTER_MS)
        return Candidates([], frozenset(), obstacles, refusal)
    within_limits = [one for one in usable if not one.is_denied(now_ms)]
    obstacles |= _obstacles(usable, within_limits, Obstacle.RATE_LIMIT)
    if not within_limits:
        refusal = NoServer(
            "the servers have reached their rate limits",
            min(one.denied_until_ms for one in usable) - now_ms,
        )
        return Candidates([], frozenset(), obstacles, refusal)
    healthy = health.usable(
        [(one, one.health) for one in within_limits], now_ms
    )
    obstacles |= _obstacles(within_limits, healthy, Obstacle.EJECTED)
    found = _select_paced(paced, healthy, now_ms, is_retry=bool(avoid))
    obstacles |= _obstacles(healthy, found.states, Obstacle.PACED)
    probed = found.probed if profile.is_repeatable else frozenset()
    return Candidates(found.states, probed, obstacles)


def assess(
    state: estimates.ServerState,
    cost: estimates.Cost,
    found: Candidates,
    is_chosen: bool,
    pace: dict[str, object] | None,
    now_ms: float,
) -> Assessment:
    """Return what speaks for and against a server.

    :param found: candidates among the servers of its service.
    :param pace: its pace as in a state dump.
    """
    server_id = state.server.server_id
    return Assessment(
        state.server,
        cost,
        is_chosen,
        found.obstacles.get(server_id),
        state.in_flight,
        state.load(now_ms),
        state.report_age_ms(now_ms),
        server_id in found.probed,
        max(state.denied_until_ms - now_ms, 0.0),
        max(state.health.ejected_until_ms - now_ms, 0.0),
        pace,
    )


def _select_paced(
    paced: paced_servers.PacedServers | None,
    states: list[estimates.ServerState],
    now_ms: float,
    is_retry: bool,
) -> paced_servers.Selection:
    """Return the servers whose pace allows a call."""
    if paced is None:
        return paced_servers.Selection(states, frozenset())
    return paced.select(states, now_ms, is_retry)


def _obstacles(
    before: list[estimates.ServerState],
    after: list[estimates.ServerState],
    obstacle: Obstacle,
) -> dict[str, Obstacle]:
    """Return the servers that one step has removed."""
    if len(before) == len(after):
        return {}
    kept = {state.server.server_id for state in after}
    return {
        state.server.server_id: obstacle
        for state in before
        if state.server.server_id not in kept
    }


def _describe_absence(
    states: list[estimates.ServerState], profile: estimates.CallProfile
) -> str:
    if states:
        return "all servers of the service were tried"
    if profile.version is not None:
        return f"the service has no server of version {profile.version}"
    return "the service has no available server"
