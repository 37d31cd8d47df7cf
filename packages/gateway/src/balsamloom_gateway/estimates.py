"""Estimates of what a call costs at a backend server.

For model engines the cost is the duration of the call plus the time by which
its prefill delays the requests that run there. Without the second term,
prompts move between engines for small gains of single calls, and the repeated
prefills slow down all streams.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_gateway import health, traffic

# Defaults until there are observations. The prefill ratio is the time to
# prefill a token divided by the time to generate one.
DEFAULT_STEP_MS_PER_TOKEN = 6.0
DEFAULT_PREFILL_RATIO = 0.0067
DEFAULT_CALL_MS = 50.0
MIN_SAMPLE_WEIGHT = 0.3
# Time constants of the moving averages. Old observations lose weight, so that
# a server that was slow is tried again. Step times decay more slowly because
# engines differ in speed permanently.
STEP_DECAY_MS = 15_000.0
CALL_DECAY_MS = 8_000.0
MAX_REPORT_AGE_MS = 1_500.0
# Added to the estimated cost of a server in another failure domain.
CROSS_DOMAIN_PENALTY_MS = 6.0
# Relative growth of an engine's step time with each running request.
STEP_GROWTH_PER_REQUEST = 0.005
# Shorter prefills measure the queue rather than the prefill speed.
MIN_PREFILL_SAMPLE_TOKENS = 400
MAX_PREFILL_SAMPLES = 64
MIN_PREFILL_SAMPLES = 5
# Low, because the shortest samples are those that did not wait.
PREFILL_QUANTILE = 0.2
# A call is overdue after its estimate times this factor plus this margin. A
# server that hangs holds calls until the callers disconnect, seconds later.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_MS = 500.0
# Added to a server's failure rate for each overdue call.
OVERDUE_FAILURE_RATE = 0.3
# Cost of a failed call to its caller. A failed call that may not be repeated
# ends its program.
REPEATABLE_FAILURE_COST_MS = 500.0
FINAL_FAILURE_COST_MS = 3_000.0
# Prefix cache size of an engine that does not declare one.
DEFAULT_MEMORY_TOKENS = 100_000
# Bounds the size of a PrefixCache even if its parts have zero tokens.
MAX_PARTS = 4_096


class CallProfile(NamedTuple):
    """Properties of a call that determine its cost at a server.

    ``recent_servers`` ran the last turns of the same program, and
    ``failure_cost_ms`` is the cost of a failure to the caller. Only servers
    of ``version`` may run the call, all if it is ``None``.
    """

    prompt: tuple[traffic.PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    recent_servers: tuple[str, ...] = ()
    failure_cost_ms: float = REPEATABLE_FAILURE_COST_MS
    version: str | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether a failed call costs its caller only time."""
        return self.failure_cost_ms <= REPEATABLE_FAILURE_COST_MS

    def allows(self, server: traffic.BackendServer) -> bool:
        """Return whether a server may run the call."""
        return self.version is None or server.version == self.version


def profile_of(
    route: traffic.Route,
    spec: traffic.Service | None,
    prompt: tuple[traffic.PromptPart, ...],
    prompt_tokens: int,
    output_tokens: int,
) -> CallProfile:
    """Return the profile of a call on a route.

    :param spec: service that runs it; only engines have prompts.
    """
    failure_cost_ms = REPEATABLE_FAILURE_COST_MS
    if not route.is_repeatable:
        failure_cost_ms = FINAL_FAILURE_COST_MS
    if spec is None or spec.engine is None:
        return CallProfile(failure_cost_ms=failure_cost_ms)
    return CallProfile(
        prompt, prompt_tokens, output_tokens, failure_cost_ms=failure_cost_ms
    )


class Observation(NamedTuple):
    """Timings of one call at a server; ``None`` if not observed.

    ``step_ms_per_token`` is the median interval between events, divided by
    the tokens per event. A median ignores the pauses for other prefills.
    """

    first_event_ms: float | None = None
    step_ms_per_token: float | None = None
    total_ms: float | None = None


class MovingAverage:
    """Exponential moving average that decays to a baseline over time.

    :param decay_ms: time constant of the decay.
    """

    def __init__(self, decay_ms: float) -> None:
        self.value = 0.0
        self.count = 0
        self._decay_ms = decay_ms
        self._updated_ms = -math.inf

    def add(self, sample: float, now_ms: float) -> None:
        """Add a sample."""
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.count + 1))
        self.value += weight * (sample - self.value)
        self.count += 1
        self._updated_ms = now_ms

    def get(self, baseline: float, now_ms: float) -> float:
        """Return the average, closer to the baseline with growing age."""
        if not self.count:
            return baseline
        age_ms = now_ms - self._updated_ms
        weight = math.exp(-age_ms / self._decay_ms)
        return baseline + weight * (self.value - baseline)


