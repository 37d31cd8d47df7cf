"""Selection of the server for a call."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Mapping

from balsamloom_policy import _servers, calls, prefixes, settings

MAX_PREFIX_SLOWNESS = 1.5
RENDEZVOUS_COUNT = 2


@dataclasses.dataclass(frozen=True)
class LearnedRouting:
    """Chooses the shortest estimated completion of a few candidates."""


@dataclasses.dataclass(frozen=True)
class RandomRouting:
    """Chooses a random server; baseline for comparison."""


@dataclasses.dataclass(frozen=True)
class RoundRobinRouting:
    """Chooses the servers in turn; baseline for comparison."""


Routing = LearnedRouting | RandomRouting | RoundRobinRouting


def from_settings(values: settings.PolicySettings) -> Routing:
    """Return the variant that the settings select."""
    match values.routing:
        case "learned":
            return LearnedRouting()
        case "round_robin":
            return RoundRobinRouting()
        case _:
            return RandomRouting()


class Router:
    """Chooses servers of one pool."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._turn_count = 0
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
        """Choose the server for a call.

        :param eligible: servers with a free slot, at least one.
        :param servers: all servers of the pool.
        """
        if len(eligible) == 1:
            return eligible[0]
        match routing:
            case RandomRouting():
                return self._generator.choice(eligible)
            case RoundRobinRouting():
                self._turn_count += 1
                return eligible[self._turn_count % len(eligible)]
            case LearnedRouting():
                return self._choose_learned(
                    affinity, profile, eligible, servers, now_ms, values
                )

    def _choose_learned(
        self,
        affinity: prefixes.Affinity,
        profile: calls.CallProfile,
        eligible: list[_servers.ServerState],
        servers: Mapping[str, _servers.ServerState],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> _servers.ServerState:
        if (
            isinstance(affinity, prefixes.BoundedAffinity)
            and profile.prefix_hashes
        ):
            chosen = self._choose_by_prefix(
                profile, eligible, servers, now_ms, values
            )
            if chosen is not None:
                return chosen
        count = min(values.candidate_count, len(eligible))
        candidates = self._generator.sample(eligible, count)
        return min(
            candidates,
            key=lambda state: estimate_ms(state, profile, now_ms, values),
        )

    def _choose_by_prefix(
        self,
        profile: calls.CallProfile,
        eligible: list[_servers.ServerState],
        servers: Mapping[str, _servers.ServerState],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> _servers.ServerState | None:
        known_id = self.index.find(profile.prefix_hashes)
        if known_id is not None:
            preferred_ids = [known_id]
        else:
            preferred_ids = prefixes.rendezvous(
                profile.prefix_hashes[0], servers, RENDEZVOUS_COUNT
            )
        loads = {
            state.server.server_id: _relative_load(state, now_ms, values)
            for state in eligible
        }
        bound = sum(loads.values()) / len(loads) * values.prefix_load_bound
        for server_id in preferred_ids:
            load = loads.get(server_id)
            if load is None:
                continue
            state = servers[server_id]
            # One call above the mean is no imbalance on a small server.
            slack = 1 / max(state.slots, 1)
            if state.slowness <= MAX_PREFIX_SLOWNESS and load <= bound + slack:
                return state
        return None


def _relative_load(
    state: _servers.ServerState,
    now_ms: float,
    values: settings.PolicySettings,
) -> float:
    load = state.load(now_ms, values.report_valid_ms)
    capacity = state.server.concurrency or state.slots
    return load / capacity if math.isfinite(capacity) else load


def estimate_ms(
    state: _servers.ServerState,
    profile: calls.CallProfile,
    now_ms: float,
    values: settings.PolicySettings,
) -> float:
    """Return the estimated completion time of a call at a server.

    The estimate is 0 for a server without samples, so that it gets calls.
    """
    service_ms = state.service_ms(profile) * max(state.slowness, 1.0)
    return service_ms * (1 + _relative_load(state, now_ms, values))
