"""Checks that compare the results of callers with records of stand-ins.

A check returns a description of each violation; an empty list means that the
requirement was met.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from balsamloom_standins import _cache, callers, evidence


def runs_by_key(runs: Iterable[dict[str, Any]]) -> collections.Counter[str]:
    """Return the number of runs of each idempotency key.

    :param runs: records of tool services.
    """
    return collections.Counter(run["key"] for run in runs)


def check_order(
    runs: Iterable[dict[str, Any]], timeout_s: float = float("inf")
) -> list[str]:
    """Check that the tool calls of a program did not overlap (R1).

    :param runs: records of tool services.
    :param timeout_s: timeout of the operations; a call that hangs for longer
        is abandoned, and the next one may begin.
    """
    findings = []
    last_runs: dict[str, dict[str, Any]] = {}
    for run in sorted(runs, key=lambda run: float(run["start_s"])):
        previous = last_runs.get(run["program_id"])
        if (
            previous
            and not (previous["end_s"] and previous["end_s"] <= run["start_s"])
            and run["start_s"] - previous["start_s"] < timeout_s
        ):
            gap_s = run["start_s"] - previous["start_s"]
            findings.append(
                f"R1: {run['key']} began within {previous['key']},"
                f" {gap_s:.3f} s after its start"
            )
        last_runs[run["program_id"]] = run
    return findings


def check_runs(
    runs: Iterable[dict[str, Any]], calls: Iterable[callers.Call]
) -> list[str]:
    """Check the runs of tool calls against their results (R5, R6, R7).

    A call runs at most once. A completed call has run, and a call that was
    reported as not run has not.

    :param runs: records of non-idempotent calls at tool services.
    :param calls: these calls as their callers saw them.
    """
    counts = runs_by_key(runs)
    findings = [
        f"R7: {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]
    for call in calls:
        if call.is_completed and not call.text and not counts[call.key]:
            findings.append(f"R5: {call.key} has an answer but never ran")
        if call.not_run and counts[call.key]:
            findings.append(
                f"R6: {call.key} ran, but its caller got code {call.code}"
                " with not_run set"
            )
    return findings


def check_answers(calls: Iterable[callers.Call]) -> list[str]:
    """Check that completed model calls returned the whole answer (R5).

    :param calls: calls as their callers saw them.
    """
    return [
        f"R5: {call.key} should have {call.max_tokens} tokens: {call.answer!r}"
        for call in calls
        if call.is_completed
        and call.text
        and call.answer != _answer_text(call.max_tokens)
    ]


def check_history(
    messages: Sequence[dict[str, Any]],
    calls: Iterable[callers.Call],
    code_of: Callable[[callers.Call], int],
) -> list[str]:
    """Check a program's history against the calls of its caller (R2).

    The messages of each completed call are adjacent and occur once. A call
    that was answered before another one was sent precedes it; calls that
    overlapped may be in either order.

    :param messages: history of the program.
    :param calls: calls of the program as its caller saw them.
    :param code_of: returns the code of the recorded result of a call that
        the caller did not see completed.
    """
    history = [_identity(message) for message in messages]
    position = 0
    pending = _recorded_calls(calls, code_of)
    while pending:
        following = _next_call(pending, history[position:])
        if following is None:
            expected = [_messages_of(call) for call in pending]
            return [f"R2: history {history} should continue with {expected}"]
        position += len(_messages_of(following))
        pending.remove(following)
    if position < len(history):
        return [f"R2: history {history} has unexpected messages at its end"]
    return []


def _recorded_calls(
    calls: Iterable[callers.Call],
    code_of: Callable[[callers.Call], int],
) -> list[callers.Call]:
    """Return one entry, with start and end, for each recorded call.

    A call that was retried with its key starts at its first attempt. It ends
    when a caller first gets the answer, because the record exists by then; a
    recorded call that no caller saw completed has no end.
    """
    by_key: dict[str, list[callers.Call]] = {}
    for call in sorted(calls, key=lambda call: call.start_s):
        by_key.setdefault(call.key, []).append(call)
    recorded = []
    for attempts in by_key.values():
        first = attempts[0]
        ends_s = [call.end_s for call in attempts if call.is_completed]
        if ends_s:
            recorded.append(first._replace(end_s=min(ends_s)))
        elif code_of(first) == callers.COMPLETED:
            recorded.append(first._replace(end_s=math.inf))
    return recorded


def _next_call(
    pending: Sequence[callers.Call], messages: Sequence[tuple[str, ...]]
) -> callers.Call | None:
    """Return the call whose messages come next, unless out of order."""
    first_end_s = min(call.end_s for call in pending)
    for call in pending:
        expected = _messages_of(call)
        is_next = list(messages[: len(expected)]) == expected
        if is_next and call.start_s <= first_end_s:
            return call
    return None


def check_prompts(
    requests: Iterable[dict[str, Any]],
    messages: Sequence[dict[str, Any]],
    calls: Iterable[callers.Call],
) -> list[str]:
    """Check that engines saw only prompts of this program (R2).

    :param requests: records of engines.
    :param messages: complete history of the program.
    :param calls: all calls of the program as its caller saw them.
    """
    texts = {call.text for call in calls if call.text}
    allowed = {
        _cache.chain_blocks([*messages[:length], _user(text)])[-1].digest
        for length in range(len(messages) + 1)
        for text in texts
    }
    return [
        f"R2: {request['tag']} has a prompt that is not from its program"
        for request in requests
        if request["prompt"] not in allowed
    ]


def check_budgets(
    requests: Iterable[dict[str, Any]], budgets: dict[str, dict[str, int]]
) -> list[str]:
    """Check the tokens that engines generated against the budgets (R3).

    :param requests: records of engines.
    :param budgets: budget of each program.
    """
    made: collections.Counter[str] = collections.Counter()
    for request in requests:
        made[evidence.program_of(request["tag"])] += request["made"]
    return [
        f"R3: {program_id} used {made[program_id]} tokens of {budget}"
        for program_id, budget in budgets.items()
        if made[program_id] > budget.get("generated_tokens", made[program_id])
    ]


def check_holds(tags: Iterable[str], ended: set[str]) -> list[str]:
    """Check that engines hold no memory for ended programs (R4).

    :param tags: tags of held memory.
    :param ended: programs that have ended.
    """
    return [
        f"R4: memory is held for {tag}"
        for tag in tags
        if evidence.program_of(tag) in ended
    ]


def _answer_text(tokens: int) -> str:
    return "".join(f"t{number} " for number in range(tokens))


def _user(text: str) -> dict[str, str]:
    return {"role": "user", "content": text}


def _messages_of(call: callers.Call) -> list[tuple[str, ...]]:
    if call.text:
        answer = _answer_text(call.max_tokens)
        return [("user", call.text), ("assistant", answer)]
    return [("tool", call.key)]


def _identity(message: dict[str, Any]) -> tuple[str, ...]:
    if message["role"] == "tool":
        return ("tool", str(message["tool_call_id"]))
    return (str(message["role"]), str(message["content"]))
