"""Placement policies: which processes place turns, and by which cost."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import balancer, estimates
from balsamloom_model import engines


class PlacerContext(NamedTuple):
    """Parts of a simulation that placers are made from."""

    clock: clocks.Clock
    engines: Mapping[str, engines.Engine]
    seed: int


PlacerFactory = Callable[[PlacerContext, str, str], balancer.Balancer]


class PlacerRole(enum.Enum):
    """Processes that place turns."""

    # Each edge process places the turns that callers send to it.
    EDGES = "edges"
    # A budget holder places the turns of its programs, first on its group.
    HOLDERS = "holders"
    # A single process places all turns.
    ONE = "one"


class Policy(NamedTuple):
    """Placement policy.

    :param make_placer: called with the context and the name and failure
        domain of the placing process.
    """

    name: str
    make_placer: PlacerFactory
    placer_role: PlacerRole


class RandomPlacer(balancer.Balancer):
    """Chooses a random server; the baseline of comparisons."""

    def _cost(self, *_: object) -> estimates.Cost:
        return estimates.Cost(0.0)


class LeastLoadedPlacer(balancer.Balancer):
    """Chooses the server with the lowest load that it knows of."""

    def _cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        baseline: estimates.Baseline,
        now_ms: float,
        is_probed: bool = False,
    ) -> estimates.Cost:
        return estimates.Cost(2 * balancer.COST_TIE_MS * state.load(now_ms))


class OraclePlacer(balancer.Balancer):
    """Chooses the cheapest engine by its true speed, queue and cache.

    The cost includes the delay of other requests; see
    :meth:`balsamloom_model.engines.Engine.cost_ms`.
    """

    def __init__(self, context: PlacerContext, domain: str) -> None:
        super().__init__(context.clock, domain, random.Random(context.seed))
        self._engines = context.engines

    def _cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        baseline: estimates.Baseline,
        now_ms: float,
        is_probed: bool = False,
    ) -> estimates.Cost:
        engine = self._engines.get(state.server.server_id)
        if engine is None:
            return super()._cost(state, profile, baseline, now_ms, is_probed)
        return estimates.Cost(
            engine.cost_ms(profile.prompt, profile.output_tokens)
        )


def _seeded(placer: type[balancer.Balancer]) -> PlacerFactory:
    """Return a factory whose placers have separate random generators."""

    def make(
        context: PlacerContext, name: str, domain: str
    ) -> balancer.Balancer:
        generator = random.Random(f"{context.seed}/{name}")
        return placer(context.clock, domain, generator)

    return make


def _make_oracle_placer(
    context: PlacerContext, name: str, domain: str
) -> balancer.Balancer:
    return OraclePlacer(context, domain)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("holders", _seeded(balancer.Balancer), PlacerRole.HOLDERS),
        Policy("edges", _seeded(balancer.Balancer), PlacerRole.EDGES),
        Policy("one", _seeded(balancer.Balancer), PlacerRole.ONE),
        Policy("random", _seeded(RandomPlacer), PlacerRole.EDGES),
        Policy("least-loaded", _seeded(LeastLoadedPlacer), PlacerRole.EDGES),
        Policy("all-knowing", _make_oracle_placer, PlacerRole.ONE),
    )
}
