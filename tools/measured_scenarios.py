"""Scenarios of ``make measure``: load, faults and figures."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_standins import load

CUSTOMER = "restwell"
# Overrides in the `routing` section for each variant.
POLICY: dict[str, str] = {}
BASELINE = {
    "routing": "random",
    "ordering": "fifo",
    "admission": "none",
    "limits": "none",
    "health": "none",
    "prefixes": "none",
}
# Token time of each engine as a multiple of the fastest engine's.
TOKEN_TIME_FACTORS = (1.0, 1.0, 1.25, 1.25, 1.75, 1.75, 2.5, 2.5, 4.0, 4.0)
NOISE_INTERVAL_MS = 2_500
NOISE_DURATION_MS = 400
NOISE_FACTOR = 3.0
SLOWED_COUNT = 2
SLOWED_FACTORS = (5.0, 10.0)


class Slowdown(NamedTuple):
    """A slowdown of one engine; times count from the start of the run."""

    start_ms: float
    end_ms: float
    engine: int
    factor: float


class Window(NamedTuple):
    """A range of times after the start of a run, without its end."""

    start_ms: float
    end_ms: float


Results = Sequence[load.ProgramResult]


class Figure(NamedTuple):
    """A quantity that is compared between policy and baseline.

    :param compute: called with the results of a run and the number of prompt
        tokens that it recomputed.
    :param target: bound on the ratio of policy to baseline.
    :param is_max: whether the target is the maximum of the ratio.
    """

    name: str
    description: str
    unit: str
    compute: Callable[[Results, int], float]
    target: float
    is_max: bool

    def is_met(self, ratio: float) -> bool:
        """Return whether a ratio meets the target."""
        return ratio <= self.target if self.is_max else ratio >= self.target


class Scenario(NamedTuple):
    """Load, engines and faults of one scenario.

    :param window: arrival times of the programs that are evaluated.
    :param token_ms: time per token of the fastest engines.
    :param prefill_ms: time for 1,000 prompt tokens.
    :param slowed: time in which a few engines are slowed, or None.
    :param kill_ms: time at which an entry process is killed in the policy
        variant; the baseline then has the policy too, without the kill.
    :param warm_up_ms: duration of the warm-up load before the first run.
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
        """Return the slowdowns of a run, the same for both variants."""
        source = random.Random(seed)
        count = len(TOKEN_TIME_FACTORS)
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

    A failed program counts as the slowest of the run. Its own latency would
    depend on the length of its deadline.

    :param results: programs of one run.
    """
    slowest_ms = max((result.latency_ms for result in results), default=0.0)
    return [
        result.latency_ms if result.outcome == "completed" else slowest_ms
        for result in results
    ]


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile as the nearest value above it.

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


def _kind_with(
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
    """Return the program kinds of the visit desk.

    Clinic batches are shorter than the default, so that a run of a few seconds
    reaches a steady state.

    :param household_ms: deadline of household bookings and dispatches.
    :param weight: weight of the urgent doorstep checks.
    """
    return (
        _kind_with("household_booking", 4, (2, 4), (6, 18), household_ms),
        _kind_with("clinic_batch", 1, (4, 6), (8, 24), clinic_ms),
        _kind_with("doorstep_check", weight, (1, 1), (4, 8), doorstep_ms),
        _kind_with("dispatch", 1, (1, 2), (8, 16), household_ms),
    )


_LONG_DEADLINE_MS = 40_000
_STEADY_MIX = _mix(_LONG_DEADLINE_MS, _LONG_DEADLINE_MS, _LONG_DEADLINE_MS, 2)

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
        kinds=_mix(_LONG_DEADLINE_MS, _LONG_DEADLINE_MS, _LONG_DEADLINE_MS, 8),
        rate_steps=(load.RateStep(22, 11_000),),
        window=Window(2_000, 11_000),
        token_ms=40,
        load_delay_ms=5_000,
        slowed=Window(2_000, 13_000),
        # Ejection needs five calls from a process to a server. In 3 s most of
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
        kinds=(_kind_with("dispatch", 1, (1, 1), (2, 3), _LONG_DEADLINE_MS),),
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
        kinds=_STEADY_MIX,
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
        kinds=_STEADY_MIX,
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
