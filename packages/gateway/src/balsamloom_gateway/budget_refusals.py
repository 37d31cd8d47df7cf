"""Judges answers 402 by the logs of all edge processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import explain, request_lines

# A turn that ended later than this before an answer 402 counts at its most.
DEFAULT_SETTLE_MS = 1_000.0
# A holder may grant a turn's tokens so much earlier than the caller's process
# logs it: the timeout of its call.
MAX_GRANT_LOG_DELAY_MS = 200.0
EVENT_NAMES = frozenset(
    {
        "attempt_failed",
        "budget_allocated",
        "budget_decided",
        "budget_record_changed",
        "budget_refused",
        "request_ended",
        "request_placed",
        "request_refused",
    }
)
_BUDGET_EXHAUSTED_STATUS = 402
_UNAVAILABLE_STATUS = 503
_WHOLE_REASON = "answered"


class TokenCount(NamedTuple):
    """Tokens of turns: those used, and the most of turns in doubt."""

    used_tokens: int
    max_open_tokens: int


class Turn(NamedTuple):
    """Turn of a program, as far as the logs tell.

    ``begun_s`` and ``ended_s`` are times in the logs; ``ended_s`` is ``None``
    for a turn without a logged end. ``is_sent`` says whether it may have
    reached a server. ``used_tokens`` is ``None`` if it may have used up to
    ``max_tokens``.
    """

    request_id: str
    source: str
    begun_s: float
    ended_s: float | None
    is_sent: bool
    max_tokens: int
    used_tokens: int | None
    ending: str

    def count_at(self, settled_s: float) -> TokenCount:
        """Return the tokens to count if only ends up to a time are known."""
        if not self.is_sent:
            return TokenCount(0, 0)
        is_settled = self.ended_s is not None and self.ended_s <= settled_s
        if self.used_tokens is not None and is_settled:
            return TokenCount(self.used_tokens, 0)
        return TokenCount(0, self.max_tokens)


class BudgetRefusal(NamedTuple):
    """Answer 402 to a turn, and what the program's turns had used by then."""

    program_id: str
    request_id: str
    source: str
    time_s: float
    budget_tokens: int
    turn_tokens: int
    spent: TokenCount
    holder: str
    outcome: str

    @property
    def is_wrong(self) -> bool:
        """Return whether the budget held one more turn for certain."""
        needed_tokens = sum(self.spent) + self.turn_tokens
        return needed_tokens <= self.budget_tokens


class ProgramHistory(NamedTuple):
    """Turns of a program and what its budget's holders logged, by time."""

    program_id: str
    turns: list[Turn]
    decisions: list[explain.LogLine]


class BudgetAudit(NamedTuple):
    """All answers 402, and the programs that got a wrong one.

    ``unjudged_count`` is the number of answers 402 without a logged decision.
    """

    refusals: list[BudgetRefusal]
    histories: list[ProgramHistory]
    unjudged_count: int

    @property
    def wrong_refusals(self) -> list[BudgetRefusal]:
        """Return the answers 402 that the budget does not explain."""
        return [one for one in self.refusals if one.is_wrong]


def judge(
    lines: Iterable[explain.LogLine],
    by_request: request_lines.LineGroups,
    settle_ms: float,
) -> BudgetAudit:
    """Judge the answers 402 in lines that are ordered by time.

    :param by_request: the same lines by request.
    :param settle_ms: turns that ended within this time before an answer 402
        count as if they had not ended.
    """
    by_program = request_lines.group(lines, "program_id")
    turns = {
        program_id: _find_turns(found, by_request)
        for program_id, found in by_program.items()
    }
    refusals = [
        refusal
        for program_id, found in by_program.items()
        for refusal in _find_refusals(found, turns[program_id], settle_ms)
    ]
    wrong_ids = dict.fromkeys(
        refusal.program_id for refusal in refusals if refusal.is_wrong
    )
    histories = [
        ProgramHistory(
            program_id,
            turns[program_id],
            request_lines.select(
                by_program[program_id],
                "budget_allocated",
                "budget_decided",
                "budget_record_changed",
                "budget_refused",
            ),
        )
        for program_id in wrong_ids
    ]
    answer_count = sum(
        len(_budget_answers(found)) for found in by_program.values()
    )
    return BudgetAudit(refusals, histories, answer_count - len(refusals))


