"""Selections of log lines by their request."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence

from balsamloom_gateway import explain

LineGroups = Mapping[str, Sequence[explain.LogLine]]


def group(lines: Iterable[explain.LogLine], field: str) -> LineGroups:
    """Return the lines that have a field, by its value."""
    groups: dict[str, list[explain.LogLine]] = collections.defaultdict(list)
    for line in lines:
        value = line.fields.get(field)
        if value:
            groups[value].append(line)
    return groups


def select(
    lines: Iterable[explain.LogLine], *names: str
) -> list[explain.LogLine]:
    """Return the lines of some events."""
    return [line for line in lines if line.name in names]


def may_have_run(line: explain.LogLine) -> bool:
    """Return whether a line says that a server may have run its request."""
    match line.name:
        case "attempt_failed":
            return bool(line.fields["is_sent"])
        case "request_ended":
            return "server_id" in line.fields
        case _:
            return False


def own_status(line: explain.LogLine) -> int | None:
    """Return the status of an answer that no server gave, if it is one."""
    if line.name not in ("request_ended", "request_refused"):
        return None
    return None if "server_id" in line.fields else line.fields.get("status")
