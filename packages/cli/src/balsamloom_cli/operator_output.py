"""What the operators' command prints, as JSON or as text."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from balsamloom_cli import commands, status
from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_core import errors, results, settings

MAX_SHOWN_CELL = 60


def fail_invalid(is_json: bool, found: list[settings.Problem]) -> None:
    """Print what is wrong with a section.

    :raises BalsamloomError: always, with ``CONFIGURATION_INVALID``.
    """
    if is_json:
        problems = [problem._asdict() for problem in found]
        commands.print_json({"problems": problems})
    else:
        for problem in found:
            click.echo(str(problem))
    raise errors.BalsamloomError(
        results.ResultCode.CONFIGURATION_INVALID,
        f"{len(found)} problems; nothing was written",
    )


def fail_conflict(is_json: bool, conflict: editing.Conflict) -> None:
    """Print the sides of a conflict.

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
        found = editing.differences(old, side.content or {})
        print_differences(is_json, found)


def print_differences(is_json: bool, found: list[editing.Difference]) -> None:
    """Print the differences of two contents of a section."""
    if is_json:
        commands.print_json([difference._asdict() for difference in found])
        return
    for difference in found:
        old, new = map(_cell, (difference.old, difference.new))
        click.echo(f"  {difference.path}: {old} -> {new}")
    if not found:
        click.echo("  no differences")


def _cell(value: Any) -> str:
    if value is None:
        return "(none)"
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_SHOWN_CELL:
        return text
    return text[: MAX_SHOWN_CELL - 3] + "..."


def print_result(is_json: bool, value: Any, text: str) -> None:
    """Print a value as JSON, or a text that says the same."""
    if is_json:
        commands.print_json(value)
    else:
        click.echo(text)


def print_status(is_json: bool, found: list[status.MemberStatus]) -> None:
    """Print a table of members."""
    if is_json:
        commands.print_json([member._asdict() for member in found])
        return
    rows = [
        [
            member.member_id,
            member.address,
            member.failure_domain,
            "leaving" if member.is_leaving else "live",
            shown_number(member.configuration_revision),
            shown_number(member.map_version),
            member.problem,
        ]
        for member in found
    ]
    headings = ["MEMBER", "ADDRESS", "DOMAIN", "STATE", "REVISION", "MAP", ""]
    commands.print_table(headings, rows)


def shown_number(value: int | None) -> str:
    """Return a number as it is printed."""
    return "unknown" if value is None else str(value)


def shown_time(wall_ms: int) -> str:
    """Return a time as it is printed, in UTC."""
    seconds = time.gmtime(wall_ms / clocks.MS_PER_S)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", seconds)
