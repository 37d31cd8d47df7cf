"""Command that searches logs for requests and programs beyond their limits."""

from __future__ import annotations

import collections
import pathlib
import sys
from collections.abc import Iterable
from typing import NamedTuple

import click

from balsamloom_gateway import (
    budget_refusals,
    crash_ledger,
    explain,
    log_files,
    refusal_audit,
    refusal_report,
    request_lines,
)

EVENT_NAMES = refusal_audit.EVENT_NAMES | {"lines_dropped", "server_crashed"}


class ExcessAttempts(NamedTuple):
    """Request that may have run on more servers than its route allows."""

    request_id: str
    server_ids: tuple[str, ...]
    max_attempts: int


class ExceededBudget(NamedTuple):
    """Program that got more tokens than its budget and one turn."""

    program_id: str
    delivered_tokens: int
    budget_tokens: int
    turn_tokens: int


class RepeatedCrash(NamedTuple):
    """Target whose requests crashed more servers than one request may."""

    target_id: str
    server_ids: tuple[str, ...]


class MixedStream(NamedTuple):
    """Stream with events from servers of several software versions."""

    stream_id: str
    versions: tuple[str, ...]


class Audit(NamedTuple):
    """Requests and programs beyond their limits, and judged refusals.

    ``dropped_lines`` were not logged, so breaches may be missing.
    """

    excess_attempts: list[ExcessAttempts]
    exceeded_budgets: list[ExceededBudget]
    repeated_crashes: list[RepeatedCrash]
    mixed_streams: list[MixedStream]
    refusals: refusal_audit.RefusalAudit
    dropped_lines: int

    @property
    def has_findings(self) -> bool:
        """Return whether a limit is exceeded or a refusal is wrong."""
        return bool(
            self.excess_attempts
            or self.exceeded_budgets
            or self.repeated_crashes
            or self.mixed_streams
            or self.refusals.has_findings
        )


def audit(
    lines: Iterable[explain.LogLine],
    settle_ms: float = budget_refusals.DEFAULT_SETTLE_MS,
) -> Audit:
    """Return what is wrong by the logs of all edge processes.

    :param settle_ms: see :func:`budget_refusals.judge`.
    """
    known = list(lines)
    return Audit(
        _find_excess_attempts(known),
        _find_exceeded_budgets(known),
        _find_repeated_crashes(known),
        _find_mixed_streams(known),
        refusal_audit.audit(known, settle_ms),
        sum(
            int(line.fields["lines"])
            for line in known
            if line.name == "lines_dropped"
        ),
    )


def _find_excess_attempts(
    lines: Iterable[explain.LogLine],
) -> list[ExcessAttempts]:
    max_attempts: dict[str, int] = {}
    server_ids: dict[str, dict[str, None]] = collections.defaultdict(dict)
    for line in lines:
        request_id = line.fields.get("request_id", "")
        if line.name == "request_placed":
            max_attempts[request_id] = line.fields["max_attempts"]
        elif request_lines.may_have_run(line):
            server_ids[request_id][line.fields["server_id"]] = None
    return [
        ExcessAttempts(request_id, tuple(server_ids[request_id]), limit)
        for request_id, limit in max_attempts.items()
        if len(server_ids[request_id]) > limit
    ]


def _find_exceeded_budgets(
    lines: Iterable[explain.LogLine],
) -> list[ExceededBudget]:
    delivered: collections.Counter[str] = collections.Counter()
    limits: dict[str, tuple[int, int]] = {}
    for line in lines:
        program_id = line.fields.get("program_id", "")
        if line.name == "request_ended":
            delivered[program_id] += line.fields.get("tokens", 0)
        elif line.name == "budget_decided":
            _, turn_tokens = limits.get(program_id, (0, 0))
            limits[program_id] = (
                line.fields["budget_tokens"],
                max(turn_tokens, line.fields["turn_tokens"]),
            )
    return [
        ExceededBudget(program_id, delivered[program_id], *limit)
        for program_id, limit in limits.items()
        if delivered[program_id] > sum(limit)
    ]


def _find_repeated_crashes(
    lines: Iterable[explain.LogLine],
) -> list[RepeatedCrash]:
    server_ids: dict[str, dict[str, None]] = collections.defaultdict(dict)
    for line in lines:
        if line.name == "server_crashed":
            server_id = line.fields["server_id"]
            server_ids[line.fields["target_id"]][server_id] = None
    return [
        RepeatedCrash(target_id, tuple(found))
        for target_id, found in server_ids.items()
        if len(found) > crash_ledger.MAX_CRASHES
    ]


def _find_mixed_streams(
    lines: Iterable[explain.LogLine],
) -> list[MixedStream]:
    version_of: dict[tuple[str, str], str] = {}
    stream_of: dict[str, str] = {}
    versions: dict[str, dict[str, None]] = collections.defaultdict(dict)
    for line in lines:
        request_id = line.fields.get("request_id", "")
        if line.name == "request_placed":
            attempt = (request_id, line.fields.get("server_id", ""))
            version_of[attempt] = line.fields.get("server_version", "")
            resumed_id = line.fields.get("resumed_id")
            stream_of[request_id] = resumed_id or request_id
        elif line.fields.get("events_relayed"):
            attempt = (request_id, line.fields.get("server_id", ""))
            if attempt in version_of:
                stream_id = stream_of[request_id]
                versions[stream_id][version_of[attempt]] = None
    return [
        MixedStream(stream_id, tuple(found))
        for stream_id, found in versions.items()
        if len(found) > 1
    ]


def describe(found: Audit) -> list[str]:
    """Return a text for each finding, and the number of answers 402."""
    texts = [
        f"request {one.request_id} may have run on {len(one.server_ids)}"
        f" servers, limit {one.max_attempts}: {', '.join(one.server_ids)}"
        for one in found.excess_attempts
    ]
    texts += [
        f"program {one.program_id} got {one.delivered_tokens} tokens, budget"
        f" {one.budget_tokens} and {one.turn_tokens} for one turn"
        for one in found.exceeded_budgets
    ]
    texts += [
        f"requests for target {one.target_id} crashed {len(one.server_ids)}"
        f" servers: {', '.join(one.server_ids)}"
        for one in found.repeated_crashes
    ]
    texts += [
        f"stream {one.stream_id} has events of versions"
        f" {', '.join(one.versions)}"
        for one in found.mixed_streams
    ]
    budget = found.refusals.budget
    if budget.refusals or budget.unjudged_count:
        texts.append(refusal_report.summarize(found.refusals))
    texts += refusal_report.describe(found.refusals)
    if found.dropped_lines:
        texts.append(f"{found.dropped_lines} lines were dropped from the logs")
    return texts


@click.command()
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
@click.option(
    "--settle-ms",
    type=click.FloatRange(min=0),
    default=budget_refusals.DEFAULT_SETTLE_MS,
    show_default=True,
    help="Turns that ended so shortly before a 402 count at their most.",
)
def main(logs: tuple[pathlib.Path, ...], settle_ms: float) -> None:
    """Search the LOGS of edge processes for breaches and wrong refusals.

    LOGS are files, folders of files, or lines of several processes collected
    in one file, each with its time and process in front.

    Prints requests that may have run on more servers than their route allows,
    programs that got more tokens than their budget and one turn, targets
    whose requests crashed more than three servers, streams with events of
    several software versions, and turns that were refused though the budget
    held them. Exits with 1 if there are any.
    """
    found = audit(log_files.read(logs, EVENT_NAMES), settle_ms)
    for text in describe(found):
        click.echo(text)
    if found.has_findings:
        sys.exit(1)
