"""Random workload: programs, their turns and tool calls."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from balsamloom_gateway import traffic
from balsamloom_model import deployments

SHARED_PART_ZIPF_EXPONENT = 0.84
MAX_OUTPUT_EVENTS = 45


class ToolCall(NamedTuple):
    """Call of a tool server."""

    work_ms: float


class Turn(NamedTuple):
    """Call of an engine and the tool calls that follow it."""

    prompt: tuple[traffic.PromptPart, ...]
    output_tokens: int
    tool_calls: tuple[ToolCall, ...]
    think_ms: float


class TurnSequence(NamedTuple):
    """Turns in sequence; sub-agents run before the last one."""

    turns: tuple[Turn, ...]
    sub_agents: tuple[tuple[Turn, ...], ...] = ()


class Program(NamedTuple):
    """Program and its duration on idle servers, ``unloaded_ms``."""

    program_id: str
    kind: deployments.ProgramKind
    start_ms: float
    sequence: TurnSequence
    unloaded_ms: float

    @property
    def objective_ms(self) -> float:
        """Return the duration up to which the program has its full worth."""
        kind = self.kind
        return self.unloaded_ms * kind.objective_factor + kind.objective_ms


class Workload:
    """Random generator of the programs of a day.

    :param deployment: kinds of programs and their rates.
    :param seed: seed of all random choices.
    :param load_factor: multiplier of the program rates.
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
        """Yield the programs by start time."""
        programs = [
            self._program(kind, start_ms)
            for kind in self._deployment.kinds
            for start_ms in self._start_times(kind)
        ]
        yield from sorted(programs, key=lambda program: program.start_ms)

    def _start_times(self, kind: deployments.ProgramKind) -> Iterator[float]:
        now_ms = 0.0
        while True:
            rate = (
                kind.rate_per_s
                * self._load_factor
                * self._burst_factor(now_ms)
            )
            now_ms += self._random.expovariate(rate) * 1_000
            if now_ms >= self._deployment.duration_ms:
                return
            yield now_ms

    def _burst_factor(self, now_ms: float) -> float:
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
        sequence = TurnSequence(turns, sub_agents)
        return Program(
            name, kind, start_ms, sequence, self._unloaded_ms(sequence)
        )

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
            event_count = max(min(round(events), MAX_OUTPUT_EVENTS), 1)
            tokens_per_event = self._deployment.engines.tokens_per_event
            answer_tokens = event_count * tokens_per_event
            think_ms = self._lognormal(kind.think_ms, 0.6)
            turns.append(
                Turn(prompt, answer_tokens, self._tool_calls(kind), think_ms)
            )
        return tuple(turns)

    def _tool_calls(
        self, kind: deployments.ProgramKind
    ) -> tuple[ToolCall, ...]:
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
            (rank + 1) ** -SHARED_PART_ZIPF_EXPONENT
            for rank in range(kind.shared_parts)
        ]
        rank = self._random.choices(range(kind.shared_parts), weights)[0]
        # Seeded by identifier: all programs see the same length of a part.
        part_id = f"{kind.name}/shared/{rank}"
        drawn = random.Random(part_id).lognormvariate(0.0, 0.3)
        return traffic.PromptPart(part_id, int(kind.shared_tokens * drawn))

    def _lognormal(self, mean: float, sigma: float) -> float:
        """Draw from the lognormal distribution with this mean and sigma."""
        mu = math.log(mean) - sigma * sigma / 2
        return self._random.lognormvariate(mu, sigma)

    def _unloaded_ms(self, sequence: TurnSequence) -> float:
        """Return the duration of a sequence on idle servers."""
        total_ms = sum(self._turn_duration_ms(turn) for turn in sequence.turns)
        return total_ms + max(
            (
                sum(self._turn_duration_ms(turn) for turn in turns)
                for turns in sequence.sub_agents
            ),
            default=0.0,
        )

    def _turn_duration_ms(self, turn: Turn) -> float:
        """Return the duration on an idle server with earlier parts cached."""
        engines = self._deployment.engines
        prefill_ms = turn.prompt[-1].tokens / engines.prompt_tokens_per_ms
        generate_ms = turn.output_tokens * engines.step_ms
        tools_ms = max((call.work_ms for call in turn.tool_calls), default=0.0)
        latency_ms = 2 * self._deployment.caller_way_ms
        return prefill_ms + generate_ms + tools_ms + turn.think_ms + latency_ms
