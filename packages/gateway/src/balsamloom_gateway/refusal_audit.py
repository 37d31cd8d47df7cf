"""Judges refusals by the logs of all edge processes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_refusals,
    explain,
    refusal_parts,
    request_lines,
)

EVENT_NAMES = budget_refusals.EVENT_NAMES | {
    "chain_read",
    "handover_failed",
    "process_started",
    "turn_kept",
}
_NOT_FOUND_STATUS = 404
# Answers that tell callers that their request has not run and never will.
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})


class DeniedTurn(NamedTuple):
    """Answer 404 to a turn whose previous turn was stored.

    ``kept_s`` is the time at which the previous turn was stored.
    """

    request_id: str
    previous_turn_id: str
    source: str
    time_s: float
    kept_s: float
    hosts: tuple[str, ...]


class ContradictedRefusal(NamedTuple):
    """Answer that says "not run" to a request that may have run."""

    request_id: str
    source: str
    time_s: float
    status: int
    server_ids: tuple[str, ...]


class RefusalAudit(NamedTuple):
    """Refusals in the logs: all answers 402, and wrong ones of other kinds.

    ``budget_parts`` has what wrong answers 402 rest on, by request, as far as
    it is logged.
    """

    budget: budget_refusals.BudgetAudit
    budget_parts: Mapping[str, refusal_parts.RefusalParts]
    denied_turns: list[DeniedTurn]
    contradicted_refusals: list[ContradictedRefusal]

    @property
    def has_findings(self) -> bool:
        """Return whether any refusal is wrong."""
        return bool(
            self.budget.wrong_refusals
            or self.denied_turns
            or self.contradicted_refusals
        )


def audit(
    lines: Iterable[explain.LogLine],
    settle_ms: float = budget_refusals.DEFAULT_SETTLE_MS,
) -> RefusalAudit:
    """Judge the refusals in the logs of all edge processes.

    :param settle_ms: see :func:`budget_refusals.judge`.
    """
    known = sorted(
        (line for line in lines if line.name in EVENT_NAMES),
        key=lambda line: line.time_s,
    )
    by_request = request_lines.group(known, "request_id")
    budget = budget_refusals.judge(known, by_request, settle_ms)
    return RefusalAudit(
        budget,
        refusal_parts.find_all(budget, known),
        _find_denied_turns(known, by_request),
        _find_contradicted_refusals(by_request, _member_names(known)),
    )


def _member_names(lines: Iterable[explain.LogLine]) -> Mapping[str, str]:
    """Return the name of the member that wrote each log, where it says so."""
    return {
        line.source: line.fields["member"]
        for line in request_lines.select(lines, "process_started")
        if "member" in line.fields
    }


def _find_denied_turns(
    lines: Iterable[explain.LogLine], by_request: request_lines.LineGroups
) -> list[DeniedTurn]:
    return [
        denied
        for read in request_lines.select(lines, "chain_read")
        if read.fields["outcome"] == "absent"
        for denied in _find_denials(read, by_request)
    ]


def _find_denials(
    read: explain.LogLine, by_request: request_lines.LineGroups
) -> list[DeniedTurn]:
    """Return the wrong 404 after a turn that was stored was not found."""
    request_id = read.fields["request_id"]
    previous_turn_id = read.fields["previous_turn_id"]
    kept = [
        line
        for line in request_lines.select(
            by_request.get(previous_turn_id, ()), "turn_kept"
        )
        if _is_kept_at(line, read) and _is_same_workspace(line, read)
    ]
    return [
        DeniedTurn(
            request_id,
            previous_turn_id,
            line.source,
            line.time_s,
            kept[0].time_s,
            tuple(kept[0].fields["hosts"]),
        )
        for line in by_request[request_id]
        if kept and request_lines.own_status(line) == _NOT_FOUND_STATUS
    ]


def _is_same_workspace(kept: explain.LogLine, read: explain.LogLine) -> bool:
    """Return whether the caller of a turn may continue a stored one."""
    field = "workspace"
    return bool(kept.fields.get(field) == read.fields.get(field))


def _is_kept_at(kept: explain.LogLine, read: explain.LogLine) -> bool:
    """Return whether a turn was stored all the while that it was looked up.

    Processes of older versions do not log the retention.
    """
    read_s = read.time_s - read.fields["duration_ms"] / clocks.MS_PER_S
    retention_ms = kept.fields.get("retention_ms", math.inf)
    expires_s = kept.time_s + retention_ms / clocks.MS_PER_S
    return bool(kept.time_s <= read_s and read.time_s < expires_s)


def _find_contradicted_refusals(
    by_request: request_lines.LineGroups, members: Mapping[str, str]
) -> list[ContradictedRefusal]:
    """Return the refusals as not run of requests that may have run.

    :param members: name of the member by log.
    """
    return [
        ContradictedRefusal(
            request_id,
            line.source,
            line.time_s,
            line.fields["status"],
            tuple(dict.fromkeys(run.fields["server_id"] for run in runs)),
        )
        for request_id, lines in by_request.items()
        if (
            runs := [
                line for line in lines if request_lines.may_have_run(line)
            ]
        )
        for line in _callers_answers(lines, members)
        if request_lines.own_status(line) in _NOT_RUN_STATUSES
    ]


def _callers_answers(
    lines: Sequence[explain.LogLine], members: Mapping[str, str]
) -> list[explain.LogLine]:
    """Return the lines of a request without those of passed-back answers.

    A member that was handed the request answered the sender, which answered
    the caller by itself.

    :param members: name of the member by log.
    """
    passed_back_by = {
        line.fields["member"]
        for line in request_lines.select(lines, "handover_failed")
    }
    return [
        line
        for line in lines
        if members.get(line.source, line.source) not in passed_back_by
    ]