class PrefixCache:
    """Estimate of the prompt parts in an engine's prefix cache.

    :param memory_tokens: capacity of the cache.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def prefix_tokens(self, prompt: Iterable[traffic.PromptPart]) -> int:
        """Return the length of the cached prefix of a prompt."""
        cached = 0
        for part in prompt:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached

    def add(self, prompt: Iterable[traffic.PromptPart]) -> None:
        """Add the parts of a prompt and evict the least recently used."""
        for part in prompt:
            self._tokens += part.tokens - self._parts.get(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._parts.move_to_end(part.part_id)
        while (
            self._tokens > self._memory_tokens or len(self._parts) > MAX_PARTS
        ):
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class ServerState:
    """Load, speed and health of one instance of a backend server.

    :param server: the server's registration.
    :param memory_tokens: capacity of its prefix cache, if it is an engine.
    :param max_ejection_ms: longest time without calls after failures.
    """

    def __init__(
        self,
        server: traffic.BackendServer,
        memory_tokens: int = DEFAULT_MEMORY_TOKENS,
        max_ejection_ms: float = health.MAX_EJECTION_MS,
    ) -> None:
        self.server = server
        self.in_flight = 0
        self.sent_since_report = 0
        self.step_average = MovingAverage(STEP_DECAY_MS)
        self.call_average = MovingAverage(CALL_DECAY_MS)
        self.health = health.ServerHealth(max_ejection_ms)
        self.cache = PrefixCache(memory_tokens)
        self._report: traffic.ServerLoad | None = None
        self._report_ms = -math.inf
        self._queue_end_ms = -math.inf
        # Time until which its rate limit allows no calls.
        self.denied_until_ms = -math.inf
        # Times from which the calls in progress are overdue.
        self._due_times_ms: list[float] = []

    def record_report(self, report: traffic.ServerLoad, now_ms: float) -> None:
        """Store the load that the server reported just now."""
        self._report = report
        self._report_ms = now_ms
        self.sent_since_report = 0

    def report_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last report, ``None`` without one."""
        return None if self._report is None else now_ms - self._report_ms

    def missing_tokens(self, profile: CallProfile) -> int:
        """Return the prompt tokens that the server must prefill."""
        cached = self.cache.prefix_tokens(profile.prompt)
        if self.server.server_id in profile.recent_servers:
            # Earlier turns contained all parts but the last one.
            earlier = sum(part.tokens for part in profile.prompt[:-1])
            cached = max(cached, earlier)
        return max(profile.prompt_tokens - cached, 0)

    def prefill_queue_ms(self, now_ms: float) -> float:
        """Return the time until the prefills sent before have ended."""
        return max(self._queue_end_ms - now_ms, 0.0)

    def add_prefill(self, prefill_ms: float, now_ms: float) -> None:
        """Append a prefill to the server's prefill queue."""
        self._queue_end_ms = max(self._queue_end_ms, now_ms) + prefill_ms

    def record_start(self, due_ms: float) -> None:
        """Record that a call was sent.

        :param due_ms: time from which it is overdue.
        """
        self.in_flight += 1
        self.sent_since_report += 1
        self._due_times_ms.append(due_ms)

    def failure_rate(self, now_ms: float, is_probed: bool = False) -> float:
        """Return the expected share of calls that fail or hang, up to 1.

        :param is_probed: only calls in progress count, no earlier failures.
        """
        late = sum(due_ms <= now_ms for due_ms in self._due_times_ms)
        rate = OVERDUE_FAILURE_RATE * late
        if not is_probed:
            rate += self.health.failure_rate(now_ms)
        return min(rate, 1.0)

    def record_end(self, due_ms: float) -> None:
        """Record that a call ended."""
        self.in_flight -= 1
        self._due_times_ms.remove(due_ms)
        if self.in_flight == 0:
            # No prefill is pending.
            self._queue_end_ms = -math.inf

    def forget_speed(self) -> None:
        """Assume the usual speed until there are new observations."""
        self.step_average = MovingAverage(STEP_DECAY_MS)
        self.call_average = MovingAverage(CALL_DECAY_MS)

    def is_denied(self, now_ms: float) -> bool:
        """Return whether the server's rate limit allows no calls now."""
        return now_ms < self.denied_until_ms

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests at the server."""
        report = self.fresh_report(now_ms)
        if report is None:
            return float(self.in_flight)
        reported = report.running + report.waiting
        return float(max(reported + self.sent_since_report, self.in_flight))

    def slowness(self, now_ms: float) -> float:
        """Return the reported duration of work relative to the usual one."""
        report = self.fresh_report(now_ms)
        return 1.0 if report is None else report.slowness

    def fresh_report(self, now_ms: float) -> traffic.ServerLoad | None:
        """Return the last report, ``None`` if it is too old."""
        if now_ms - self._report_ms > MAX_REPORT_AGE_MS:
            return None
        return self._report


class Baseline:
    """Median timings of a service, for servers without recent observations.

    Those of its faster servers are for servers that should be tried.

    :param states: servers of the service.
    :param prefill_ratio: time to prefill a token / time to generate one.
    """

    def __init__(
        self, states: Sequence[ServerState], prefill_ratio: float
    ) -> None:
        self.prefill_ratio = prefill_ratio
        steps_ms = _values([state.step_average for state in states])
        calls_ms = _values([state.call_average for state in states])
        self.step_ms = _median(steps_ms, DEFAULT_STEP_MS_PER_TOKEN)
        self.call_ms = _median(calls_ms, DEFAULT_CALL_MS)
        self.fast_step_ms = _fast(steps_ms, self.step_ms)
        self.fast_call_ms = _fast(calls_ms, self.call_ms)


class PrefillSamples:
    """Samples of the prefill ratio of a service's engines."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_PREFILL_SAMPLES
        )

    def add(self, prefill_ms: float, tokens: int, step_ms: float) -> None:
        """Add a sample from the time to the first event of a call.

        :param tokens: prompt tokens that were prefilled in that time.
        :param step_ms: time in which the engine generates a token.
        """
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS and step_ms > 0:
            self._samples.append(prefill_ms / tokens / step_ms)

    def prefill_ratio(self) -> float:
        """Return the time to prefill a token relative to generating one."""
        if len(self._samples) < MIN_PREFILL_SAMPLES:
            return DEFAULT_PREFILL_RATIO
        ordered = sorted(self._samples)
        return ordered[int(len(ordered) * PREFILL_QUANTILE)]


