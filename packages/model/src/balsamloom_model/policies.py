"""Who places a turn, and by which rule."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_gateway import balancer, estimates, health, traffic
from balsamloom_model import engines


class Placer(Protocol):
    """What the model asks of a rule; :class:`balancer.Balancer` has it."""

    def set_servers(self, servers: Sequence[traffic.BackendServer]) -> None:
        """Take the servers that may get calls."""

    def place(
        self,
        service: str,
        profile: estimates.CallProfile,
        avoid: frozenset[str] = frozenset(),
        among: frozenset[str] | None = None,
    ) -> balancer.Placement | balancer.NoServer:
        """Choose a server and count the call there."""

    def answered(
        self, placement: balancer.Placement, load: traffic.ServerLoad | None
    ) -> None:
        """Take in the load that came with an answer."""

    def end(
        self,
        placement: balancer.Placement,
        outcome: health.Outcome,
        observation: estimates.Observation,
    ) -> None:
        """Give a place back and learn from the call."""


class World(NamedTuple):
    """What placers are made from."""

    clock: clocks.Clock
    engines: Mapping[str, engines.Engine]
    seed: int


Make = Callable[[World, str, str], Placer]


class PlacedBy(enum.Enum):
    """Which processes place turns."""

    # Each edge process those that callers send to it.
    EDGES = "edges"
    # The holders of budgets those of their programs, on servers of their own.
    HOLDERS = "holders"
    # One process all turns.
    ONE = "one"


class Policy(NamedTuple):
    """A way to place turns.

    :param make: makes a placer from its name and its failure domain.
    """

    name: str
    make: Make
    placed_by: PlacedBy


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
        levels: estimates.Levels,
        now_ms: float,
    ) -> estimates.Cost:
        return estimates.Cost(2 * balancer.TIE_MS * state.load(now_ms))


class AllKnowingPlacer(balancer.Balancer):
    """Knows the true speed, work and memory of each engine.

    It chooses the server where the turn and what it delays there end first.
    """

    def __init__(self, world: World, domain: str) -> None:
        super().__init__(world.clock, domain, random.Random(world.seed))
        self._engines = world.engines

    def _cost(
        self,
        state: estimates.ServerState,
        profile: estimates.CallProfile,
        levels: estimates.Levels,
        now_ms: float,
    ) -> estimates.Cost:
        engine = self._engines.get(state.server.server_id)
        if engine is None:
            return super()._cost(state, profile, levels, now_ms)
        return estimates.Cost(
            engine.cost_ms(profile.prompt, profile.output_tokens)
        )


def _local(world: World, name: str, domain: str) -> Placer:
    generator = random.Random(f"{world.seed}/{name}")
    return balancer.Balancer(world.clock, domain, generator)


def _random(world: World, name: str, domain: str) -> Placer:
    generator = random.Random(f"{world.seed}/{name}")
    return RandomPlacer(world.clock, domain, generator)


def _least_loaded(world: World, name: str, domain: str) -> Placer:
    generator = random.Random(f"{world.seed}/{name}")
    return LeastLoadedPlacer(world.clock, domain, generator)


def _all_knowing(world: World, name: str, domain: str) -> Placer:
    return AllKnowingPlacer(world, domain)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("holders", _local, PlacedBy.HOLDERS),
        Policy("edges", _local, PlacedBy.EDGES),
        Policy("one", _local, PlacedBy.ONE),
        Policy("random", _random, PlacedBy.EDGES),
        Policy("least-loaded", _least_loaded, PlacedBy.EDGES),
        Policy("all-knowing", _all_knowing, PlacedBy.ONE),
    )
}
