"""What a process has learnt of one backend server."""

from __future__ import annotations

import statistics
from typing import Protocol

from balsamloom_policy import calls

RECENT_WEIGHT = 0.3
USUAL_WEIGHT = 0.05
FLOOR_GROWTH = 1.002
# A slow phase must not become the usual level within a few samples.
USUAL_SAMPLE_MAX = 2.0
RATIO_MAX = 20.0
MIN_SAMPLES = 3
FAULTS_TO_EJECT = 3
SILENCE_GAPS = 8
SILENCE_MIN_MS = 100.0
DECAY_MS = 2000.0
GAP_FRESH_MS = 500.0
FIRST_TOKEN_DOUBT = 1.5
PROMPT_FACTOR_MAX = 10.0


class Flight(Protocol):
    """A call at a server, as far as its server's state needs it."""

    profile: calls.CallProfile
    assigned_ms: float
    first_token_ms: float | None
    progress_ms: float
    progress_count: int


class Level:
    """Usual, recent and lowest level of a latency in ms."""

    __slots__ = ("count", "floor", "recent", "usual")

    def __init__(self) -> None:
        self.count = 0
        self.usual = 0.0
        self.recent = 0.0
        self.floor = 0.0

    def add(self, sample_ms: float) -> float:
        """Take in a sample and return its ratio to the usual level."""
        sample_ms = max(sample_ms, 0.01)
        self.count += 1
        if self.count == 1:
            self.usual = self.recent = self.floor = sample_ms
            return 1.0
        ratio = sample_ms / self.usual
        bounded_ms = min(sample_ms, self.usual * RATIO_MAX)
        self.recent += RECENT_WEIGHT * (bounded_ms - self.recent)
        weight = max(USUAL_WEIGHT, 1 / self.count)
        capped_ms = min(sample_ms, self.usual * USUAL_SAMPLE_MAX)
        self.usual += weight * (capped_ms - self.usual)
        self.floor = min(self.floor * FLOOR_GROWTH, self.recent)
        return ratio

    def ratio(self) -> float:
        """Return the recent level against the usual one."""
        return self.recent / self.usual if self.count >= MIN_SAMPLES else 1.0


