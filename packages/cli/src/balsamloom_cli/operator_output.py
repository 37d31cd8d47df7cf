"""Output of the operators' command as JSON or text."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from balsamloom_cli import commands, status
from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_core import errors, results, settings

MAX_VALUE_LENGTH = 60


def fail_invalid(is_json: bool, problems: list[settings.Problem]) -> None:
    """Print the problems of a section and fail.

    :raises BalsamloomError: always, with ``CONFIGURATION_INVALID``.
    """
    if is_json:
        entries = [problem._asdict() for problem in problems]
        commands.print_json({"problems": entries})
    else:
        for problem in problems:
            click.echo(str(problem))
    raise errors.BalsamloomError(
        results.ResultCode.CONFIGURATION_INVALID,
        f"{len(problems)} problems; nothing was written",
    )


def fail_conflict(is_json: bool, conflict: editing.Conflict) -> None:
    """Print both sides of a conflict and fail.

    :raises BalsamloomError: always, with ``CONFIGURATION_CONFLICT``.
    """
    if is_json:
        sides = {
            name: side._asdict() if side else None
            for name, side in (
                ("base", conflict.base),
                ("theirs", conflict.theirs),
                ("yours", conflict.yours),
            )
        }
        commands.print_json({"section": conflict.section, **sides})
    else:
        _print_conflict(is_json, conflict)
    raise errors.BalsamloomError(
        results.ResultCode.CONFIGURATION_CONFLICT,
        f"section {conflict.section} is at revision "
        f"{conflict.theirs.revision}, and your file is based on "
        f"{conflict.yours.revision}; nothing was written",
    )


def _print_conflict(is_json: bool, conflict: editing.Conflict) -> None:
    base = conflict.base
    if base is None:
        click.echo("the common base is no longer in the history")
    for name, side in (("theirs", conflict.theirs), ("yours", conflict.yours)):
        comment = f", {side.comment}" if side.comment else ""
        click.echo(f"{name} ({side.author}{comment}), against the base:")
        old = (base.content if base else None) or {}
        differences = editing.differences(old, side.content or {})
        print_differences(is_json, differences)


def print_differences(
    is_json: bool, differences: list[editing.Difference]
) -> None:
    """Print the differences between two versions of a section."""
    if is_json:
        commands.print_json(
            [difference._asdict() for difference in differences]
        )
        return
    for difference in differences:
        old, new = map(_format_value, (difference.old, difference.new))
        click.echo(f"  {difference.path}: {old} -> {new}")
    if not differences:
        click.echo("  no differences")


def _format_value(value: Any) -> str:
    if value is None:
        return "(none)"
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + "..."


def print_result(is_json: bool, value: Any, text: str) -> None:
    """Print a value as JSON, or as the text given for it."""
    if is_json:
        commands.print_json(value)
    else:
        click.echo(text)


def print_status(is_json: bool, statuses: list[status.MemberStatus]) -> None:
    """Print a table of members."""
    if is_json:
        commands.print_json([member._asdict() for member in statuses])
        return
    rows = [
        [
            member.member_id,
            member.address,
            member.failure_domain,
            "leaving" if member.is_leaving else "live",
            format_number(member.configuration_revision),
            format_number(member.map_version),
            member.problem,
        ]
        for member in statuses
    ]
    headings = ["MEMBER", "ADDRESS", "DOMAIN", "STATE", "REVISION", "MAP", ""]
    commands.print_table(headings, rows)


def format_number(value: int | None) -> str:
    """Format a number for output."""
    return "unknown" if value is None else str(value)


def format_time(wall_ms: int) -> str:
    """Format a wall-clock time in UTC for output."""
    seconds = time.gmtime(wall_ms / clocks.MS_PER_S)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", seconds)
