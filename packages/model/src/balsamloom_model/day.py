"""A simulated day: programs, edge processes, engines and services."""

from __future__ import annotations

import dataclasses
import random
from typing import NamedTuple

from balsamloom_gateway import balancer, membership, traffic
from balsamloom_model import (
    deployments,
    engines,
    paths,
    policies,
    programs,
    services,
    simulation,
)

# Share of a program's calls that go through the edge process of its last one.
SAME_EDGE_SHARE = 0.5
# Pause of a call after a refusal, and how often it is sent again.
RETRY_MS = 250.0
RETRIES_MAX = 2
# Time after the last start in which programs may end.
REST_MS = 30_000.0


@dataclasses.dataclass(eq=False)
class ProgramState:
    """Progress of one program."""

    program: programs.Program
    edge: int = -1
    servers: tuple[str, ...] = ()
    ended_ms: float | None = None
    is_failed: bool = False
    refusals: int = 0


class DayResult(NamedTuple):
    """Everything that happened in a day."""

    states: list[ProgramState]
    turns: list[paths.TurnRecord]
    engines: list[engines.Engine]


class Day:
    """Plays one day.

    :param deployment: what runs.
    :param policy: who places turns and how.
    :param seed: source of all draws.
    :param load_factor: programs against the usual number.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        policy: policies.Policy,
        seed: int,
        load_factor: float = 1.0,
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._sim = simulation.Simulation()
        self._random = random.Random(f"day/{seed}")
        self._engines = self._make_engines(seed)
        self._services = self._make_services(seed)
        self._tools = paths.ToolPath(self._sim, deployment, self._services)
        self._workload = programs.Workload(deployment, seed, load_factor)
        world = policies.World(self._sim.clock, self._engines, seed)
        self._members = [
            traffic.Member(f"edge-{number:03}", "", "", domain, "1")
            for number, domain in enumerate(self._domains(deployment.edges))
        ]
        self._edges = [
            paths.Edge(self._make_placer(world, member), member.failure_domain)
            for member in self._members
        ]
        self._holders = {
            member.name: paths.Holder(
                self._make_placer(world, member), self._group(member)
            )
            for member in self._placing_members()
        }
        self._states: list[ProgramState] = []
        self._turns: list[paths.TurnRecord] = []

    def play(self) -> DayResult:
        """Run the day to its end."""
        for program in self._workload.programs():
            state = ProgramState(program)
            self._states.append(state)
            self._sim.after(program.start_ms, self._starter(state))
        self._sim.run(self._deployment.duration_ms + REST_MS)
        return DayResult(
            self._states, self._turns, list(self._engines.values())
        )

    def _domains(self, count: int) -> list[str]:
        total = self._deployment.failure_domains
        return [f"domain-{number % total}" for number in range(count)]

    def _make_engines(self, seed: int) -> dict[str, engines.Engine]:
        fleet = self._deployment.engines
        found = {}
        for number, domain in enumerate(self._domains(fleet.servers)):
            name = f"engine-{number}"
            server = traffic.BackendServer(
                name, paths.ENGINE_SERVICE, name, domain, fleet.slots, False, 1
            )
            speed = fleet.speeds[number % len(fleet.speeds)]
            noise = engines.SlowPeriods(
                self._deployment.noise, f"{seed}/{name}"
            )
            found[name] = engines.Engine(
                server, fleet, speed, self._sim, noise
            )
        return found

    def _make_services(self, seed: int) -> dict[str, services.PlainServer]:
        fleet = self._deployment.services
        found = {}
        for number, domain in enumerate(self._domains(fleet.servers)):
            name = f"tool-{number}"
            server = traffic.BackendServer(
                name, paths.TOOL_SERVICE, name, domain, fleet.slots, False, 1
            )
            noise = engines.SlowPeriods(
                self._deployment.noise, f"{seed}/{name}"
            )
            found[name] = services.PlainServer(server, fleet, self._sim, noise)
        return found

    def _servers(self) -> list[traffic.BackendServer]:
        return [
            *(engine.server for engine in self._engines.values()),
            *(service.server for service in self._services.values()),
        ]

    def _make_placer(
        self, world: policies.World, member: traffic.Member
    ) -> balancer.Balancer:
        placer = self._policy.make(world, member.name, member.failure_domain)
        placer.set_servers(self._servers())
        return placer

    def _placing_members(self) -> list[traffic.Member]:
        match self._policy.placed_by:
            case policies.PlacedBy.EDGES:
                return []
            case policies.PlacedBy.ONE:
                return self._members[:1]
            case policies.PlacedBy.HOLDERS:
                count = membership.holder_count(self._members)
                return self._members[:count]

    def _group(self, member: traffic.Member) -> frozenset[str] | None:
        if self._policy.placed_by is not policies.PlacedBy.HOLDERS:
            return None
        return membership.preferred_servers(
            member.name, self._members, self._servers()
        )

    def _starter(self, state: ProgramState) -> simulation.Action:
        def start() -> None:
            line = state.program.line
            self._run_turns(
                state,
                line.turns,
                line.sub_agents,
                lambda: self._end_program(state),
            )

        return start

    def _end_program(self, state: ProgramState) -> None:
        state.ended_ms = self._sim.clock.now_ms()

    def _run_turns(
        self,
        state: ProgramState,
        turns: tuple[programs.Turn, ...],
        sub_agents: tuple[tuple[programs.Turn, ...], ...],
        done: simulation.Action,
    ) -> None:
        """Run turns one after another, sub-agents before the last one."""
        if not turns:
            done()
            return
        if len(turns) == 1 and sub_agents:
            last = _Countdown(
                len(sub_agents),
                lambda: self._run_turns(state, turns, (), done),
            )
            for line in sub_agents:
                self._run_turns(state, line, (), last.count)
            return
        turn, rest = turns[0], turns[1:]

        def after_tools() -> None:
            self._sim.after(
                turn.think_ms,
                lambda: self._run_turns(state, rest, sub_agents, done),
            )

        def after_turn() -> None:
            if not turn.tools:
                after_tools()
                return
            last = _Countdown(len(turn.tools), after_tools)
            for call in turn.tools:
                self._call_tool(state, call, last.count)

        self._call_engine(state, turn, after_turn)

    def _edge_of(self, state: ProgramState) -> paths.Edge:
        if state.edge < 0 or self._random.random() >= SAME_EDGE_SHARE:
            state.edge = self._random.randrange(len(self._edges))
        return self._edges[state.edge]

    def _holder_of(
        self, state: ProgramState, edge: paths.Edge
    ) -> paths.Holder:
        match self._policy.placed_by:
            case policies.PlacedBy.EDGES:
                return paths.Holder(edge.placer, None)
            case policies.PlacedBy.ONE:
                return next(iter(self._holders.values()))
            case policies.PlacedBy.HOLDERS:
                holders = membership.budget_holders(
                    state.program.program_id, self._members
                )
                return self._holders[holders[0].name]

    def _call_engine(
        self,
        state: ProgramState,
        turn: programs.Turn,
        done: simulation.Action,
    ) -> None:
        edge = self._edge_of(state)
        call = paths.EngineCall(
            self._sim,
            self._deployment,
            self._engines,
            edge,
            self._holder_of(state, edge),
            turn,
            state.servers,
            paths.Ends(
                lambda: self._end_turn(state, call, done),
                lambda: self._retry_later(
                    state, lambda: self._call_engine(state, turn, done)
                ),
            ),
        )
        self._sim.after(self._deployment.caller_way_ms, call.attempt)

    def _end_turn(
        self,
        state: ProgramState,
        call: paths.EngineCall,
        done: simulation.Action,
    ) -> None:
        assert call.record is not None
        self._turns.append(call.record)
        state.servers = call.recent_servers
        done()

    def _call_tool(
        self,
        state: ProgramState,
        call: programs.ToolCall,
        done: simulation.Action,
    ) -> None:
        edge = self._edge_of(state)
        ends = paths.Ends(
            done,
            lambda: self._retry_later(
                state, lambda: self._call_tool(state, call, done)
            ),
        )
        way_ms = self._deployment.caller_way_ms
        self._sim.after(
            way_ms, lambda: self._tools.call(edge, call.work_ms, ends)
        )

    def _retry_later(
        self, state: ProgramState, again: simulation.Action
    ) -> None:
        """Send a refused call again, or end its program."""
        state.refusals += 1
        if state.refusals > RETRIES_MAX:
            state.is_failed = True
            return
        self._sim.after(RETRY_MS, again)


class _Countdown:
    """Runs an action when a number of others have ended."""

    def __init__(self, count: int, action: simulation.Action) -> None:
        self._left = count
        self._action = action

    def count(self) -> None:
        self._left -= 1
        if self._left == 0:
            self._action()
