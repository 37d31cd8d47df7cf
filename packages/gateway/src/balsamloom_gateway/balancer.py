"""Choice of the backend server for a call, from what this process observes.

The estimate of a call's time at a server decides. For model engines it adds
the prompt parts that the server does not hold, at its reading speed, and the
expected output, at its generating speed. For plain services it adds the queue
to the usual time of a call.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import statistics
import threading
from collections.abc import Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import health, traffic

# Reading and generating times before anything is observed.
DEFAULT_READ_MS_PER_TOKEN = 0.035
DEFAULT_STEP_MS_PER_TOKEN = 6.0
DEFAULT_CALL_MS = 50.0
SAMPLE_WEIGHT = 0.3
# An observation loses its weight with this time constant, so that a server
# that was slow is tried again.
OBSERVATION_DECAY_MS = 8_000.0
REPORT_VALID_MS = 1_500.0
# Time that a server in another failure domain must win to be preferred.
CROSS_DOMAIN_MS = 6.0
# Engines slow down with each running request.
STEP_GROWTH_PER_REQUEST = 0.006
PARTS_MAX = 4_096
TIE_MS = 1.0


class CallProfile(NamedTuple):
    """What the choice needs to know of a call.

    ``recent_servers`` ran the last turns of the same program.
    """

    prompt: tuple[traffic.PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    recent_servers: tuple[str, ...] = ()


class Observation(NamedTuple):
    """Times of one call at a server; ``None`` where nothing was seen."""

    first_event_ms: float | None = None
    step_ms_per_token: float | None = None
    total_ms: float | None = None


class _Average:
    """Moving average that returns to the fleet's level with time."""

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0
        self.updated_ms = -math.inf

    def add(self, sample: float, now_ms: float) -> None:
        weight = max(SAMPLE_WEIGHT, 1 / (self.count + 1))
        self.value += weight * (sample - self.value)
        self.count += 1
        self.updated_ms = now_ms

    def get(self, level: float, now_ms: float) -> float:
        if not self.count:
            return level
        age_ms = now_ms - self.updated_ms
        trust = math.exp(-age_ms / OBSERVATION_DECAY_MS)
        return level + trust * (self.value - level)


