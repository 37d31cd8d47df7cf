"""Command that shows the log lines that explain a request's outcome."""

from __future__ import annotations

import datetime as dt
import json
import pathlib
import re
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import click

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
CONTEXT_S = 10.0
# Events about the state of a process rather than about one request.
PROCESS_EVENTS = frozenset(
    {
        "store_unavailable",
        "store_recovered",
        "source_changed",
        "member_liveness_changed",
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
        "quota_used_up",
        "quota_role_changed",
        "quota_granter_failed",
    }
)
SERVER_EVENTS = frozenset(
    {"server_view_changed", "registration_deleted", "attempt_failed"}
)
_COLLECTED_LINE = re.compile(
    r"\s*(?P<time_s>-?\d+\.\d+) (?P<source>\S+) (?P<fields>\{.*)"
)
_HIDDEN = frozenset({"levelname", "message", "event", "asctime", "process"})


class LogLine(NamedTuple):
    """One log line."""

    source: str
    time_s: float
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Return the event name that the process logged."""
        return str(self.fields["name_of_event"])


def parse(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Decode log lines and skip other output of a process."""
    return list(decode(source, lines))


def decode(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines one by one and skip other output of a process.

    Lines that were collected from several processes begin with a time in
    seconds and the name of the process; these are used then.
    """
    for text in lines:
        collected = _COLLECTED_LINE.match(text)
        try:
            if collected is None:
                fields = json.loads(text)
                time_s = _parse_time(fields["asctime"])
            else:
                fields = json.loads(collected["fields"])
                time_s = float(collected["time_s"])
        except (ValueError, KeyError, TypeError):
            continue
        if "name_of_event" in fields:
            name = collected["source"] if collected else source
            yield LogLine(name, time_s, fields)


def _parse_time(text: str) -> float:
    return dt.datetime.strptime(text, TIME_FORMAT).timestamp()


def select_related(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines that explain the outcome of a request.

    These are the lines of the request and, from the same process since
    :data:`CONTEXT_S` before them, its process events and the events of the
    backend servers that were tried.
    """
    known = list(lines)
    own = [
        line for line in known if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    sources = {line.source for line in own}
    servers = {line.fields.get("server_id") for line in own} - {None}
    start_s = min(line.time_s for line in own) - CONTEXT_S
    end_s = max(line.time_s for line in own)
    found = [
        line
        for line in known
        if line in own
        or (
            line.source in sources
            and start_s <= line.time_s <= end_s
            and (
                line.name in PROCESS_EVENTS or _mentions_server(line, servers)
            )
        )
    ]
    return sorted(found, key=lambda line: line.time_s)


def _mentions_server(line: LogLine, servers: set[Any]) -> bool:
    if line.name not in SERVER_EVENTS:
        return False
    named_servers = {line.fields.get("server_id"), line.fields.get("name_")}
    return bool(named_servers & servers)


def format_line(line: LogLine) -> str:
    """Return a log line as readable text."""
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
    """Explain the outcome of a request from the LOGS of edge processes."""
    lines: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines.extend(parse(path.stem, file))
    found = select_related(lines, request_id)
    if not found:
        click.echo(f"no line names request {request_id}", err=True)
        sys.exit(1)
    for line in found:
        click.echo(format_line(line))
