"""Result figures of simulated days."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import TypedDict

from balsamloom_model import day

# A program is late, and worth less, up to this multiple of its objective.
LATE_FACTOR = 2.0


class Figures(TypedDict):
    """Latency and worth of programs in one day, and load of the engines.

    ``worth`` is relative to all programs being on time. ``mean_stretch`` is
    the duration of programs relative to their duration on idle servers.
    """

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


def compute(result: day.DayResult, duration_ms: float) -> Figures:
    """Compute the figures of one day of ``duration_ms``."""
    total_worth, earned_worth = 0.0, 0.0
    on_time, late, failed = 0, 0, 0
    durations_ms = []
    stretches = []
    for state in result.states:
        program = state.program
        total_worth += program.kind.worth
        if state.ended_ms is None or state.is_failed:
            failed += 1
            continue
        program_ms = state.ended_ms - program.start_ms
        durations_ms.append(program_ms)
        stretches.append(program_ms / program.unloaded_ms)
        if program_ms <= program.objective_ms:
            on_time += 1
            earned_worth += program.kind.worth
        elif program_ms <= LATE_FACTOR * program.objective_ms:
            late += 1
            earned_worth += program.kind.worth_late
    program_count = max(len(result.states), 1)
    first_token_times_ms = [turn.first_ms for turn in result.turns]
    prefilled = sum(engine.prefilled_tokens for engine in result.engines)
    recomputed = sum(engine.recomputed_tokens for engine in result.engines)
    busy_ms = sum(engine.busy_ms for engine in result.engines)
    return Figures(
        programs=len(result.states),
        worth=round(earned_worth / max(total_worth, 1.0), 4),
        on_time=round(on_time / program_count, 4),
        late=round(late / program_count, 4),
        failed=round(failed / program_count, 4),
        mean_ms=round(statistics.fmean(durations_ms or [0.0]), 1),
        mean_stretch=round(statistics.fmean(stretches or [0.0]), 3),
        p50_ms=percentile(durations_ms, 0.5),
        p99_ms=percentile(durations_ms, 0.99),
        first_p50_ms=percentile(first_token_times_ms, 0.5),
        first_p99_ms=percentile(first_token_times_ms, 0.99),
        turns=len(result.turns),
        read_tokens_per_turn=round(prefilled / max(len(result.turns), 1), 1),
        repeated_share=round(recomputed / max(prefilled, 1), 4),
        busy_share=round(busy_ms / duration_ms / len(result.engines), 4),
    )


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` (0 to 1) of the values lie."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(int(len(ordered) * share), len(ordered) - 1)
    return round(ordered[index], 1)