def _find_turns(
    program_lines: Iterable[explain.LogLine],
    by_request: request_lines.LineGroups,
) -> list[Turn]:
    """Return a program's turns.

    Calls of tools name their program as well, but ask for no tokens.
    """
    return [
        _read_turn(decision, by_request[request_id])
        for request_id, decision in _decisions(program_lines).items()
    ]


def _decisions(
    program_lines: Iterable[explain.LogLine],
) -> dict[str, explain.LogLine]:
    """Return the decisions on the tokens of turns, by their request."""
    return {
        line.fields["request_id"]: line
        for line in request_lines.select(program_lines, "budget_decided")
    }


def _read_turn(
    decision: explain.LogLine, lines: Sequence[explain.LogLine]
) -> Turn:
    """Read a turn from the decision on its tokens and all of its lines."""
    end = next(
        iter(request_lines.select(lines, "request_ended", "request_refused")),
        None,
    )
    begun_s = lines[0].time_s
    if end is not None:
        duration_s = end.fields.get("duration_ms", 0.0) / clocks.MS_PER_S
        begun_s = min(begun_s, end.time_s - duration_s)
    return Turn(
        decision.fields["request_id"],
        decision.source,
        begun_s,
        end.time_s if end else None,
        _is_sent(lines),
        decision.fields["turn_tokens"],
        _used_tokens(end),
        _describe_end(lines, end),
    )


def _used_tokens(end: explain.LogLine | None) -> int | None:
    """Return the tokens of a turn, ``None`` if they are not certain."""
    if end is None:
        return None
    status = end.fields.get("status", 0)
    if 400 <= status < 500 or status == _UNAVAILABLE_STATUS:
        return 0
    is_whole = end.fields.get("reason") == _WHOLE_REASON and status < 300
    return end.fields.get("tokens", 0) if is_whole else None


def _is_sent(lines: Sequence[explain.LogLine]) -> bool:
    """Return whether a server may have got a request."""
    last = lines[-1]
    if last.name == "request_placed":
        # The process was lost before it knew more.
        return True
    if last.name == "attempt_failed" and last.fields.get("is_kept_channel"):
        # It may be sent once more, on a new connection.
        return True
    return any(request_lines.may_have_run(line) for line in lines)


def _describe_end(
    lines: Sequence[explain.LogLine], end: explain.LogLine | None
) -> str:
    if end is not None:
        status = end.fields.get("status", "")
        return f"{status} {end.fields.get('reason', '')}"
    last = lines[-1]
    return f"no end; last {last.name} {last.fields.get('reason', '')}".strip()


def _find_refusals(
    program_lines: Iterable[explain.LogLine],
    turns: Sequence[Turn],
    settle_ms: float,
) -> list[BudgetRefusal]:
    decisions = _decisions(program_lines)
    return [
        _judge(line, decisions[line.fields["request_id"]], turns, settle_ms)
        for line in _budget_answers(program_lines)
        if line.fields["request_id"] in decisions
    ]


def _budget_answers(
    program_lines: Iterable[explain.LogLine],
) -> list[explain.LogLine]:
    """Return the ends of turns with a 402 that no server gave."""
    return [
        line
        for line in request_lines.select(program_lines, "request_ended")
        if request_lines.own_status(line) == _BUDGET_EXHAUSTED_STATUS
    ]


def _judge(
    answer: explain.LogLine,
    decision: explain.LogLine,
    turns: Sequence[Turn],
    settle_ms: float,
) -> BudgetRefusal:
    settled_s = answer.time_s - settle_ms / clocks.MS_PER_S
    granted_s = answer.time_s + MAX_GRANT_LOG_DELAY_MS / clocks.MS_PER_S
    counts = [
        turn.count_at(settled_s)
        for turn in turns
        if turn.begun_s <= granted_s
        and turn.request_id != answer.fields["request_id"]
    ]
    return BudgetRefusal(
        answer.fields["program_id"],
        answer.fields["request_id"],
        answer.source,
        answer.time_s,
        decision.fields["budget_tokens"],
        decision.fields["turn_tokens"],
        TokenCount(
            sum(count.used_tokens for count in counts),
            sum(count.max_open_tokens for count in counts),
        ),
        decision.fields["holder"],
        decision.fields["outcome"],
    )
