"""Figures of simulated days."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import TypedDict

from balsamloom_model import day

LATE_FACTOR = 2.0


class Figures(TypedDict):
    """What callers get in one day, and what the engines do for it."""

    programs: int
    worth: float
    on_time: float
    late: float
    failed: float
    mean_ms: float
    mean_stretch: float
    p50_ms: float
    p99_ms: float
    first_p50_ms: float
    first_p99_ms: float
    turns: int
    read_tokens_per_turn: float
    repeated_share: float
    busy_share: float


def of_day(result: day.DayResult, duration_ms: float) -> Figures:
    """Work out the figures of one day."""
    owed, earned = 0.0, 0.0
    on_time, late, failed = 0, 0, 0
    times_ms = []
    stretches = []
    for state in result.states:
        program = state.program
        owed += program.kind.worth
        if state.ended_ms is None or state.is_failed:
            failed += 1
            continue
        taken_ms = state.ended_ms - program.start_ms
        times_ms.append(taken_ms)
        stretches.append(taken_ms / program.idle_ms)
        if taken_ms <= program.objective_ms:
            on_time += 1
            earned += program.kind.worth
        elif taken_ms <= LATE_FACTOR * program.objective_ms:
            late += 1
            earned += program.kind.worth_late
    count = max(len(result.states), 1)
    firsts = [turn.first_ms for turn in result.turns]
    read = sum(engine.read_tokens for engine in result.engines)
    repeated = sum(engine.repeated_tokens for engine in result.engines)
    busy_ms = sum(engine.busy_ms for engine in result.engines)
    return Figures(
        programs=len(result.states),
        worth=round(earned / max(owed, 1.0), 4),
        on_time=round(on_time / count, 4),
        late=round(late / count, 4),
        failed=round(failed / count, 4),
        mean_ms=round(statistics.fmean(times_ms or [0.0]), 1),
        mean_stretch=round(statistics.fmean(stretches or [0.0]), 3),
        p50_ms=percentile(times_ms, 0.5),
        p99_ms=percentile(times_ms, 0.99),
        first_p50_ms=percentile(firsts, 0.5),
        first_p99_ms=percentile(firsts, 0.99),
        turns=len(result.turns),
        read_tokens_per_turn=round(read / max(len(result.turns), 1), 1),
        repeated_share=round(repeated / max(read, 1), 4),
        busy_share=round(busy_ms / duration_ms / len(result.engines), 4),
    )


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    place = min(int(len(ordered) * share), len(ordered) - 1)
    return round(ordered[place], 1)
