"""Tells which tokens an answer 402 rests on, by the logs of all processes."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_refusals,
    explain,
    ledger_records,
    request_lines,
)

_EXHAUSTED_RESULT = "Exhaustion"


class OpenShare(NamedTuple):
    """Tokens that a holder allocated and of which it recorded no use.

    ``unrecorded_tokens`` were used by turns that ended whole,
    ``cut_off_tokens`` is the most of turns without a known use, and
    ``unused_tokens`` is what no turn had.
    """

    holder_id: str
    is_gone: bool
    unrecorded_tokens: int
    cut_off_tokens: int
    unused_tokens: int


class RefusalParts(NamedTuple):
    """Tokens that a holder counted when it refused a turn for good.

    ``used_tokens`` are known to be used, ``running_tokens`` are those of the
    holder's running turns, and ``lost_tokens`` are assumed to be handed out
    without a trace.
    """

    used_tokens: int
    running_tokens: int
    lost_tokens: int
    open_shares: tuple[OpenShare, ...]


class _Start(NamedTuple):
    """Start of a process."""

    time_s: float
    incarnation: str


class Incarnations:
    """Incarnations of the members, by their starts in the logs.

    :param lines: lines that are ordered by time.
    """

    def __init__(self, lines: Iterable[explain.LogLine]) -> None:
        self._members: dict[str, str] = {}
        self._starts: dict[str, list[_Start]] = collections.defaultdict(list)
        for line in request_lines.select(lines, "process_started"):
            if "incarnation" not in line.fields:
                continue
            member = line.fields["member"]
            start = _Start(line.time_s, line.fields["incarnation"])
            self._members[line.source] = member
            self._starts[member].append(start)

    def member_of(self, source: str) -> str:
        """Return the name of the member that wrote a log."""
        return self._members.get(source, source)

    def holder_id(self, member: str, time_s: float) -> str:
        """Return the id of the holder that a member was at a time.

        It is the member's name alone if the logs tell no start before.
        """
        started = [
            start for start in self._starts[member] if start.time_s <= time_s
        ]
        return f"{member}/{started[-1].incarnation}" if started else member

    def is_gone(self, holder_id: str, time_s: float) -> bool:
        """Return whether a member had started again after a holder."""
        member = holder_id.partition("/")[0]
        return self.holder_id(member, time_s) not in (member, holder_id)


def find_all(
    audit: budget_refusals.BudgetAudit, lines: Iterable[explain.LogLine]
) -> dict[str, RefusalParts]:
    """Return what wrong answers 402 rest on, by request.

    :param lines: lines that are ordered by time.
    """
    incarnations = Incarnations(lines)
    histories = {history.program_id: history for history in audit.histories}
    found = {
        refusal.request_id: _find(
            refusal, histories[refusal.program_id], incarnations
        )
        for refusal in audit.wrong_refusals
    }
    return {
        request_id: parts
        for request_id, parts in found.items()
        if parts is not None
    }


def _find(
    refusal: budget_refusals.BudgetRefusal,
    history: budget_refusals.ProgramHistory,
    incarnations: Incarnations,
) -> RefusalParts | None:
    """Return the parts of a refusal, ``None`` if its holder logged none."""
    line = _find_holder_line(refusal, history, incarnations)
    if line is None:
        return None
    shares = {
        holder_id: ledger_records.Share(*fields)
        for holder_id, fields in line.fields["other_shares"].items()
    }
    turns = _turns_by_holder(history, incarnations)
    return RefusalParts(
        line.fields["used_tokens"]
        + sum(share.used_tokens for share in shares.values()),
        line.fields["in_flight_tokens"],
        line.fields["lost_tokens"],
        tuple(
            _split(
                holder_id,
                share,
                turns.get(holder_id, ()),
                incarnations.is_gone(holder_id, line.time_s),
            )
            for holder_id, share in shares.items()
            if share.used_tokens < share.allocated_tokens
        ),
    )


def _find_holder_line(
    refusal: budget_refusals.BudgetRefusal,
    history: budget_refusals.ProgramHistory,
    incarnations: Incarnations,
) -> explain.LogLine | None:
    """Return the line of a holder about a refusal, the nearest in time."""

    def distance_s(line: explain.LogLine) -> float:
        return abs(line.time_s - refusal.time_s)

    max_delay_s = budget_refusals.MAX_GRANT_LOG_DELAY_MS / clocks.MS_PER_S
    candidates = [
        line
        for line in request_lines.select(history.decisions, "budget_refused")
        if incarnations.member_of(line.source) == refusal.holder
        and line.fields["result"].startswith(_EXHAUSTED_RESULT)
        and distance_s(line) <= max_delay_s
        and "other_shares" in line.fields
    ]
    return min(candidates, key=distance_s, default=None)


def _turns_by_holder(
    history: budget_refusals.ProgramHistory, incarnations: Incarnations
) -> Mapping[str, Sequence[budget_refusals.Turn]]:
    """Return the turns that may have reached a server, by who granted them."""
    decided = {
        line.fields["request_id"]: line
        for line in request_lines.select(history.decisions, "budget_decided")
    }
    found = collections.defaultdict(list)
    for turn in history.turns:
        line = decided[turn.request_id]
        if turn.is_sent:
            holder = line.fields["holder"]
            found[incarnations.holder_id(holder, line.time_s)].append(turn)
    return found


def _split(
    holder_id: str,
    share: ledger_records.Share,
    turns: Iterable[budget_refusals.Turn],
    is_gone: bool,
) -> OpenShare:
    """Split the open tokens of a share by its holder's turns."""
    open_tokens = share.allocated_tokens - share.used_tokens
    used_tokens = cut_off_tokens = 0
    for turn in turns:
        if turn.used_tokens is None:
            cut_off_tokens += turn.max_tokens
        else:
            used_tokens += turn.used_tokens
    unrecorded_tokens = max(used_tokens - share.used_tokens, 0)
    unrecorded_tokens = min(unrecorded_tokens, open_tokens)
    cut_off_tokens = min(cut_off_tokens, open_tokens - unrecorded_tokens)
    return OpenShare(
        holder_id,
        is_gone,
        unrecorded_tokens,
        cut_off_tokens,
        open_tokens - unrecorded_tokens - cut_off_tokens,
    )
