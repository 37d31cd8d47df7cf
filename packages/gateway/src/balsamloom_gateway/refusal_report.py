"""Text about wrong refusals, for whoever is on call."""

from __future__ import annotations

import collections
import datetime as dt
from collections.abc import Iterator, Sequence

from balsamloom_gateway import explain, refusal_audit

# Lower times count from the beginning of a collection of logs.
MIN_WALL_TIME_S = 1e9


def describe(found: refusal_audit.RefusalAudit) -> Iterator[str]:
    """Return lines of text about the refusals, wrong ones in full."""
    yield summarize(found)
    refusals = collections.defaultdict(list)
    for refusal in found.wrong_budget_refusals:
        refusals[refusal.program_id].append(refusal)
    for history in found.histories:
        yield from _describe_program(history, refusals[history.program_id])


def summarize(found: refusal_audit.RefusalAudit) -> str:
    """Return the counts of answers 402, of wrong ones and their programs."""
    return (
        f"{len(found.budget_refusals)} answers 402,"
        f" {len(found.wrong_budget_refusals)} wrong,"
        f" of {len(found.histories)} programs"
    )


def _describe_program(
    history: refusal_audit.ProgramHistory,
    refusals: Sequence[refusal_audit.BudgetRefusal],
) -> Iterator[str]:
    yield f"program {history.program_id}: {len(refusals)} answers 402 wrong"
    for refusal in refusals:
        yield f"  {_describe_refusal(refusal)}"
    timeline = [
        *((turn.begun_s, _describe_turn(turn)) for turn in history.turns),
        *((line.time_s, _describe_line(line)) for line in history.decisions),
    ]
    for time_s, text in sorted(timeline):
        yield f"    {format_time(time_s)} {text}"


def _describe_refusal(refusal: refusal_audit.BudgetRefusal) -> str:
    spent = refusal.spent
    return (
        f"{format_time(refusal.time_s)} {refusal.source} request"
        f" {refusal.request_id}: budget {refusal.budget_tokens}, used"
        f" {spent.used_tokens}, at most {spent.max_open_tokens} more in"
        f" doubt, turn {refusal.turn_tokens}; {refusal.holder} said:"
        f" {refusal.outcome}"
    )


def _describe_turn(turn: refusal_audit.Turn) -> str:
    tokens = str(turn.used_tokens)
    if not turn.is_sent:
        tokens = "0"
    elif turn.used_tokens is None:
        tokens = f"up to {turn.max_tokens}"
    end = "" if turn.ended_s is None else f" at {format_time(turn.ended_s)}"
    return (
        f"{turn.source} turn {turn.request_id}: {tokens} tokens, ended"
        f"{end}: {turn.ending}"
    )


def _describe_line(line: explain.LogLine) -> str:
    fields = line.fields
    if line.name == "budget_record_changed":
        return (
            f"{line.source} budget_record_changed:"
            f" {fields['recorded_tokens']} recorded,"
            f" {fields['own_tokens']} of them own, revision"
            f" {fields['revision']}"
        )
    return (
        f"{line.source} budget_decided for {fields['request_id']}:"
        f" {fields['turn_tokens']} of {fields['budget_tokens']} at"
        f" {fields['holder']}: {fields['outcome']}"
    )


def format_time(time_s: float) -> str:
    """Return a time of a log line as text."""
    if time_s < MIN_WALL_TIME_S:
        return f"{time_s:.3f}"
    wall_time = dt.datetime.fromtimestamp(time_s)
    return wall_time.isoformat(sep=" ", timespec="milliseconds")
