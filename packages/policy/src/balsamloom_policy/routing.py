"""Choice of the server for a call."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Mapping

from balsamloom_policy import _servers, calls, prefixes, settings

SLOW_FOR_AFFINITY = 1.5
RENDEZVOUS_COUNT = 2


@dataclasses.dataclass(frozen=True)
class Learned:
    """Shortest estimated completion among a few random candidates."""


@dataclasses.dataclass(frozen=True)
class Random:
    """Any server; a baseline."""


@dataclasses.dataclass(frozen=True)
class RoundRobin:
    """One server after the other; a baseline."""


Routing = Learned | Random | RoundRobin


def policy(values: settings.PolicySettings) -> Routing:
    """Return the variant that the settings select."""
    match values.routing:
        case "learned":
            return Learned()
        case "round_robin":
            return RoundRobin()
        case _:
            return Random()


class Router:
    """Chooses servers of one pool."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._turn = 0
        self.index = prefixes.PrefixIndex()

    def choose(
        self,
        routing: Routing,
        affinity: prefixes.Affinity,
        profile: calls.CallProfile,
        eligible: list[_servers.ServerState],
        servers: Mapping[str, _servers.ServerState],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> _servers.ServerState:
        """Return the server for a call.

        :param eligible: servers with a free slot; at least one.
        :param servers: all servers of the pool.
        """
        if len(eligible) == 1:
            return eligible[0]
        match routing:
            case Random():
                return self._generator.choice(eligible)
            case RoundRobin():
                self._turn += 1
                return eligible[self._turn % len(eligible)]
            case Learned():
                return self._learned(
                    affinity, profile, eligible, servers, now_ms, values
                )

    def _learned(
        self,
        affinity: prefixes.Affinity,
        profile: calls.CallProfile,
        eligible: list[_servers.ServerState],
        servers: Mapping[str, _servers.ServerState],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> _servers.ServerState:
        if isinstance(affinity, prefixes.Bounded) and profile.prefix_hashes:
            holder = self._holder(profile, eligible, servers, now_ms, values)
            if holder is not None:
                return holder
        count = min(values.candidate_count, len(eligible))
        candidates = self._generator.sample(eligible, count)
        return min(
            candidates,
            key=lambda state: estimate_ms(state, profile, now_ms, values),
        )

    def _holder(
        self,
        profile: calls.CallProfile,
        eligible: list[_servers.ServerState],
        servers: Mapping[str, _servers.ServerState],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> _servers.ServerState | None:
        found = self.index.find(profile.prefix_hashes)
        if found is not None:
            wanted = [found]
        else:
            wanted = prefixes.rendezvous(
                profile.prefix_hashes[0], servers, RENDEZVOUS_COUNT
            )
        loads = {
            state.server.server_id: _relative_load(state, now_ms, values)
            for state in eligible
        }
        bound = sum(loads.values()) / len(loads) * values.prefix_load_bound
        for server_id in wanted:
            load = loads.get(server_id)
            if load is None:
                continue
            state = servers[server_id]
            # One call more than the mean is no imbalance on small servers.
            slack = 1 / max(state.slots, 1)
            if state.slowness <= SLOW_FOR_AFFINITY and load <= bound + slack:
                return state
        return None


def _relative_load(
    state: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> float:
    load = state.load(now_ms, values.report_valid_ms)
    room = state.server.concurrency or state.slots
    return load / room if math.isfinite(room) else load


def estimate_ms(
    state: _servers.ServerState,
    profile: calls.CallProfile,
    now_ms: float,
    values: settings.PolicySettings,
) -> float:
    """Return the estimated completion time of a call at a server.

    A server without samples counts as immediate, so that it is tried.
    """
    service_ms = state.service_ms(profile) * max(state.slowness, 1.0)
    return service_ms * (1 + _relative_load(state, now_ms, values))
