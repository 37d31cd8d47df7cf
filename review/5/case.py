"""One request crashes each server that runs it, after its first event."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import rig as rigs  # noqa: E402

EDGES = 4
ENGINES = 6
ROUTE = "chat"
DEADLY_BODY = b"the request that crashes servers"
DEADLY_TRIES = 20
DEADLY_PAUSE_S = 0.8
# Events that reach the consumer before the server crashes.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))
RESTART_S = 2.0
CONTACT_S = 3.0
MAX_CRASHES = 3
MAX_RETRIES = 3
OTHER_CONSUMERS = 12


def main() -> None:
    """Run the case and exit with its status."""
    rig = rigs.Rig(__file__, edges=EDGES, storages=1)
    routes = [rigs.route(ROUTE, "streaming", "engines")]
    rig.configure(routes, [rigs.engine_service("engines")])
    for number in range(ENGINES):
        zone = rigs.ZONES[number % 3]
        engine = rigs.Engine(rig, "engines", zone=zone, events=20)
        if rigs.has_trouble():
            engine.deadly_body = DEADLY_BODY
            engine.crash_after_events = EVENTS_BEFORE_CRASH
            engine.restart_s = RESTART_S
        rig.add_server(engine)
    rig.start()
    rig.wait_members(EDGES)
    stopped = threading.Event()
    others: list[bool] = []
    threads = [
        threading.Thread(target=_consume, args=(rig, stopped, others))
        for _ in range(OTHER_CONSUMERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    for _ in range(DEADLY_TRIES):
        edge = random.choice(rig.edges)
        request_id = rigs.new_id()
        fields = _fields(request_id, "00dd")
        answer = rigs.ask(edge.address, f"/{ROUTE}/d", fields, DEADLY_BODY)
        rig.record.add(
            f"the request comes as {request_id} at {edge.name}:"
            f" {answer.status}, {len(answer.event_data())} events, whole"
            f" {answer.is_whole}"
        )
        time.sleep(DEADLY_PAUSE_S)
    stopped.set()
    for thread in threads:
        thread.join()
    _judge(rig, others)


def _judge(rig: rigs.Rig, others: list[bool]) -> None:
    runs = sorted(
        moment
        for engine in rig.servers
        for moment, _, body, _ in engine.runs
        if body == DEADLY_BODY
    )
    text = (
        f"it reached servers {len(runs)} times; {others.count(False)} of"
        f" {len(others)} other streams were not answered whole"
    )
    if not runs:
        rig.finish(rigs.CAN_NOT_RUN)
    if not rigs.has_trouble():
        rig.record.add(text)
        print(text)
        is_sound = len(runs) == DEADLY_TRIES and all(others)
        rig.finish(0 if is_sound else rigs.CAN_NOT_RUN)
    if len(runs) < MAX_CRASHES:
        rig.record.add(text)
        rig.finish(rigs.CAN_NOT_RUN)
    # Each run crashes its server within 50 ms.
    third_s = runs[MAX_CRASHES - 1] + 0.1
    late = [moment for moment in runs if moment > third_s + CONTACT_S]
    text += (
        f"; {len(late)} times later than {CONTACT_S} s after it had crashed"
        f" the third server, {MAX_RETRIES} are allowed"
    )
    rig.record.add(text)
    print(text)
    rig.finish(1 if len(late) > MAX_RETRIES else 0)


def _consume(
    rig: rigs.Rig, stopped: threading.Event, others: list[bool]
) -> None:
    """Send other streams, one after the other."""
    while not stopped.is_set():
        request_id = rigs.new_id()
        edge = random.choice(rig.edges)
        fields = _fields(request_id, request_id)
        answer = rigs.ask(edge.address, f"/{ROUTE}/o", fields)
        is_good = answer.status == 200 and answer.is_whole
        others.append(is_good)
        rig.record.add(
            f"other request {request_id} at {edge.name}: {answer.status},"
            f" {len(answer.event_data())} events, whole {answer.is_whole}"
        )
        time.sleep(random.uniform(0.05, 0.2))


def _fields(request_id: str, prompt_id: str) -> dict[str, str]:
    return {
        "X-Balsamloom-Request-Id": request_id,
        "X-Balsamloom-Token-Usage": "300,240",
        "X-Balsamloom-Prompt-Prefix": f"00aa:200,{prompt_id}:100",
    }


rigs.run(main)
