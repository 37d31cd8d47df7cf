"""Checks of what callers were told against what stand-ins recorded.

A check returns its findings in words; an empty list says that the requirement
held.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from balsamloom_standins import _cache, evidence, observations


def runs_by_key(runs: Iterable[dict[str, Any]]) -> collections.Counter[str]:
    """Return how often each idempotency key ran.

    :param runs: records of tool services.
    """
    return collections.Counter(run["key"] for run in runs)


def check_order(
    runs: Iterable[dict[str, Any]], timeout_s: float = float("inf")
) -> list[str]:
    """Check that no tool call of a program began before another ended (R1).

    :param runs: records of tool services.
    :param timeout_s: timeout of the operations; a call that hangs for longer
        is given up then, and the next one may begin.
    """
    found = []
    last: dict[str, dict[str, Any]] = {}
    for run in sorted(runs, key=lambda run: float(run["start_s"])):
        former = last.get(run["program_id"])
        if (
            former
            and not (former["end_s"] and former["end_s"] <= run["start_s"])
            and run["start_s"] - former["start_s"] < timeout_s
        ):
            gap_s = run["start_s"] - former["start_s"]
            found.append(
                f"R1: {run['key']} began within {former['key']},"
                f" {gap_s:.3f} s after its start"
            )
        last[run["program_id"]] = run
    return found


def check_runs(
    runs: Iterable[dict[str, Any]], told: Iterable[observations.Told]
) -> list[str]:
    """Check that calls ran at most once, and as callers were told (R6, R7).

    :param runs: records of non-idempotent calls at tool services.
    :param told: what callers were told of these calls.
    """
    counts = runs_by_key(runs)
    found = [
        f"R7: {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]
    for call in told:
        if call.is_completed and not call.text and not counts[call.key]:
            found.append(f"R5: {call.key} has an answer but never ran")
        if call.not_run and counts[call.key]:
            found.append(
                f"R6: {call.key} ran, but its caller was told that it did"
                f" not, with code {call.code}"
            )
    return found


def check_answers(told: Iterable[observations.Told]) -> list[str]:
    """Check that completed model calls gave the whole answer (R5).

    :param told: what callers were told.
    """
    return [
        f"R5: {call.key} should have {call.max_tokens} tokens: {call.answer!r}"
        for call in told
        if call.is_completed
        and call.text
        and call.answer != _answer_text(call.max_tokens)
    ]


def check_history(
    messages: Sequence[dict[str, Any]],
    told: Iterable[observations.Told],
    code_of: Callable[[observations.Told], int],
) -> list[str]:
    """Check a program's history against what its caller was told (R2).

    The messages of each completed call stand together, once. A call whose
    answer was given before another one was sent stands before it; calls
    that overlapped may stand in either order.

    :param messages: history of the program.
    :param told: what the caller was told.
    :param code_of: code of the recorded result of a call that was not
        completed for the caller.
    """
    left = [_identity(message) for message in messages]
    position = 0
    waiting = _recorded_calls(told, code_of)
    while waiting:
        found = _next_call(waiting, left[position:])
        if found is None:
            expected = [_messages_of(call) for call in waiting]
            return [f"R2: history {left} should go on with {expected}"]
        position += len(_messages_of(found))
        waiting.remove(found)
    if position < len(left):
        return [f"R2: history {left} has more than the caller was told"]
    return []


def _recorded_calls(
    told: Iterable[observations.Told],
    code_of: Callable[[observations.Told], int],
) -> list[observations.Told]:
    """Return one entry for each call that ran, with the time that it took.

    A call that was sent again with its key began with the first sending. Its
    record was there when a caller had the answer; until then it may come at
    any time.
    """
    by_key: dict[str, list[observations.Told]] = {}
    for call in sorted(told, key=lambda call: call.start_s):
        by_key.setdefault(call.key, []).append(call)
    calls = []
    for sendings in by_key.values():
        first = sendings[0]
        ends_s = [call.end_s for call in sendings if call.is_completed]
        if ends_s:
            calls.append(first._replace(end_s=min(ends_s)))
        elif code_of(first) == observations.COMPLETED:
            calls.append(first._replace(end_s=math.inf))
    return calls


def _next_call(
    waiting: Sequence[observations.Told], messages: Sequence[tuple[str, ...]]
) -> observations.Told | None:
    """Return the call that a history goes on with, if it may stand there."""
    first_end_s = min(call.end_s for call in waiting)
    for call in waiting:
        expected = _messages_of(call)
        is_next = list(messages[: len(expected)]) == expected
        if is_next and call.start_s <= first_end_s:
            return call
    return None


def check_prompts(
    requests: Iterable[dict[str, Any]],
    messages: Sequence[dict[str, Any]],
    told: Iterable[observations.Told],
) -> list[str]:
    """Check that engines saw no prompt but this program's own (R2).

    :param requests: records of engines.
    :param messages: history of the program at its end.
    :param told: what the caller was told of all calls of the program.
    """
    texts = {call.text for call in told if call.text}
    allowed = {
        _cache.chain_blocks([*messages[:length], _user(text)])[-1].digest
        for length in range(len(messages) + 1)
        for text in texts
    }
    return [
        f"R2: {request['tag']} has a prompt that is not its program's"
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
    """Check that no memory is held for ended programs (R4).

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


def _messages_of(call: observations.Told) -> list[tuple[str, ...]]:
    if call.text:
        answer = _answer_text(call.max_tokens)
        return [("user", call.text), ("assistant", answer)]
    return [("tool", call.key)]


def _identity(message: dict[str, Any]) -> tuple[str, ...]:
    if message["role"] == "tool":
        return ("tool", str(message["tool_call_id"]))
    return (str(message["role"]), str(message["content"]))
