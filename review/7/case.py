"""Turns are kept whose events have lines that end in CR."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import rig as rigs  # noqa: E402

EDGES = 3
CONVERSATIONS = 12
TURNS = 4
ROUTE = "kept"
LINE_END = {"LF": "\n", "CRLF": "\r\n", "CR": "\r"}


def main() -> None:
    """Run the case and exit with its status."""
    rig = rigs.Rig(__file__, edges=EDGES, storages=3)
    routes = [rigs.route(ROUTE, "streaming", "engines", stateful=True)]
    rig.configure(routes, [rigs.engine_service("engines")])
    kind = os.environ.get("LINES", "CR" if rigs.has_trouble() else "LF")
    for zone in rigs.ZONES:
        rig.add_server(
            rigs.Engine(
                rig, "engines", zone=zone, events=5, line_end=LINE_END[kind]
            )
        )
    rig.record.add(f"lines of events end in {kind}")
    rig.start()
    rig.wait_members(EDGES)
    _wait_until_served(rig)
    # Body that a server must receive for each turn.
    expected: dict[str, bytes] = {}
    continued: set[str] = set()
    for _ in range(CONVERSATIONS):
        _converse(rig, expected, continued)
    wrong = 0
    checked = 0
    for engine in rig.servers:
        for _, request_id, body, _ in engine.runs:
            if request_id not in continued:
                continue
            checked += 1
            if body != expected[request_id]:
                wrong += 1
                rig.record.add(
                    f"UNASKED: server {engine.server_id} ran {request_id} with"
                    f" {body!r}, not {expected[request_id]!r}"
                )
    text = f"{checked} continued turns ran, {wrong} with another body"
    rig.record.add(text)
    print(text)
    if checked < CONVERSATIONS:
        rig.finish(rigs.CAN_NOT_RUN)
    rig.finish(1 if wrong else 0)


def _converse(
    rig: rigs.Rig, expected: dict[str, bytes], continued: set[str]
) -> None:
    """Run a conversation until a turn is not answered whole."""
    previous, chain = "", b""
    program_id = rigs.new_id()
    for _ in range(TURNS):
        request_id = rigs.new_id()
        body = f"input of {request_id}\n".encode()
        expected[request_id] = chain + body
        if previous:
            continued.add(request_id)
        edge = random.choice(rig.edges)
        answer = _turn(edge.address, request_id, program_id, previous, body)
        rig.record.add(
            f"turn {request_id} after {previous or 'none'} at {edge.name}:"
            f" {answer.status}, whole {answer.is_whole}"
        )
        if answer.status != 200 or not answer.is_whole:
            return
        output = "".join(f"{data}\n" for data in answer.event_data())
        chain = expected[request_id] + output.encode()
        previous = request_id


def _turn(
    address: str, request_id: str, program_id: str, previous: str, body: bytes
) -> rigs.Answer:
    fields = {
        "X-Balsamloom-Request-Id": request_id,
        "X-Balsamloom-Program-Id": program_id,
        "X-Balsamloom-Session-Id": program_id,
        "X-Balsamloom-Token-Usage": "300,120",
        "X-Balsamloom-Token-Budget": "4000",
        "X-Balsamloom-Prompt-Prefix": "00aa:200,00bb:100",
    }
    if previous:
        fields["X-Balsamloom-Previous-Turn"] = previous
    return rigs.ask(address, f"/{ROUTE}/t", fields, body)


def _wait_until_served(rig: rigs.Rig) -> None:
    """Wait until each edge serves a turn."""
    end_s = time.monotonic() + 15.0
    for edge in rig.edges:
        while not _turn(
            edge.address, rigs.new_id(), rigs.new_id(), "", b"first\n"
        ).is_whole:
            if time.monotonic() > end_s:
                rig.record.add(f"{edge.name} serves no turn")
                rig.finish(rigs.CAN_NOT_RUN)
            time.sleep(0.2)


main()
