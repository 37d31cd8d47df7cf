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
BUDGET_TOKENS = 60 * TURN_TOKENS
PROGRAMS = 6
THINK_S = 0.06
LOOPS = 3
ROUTE = "turn"
# A turn that failed, also with 402, is sent at most twice more after a pause.
SENDS = 3
PAUSE_S = (0.1, 0.4)
# Statuses that say "not run": consumers retry once after Retry-After.
PROMISES = (408, 421, 429, 503)
TIME_BUDGET_S = 5.0
END_TIMEOUT_S = 45.0


class Program:
    """Program that loops until it is told that its budget is spent."""

    def __init__(self, rig: rigs.Rig) -> None:
        self.program_id = rigs.new_id()
        self.tokens = 0
        self._rig = rig
        # A turn that fails for good ends all lines of the program.
        self._has_failed = False
        self._lock = threading.Lock()

    def run(self) -> None:
        """Run one line of turns until a turn of the program fails for good."""
        while not self._has_failed:
            if not self._run_turn():
                self._has_failed = True
            time.sleep(THINK_S)

    def _run_turn(self) -> bool:
        """Send a turn, at most twice more; return whether it succeeded."""
        for _ in range(SENDS):
            answer = self._send()
            if answer.status in PROMISES:
                time.sleep(_retry_after_s(answer))
                answer = self._send()
            if answer.status == 200 and answer.is_whole:
                return True
            time.sleep(random.uniform(*PAUSE_S))
        return False

    def _send(self) -> rigs.Answer:
        """Send the turn once, at any address in use."""
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
        return answer


def _retry_after_s(answer: rigs.Answer) -> float:
    """Return the pause that is asked for, up to a third of the time left."""
    return min(float(answer.fields.get("retry-after", 0)), TIME_BUDGET_S / 3)


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
    if max(spent) > limit:
        rig.finish(1)
    rig.finish(0 if max(spent) >= BUDGET_TOKENS // 2 else rigs.CAN_NOT_RUN)


def _kill_first(rig: rigs.Rig) -> None:
    """Kill the edge that wrote to the store last, and start it again."""
    victim = rig.edges[0]
    rig.live = rig.edges[1:]
    victim.kill()
    rig.record.add(f"{victim.name} is killed")
    time.sleep(RESTART_S)
    victim.start()


rigs.run(main)