class _ServerState:
    """What this process knows of one backend server."""

    def __init__(self, server: traffic.BackendServer) -> None:
        self.server = server
        self.in_flight = 0
        self.pending_tokens = 0
        self.report: traffic.ServerLoad | None = None
        self.report_ms = -math.inf
        self.sent_since_report = 0
        self.step = _Average()
        self.read = _Average()
        self.call = _Average()
        self.health = health.ServerHealth()
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def missing_tokens(self, profile: CallProfile) -> int:
        """Return the prompt tokens that the server has to read."""
        held = 0
        for part in profile.prompt:
            if part.part_id not in self.parts:
                break
            held += part.tokens
        if self.server.server_id in profile.recent_servers:
            # All but the last part were in the prompts of earlier turns.
            earlier = sum(part.tokens for part in profile.prompt[:-1])
            held = max(held, earlier)
        return max(profile.prompt_tokens - held, 0)

    def keep_parts(self, profile: CallProfile) -> None:
        for part in profile.prompt:
            self.parts[part.part_id] = part.tokens
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > PARTS_MAX:
            self.parts.popitem(last=False)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests at the server."""
        if self.report is None or now_ms - self.report_ms > REPORT_VALID_MS:
            return float(self.in_flight)
        reported = self.report.running + self.report.waiting
        return float(max(reported + self.sent_since_report, self.in_flight))

    def slowness(self, now_ms: float) -> float:
        """Return the reported time of work against the usual time."""
        if self.report is None or now_ms - self.report_ms > REPORT_VALID_MS:
            return 1.0
        return self.report.slowness


@dataclasses.dataclass(frozen=True)
class Placement:
    """A call's place at a server; given back with :meth:`Balancer.end`."""

    server: traffic.BackendServer
    profile: CallProfile
    estimate_ms: float
    missing_tokens: int
    report_age_ms: float | None
    sent_ms: float


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No server of the service may take a call now."""

    reason: str
    retry_after_ms: float


class Balancer:
    """Chooses servers and learns from the calls that ran there.

    :param clock: time source.
    :param failure_domain: where this process runs.
    :param generator: source of random choices among equals.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        failure_domain: str,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._domain = failure_domain
        self._generator = generator
        self._lock = threading.Lock()
        self._servers: dict[str, _ServerState] = {}
        self._by_service: dict[str, list[_ServerState]] = {}

    def set_servers(self, servers: Iterable[traffic.BackendServer]) -> None:
        """Take the servers that may get calls from now on.

        What was learnt of a server is kept while its incarnation stays.
        """
        with self._lock:
            former = self._servers
            self._servers = {}
            self._by_service = {}
            for server in servers:
                state = former.get(server.server_id)
                if state is None or not _is_same_run(state.server, server):
                    state = _ServerState(server)
                state.server = server
                self._servers[server.server_id] = state
                self._by_service.setdefault(server.service, []).append(state)

    def place(
        self,
        service: str,
        profile: CallProfile,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | NoServer:
        """Choose a server and count the call there.

        :param avoid: servers that refused or failed this call before.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            states = self._by_service.get(service, [])
            usable = [
                state
                for state in states
                if state.server.server_id not in avoid
            ]
            if not usable:
                return NoServer(
                    "no server" if not states else "all servers were tried",
                    health.RETRY_AFTER_MS,
                )
            healthy = health.usable(
                [(state, state.health) for state in usable], now_ms
            )
            levels = _Levels(states, now_ms)
            times = [
                (self._estimate_ms(state, profile, levels, now_ms), state)
                for state in healthy
            ]
            least_ms = min(times, key=lambda pair: pair[0])[0]
            near = [pair for pair in times if pair[0] <= least_ms + TIE_MS]
            estimate_ms, state = self._generator.choice(near)
            return self._count(state, profile, estimate_ms, now_ms)

    def answered(
        self, placement: Placement, load: traffic.ServerLoad | None
    ) -> None:
        """Take in the load that came with an answer's head."""
        if load is None:
            return
        with self._lock:
            state = self._state_of(placement)
            if state is not None:
                state.report = load
                state.report_ms = self._clock.now_ms()
                state.sent_since_report = 0

    def began(self, placement: Placement) -> None:
        """Note that a server has read a call's prompt."""
        with self._lock:
            state = self._state_of(placement)
            if state is not None:
                state.pending_tokens -= placement.missing_tokens
                state.keep_parts(placement.profile)

    def end(
        self,
        placement: Placement,
        outcome: health.Outcome,
        observation: Observation,
        has_begun: bool,
    ) -> None:
        """Give a place back and learn from the call.

        :param has_begun: whether :meth:`began` was called.
        """
        with self._lock:
            state = self._state_of(placement)
            if state is None:
                return
            now_ms = self._clock.now_ms()
            state.in_flight -= 1
            if not has_begun:
                state.pending_tokens -= placement.missing_tokens
            state.health.note(outcome, now_ms)
            self._learn(state, placement, observation, now_ms)

    def describe(self) -> list[dict[str, object]]:
        """Return what is known of each server, for a state dump."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return [
                {
                    "server_id": state.server.server_id,
                    "service": state.server.service,
                    "in_flight": state.in_flight,
                    "load": state.load(now_ms),
                    "step_ms_per_token": round(state.step.value, 2),
                    "call_ms": round(state.call.value, 1),
                    "is_ejected": state.health.is_ejected(now_ms),
                }
                for state in self._servers.values()
            ]

    def _state_of(self, placement: Placement) -> _ServerState | None:
        state = self._servers.get(placement.server.server_id)
        if state is None or not _is_same_run(state.server, placement.server):
            return None
        return state

    def _count(
        self,
        state: _ServerState,
        profile: CallProfile,
        estimate_ms: float,
        now_ms: float,
    ) -> Placement:
        missing = state.missing_tokens(profile)
        state.in_flight += 1
        state.sent_since_report += 1
        state.pending_tokens += missing
        age_ms = None if state.report is None else now_ms - state.report_ms
        return Placement(
            state.server, profile, estimate_ms, missing, age_ms, now_ms
        )

    def _estimate_ms(
        self,
        state: _ServerState,
        profile: CallProfile,
        levels: _Levels,
        now_ms: float,
    ) -> float:
        way_ms = 0.0
        if state.server.failure_domain != self._domain:
            way_ms = CROSS_DOMAIN_MS
        load = state.load(now_ms)
        waiting = max(load + 1 - state.server.slots, 0.0)
        if not profile.prompt_tokens:
            call_ms = state.call.get(levels.call_ms, now_ms)
            rounds = 1 + waiting / max(state.server.slots, 1)
            return way_ms + call_ms * state.slowness(now_ms) * rounds
        read_ms = state.read.get(levels.read_ms, now_ms)
        step_ms = state.step.get(levels.step_ms, now_ms)
        tokens = state.missing_tokens(profile) + state.pending_tokens
        crowd = 1 + STEP_GROWTH_PER_REQUEST * load
        rounds = 1 + waiting / max(state.server.slots, 1)
        generate_ms = profile.output_tokens * step_ms * crowd
        return way_ms + (tokens * read_ms + generate_ms) * rounds

    def _learn(
        self,
        state: _ServerState,
        placement: Placement,
        observation: Observation,
        now_ms: float,
    ) -> None:
        if observation.step_ms_per_token is not None:
            state.step.add(observation.step_ms_per_token, now_ms)
        if observation.total_ms is not None:
            slowness = max(state.slowness(now_ms), 0.1)
            state.call.add(observation.total_ms / slowness, now_ms)
        missing = placement.missing_tokens
        first_ms = observation.first_event_ms
        if first_ms is not None and missing >= READ_SAMPLE_TOKENS:
            state.read.add(first_ms / missing, now_ms)


# Shorter readings say more of the queue than of the reading speed.
READ_SAMPLE_TOKENS = 400


class _Levels:
    """Usual figures of a service, for servers without observations."""

    def __init__(self, states: list[_ServerState], now_ms: float) -> None:
        self.read_ms = _median(
            [state.read for state in states], DEFAULT_READ_MS_PER_TOKEN
        )
        self.step_ms = _median(
            [state.step for state in states], DEFAULT_STEP_MS_PER_TOKEN
        )
        self.call_ms = _median(
            [state.call for state in states], DEFAULT_CALL_MS
        )


def _median(averages: list[_Average], default: float) -> float:
    values = [average.value for average in averages if average.count]
    return statistics.median(values) if values else default


def _is_same_run(
    one: traffic.BackendServer, other: traffic.BackendServer
) -> bool:
    return (one.incarnation, one.address) == (other.incarnation, other.address)
