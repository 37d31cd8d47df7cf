"""Budgets of looping programs, whose holder is killed in a store outage."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import rig as rigs  # noqa: E402

EDGES = 7
OUTAGE_S = 4.5
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "1.5"))
RESTART_S = 0.5
EVENTS = 10
TURN_TOKENS = EVENTS * rigs.TOKENS
BUDGET_TOKENS = 20 * TURN_TOKENS
PROGRAMS = 6
LOOPS = 3
ROUTE = "turn"
# A program that loops sends a turn twice more after a 402.
REFUSALS = 3
END_TIMEOUT_S = 45.0


class Program:
    """Program that loops until it is told that its budget is spent."""

    def __init__(self, rig: rigs.Rig) -> None:
        self.program_id = rigs.new_id()
        self.tokens = 0
        self._rig = rig
        self._lock = threading.Lock()

    def run(self) -> None:
        """Run one line of turns until it is refused with 402."""
        refusals = 0
        while refusals < REFUSALS:
            request_id = rigs.new_id()
            edge = random.choice(self._rig.live)
            fields = {
                "X-Balsamloom-Request-Id": request_id,
                "X-Balsamloom-Program-Id": self.program_id,
                "X-Balsamloom-Session-Id": self.program_id,
                "X-Balsamloom-Token-Usage": f"300,{TURN_TOKENS}",
                "X-Balsamloom-Token-Budget": str(BUDGET_TOKENS),
                "X-Balsamloom-Prompt-Prefix": "00aa:200,00bb:100",
            }
            answer = rigs.ask(edge.address, f"/{ROUTE}/t", fields)
            tokens = 0
            if answer.status == 200:
                tokens = len(answer.event_data()) * rigs.TOKENS
            with self._lock:
                self.tokens += tokens
                total = self.tokens
            self._rig.record.add(
                f"turn {request_id} of {self.program_id} at {edge.name}:"
                f" {answer.status}, {tokens} tokens, {total} in all"
            )
            refusals += answer.status == 402
            if answer.status != 200:
                time.sleep(0.1)


def main() -> None:
    """Run the case and exit with its status."""
    rig = rigs.Rig(__file__, edges=EDGES, storages=1)
    rig.configure(
        [rigs.route(ROUTE, "streaming", "engines")],
        [rigs.engine_service("engines")],
    )
    for zone in rigs.ZONES:
        rig.add_server(
            rigs.Engine(
                rig, "engines", zone=zone, events=EVENTS, interval_s=0.03
            )
        )
    rig.start()
    rig.wait_members(EDGES)
    time.sleep(2)
    programs = [Program(rig) for _ in range(PROGRAMS)]
    threads = [
        threading.Thread(target=program.run)
        for program in programs
        for _ in range(LOOPS)
    ]
    if rigs.has_trouble():
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        rig.record.add("the store goes silent")
        outage = threading.Thread(target=rig.store.go_silent, args=(OUTAGE_S,))
        outage.start()
        time.sleep(KILL_AFTER_S)
        _kill_first(rig)
        outage.join()
        rig.record.add("the store answers again")
        rig.wait_ready(rig.edges)
        rig.live = list(rig.edges)
    else:
        for thread in threads:
            thread.start()
    end_s = time.monotonic() + END_TIMEOUT_S
    for thread in threads:
        thread.join(max(end_s - time.monotonic(), 0.1))
    limit = BUDGET_TOKENS + TURN_TOKENS
    spent = [program.tokens for program in programs]
    text = f"the programs got {spent} tokens, {limit} are allowed to each"
    rig.record.add(text)
    print(text)
    if any(thread.is_alive() for thread in threads):
        rig.record.add("a program was not told that its budget is spent")
    if min(spent) < BUDGET_TOKENS // 2:
        rig.finish(rigs.CAN_NOT_RUN)
    rig.finish(1 if max(spent) > limit else 0)


def _kill_first(rig: rigs.Rig) -> None:
    """Kill the edge that wrote to the store last, and start it again."""
    victim = rig.edges[0]
    rig.live = rig.edges[1:]
    victim.kill()
    rig.record.add(f"{victim.name} is killed")
    time.sleep(RESTART_S)
    victim.start()


rigs.run(main)
