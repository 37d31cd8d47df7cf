"""An unreadable entry stops all processes from following the store."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import rig as rigs  # noqa: E402

EDGES = 4
CONFIG_APPLY_S = 2.0
# Requests are sent from this time after the configuration was acknowledged.
FIRST_REQUEST_S = CONFIG_APPLY_S + 0.5
REQUESTS = 60
PAUSE_S = 0.1
LATE_START_S = 10.0
# Bytes of an entry that no JSON parser has to accept.
UNREADABLE = {
    "nested": b"[" * 5_000,
    "binary": b"\xff\xfe\x00\x01",
    "text": b"not JSON",
}


def main() -> None:
    """Run the case and exit with its status."""
    rig = rigs.Rig(__file__, edges=EDGES + 1, storages=1)
    late_edge = rig.edges.pop()
    services = [rigs.engine_service("first"), rigs.engine_service("second")]
    old = [_route("moved", "first"), _route("dropped", "first")]
    new = [_route("moved", "second"), _route("added", "second")]
    rig.configure(old, services)
    for service in ("first", "second"):
        for zone in rigs.ZONES:
            rig.add_server(rigs.Engine(rig, service, zone=zone, events=3))
    rig.start()
    rig.wait_members(EDGES)
    _wait_until_served(rig)
    if rigs.has_trouble():
        kind = os.environ.get("BYTES", "nested")
        rig.store.put_bytes("servers/i-0000000000", UNREADABLE[kind])
        rig.record.add(f"another writer writes an entry of {kind} bytes")
    time.sleep(1.0)
    rig.configure(new, services)
    time.sleep(FIRST_REQUEST_S)
    stale = [_is_stale(rig) for _ in range(REQUESTS)]
    text = (
        f"{stale.count(True)} of {len(stale)} requests were handled as only"
        f" the older version allows, {FIRST_REQUEST_S} s or more after the"
        " ack"
    )
    rig.record.add(text)
    print(text)
    _start_late(rig, late_edge)
    rig.finish(1 if any(stale) else 0)


def _start_late(rig: rigs.Rig, edge: rigs.Process) -> None:
    """Record whether an edge that is added becomes ready; not judged."""
    edge.start()
    rig.edges.append(edge)
    end_s = time.monotonic() + LATE_START_S
    while not edge.is_ready() and time.monotonic() < end_s:
        time.sleep(0.1)
    text = f"an edge that is added is ready in {LATE_START_S} s:"
    text = f"{text} {edge.is_ready()}"
    rig.record.add(text)
    print(text)


def _route(name: str, service: str) -> dict[str, object]:
    return rigs.route(name, "streaming", service)


def _is_stale(rig: rigs.Rig) -> bool:
    """Send a request; return whether an older version decided on it."""
    time.sleep(PAUSE_S)
    name = random.choice(("moved", "added", "dropped"))
    edge = random.choice(rig.edges)
    request_id = rigs.new_id()
    answer = _send(edge.address, name, request_id)
    services = {
        server.service
        for server in rig.servers
        for _, run_id, _, _ in server.runs
        if run_id == request_id
    }
    rig.record.add(
        f"request {request_id} on {name} at {edge.name}: {answer.status},"
        f" run by {sorted(services) or 'no service'}"
    )
    if name == "added":
        return answer.status == 404
    return "first" in services


def _send(address: str, name: str, request_id: str) -> rigs.Answer:
    fields = {
        "X-Balsamloom-Request-Id": request_id,
        "X-Balsamloom-Token-Usage": "300,60",
        "X-Balsamloom-Prompt-Prefix": "00aa:200,00bb:100",
    }
    return rigs.ask(address, f"/{name}/t", fields)


def _wait_until_served(rig: rigs.Rig) -> None:
    """Wait until each edge serves a request."""
    end_s = time.monotonic() + 15.0
    for edge in rig.edges:
        while not _send(edge.address, "moved", rigs.new_id()).is_whole:
            if time.monotonic() > end_s:
                rig.record.add(f"{edge.name} serves nothing")
                rig.finish(rigs.CAN_NOT_RUN)
            time.sleep(0.2)


rigs.run(main)
