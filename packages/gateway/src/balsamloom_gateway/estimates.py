"""Estimates of what a call costs at a backend server.

For model engines the cost is the time of the call itself plus the time by
which reading its prompt delays the requests that run there. Without the
second term, calls that each look cheap move prompts from engine to engine,
and reading them again slows down all streams.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_gateway import health, traffic

# Time for a generated token, and reading a prompt token against it, before
# anything is observed.
DEFAULT_STEP_MS_PER_TOKEN = 6.0
DEFAULT_READ_STEPS = 0.0067
DEFAULT_CALL_MS = 50.0
SAMPLE_WEIGHT = 0.3
# An observation loses its weight with these time constants, so that a server
# that was slow is tried again. Engines differ in their speed for good.
STEP_DECAY_MS = 15_000.0
CALL_DECAY_MS = 8_000.0
REPORT_VALID_MS = 1_500.0
# Time that a server in another failure domain must win to be preferred.
CROSS_DOMAIN_MS = 6.0
# Engines slow down with each running request.
STEP_GROWTH_PER_REQUEST = 0.005
# Shorter readings say more of the queue than of the reading speed.
READ_SAMPLE_TOKENS = 400
READ_SAMPLES = 64
READ_SAMPLES_MIN = 5
# Readings that did not wait are among the shortest ones.
READ_QUANTILE = 0.2
# A call is overdue after this many times its estimate and this time. Servers
# that hang keep calls until their callers leave, seconds later.
OVERDUE_FACTOR = 3.0
OVERDUE_MS = 500.0
# Share of calls that fail where one is overdue.
OVERDUE_RISK = 0.3
# Time that a failed call costs its caller. One that may not be repeated ends
# its program.
REPEATABLE_FAILURE_MS = 500.0
FINAL_FAILURE_MS = 3_000.0
# Memory of an engine whose size is not known.
DEFAULT_MEMORY_TOKENS = 100_000
# Parts remembered for one engine, also if they state no tokens.
PARTS_MAX = 4_096


class CallProfile(NamedTuple):
    """What the choice needs to know of a call.

    ``recent_servers`` ran the last turns of the same program, and
    ``failure_ms`` is what a failure costs the caller.
    """

    prompt: tuple[traffic.PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    recent_servers: tuple[str, ...] = ()
    failure_ms: float = REPEATABLE_FAILURE_MS


class Observation(NamedTuple):
    """Times of one call at a server; ``None`` where nothing was seen.

    ``step_ms_per_token`` is the median pause between events for each token.
    It leaves out the pauses in which the engine read other prompts.
    """

    first_event_ms: float | None = None
    step_ms_per_token: float | None = None
    total_ms: float | None = None


class MovingAverage:
    """Average of recent samples that returns to a level with time.

    :param decay_ms: time constant of the return.
    """

    def __init__(self, decay_ms: float) -> None:
        self.value = 0.0
        self.count = 0
        self._decay_ms = decay_ms
        self._updated_ms = -math.inf

    def add(self, sample: float, now_ms: float) -> None:
        """Take in a sample."""
        weight = max(SAMPLE_WEIGHT, 1 / (self.count + 1))
        self.value += weight * (sample - self.value)
        self.count += 1
        self._updated_ms = now_ms

    def get(self, level: float, now_ms: float) -> float:
        """Return the average, nearer to the level the older it is."""
        if not self.count:
            return level
        age_ms = now_ms - self._updated_ms
        trust = math.exp(-age_ms / self._decay_ms)
        return level + trust * (self.value - level)


class HeldParts:
    """Prompt parts that an engine is expected to hold.

    :param memory_tokens: tokens that the engine can hold.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def held_tokens(self, prompt: Iterable[traffic.PromptPart]) -> int:
        """Return the tokens at the start of a prompt that are held."""
        held = 0
        for part in prompt:
            if part.part_id not in self._parts:
                break
            held += part.tokens
        return held

    def keep(self, prompt: Iterable[traffic.PromptPart]) -> None:
        """Add the parts of a prompt; the least recently used ones yield."""
        for part in prompt:
            self._tokens += part.tokens - self._parts.get(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._parts.move_to_end(part.part_id)
        while (
            self._tokens > self._memory_tokens or len(self._parts) > PARTS_MAX
        ):
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class ServerState:
    """What is known of one run of a backend server.

    :param server: the server's registration.
    :param memory_tokens: tokens that it can hold if it is an engine.
    """

    def __init__(
        self,
        server: traffic.BackendServer,
        memory_tokens: int = DEFAULT_MEMORY_TOKENS,
    ) -> None:
        self.server = server
        self.in_flight = 0
        self.sent_since_report = 0
        self.step = MovingAverage(STEP_DECAY_MS)
        self.call = MovingAverage(CALL_DECAY_MS)
        self.health = health.ServerHealth()
        self.parts = HeldParts(memory_tokens)
        self._report: traffic.ServerLoad | None = None
        self._report_ms = -math.inf
        self._read_until_ms = -math.inf
        # Times from which the calls in progress are overdue.
        self._due_ms: list[float] = []

    def take_report(self, report: traffic.ServerLoad, now_ms: float) -> None:
        """Take in the load that the server reported just now."""
        self._report = report
        self._report_ms = now_ms
        self.sent_since_report = 0

    def report_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last report, ``None`` without one."""
        return None if self._report is None else now_ms - self._report_ms

    def missing_tokens(self, profile: CallProfile) -> int:
        """Return the prompt tokens that the server has to read."""
        held = self.parts.held_tokens(profile.prompt)
        if self.server.server_id in profile.recent_servers:
            # All but the last part were in the prompts of earlier turns.
            earlier = sum(part.tokens for part in profile.prompt[:-1])
            held = max(held, earlier)
        return max(profile.prompt_tokens - held, 0)

    def queue_ms(self, now_ms: float) -> float:
        """Return the time until prompts sent before are read."""
        return max(self._read_until_ms - now_ms, 0.0)

    def add_reading(self, read_ms: float, now_ms: float) -> None:
        """Count a prompt that the server reads after the ones before it."""
        self._read_until_ms = max(self._read_until_ms, now_ms) + read_ms

    def begin(self, due_ms: float) -> None:
        """Count a call that is sent.

        :param due_ms: time from which it is overdue.
        """
        self.in_flight += 1
        self.sent_since_report += 1
        self._due_ms.append(due_ms)

    def failure_share(self, now_ms: float) -> float:
        """Return the expected share of calls that fail or hang."""
        overdue = sum(due_ms <= now_ms for due_ms in self._due_ms)
        share = self.health.failure_rate(now_ms) + OVERDUE_RISK * overdue
        return min(share, 1.0)

    def give_back(self, due_ms: float) -> None:
        """Count a call that ended."""
        self.in_flight -= 1
        self._due_ms.remove(due_ms)
        if self.in_flight == 0:
            # Nothing is left to read.
            self._read_until_ms = -math.inf

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests at the server."""
        report = self._fresh_report(now_ms)
        if report is None:
            return float(self.in_flight)
        reported = report.running + report.waiting
        return float(max(reported + self.sent_since_report, self.in_flight))

    def slowness(self, now_ms: float) -> float:
        """Return the reported time of work against the usual time."""
        report = self._fresh_report(now_ms)
        return 1.0 if report is None else report.slowness

    def _fresh_report(self, now_ms: float) -> traffic.ServerLoad | None:
        if now_ms - self._report_ms > REPORT_VALID_MS:
            return None
        return self._report


class ServiceBaseline:
    """Usual figures of a service, for servers without observations.

    :param states: servers of the service.
    :param read_steps: time to read a prompt token against a generated one.
    """

    def __init__(
        self, states: Sequence[ServerState], read_steps: float
    ) -> None:
        self.read_steps = read_steps
        self.step_ms = _median(
            [state.step for state in states], DEFAULT_STEP_MS_PER_TOKEN
        )
        self.call_ms = _median(
            [state.call for state in states], DEFAULT_CALL_MS
        )


class ReadSamples:
    """Reading times of a service's engines against their generating times."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=READ_SAMPLES
        )

    def add(self, read_ms: float, tokens: int, step_ms: float) -> None:
        """Take in the time to the first event of a call.

        :param tokens: prompt tokens that were read in that time.
        :param step_ms: time of the engine for a generated token.
        """
        if tokens >= READ_SAMPLE_TOKENS and step_ms > 0:
            self._samples.append(read_ms / tokens / step_ms)

    def read_steps(self) -> float:
        """Return the time for a read token, in times of a generated one."""
        if len(self._samples) < READ_SAMPLES_MIN:
            return DEFAULT_READ_STEPS
        ordered = sorted(self._samples)
        return ordered[int(len(ordered) * READ_QUANTILE)]


class Cost(NamedTuple):
    """Estimated cost of a call at a server.

    ``total_ms`` decides; ``read_ms`` is the part for reading the prompt.
    """

    total_ms: float
    read_ms: float = 0.0


def cost(
    state: ServerState,
    profile: CallProfile,
    baseline: ServiceBaseline,
    domain: str,
    now_ms: float,
) -> Cost:
    """Return the cost of a call at a server.

    :param domain: failure domain that the call is sent from.
    """
    way_ms = 0.0
    if state.server.failure_domain != domain:
        way_ms = CROSS_DOMAIN_MS
    if profile.prompt_tokens:
        found = _engine_cost(state, profile, baseline, now_ms)
    else:
        found = _plain_cost(state, baseline, now_ms)
    risk_ms = state.failure_share(now_ms) * profile.failure_ms
    return found._replace(total_ms=found.total_ms + risk_ms + way_ms)


def _engine_cost(
    state: ServerState,
    profile: CallProfile,
    baseline: ServiceBaseline,
    now_ms: float,
) -> Cost:
    load = state.load(now_ms)
    step_ms = state.step.get(baseline.step_ms, now_ms)
    read_ms = state.missing_tokens(profile) * step_ms * baseline.read_steps
    crowd = 1 + STEP_GROWTH_PER_REQUEST * load
    generate_ms = profile.output_tokens * step_ms * crowd
    own_ms = state.queue_ms(now_ms) + read_ms + generate_ms
    delay_of_others_ms = load * read_ms
    own_ms *= _rounds(state.server, load)
    return Cost(own_ms + delay_of_others_ms, read_ms)


def _plain_cost(
    state: ServerState, baseline: ServiceBaseline, now_ms: float
) -> Cost:
    rounds = _rounds(state.server, state.load(now_ms))
    call_ms = state.call.get(baseline.call_ms, now_ms)
    return Cost(call_ms * state.slowness(now_ms) * rounds)


def _rounds(server: traffic.BackendServer, load: float) -> float:
    """Return how many times a call's own time passes until it ends.

    :param load: requests at the server before the call.
    """
    waiting = max(load + 1 - server.slots, 0.0)
    return 1 + waiting / max(server.slots, 1)


def _median(averages: list[MovingAverage], default: float) -> float:
    values = [average.value for average in averages if average.count]
    return statistics.median(values) if values else default
