"""Scenarios of ``make measure``: load, faults and figures."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_standins import load

CUSTOMER = "restwell"
# Settings of the `routing` section that differ between the two variants.
POLICY: dict[str, str] = {}
BASELINE = {
    "routing": "random",
    "ordering": "fifo",
    "admission": "none",
    "limits": "none",
    "health": "none",
    "prefixes": "none",
}
# Two engines of each speed; the slowest takes four times the fastest.
RELATIVE_SPEEDS = (1.0, 1.0, 1.25, 1.25, 1.75, 1.75, 2.5, 2.5, 4.0, 4.0)
NOISE_INTERVAL_MS = 2_500
NOISE_DURATION_MS = 400
NOISE_FACTOR = 3.0
SLOWED_COUNT = 2
SLOWED_FACTORS = (5.0, 10.0)


class Slowdown(NamedTuple):
    """An engine's slowdown from a time to another after the run's start."""

    start_ms: float
    end_ms: float
    engine: int
    factor: float


class Window(NamedTuple):
    """Arrival times of the programs that count."""

    start_ms: float
    end_ms: float


Results = Sequence[load.ProgramResult]


class Figure(NamedTuple):
    """One compared quantity.

    :param value: takes the results of one run and its recomputed tokens.
    :param target: bound of the ratio.
    :param is_upper: whether the ratio has to stay at or below the bound.
    """

    name: str
    text: str
    unit: str
    value: Callable[[Results, int], float]
    target: float
    is_upper: bool

    def is_met(self, ratio: float) -> bool:
        """Return whether a ratio keeps the bound."""
        return ratio <= self.target if self.is_upper else ratio >= self.target


class Scenario(NamedTuple):
    """Load, engines and faults of one scenario.

    :param token_ms: time for a token of the fastest engines.
    :param prefill_ms: time for 1,000 prompt tokens.
    :param kill_ms: time at which an entry process is killed in the first
        variant; both variants then have the policy.
    :param warm_up_ms: duration of the arrivals before the first run.
    """

    name: str
    figures: tuple[Figure, ...]
    entry_count: int
    kinds: tuple[load.ProgramKind, ...]
    rate_steps: tuple[load.RateStep, ...]
    window: Window
    token_ms: float
    slots: int = 8
    prefill_ms: float = 100.0
    cache_tokens: int = 20_000
    straggler_share: float = 0.0
    load_delay_ms: float = 500.0
    slowed: Window | None = None
    kill_ms: float | None = None
    warm_up_ms: float = 3_000

    def plans(self, seed: int) -> list[load.Plan]:
        """Return the programs of a run."""
        return load.make_plans(
            seed,
            list(self.rate_steps),
            self.straggler_share,
            kinds=self.kinds,
        )

    def slowdowns(self, seed: int) -> list[Slowdown]:
        """Return the slowdowns of a run; equal for both variants."""
        source = random.Random(seed)
        count = len(RELATIVE_SPEEDS)
        found = []
        chosen: list[int] = []
        if self.slowed is not None:
            chosen = source.sample(range(count), SLOWED_COUNT)
            found = [
                Slowdown(*self.slowed, engine, source.uniform(*SLOWED_FACTORS))
                for engine in chosen
            ]
        others = [engine for engine in range(count) if engine not in chosen]
        duration_ms = sum(step.duration_ms for step in self.rate_steps)
        start_ms = NOISE_INTERVAL_MS / 2
        while start_ms < duration_ms:
            engine = source.choice(others)
            end_ms = start_ms + NOISE_DURATION_MS
            found.append(Slowdown(start_ms, end_ms, engine, NOISE_FACTOR))
            start_ms += NOISE_INTERVAL_MS
        return found


def latencies_ms(results: Results) -> list[float]:
    """Return the programs' latencies, in the order of the results.

    A program that failed counts as the slowest of the run: its deadline
    would count for more the longer it is, whichever variant failed.

    :param results: programs of one run.
    """
    slowest_ms = max((result.latency_ms for result in results), default=0.0)
    return [
        result.latency_ms if result.outcome == "completed" else slowest_ms
        for result in results
    ]


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile, the nearest value above.

    :param values: at least one value.
    :param share: share of the values at or below it.
    """
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _latencies_of(
    results: Results, matches: Callable[[load.Plan], bool]
) -> list[float]:
    found = zip(results, latencies_ms(results), strict=True)
    return [value for result, value in found if matches(result.plan)]


def _urgent_p99(results: Results, _: int) -> float:
    return quantile(_latencies_of(results, lambda p: p.is_urgent), 0.99)


def _short_p95(results: Results, _: int) -> float:
    return quantile(_latencies_of(results, lambda p: not p.is_straggler), 0.95)


def _straggler_p99(results: Results, _: int) -> float:
    return quantile(_latencies_of(results, lambda p: p.is_straggler), 0.99)


def _in_time(results: Results, _: int) -> float:
    return sum(result.is_in_time for result in results)


def _share_in_time(results: Results, _: int) -> float:
    return sum(result.is_in_time for result in results) / len(results)