class Cost(NamedTuple):
    """Estimated cost of a call at a server.

    Servers are compared by ``total_ms``, the sum of the time until the call
    ends there, the delay of others by its prefill, the risk of a failure and
    the penalty for another failure domain. ``prefill_ms`` is a part of the
    time.
    """

    total_ms: float
    time_ms: float = 0.0
    prefill_ms: float = 0.0
    delay_to_others_ms: float = 0.0
    risk_ms: float = 0.0
    domain_penalty_ms: float = 0.0


class _Times(NamedTuple):
    """Parts of a cost that depend on the server's speed and load."""

    time_ms: float
    prefill_ms: float = 0.0
    delay_to_others_ms: float = 0.0


def cost(
    state: ServerState,
    profile: CallProfile,
    baseline: Baseline,
    domain: str,
    now_ms: float,
    is_probed: bool = False,
) -> Cost:
    """Return the cost of a call at a server.

    :param domain: failure domain that the call is sent from.
    :param is_probed: earlier answers of the server don't count, and it may
        be as fast as the faster ones of its service.
    """
    penalty_ms = 0.0
    if state.server.failure_domain != domain:
        penalty_ms = CROSS_DOMAIN_PENALTY_MS
    if profile.prompt_tokens:
        step_ms = baseline.fast_step_ms
        if not is_probed:
            step_ms = state.step_average.get(baseline.step_ms, now_ms)
        found = _engine_cost(state, profile, baseline, step_ms, now_ms)
    else:
        call_ms = baseline.fast_call_ms
        if not is_probed:
            call_ms = state.call_average.get(baseline.call_ms, now_ms)
        found = _plain_cost(state, call_ms, now_ms)
    risk_ms = state.failure_rate(now_ms, is_probed) * profile.failure_cost_ms
    return Cost(
        found.time_ms + found.delay_to_others_ms + risk_ms + penalty_ms,
        found.time_ms,
        found.prefill_ms,
        found.delay_to_others_ms,
        risk_ms,
        penalty_ms,
    )


def usual_ms(
    state: ServerState, profile: CallProfile, baseline: Baseline
) -> float:
    """Return the duration of a call at a usual server that is idle.

    :param state: server whose prefix cache is taken into account.
    """
    if not profile.prompt_tokens:
        return baseline.call_ms
    prefill_tokens = state.missing_tokens(profile) * baseline.prefill_ratio
    return (prefill_tokens + profile.output_tokens) * baseline.step_ms


def _engine_cost(
    state: ServerState,
    profile: CallProfile,
    baseline: Baseline,
    step_ms: float,
    now_ms: float,
) -> _Times:
    load = state.load(now_ms)
    prefill_ms = (
        state.missing_tokens(profile) * step_ms * baseline.prefill_ratio
    )
    batch_factor = 1 + STEP_GROWTH_PER_REQUEST * load
    generate_ms = profile.output_tokens * step_ms * batch_factor
    own_ms = state.prefill_queue_ms(now_ms) + prefill_ms + generate_ms
    delay_to_others_ms = load * prefill_ms
    own_ms *= _queueing_factor(state.server, load)
    return _Times(own_ms, prefill_ms, delay_to_others_ms)


def _plain_cost(state: ServerState, call_ms: float, now_ms: float) -> _Times:
    queueing = _queueing_factor(state.server, state.load(now_ms))
    time_ms = call_ms * state.slowness(now_ms) * queueing
    return _Times(time_ms)


def _queueing_factor(server: traffic.BackendServer, load: float) -> float:
    """Return the factor by which waiting for a slot prolongs a call.

    :param load: requests at the server before the call.
    """
    waiting = max(load + 1 - server.slots, 0.0)
    return 1 + waiting / max(server.slots, 1)


def _values(averages: list[MovingAverage]) -> list[float]:
    return sorted(average.value for average in averages if average.count)


def _median(ordered: list[float], default: float) -> float:
    return statistics.median(ordered) if ordered else default


def _fast(ordered: list[float], default: float) -> float:
    """Return the lower quartile."""
    return ordered[len(ordered) // 4] if ordered else default
