"""Command that leads from a request's identifier to what decided it."""

from __future__ import annotations

import datetime as dt
import json
import pathlib
import sys
from collections.abc import Iterable
from typing import Any, NamedTuple

import click

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
WINDOW_S = 10.0
# What a process believes, as opposed to what it did with one request.
BELIEFS = frozenset(
    {
        "store_unavailable",
        "store_recovered",
        "source_changed",
        "lease_changed",
        "configuration_in_force",
        "configuration_rejected",
        "record_unreadable",
        "budget_caution",
        "process_started",
        "process_leaving",
        "process_stopped",
        "lines_dropped",
        "storage_host_changed",
        "storage_call_failed",
    }
)
SERVER_EVENTS = frozenset(
    {"server_view_changed", "registration_deleted", "attempt_failed"}
)
_HIDDEN = frozenset({"levelname", "message", "event", "asctime", "process"})


class Line(NamedTuple):
    """One log line."""

    source: str
    time_s: float
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Return the name of the event."""
        return str(self.fields["name_of_event"])


def read(source: str, lines: Iterable[str]) -> list[Line]:
    """Decode log lines; other output of a process is passed over."""
    found = []
    for text in lines:
        try:
            fields = json.loads(text)
            time = dt.datetime.strptime(fields["asctime"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue
        if "name_of_event" in fields:
            found.append(Line(source, time.timestamp(), fields))
    return found


def related(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Return the lines that explain what became of a request.

    These are its own lines, what the same process believed up to
    :data:`WINDOW_S` before, and what it saw of the servers that were tried.
    """
    known = list(lines)
    own = [
        line for line in known if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    sources = {line.source for line in own}
    servers = {line.fields.get("server_id") for line in own} - {None}
    start_s = min(line.time_s for line in own) - WINDOW_S
    end_s = max(line.time_s for line in own)
    found = [
        line
        for line in known
        if line in own
        or (
            line.source in sources
            and start_s <= line.time_s <= end_s
            and (line.name in BELIEFS or _concerns(line, servers))
        )
    ]
    return sorted(found, key=lambda line: line.time_s)


def _concerns(line: Line, servers: set[Any]) -> bool:
    if line.name not in SERVER_EVENTS:
        return False
    named = {line.fields.get("server_id"), line.fields.get("name_")}
    return bool(named & servers)


def describe(line: Line) -> str:
    """Return a line for a person."""
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN and name != "name_of_event"
    )
    return f"{line.fields['asctime']} {line.source} {line.name} {details}"


@click.command()
@click.argument("request_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def main(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show what decided a request, from the LOGS of edge processes."""
    lines: list[Line] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines.extend(read(path.stem, file))
    found = related(lines, request_id)
    if not found:
        click.echo(f"no line names request {request_id}", err=True)
        sys.exit(1)
    for line in found:
        click.echo(describe(line))