def _recomputed(_: Results, recomputed: int) -> float:
    return recomputed


def _mean(results: Results, _: int) -> float:
    return sum(latencies_ms(results)) / len(results)


def _kind(
    name: str,
    weight: float,
    turns: tuple[int, int],
    tokens: tuple[int, int],
    deadline_ms: float,
) -> load.ProgramKind:
    known = next(kind for kind in load.PROGRAM_KINDS if kind.name == name)
    return known._replace(
        weight=weight, turns=turns, tokens=tokens, deadline_ms=deadline_ms
    )


def _mix(
    household_ms: float, clinic_ms: float, doorstep_ms: float, weight: float
) -> tuple[load.ProgramKind, ...]:
    """Return the visit desk's kinds.

    Clinic batches are shorter than usual, so that a run of seconds reaches a
    steady state.

    :param household_ms: deadline of household bookings and dispatches.
    :param weight: weight of the urgent doorstep checks.
    """
    return (
        _kind("household_booking", 4, (2, 4), (6, 18), household_ms),
        _kind("clinic_batch", 1, (4, 6), (8, 24), clinic_ms),
        _kind("doorstep_check", weight, (1, 1), (4, 8), doorstep_ms),
        _kind("dispatch", 1, (1, 2), (8, 16), household_ms),
    )


_LATE_MS = 40_000
_STEADY = _mix(_LATE_MS, _LATE_MS, _LATE_MS, 2)

SCENARIOS = (
    Scenario(
        "slowdown",
        (
            Figure(
                "slowdown",
                "p99 latency of urgent programs, 2 of 10 engines slowed",
                "ms",
                _urgent_p99,
                0.5,
                True,
            ),
        ),
        entry_count=8,
        kinds=_mix(_LATE_MS, _LATE_MS, _LATE_MS, 8),
        rate_steps=(load.RateStep(22, 11_000),),
        window=Window(2_000, 11_000),
        token_ms=40,
        load_delay_ms=5_000,
        slowed=Window(2_000, 13_000),
        # Ejection needs five calls of a process at a server; in 3 s most of
        # the 80 pairs of process and server had fewer than three.
        warm_up_ms=10_000,
    ),
    Scenario(
        "head_of_line",
        (
            Figure(
                "head_of_line",
                "p95 latency of short programs among stragglers",
                "ms",
                _short_p95,
                0.3,
                True,
            ),
            Figure(
                "head_of_line_stragglers",
                "p99 latency of the stragglers in head_of_line",
                "ms",
                _straggler_p99,
                1.3,
                True,
            ),
        ),
        entry_count=4,
        kinds=(_kind("dispatch", 1, (1, 1), (2, 3), _LATE_MS),),
        rate_steps=(load.RateStep(30, 10_000),),
        window=Window(0, 10_000),
        token_ms=30,
        slots=4,
        straggler_share=0.2,
    ),
    Scenario(
        "load_spike",
        (
            Figure(
                "load_spike",
                "programs completed in time, of those that arrive while "
                "demand triples for 10 s",
                "programs",
                _in_time,
                1.5,
                False,
            ),
        ),
        entry_count=4,
        kinds=_mix(6_000, 8_000, 3_000, 2),
        rate_steps=(
            load.RateStep(9.5, 2_000),
            load.RateStep(28.5, 10_000),
            load.RateStep(9.5, 500),
        ),
        window=Window(2_000, 12_000),
        token_ms=50,
        slots=4,
    ),
    Scenario(
        "prefix_recompute",
        (
            Figure(
                "prefix_recompute",
                "prompt tokens computed again that a cache held before",
                "tokens",
                _recomputed,
                0.3,
                True,
            ),
        ),
        entry_count=4,
        kinds=_STEADY,
        rate_steps=(load.RateStep(18, 8_000),),
        window=Window(0, 8_000),
        token_ms=40,
        prefill_ms=400,
    ),
    Scenario(
        "mean_program_latency",
        (
            Figure(
                "mean_program_latency",
                "mean program latency at 70% load",
                "ms",
                _mean,
                0.8,
                True,
            ),
        ),
        entry_count=8,
        kinds=_STEADY,
        rate_steps=(load.RateStep(21, 10_000),),
        window=Window(1_000, 10_000),
        token_ms=40,
    ),
    Scenario(
        "node_loss",
        (
            Figure(
                "node_loss",
                "share of programs that finish in time with an entry process "
                "killed at the peak of a spike (baseline: without the kill)",
                "share",
                _share_in_time,
                0.95,
                False,
            ),
        ),
        entry_count=8,
        kinds=_mix(20_000, 60_000, 5_000, 2),
        rate_steps=(
            load.RateStep(7, 2_000),
            load.RateStep(21, 5_000),
            load.RateStep(7, 1_000),
        ),
        window=Window(0, 8_000),
        token_ms=40,
        kill_ms=4_500,
    ),
)
NAMES = tuple(
    figure.name for scenario in SCENARIOS for figure in scenario.figures
)
