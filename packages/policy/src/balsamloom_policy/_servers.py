"""Latency, load and health of a backend server, as one process sees it."""

from __future__ import annotations

import statistics
from typing import Protocol

from balsamloom_policy import calls

RECENT_WEIGHT = 0.3
TYPICAL_WEIGHT = 0.05
FLOOR_GROWTH = 1.002
# Keeps a slow phase from becoming the typical latency in a few samples.
MAX_SAMPLE_RATIO = 2.0
MAX_RATIO = 20.0
MIN_SAMPLES = 3
FAULTS_TO_EJECT = 3
SILENCE_TOKEN_GAPS = 8
MIN_SILENCE_MS = 100.0
SLOWNESS_HALF_LIFE_MS = 2000.0
MAX_TOKEN_GAP_AGE_MS = 500.0
FIRST_TOKEN_DISCOUNT = 1.5
MAX_PROMPT_FACTOR = 10.0


class InFlightCall(Protocol):
    """A call that a server is processing."""

    profile: calls.CallProfile
    assigned_ms: float
    first_token_ms: float | None
    progress_ms: float
    progress_count: int


class LatencyEstimate:
    """Moving averages of a latency: typical, recent and lowest."""

    __slots__ = ("count", "floor_ms", "recent_ms", "typical_ms")

    def __init__(self) -> None:
        self.count = 0
        self.typical_ms = 0.0
        self.recent_ms = 0.0
        self.floor_ms = 0.0

    def add(self, sample_ms: float) -> float:
        """Add a sample and return its ratio to the typical latency."""
        sample_ms = max(sample_ms, 0.01)
        self.count += 1
        if self.count == 1:
            self.typical_ms = self.recent_ms = self.floor_ms = sample_ms
            return 1.0
        ratio = sample_ms / self.typical_ms
        limited_ms = min(sample_ms, self.typical_ms * MAX_RATIO)
        self.recent_ms += RECENT_WEIGHT * (limited_ms - self.recent_ms)
        weight = max(TYPICAL_WEIGHT, 1 / self.count)
        capped_ms = min(sample_ms, self.typical_ms * MAX_SAMPLE_RATIO)
        self.typical_ms += weight * (capped_ms - self.typical_ms)
        self.floor_ms = min(self.floor_ms * FLOOR_GROWTH, self.recent_ms)
        return ratio

    def ratio(self) -> float:
        """Return the recent latency divided by the typical one."""
        return (
            self.recent_ms / self.typical_ms
            if self.count >= MIN_SAMPLES
            else 1.0
        )