class ServerState:
    """Estimates, load and health of one server as this process sees it."""

    def __init__(self, server: calls.Server, limit: float) -> None:
        self.server = server
        self.in_flight: dict[Flight, None] = {}
        self.limit = limit
        self.slots = limit
        self.urgent_count = 0
        self.long_count = 0
        self.first_token = Level()
        self.gap = Level()
        self.call = Level()
        self.prompt_tokens = 0.0
        self.generated_tokens = 0.0
        self.sample_ms = 0.0
        self.gap_sample_ms = 0.0
        self.report: calls.LoadReport | None = None
        self.report_ms = 0.0
        self.peer_in_flight = 0
        self.peer_ejections = 0
        self.slowness = 1.0
        self.fault_count = 0
        self.is_ejected = False
        self.is_own_ejection = False
        self.ejected_ms = 0.0
        self.returned_ms = float("-inf")
        self.trial: Flight | None = None
        self.trial_ms = 0.0
        self.trial_sent_ms = 0.0
        self.trial_interval_ms = 0.0
        self.good_samples = 0

    @property
    def sample_count(self) -> int:
        """Return the number of calls observed."""
        return self.first_token.count + self.call.count

    @property
    def has_tokens(self) -> bool:
        """Return whether the server's calls show a first token."""
        return self.first_token.count > 0

    def prompt_factor(self, prompt_tokens: int) -> float:
        """Return how a prompt's length scales the time to first token."""
        if self.prompt_tokens <= 0 or prompt_tokens <= 0:
            return 1.0
        factor = 0.5 + 0.5 * prompt_tokens / self.prompt_tokens
        return min(factor, PROMPT_FACTOR_MAX)

    def add_first_token(self, flight: Flight, now_ms: float) -> float:
        """Take in a time to first token; return its ratio to the usual."""
        tokens = flight.profile.prompt_tokens
        factor = self.prompt_factor(tokens)
        if tokens > 0:
            if self.prompt_tokens <= 0:
                self.prompt_tokens = float(tokens)
            self.prompt_tokens += USUAL_WEIGHT * (tokens - self.prompt_tokens)
        sample_ms = (now_ms - flight.assigned_ms) / factor
        return self._add(self.first_token, flight, sample_ms, now_ms)

    def add_gap(self, flight: Flight, gap_ms: float, now_ms: float) -> float:
        """Take in a time per token; return its ratio to the usual."""
        self.gap_sample_ms = now_ms
        return self._add(self.gap, flight, gap_ms, now_ms)

    def add_call(
        self, flight: Flight, duration_ms: float, now_ms: float
    ) -> float:
        """Take in a whole-call latency; return its ratio to the usual."""
        return self._add(self.call, flight, duration_ms, now_ms)

    def note_generated(self, tokens: int) -> None:
        """Take in how many tokens a call generated.

        One straggler must not make all calls seem long.
        """
        if self.generated_tokens <= 0:
            self.generated_tokens = float(tokens)
        capped = min(tokens, self.generated_tokens * USUAL_SAMPLE_MAX)
        self.generated_tokens += USUAL_WEIGHT * (
            capped - self.generated_tokens
        )

    def _add(
        self, level: Level, flight: Flight, sample_ms: float, now_ms: float
    ) -> float:
        # Only trial calls may move the usual level of an ejected server, so
        # that a short slow phase leaves it and a lasting one becomes usual.
        is_learnt = not self.is_ejected or self.trial is flight
        if not is_learnt and level.count > 0:
            return sample_ms / level.usual
        self.sample_ms = now_ms
        return level.add(sample_ms)

    def reset_recent(self) -> None:
        """Forget the recent slowness, after a recovery."""
        for level in (self.first_token, self.gap, self.call):
            level.recent = level.usual
        self.slowness = 1.0
        self.fault_count = 0

    def update_slowness(self, now_ms: float) -> None:
        """Estimate slowness from ended calls and from calls in flight.

        Without new samples the estimate falls back to 1, so that a server
        that routing avoids is looked at again.
        """
        if self.has_tokens:
            ended = self.gap.ratio()
            if not self._has_fresh_gap(now_ms):
                ended = max(
                    ended, self.first_token.ratio() / FIRST_TOKEN_DOUBT
                )
        else:
            ended = self.call.ratio()
        age_ms = now_ms - self.sample_ms
        ended = 1 + (ended - 1) * 0.5 ** (age_ms / DECAY_MS)
        self.slowness = max(ended, self._in_flight_slowness(now_ms), 0.1)
        if self.fault_count >= FAULTS_TO_EJECT:
            self.slowness = RATIO_MAX

    def _has_fresh_gap(self, now_ms: float) -> bool:
        """Return whether streams show the present speed by themselves.

        Time to first token varies with cache hits and the engine's queue.
        Judged by it alone, healthy servers were ejected and prefixes
        computed again twice to three times as often.
        """
        if self.gap.count < MIN_SAMPLES:
            return False
        return now_ms - self.gap_sample_ms <= GAP_FRESH_MS

    def _in_flight_slowness(self, now_ms: float) -> float:
        ratios = []
        is_doubtful = self._has_fresh_gap(now_ms)
        for flight in self.in_flight:
            if flight.first_token_ms is None and is_doubtful:
                continue
            ratios.append(self.flight_ratio(flight, now_ms))
        if not ratios:
            return 0.0
        ratios.sort()
        if self.has_tokens:
            # A single call may have met an odd prompt; two are evidence.
            second = ratios[-2] if len(ratios) > 1 else 0.0
            return min(max(second, ratios[-1] / 2), RATIO_MAX)
        # Whole-call latency of stragglers says nothing of the server.
        if len(ratios) == 1:
            return min(ratios[0] / 4, RATIO_MAX)
        return min(statistics.median_low(ratios), RATIO_MAX)

    def flight_ratio(self, flight: Flight, now_ms: float) -> float:
        """Return how late a call in flight is; 1 is the usual time."""
        if flight.first_token_ms is not None:
            if flight.progress_count == 0 or self.gap.count < MIN_SAMPLES:
                return 0.0
            usual_ms = max(self.gap.usual * SILENCE_GAPS, SILENCE_MIN_MS)
            return (now_ms - flight.progress_ms) / usual_ms
        age_ms = now_ms - flight.assigned_ms
        if self.first_token.count >= MIN_SAMPLES:
            factor = self.prompt_factor(flight.profile.prompt_tokens)
            return age_ms / (self.first_token.usual * factor)
        if self.call.count >= MIN_SAMPLES and not self.has_tokens:
            return age_ms / self.call.usual
        return 0.0

    def service_ms(self, profile: calls.CallProfile) -> float:
        """Return the usual duration of a call here; 0 if unknown."""
        if self.has_tokens:
            first_ms = self.first_token.usual
            first_ms *= self.prompt_factor(profile.prompt_tokens)
            tokens = profile.expected_tokens or self.generated_tokens
            return first_ms + tokens * self.gap.usual
        return self.call.usual

    def load(self, now_ms: float, report_valid_ms: float) -> float:
        """Return the calls believed to be at the server, from all sources."""
        known = float(len(self.in_flight) + self.peer_in_flight)
        if self.report is None:
            return known
        age_ms = now_ms - self.report_ms + self.report.age_ms
        weight = max(0.0, 1 - age_ms / report_valid_ms)
        if weight <= 0:
            return known
        stated = self.report.running + self.report.waiting
        return max(known, known + weight * (stated - known))
