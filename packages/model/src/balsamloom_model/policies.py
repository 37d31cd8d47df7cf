"""Who places a turn, and by which rule."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import balancer, estimates
from balsamloom_model import engines


class PlacerContext(NamedTuple):
    """What placers are made from."""

    clock: clocks.Clock
    engines: Mapping[str, engines.Engine]
    seed: int


PlacerFactory = Callable[[PlacerContext, str, str], balancer.Balancer]


class PlacerRole(enum.Enum):
    """Which processes place turns."""

    # Each edge process those that callers send to it.
    EDGES = "edges"
    # The holders of budgets those of their programs, on servers of their own.
    HOLDERS = "holders"
    # One process all turns.
    ONE = "one"


class Policy(NamedTuple):
    """A way to place turns.

    :param make_placer: makes a placer from its name and its failure domain.
    """

    name: str
    make_placer: PlacerFactory
    placer_role: PlacerRole


class RandomPlacer(balancer.Balancer):
    """Chooses any server; a lower bound."""

    def _cost(self, *_: object) -> estimates.Cost:
        return estimates.Cost(0.0)


class LeastLoadedPlacer(balancer.Balancer):
    """Chooses the server with the fewest requests, as far as it knows."""

    def _cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        baseline: estimates.Baseline,
        now_ms: float,
    ) -> estimates.Cost:
        return estimates.Cost(2 * balancer.COST_TIE_MS * state.load(now_ms))


class OraclePlacer(balancer.Balancer):
    """Knows the true speed, work and memory of each engine.

    It chooses the server where the turn and what it delays there end first.
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
    ) -> estimates.Cost:
        engine = self._engines.get(state.server.server_id)
        if engine is None:
            return super()._cost(state, profile, baseline, now_ms)
        return estimates.Cost(
            engine.cost_ms(profile.prompt, profile.output_tokens)
        )


def _seeded(placer: type[balancer.Balancer]) -> PlacerFactory:
    """Return what makes placers with random choices of their own."""

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
        Policy(
            "least-loaded",
            _seeded(LeastLoadedPlacer),
            PlacerRole.EDGES,
        ),
        Policy("all-knowing", _make_oracle_placer, PlacerRole.ONE),
    )
}