class ServerState:
    """State of one server; load and health as this process sees them."""

    def __init__(self, server: calls.Server, limit: float) -> None:
        self.server = server
        self.in_flight: dict[InFlightCall, None] = {}
        self.limit = limit
        self.slots = limit
        self.urgent_count = 0
        self.long_count = 0
        self.first_token = LatencyEstimate()
        self.token_gap = LatencyEstimate()
        self.whole_call = LatencyEstimate()
        self.mean_prompt_tokens = 0.0
        self.mean_generated_tokens = 0.0
        self.last_sample_ms = 0.0
        self.last_token_gap_ms = 0.0
        self.load_report: calls.LoadReport | None = None
        self.load_report_ms = 0.0
        self.peer_in_flight = 0
        self.peer_ejections = 0
        self.slowness = 1.0
        self.fault_count = 0
        self.is_ejected = False
        self.is_own_ejection = False
        self.ejected_ms = 0.0
        self.returned_ms = float("-inf")
        self.trial: InFlightCall | None = None
        self.next_trial_ms = 0.0
        self.trial_sent_ms = 0.0
        self.trial_interval_ms = 0.0
        self.good_samples = 0

    @property
    def sample_count(self) -> int:
        """Return the number of first-token and whole-call samples."""
        return self.first_token.count + self.whole_call.count

    @property
    def has_tokens(self) -> bool:
        """Return whether the server has streamed tokens."""
        return self.first_token.count > 0

    def prompt_factor(self, prompt_tokens: int) -> float:
        """Return the factor of the time to first token for a prompt length."""
        if self.mean_prompt_tokens <= 0 or prompt_tokens <= 0:
            return 1.0
        factor = 0.5 + 0.5 * prompt_tokens / self.mean_prompt_tokens
        return min(factor, MAX_PROMPT_FACTOR)

    def add_first_token(self, call: InFlightCall, now_ms: float) -> float:
        """Add a time to first token; return its ratio to the typical one."""
        tokens = call.profile.prompt_tokens
        factor = self.prompt_factor(tokens)
        if tokens > 0:
            if self.mean_prompt_tokens <= 0:
                self.mean_prompt_tokens = float(tokens)
            self.mean_prompt_tokens += TYPICAL_WEIGHT * (
                tokens - self.mean_prompt_tokens
            )
        sample_ms = (now_ms - call.assigned_ms) / factor
        return self._add_sample(self.first_token, call, sample_ms, now_ms)

    def add_token_gap(
        self, call: InFlightCall, gap_ms: float, now_ms: float
    ) -> float:
        """Add a time between tokens; return its ratio to the typical one."""
        self.last_token_gap_ms = now_ms
        return self._add_sample(self.token_gap, call, gap_ms, now_ms)

    def add_call(
        self, call: InFlightCall, duration_ms: float, now_ms: float
    ) -> float:
        """Add a call's duration; return its ratio to the typical one."""
        return self._add_sample(self.whole_call, call, duration_ms, now_ms)

    def record_generated_tokens(self, tokens: int) -> None:
        """Update the mean number of generated tokens.

        The value is capped so that one straggler does not raise the expected
        duration of all calls.
        """
        if self.mean_generated_tokens <= 0:
            self.mean_generated_tokens = float(tokens)
        capped = min(tokens, self.mean_generated_tokens * MAX_SAMPLE_RATIO)
        self.mean_generated_tokens += TYPICAL_WEIGHT * (
            capped - self.mean_generated_tokens
        )

    def _add_sample(
        self,
        estimate: LatencyEstimate,
        call: InFlightCall,
        sample_ms: float,
        now_ms: float,
    ) -> float:
        # While a server is ejected, only trial calls update its estimates: a
        # short slow phase leaves them unchanged, a lasting one shifts them.
        is_recorded = not self.is_ejected or self.trial is call
        if not is_recorded and estimate.count > 0:
            return sample_ms / estimate.typical_ms
        self.last_sample_ms = now_ms
        return estimate.add(sample_ms)

    def reset_recent(self) -> None:
        """Reset slowness and recent latencies after a recovery."""
        for estimate in (self.first_token, self.token_gap, self.whole_call):
            estimate.recent_ms = estimate.typical_ms
        self.slowness = 1.0
        self.fault_count = 0

    def update_slowness(self, now_ms: float) -> None:
        """Estimate slowness from finished calls and calls in flight.

        Without new samples the estimate decays to 1, so that a server that
        routing has avoided gets calls again.
        """
        if self.has_tokens:
            finished = self.token_gap.ratio()
            if not self._has_recent_token_gap(now_ms):
                finished = max(
                    finished, self.first_token.ratio() / FIRST_TOKEN_DISCOUNT
                )
        else:
            finished = self.whole_call.ratio()
        age_ms = now_ms - self.last_sample_ms
        finished = 1 + (finished - 1) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        self.slowness = max(finished, self._in_flight_slowness(now_ms), 0.1)
        if self.fault_count >= FAULTS_TO_EJECT:
            self.slowness = MAX_RATIO

    def _has_recent_token_gap(self, now_ms: float) -> bool:
        """Return whether token gaps are recent enough to show the speed.

        Time to first token varies with cache hits and the engine's queue.
        Using it alone ejected healthy servers and recomputed prefixes two to
        three times as often.
        """
        if self.token_gap.count < MIN_SAMPLES:
            return False
        return now_ms - self.last_token_gap_ms <= MAX_TOKEN_GAP_AGE_MS

    def _in_flight_slowness(self, now_ms: float) -> float:
        ratios = []
        has_recent_gap = self._has_recent_token_gap(now_ms)
        for call in self.in_flight:
            if call.first_token_ms is None and has_recent_gap:
                continue
            ratios.append(self.lateness_ratio(call, now_ms))
        if not ratios:
            return 0.0
        ratios.sort()
        if self.has_tokens:
            # One late call may have an unusual prompt; two are evidence.
            second = ratios[-2] if len(ratios) > 1 else 0.0
            return min(max(second, ratios[-1] / 2), MAX_RATIO)
        # A straggler's long duration does not show a slow server.
        if len(ratios) == 1:
            return min(ratios[0] / 4, MAX_RATIO)
        return min(statistics.median_low(ratios), MAX_RATIO)

    def lateness_ratio(self, call: InFlightCall, now_ms: float) -> float:
        """Return a call's elapsed time relative to the expected time."""
        if call.first_token_ms is not None:
            if call.progress_count == 0 or self.token_gap.count < MIN_SAMPLES:
                return 0.0
            silence_ms = max(
                self.token_gap.typical_ms * SILENCE_TOKEN_GAPS, MIN_SILENCE_MS
            )
            return (now_ms - call.progress_ms) / silence_ms
        age_ms = now_ms - call.assigned_ms
        if self.first_token.count >= MIN_SAMPLES:
            factor = self.prompt_factor(call.profile.prompt_tokens)
            return age_ms / (self.first_token.typical_ms * factor)
        if self.whole_call.count >= MIN_SAMPLES and not self.has_tokens:
            return age_ms / self.whole_call.typical_ms
        return 0.0

    def service_ms(self, profile: calls.CallProfile) -> float:
        """Return the expected duration of a call; 0 if unknown."""
        if self.has_tokens:
            first_ms = self.first_token.typical_ms
            first_ms *= self.prompt_factor(profile.prompt_tokens)
            tokens = profile.expected_tokens or self.mean_generated_tokens
            return first_ms + tokens * self.token_gap.typical_ms
        return self.whole_call.typical_ms

    def load(self, now_ms: float, report_valid_ms: float) -> float:
        """Return the estimated calls at the server, including the peers'."""
        counted = float(len(self.in_flight) + self.peer_in_flight)
        if self.load_report is None:
            return counted
        age_ms = now_ms - self.load_report_ms + self.load_report.age_ms
        weight = max(0.0, 1 - age_ms / report_valid_ms)
        if weight <= 0:
            return counted
        reported = self.load_report.running + self.load_report.waiting
        return max(counted, counted + weight * (reported - counted))
