"""Simulation of a day: programs, edge processes, engines and services."""

from __future__ import annotations

import dataclasses
import random
from typing import NamedTuple

from balsamloom_gateway import balancer, membership, traffic
from balsamloom_model import (
    calls,
    deployments,
    engines,
    policies,
    programs,
    services,
    simulation,
)

# Share of calls that use the edge process of the program's previous call.
SAME_EDGE_SHARE = 0.5
# Delay before a refused call is retried; the retries count per program.
RETRY_MS = 250.0
MAX_RETRIES = 2
# Programs that have not ended this long after the day count as failed.
GRACE_PERIOD_MS = 30_000.0


@dataclasses.dataclass(eq=False)
class ProgramState:
    """Progress of one program."""

    program: programs.Program
    edge_index: int = -1
    servers: tuple[str, ...] = ()
    ended_ms: float | None = None
    is_failed: bool = False
    refusals: int = 0


class DayResult(NamedTuple):
    """Programs, turns and engines of a simulated day."""

    states: list[ProgramState]
    turns: list[calls.TurnRecord]
    engines: list[engines.Engine]


class Day:
    """Simulation of one day.

    :param deployment: servers, edge processes and kinds of programs.
    :param policy: placement policy.
    :param seed: seed of all random choices.
    :param load_factor: multiplier of the deployment's program rates.
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
        self._tools = calls.ToolClient(self._sim, deployment, self._services)
        self._workload = programs.Workload(deployment, seed, load_factor)
        context = policies.PlacerContext(self._sim.clock, self._engines, seed)
        self._members = [
            traffic.Member(f"edge-{number:03}", "", "", domain, "1")
            for number, domain in enumerate(
                self._failure_domains(deployment.edges)
            )
        ]
        self._edges = [
            calls.Edge(
                self._make_placer(context, member), member.failure_domain
            )
            for member in self._members
        ]
        self._holders = {
            member.name: calls.Holder(
                self._make_placer(context, member), self._server_group(member)
            )
            for member in self._placing_members()
        }
        self._states: list[ProgramState] = []
        self._turns: list[calls.TurnRecord] = []

    def run(self) -> DayResult:
        """Simulate the day and the grace period after it."""
        for program in self._workload.programs():
            state = ProgramState(program)
            self._states.append(state)
            self._sim.schedule(program.start_ms, self._start_action(state))
        self._sim.run(self._deployment.duration_ms + GRACE_PERIOD_MS)
        return DayResult(
            self._states, self._turns, list(self._engines.values())
        )

    def _failure_domains(self, count: int) -> list[str]:
        total = self._deployment.failure_domains
        return [f"domain-{number % total}" for number in range(count)]

    def _make_engines(self, seed: int) -> dict[str, engines.Engine]:
        fleet = self._deployment.engines
        engines_by_name = {}
        for number, domain in enumerate(self._failure_domains(fleet.servers)):
            name = f"engine-{number}"
            server = traffic.BackendServer(
                name, calls.ENGINE_SERVICE, name, domain, fleet.slots, False, 1
            )
            speed = fleet.speeds[number % len(fleet.speeds)]
            noise = engines.SlowPeriods(
                self._deployment.noise, f"{seed}/{name}"
            )
            engines_by_name[name] = engines.Engine(
                server, fleet, speed, self._sim, noise
            )
        return engines_by_name

    def _make_services(self, seed: int) -> dict[str, services.ToolServer]:
        fleet = self._deployment.services
        servers = {}
        for number, domain in enumerate(self._failure_domains(fleet.servers)):
            name = f"tool-{number}"
            server = traffic.BackendServer(
                name, calls.TOOL_SERVICE, name, domain, fleet.slots, False, 1
            )
            noise = engines.SlowPeriods(
                self._deployment.noise, f"{seed}/{name}"
            )
            servers[name] = services.ToolServer(
                server, fleet, self._sim, noise
            )
        return servers

    def _servers(self) -> list[traffic.BackendServer]:
        return [
            *(engine.server for engine in self._engines.values()),
            *(service.server for service in self._services.values()),
        ]

    def _make_placer(
        self, context: policies.PlacerContext, member: traffic.Member
    ) -> balancer.Balancer:
        placer = self._policy.make_placer(
            context, member.name, member.failure_domain
        )
        placer.set_servers(self._servers())
        return placer

    def _placing_members(self) -> list[traffic.Member]:
        match self._policy.placer_role:
            case policies.PlacerRole.EDGES:
                return []
            case policies.PlacerRole.ONE:
                return self._members[:1]
            case policies.PlacerRole.HOLDERS:
                count = membership.holder_count(self._members)
                return self._members[:count]

    def _server_group(self, member: traffic.Member) -> frozenset[str] | None:
        if self._policy.placer_role is not policies.PlacerRole.HOLDERS:
            return None
        return membership.preferred_servers(
            member.name, self._members, self._servers()
        )

    def _start_action(self, state: ProgramState) -> simulation.Action:
        def start() -> None:
            sequence = state.program.sequence
            self._run_turns(
                state,
                sequence.turns,
                sequence.sub_agents,
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
        """Run turns in sequence, and sub-agents before the last turn."""
        if not turns:
            done()
            return
        if len(turns) == 1 and sub_agents:
            countdown = _Countdown(
                len(sub_agents),
                lambda: self._run_turns(state, turns, (), done),
            )
            for agent_turns in sub_agents:
                self._run_turns(state, agent_turns, (), countdown.count_down)
            return
        turn, rest = turns[0], turns[1:]

        def after_tools() -> None:
            self._sim.schedule(
                turn.think_ms,
                lambda: self._run_turns(state, rest, sub_agents, done),
            )

        def after_turn() -> None:
            if not turn.tool_calls:
                after_tools()
                return
            countdown = _Countdown(len(turn.tool_calls), after_tools)
            for call in turn.tool_calls:
                self._call_tool(state, call, countdown.count_down)

        self._call_engine(state, turn, after_turn)

    def _choose_edge(self, state: ProgramState) -> calls.Edge:
        if state.edge_index < 0 or self._random.random() >= SAME_EDGE_SHARE:
            state.edge_index = self._random.randrange(len(self._edges))
        return self._edges[state.edge_index]

    def _choose_holder(
        self, state: ProgramState, edge: calls.Edge
    ) -> calls.Holder:
        match self._policy.placer_role:
            case policies.PlacerRole.EDGES:
                return calls.Holder(edge.placer, None)
            case policies.PlacerRole.ONE:
                return next(iter(self._holders.values()))
            case policies.PlacerRole.HOLDERS:
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
        edge = self._choose_edge(state)
        call = calls.EngineCall(
            self._sim,
            self._deployment,
            self._engines,
            edge,
            self._choose_holder(state, edge),
            turn,
            state.servers,
            calls.Callbacks(
                lambda: self._end_turn(state, call, done),
                lambda: self._retry_later(
                    state, lambda: self._call_engine(state, turn, done)
                ),
            ),
        )
        self._sim.schedule(self._deployment.caller_way_ms, call.attempt)

    def _end_turn(
        self,
        state: ProgramState,
        call: calls.EngineCall,
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
        edge = self._choose_edge(state)
        callbacks = calls.Callbacks(
            done,
            lambda: self._retry_later(
                state, lambda: self._call_tool(state, call, done)
            ),
        )
        latency_ms = self._deployment.caller_way_ms
        self._sim.schedule(
            latency_ms, lambda: self._tools.call(edge, call.work_ms, callbacks)
        )

    def _retry_later(
        self, state: ProgramState, again: simulation.Action
    ) -> None:
        """Retry a refused call, or fail its program after MAX_RETRIES."""
        state.refusals += 1
        if state.refusals > MAX_RETRIES:
            state.is_failed = True
            return
        self._sim.schedule(RETRY_MS, again)


class _Countdown:
    """Runs an action after ``count`` calls of :meth:`count_down`."""

    def __init__(self, count: int, action: simulation.Action) -> None:
        self._remaining = count
        self._action = action

    def count_down(self) -> None:
        self._remaining -= 1
        if self._remaining == 0:
            self._action()
