"""Text about wrong refusals, for whoever is on call."""

from __future__ import annotations

import collections
import datetime as dt
from collections.abc import Mapping, Sequence

from balsamloom_gateway import (
    budget_refusals,
    explain,
    refusal_audit,
    refusal_parts,
)

# Lower times count from the beginning of a collection of logs.
MIN_WALL_TIME_S = 1e9


def describe(found: refusal_audit.RefusalAudit) -> list[str]:
    """Return a text for each finding, with its program's way for a 402."""
    refusals = collections.defaultdict(list)
    for refusal in found.budget.wrong_refusals:
        refusals[refusal.program_id].append(refusal)
    return [
        *(
            _describe_program(
                history, refusals[history.program_id], found.budget_parts
            )
            for history in found.budget.histories
        ),
        *map(_describe_denied_turn, found.denied_turns),
        *map(_describe_contradicted_refusal, found.contradicted_refusals),
    ]


def summarize(found: refusal_audit.RefusalAudit) -> str:
    """Return the counts of answers 402, of wrong ones and their programs."""
    text = (
        f"{len(found.budget.refusals)} answers 402,"
        f" {len(found.budget.wrong_refusals)} wrong,"
        f" of {len(found.budget.histories)} programs"
    )
    if found.budget.unjudged_count:
        text += f", and {found.budget.unjudged_count} not judged"
    return text


def _describe_program(
    history: budget_refusals.ProgramHistory,
    refusals: Sequence[budget_refusals.BudgetRefusal],
    parts: Mapping[str, refusal_parts.RefusalParts],
) -> str:
    timeline = [
        *((turn.begun_s, _describe_turn(turn)) for turn in history.turns),
        *(
            (line.time_s, _describe_line(line))
            for line in history.decisions
            if line.name != "budget_refused"
        ),
    ]
    lines = [
        f"program {history.program_id}: {len(refusals)} answers 402 wrong"
    ]
    for refusal in refusals:
        lines.append(f"  {_describe_refusal(refusal)}")
        if refusal.request_id in parts:
            text = _describe_parts(parts[refusal.request_id], refusal.spent)
            lines.append(f"    {text}")
    lines += [
        *(
            f"    {format_time(time_s)} {text}"
            for time_s, text in sorted(timeline)
        ),
    ]
    return "\n".join(lines)


def _describe_refusal(refusal: budget_refusals.BudgetRefusal) -> str:
    spent = refusal.spent
    return (
        f"{format_time(refusal.time_s)} {refusal.source} request"
        f" {refusal.request_id}: budget {refusal.budget_tokens}, used"
        f" {spent.used_tokens}, at most {spent.max_open_tokens} more in"
        f" doubt, turn {refusal.turn_tokens}; {refusal.holder} said:"
        f" {refusal.outcome}"
    )


def _describe_parts(
    parts: refusal_parts.RefusalParts, spent: budget_refusals.TokenCount
) -> str:
    """Describe what a refusal rests on.

    Holders know more used tokens than the logs if these do not begin early
    enough, or if the holders count some twice.
    """
    used = f"{parts.used_tokens} used"
    if parts.used_tokens > sum(spent):
        used += " (more than in these logs)"
    texts = [
        f"counted: {used}, {parts.running_tokens} running,"
        f" {parts.lost_tokens} assumed lost",
        *map(_describe_open_share, parts.open_shares),
    ]
    return "; ".join(texts)


def _describe_open_share(share: refusal_parts.OpenShare) -> str:
    state = "gone" if share.is_gone else "not gone"
    return (
        f"{share.holder_id} ({state}): {share.unrecorded_tokens} used but not"
        f" recorded, {share.cut_off_tokens} in doubt,"
        f" {share.unused_tokens} unused"
    )


def _describe_turn(turn: budget_refusals.Turn) -> str:
    tokens = str(turn.used_tokens)
    if not turn.is_sent:
        tokens = "0"
    elif turn.used_tokens is None:
        tokens = f"up to {turn.max_tokens}"
    end = turn.ending
    if turn.ended_s is not None:
        end = f"ended at {format_time(turn.ended_s)}: {end}"
    return f"{turn.source} turn {turn.request_id}: {tokens} tokens, {end}"


def _describe_line(line: explain.LogLine) -> str:
    fields = line.fields
    if line.name != "budget_decided":
        return _describe_record(line)
    return (
        f"{line.source} budget_decided for {fields['request_id']}:"
        f" {fields['turn_tokens']} of {fields['budget_tokens']} at"
        f" {fields['holder']}: {fields['outcome']}"
    )


def _describe_record(line: explain.LogLine) -> str:
    """Describe a record; processes of older versions log less of it."""
    fields = line.fields
    texts = [
        f"{line.source} {line.name}: {fields['recorded_tokens']} recorded"
    ]
    if "own_tokens" in fields:
        texts.append(f"{fields['own_tokens']} of them own")
    if "recorded_lost_tokens" in fields:
        texts.append(f"{fields['recorded_lost_tokens']} assumed lost")
    return ", ".join([*texts, f"revision {fields['revision']}"])


def _describe_denied_turn(denied: refusal_audit.DeniedTurn) -> str:
    return (
        f"{format_time(denied.time_s)} {denied.source} request"
        f" {denied.request_id}: 404 for the previous turn"
        f" {denied.previous_turn_id}, stored at"
        f" {format_time(denied.kept_s)} by {', '.join(denied.hosts)}"
    )


def _describe_contradicted_refusal(
    refusal: refusal_audit.ContradictedRefusal,
) -> str:
    return (
        f"{format_time(refusal.time_s)} {refusal.source} request"
        f" {refusal.request_id}: {refusal.status} says not run, but it"
        f" may have run at {', '.join(refusal.server_ids)}"
    )


def format_time(time_s: float) -> str:
    """Return a time of a log line as text."""
    if time_s < MIN_WALL_TIME_S:
        return f"{time_s:.3f}"
    wall_time = dt.datetime.fromtimestamp(time_s)
    return wall_time.isoformat(sep=" ", timespec="milliseconds")
