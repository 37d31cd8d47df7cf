"""Programs that start, and what each of their turns needs."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from balsamloom_gateway import traffic
from balsamloom_model import deployments

SHARED_PART_SKEW = 0.84
OUTPUT_EVENTS_MAX = 45


class ToolCall(NamedTuple):
    """One call of a plain service."""

    work_ms: float


class Turn(NamedTuple):
    """One call of an engine, with the tool calls that follow it."""

    prompt: tuple[traffic.PromptPart, ...]
    output_tokens: int
    tools: tuple[ToolCall, ...]
    think_ms: float


class Line(NamedTuple):
    """Turns that follow each other, with sub-agents before the last one."""

    turns: tuple[Turn, ...]
    sub_agents: tuple[tuple[Turn, ...], ...] = ()


class Program(NamedTuple):
    """One program with the time that it may take."""

    program_id: str
    kind: deployments.ProgramKind
    start_ms: float
    line: Line
    idle_ms: float

    @property
    def objective_ms(self) -> float:
        """Return the time within which the program has its full worth."""
        kind = self.kind
        return self.idle_ms * kind.objective_factor + kind.objective_ms


class Workload:
    """Draws the programs of one day.

    :param deployment: what runs there.
    :param seed: source of all draws.
    :param load_factor: programs against the deployment's usual number.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int,
        load_factor: float = 1.0,
    ) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._load_factor = load_factor
        self._number = 0

    def programs(self) -> Iterator[Program]:
        """Return the programs in the order of their starts."""
        found = [
            self._program(kind, start_ms)
            for kind in self._deployment.kinds
            for start_ms in self._starts(kind)
        ]
        yield from sorted(found, key=lambda program: program.start_ms)

    def _starts(self, kind: deployments.ProgramKind) -> Iterator[float]:
        now_ms = 0.0
        while True:
            rate = kind.rate_per_s * self._load_factor * self._factor(now_ms)
            now_ms += self._random.expovariate(rate) * 1_000
            if now_ms >= self._deployment.duration_ms:
                return
            yield now_ms

    def _factor(self, now_ms: float) -> float:
        factor = 1.0
        for burst in self._deployment.bursts:
            if burst.at_ms <= now_ms < burst.at_ms + burst.duration_ms:
                factor *= burst.factor
        return factor

    def _program(
        self, kind: deployments.ProgramKind, start_ms: float
    ) -> Program:
        self._number += 1
        name = f"p{self._number}"
        count = max(round(self._lognormal(kind.turns, 0.4)), 1)
        shared = self._shared_part(kind)
        turns = self._turns(kind, name, (shared,), min(count, kind.turns_max))
        sub_agents: tuple[tuple[Turn, ...], ...] = ()
        if len(turns) > 1 and self._random.random() < kind.sub_agent_share:
            parent = turns[-2].prompt
            sub_agents = tuple(
                self._turns(kind, f"{name}.{n}", parent, kind.sub_agent_turns)
                for n in range(kind.sub_agents)
            )
        line = Line(turns, sub_agents)
        return Program(name, kind, start_ms, line, self._idle_ms(line))

    def _turns(
        self,
        kind: deployments.ProgramKind,
        name: str,
        prefix: tuple[traffic.PromptPart, ...],
        count: int,
    ) -> tuple[Turn, ...]:
        turns = []
        prompt = prefix
        answer_tokens = 0
        for number in range(count):
            tokens = self._lognormal(kind.prompt_tokens, kind.prompt_spread)
            part = traffic.PromptPart(
                f"{name}/{number}", int(tokens) + answer_tokens
            )
            prompt = (*prompt, part)
            events = self._lognormal(kind.output_events, kind.output_spread)
            count_events = max(min(round(events), OUTPUT_EVENTS_MAX), 1)
            per_event = self._deployment.engines.tokens_per_event
            answer_tokens = count_events * per_event
            think_ms = self._lognormal(kind.think_ms, 0.6)
            turns.append(
                Turn(prompt, answer_tokens, self._tools(kind), think_ms)
            )
        return tuple(turns)

    def _tools(self, kind: deployments.ProgramKind) -> tuple[ToolCall, ...]:
        return tuple(
            ToolCall(self._lognormal(calls.work_ms, calls.work_spread))
            for calls in kind.tools
            for _ in range(calls.times)
            if self._random.random() < calls.share
        )

    def _shared_part(
        self, kind: deployments.ProgramKind
    ) -> traffic.PromptPart:
        weights = [
            (place + 1) ** -SHARED_PART_SKEW
            for place in range(kind.shared_parts)
        ]
        place = self._random.choices(range(kind.shared_parts), weights)[0]
        # All programs that share a part have it with the same length.
        part_id = f"{kind.name}/shared/{place}"
        drawn = random.Random(part_id).lognormvariate(0.0, 0.3)
        return traffic.PromptPart(part_id, int(kind.shared_tokens * drawn))

    def _lognormal(self, mean: float, spread: float) -> float:
        """Draw a value whose distribution has the given mean."""
        mu = math.log(mean) - spread * spread / 2
        return self._random.lognormvariate(mu, spread)

    def _idle_ms(self, line: Line) -> float:
        """Return the time that a line takes on idle servers."""
        total_ms = sum(self._idle_turn_ms(turn) for turn in line.turns)
        return total_ms + max(
            (
                sum(self._idle_turn_ms(turn) for turn in turns)
                for turns in line.sub_agents
            ),
            default=0.0,
        )

    def _idle_turn_ms(self, turn: Turn) -> float:
        """Return the time of a turn whose earlier parts are held."""
        engines = self._deployment.engines
        read_ms = turn.prompt[-1].tokens / engines.prompt_tokens_per_ms
        generate_ms = turn.output_tokens * engines.step_ms
        tools_ms = max((call.work_ms for call in turn.tools), default=0.0)
        way_ms = 2 * self._deployment.caller_way_ms
        return read_ms + generate_ms + tools_ms + turn.think_ms + way_ms
