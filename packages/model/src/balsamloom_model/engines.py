"""Simulated model servers with continuous batching and chunked prefill."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
from collections.abc import Callable

from balsamloom_gateway import traffic
from balsamloom_model import deployments, simulation


class SlowPeriods:
    """Slowdown of a server by period.

    :param noise: share, length and slowdown factor of the slow periods.
    :param seed: seed of the random choice of slow periods.
    """

    def __init__(self, noise: deployments.Noise, seed: str) -> None:
        self._noise = noise
        self._seed = seed
        self._period = -1
        self._factor = 1.0

    def factor(self, now_ms: float) -> float:
        """Return the factor by which work takes longer at a time."""
        period = int(now_ms // self._noise.period_ms)
        if period != self._period:
            self._period = period
            drawn = random.Random(f"{self._seed}/{period}").random()
            is_slow = drawn < self._noise.share
            self._factor = self._noise.factor if is_slow else 1.0
        return self._factor


@dataclasses.dataclass(eq=False)
class Request:
    """Request at an engine and its progress.

    :param prompt: parts of the prompt in order.
    :param output_tokens: number of tokens to generate.
    :param on_event: called on each event with the number of events so far.
    :param on_end: called with True when the last token is generated.
    :param pending_tokens: prompt tokens that are not prefilled yet.
    """

    prompt: tuple[traffic.PromptPart, ...]
    output_tokens: int
    on_event: Callable[[int], None]
    on_end: Callable[[bool], None]
    pending_tokens: int = 0
    generated_tokens: int = 0
    context_tokens: int = 0


class Engine:
    """Simulated model server with a prefix cache.

    :param server: registration of the server.
    :param fleet: sizes and step times of the engines.
    :param speed: speed relative to the step times of the fleet.
    :param sim: simulation that the engine is part of.
    :param noise: slow periods of the engine's host.
    """

    def __init__(
        self,
        server: traffic.BackendServer,
        fleet: deployments.EngineFleet,
        speed: float,
        sim: simulation.Simulation,
        noise: SlowPeriods,
    ) -> None:
        self.server = server
        self.speed = speed
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.busy_ms = 0.0
        self._fleet = fleet
        self._sim = sim
        self._noise = noise
        self.running: list[Request] = []
        self.waiting: collections.deque[Request] = collections.deque()
        self.cached_parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._is_busy = False

    def submit(self, request: Request) -> bool:
        """Enqueue a request; return False if the queue is full."""
        if len(self.waiting) >= self._fleet.queue:
            return False
        self.waiting.append(request)
        if not self._is_busy:
            self._is_busy = True
            self._iterate()
        return True

    def load(self) -> traffic.ServerLoad:
        """Return the load that the server reports with a response."""
        factor = self._noise.factor(self._sim.clock.now_ms())
        return traffic.ServerLoad(
            len(self.running), len(self.waiting), self._fleet.slots, factor
        )

    def uncached_tokens(self, prompt: tuple[traffic.PromptPart, ...]) -> int:
        """Return the tokens of a prompt after its cached prefix."""
        missing = sum(part.tokens for part in prompt)
        for part in prompt:
            if part.part_id not in self.cached_parts:
                break
            missing -= part.tokens
        return missing

    def pending_tokens(self) -> int:
        """Return the prompt tokens that are still to be prefilled."""
        return sum(
            request.pending_tokens
            for request in (*self.running, *self.waiting)
        )

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self._fleet.slots:
            request = self.waiting.popleft()
            request.pending_tokens = self.uncached_tokens(request.prompt)
            request.context_tokens = sum(
                part.tokens for part in request.prompt
            )
            self.prefilled_tokens += request.pending_tokens
            self.recomputed_tokens += sum(
                part.tokens
                for part in request.prompt[:-1]
                if part.part_id not in self.cached_parts
            )
            self.running.append(request)

    def _iterate(self) -> None:
        """Start an iteration of the batch, or go idle without requests."""
        self._admit()
        if not self.running:
            self._is_busy = False
            return
        fleet = self._fleet
        chunk_left = fleet.chunk_tokens
        generating = []
        for request in self.running:
            if request.pending_tokens:
                chunk = min(request.pending_tokens, chunk_left)
                request.pending_tokens -= chunk
                chunk_left -= chunk
            if not request.pending_tokens:
                generating.append(request)
        context = sum(request.context_tokens for request in self.running)
        duration_ms = (
            fleet.step_ms
            + fleet.step_ms_per_request * len(self.running)
            + fleet.context_ms_per_k * context / 1_000
            + (fleet.chunk_tokens - chunk_left) / fleet.prompt_tokens_per_ms
        )
        duration_ms *= self._noise.factor(self._sim.clock.now_ms())
        duration_ms /= self.speed
        self.busy_ms += duration_ms
        self._sim.schedule(
            duration_ms, lambda: self._end_iteration(generating)
        )

    def _end_iteration(self, generating: list[Request]) -> None:
        for request in generating:
            if not request.generated_tokens:
                self._cache_prompt(request.prompt)
            request.generated_tokens += 1
            request.context_tokens += 1
            is_end = request.generated_tokens >= request.output_tokens
            if (
                is_end
                or request.generated_tokens % self._fleet.tokens_per_event == 0
            ):
                request.on_event(
                    math.ceil(
                        request.generated_tokens / self._fleet.tokens_per_event
                    )
                )
            if is_end:
                self.running.remove(request)
                request.on_end(True)
        self._iterate()

    def _cache_prompt(self, prompt: tuple[traffic.PromptPart, ...]) -> None:
        """Cache the parts of a prompt; evict the least recently used ones."""
        for part in prompt:
            if part.part_id not in self.cached_parts:
                self._cached_tokens += part.tokens
            self.cached_parts[part.part_id] = part.tokens
            self.cached_parts.move_to_end(part.part_id)
        while self._cached_tokens > self._fleet.memory_tokens:
            _, tokens = self.cached_parts.popitem(last=False)
            self._cached_tokens -= tokens

    def cost_ms(
        self, prompt: tuple[traffic.PromptPart, ...], output_tokens: int
    ) -> float:
        """Return the cost of a request, from the engine's true state.

        The cost is the request's own duration plus the delay that its
        prefill causes to each other request.
        """
        fleet = self._fleet
        factor = self._noise.factor(self._sim.clock.now_ms()) / self.speed
        missing = self.uncached_tokens(prompt)
        prefill_ms = missing / fleet.prompt_tokens_per_ms
        queue_ms = self.pending_tokens() / fleet.prompt_tokens_per_ms
        others = len(self.running) + len(self.waiting)
        step_ms = fleet.step_ms + fleet.step_ms_per_request * others
        own_ms = queue_ms + prefill_ms + output_tokens * step_ms
        return (own_ms + others * prefill_ms) * factor
