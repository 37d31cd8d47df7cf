"""Mix faults at random while programs run, then check the requirements.

Starts both deployments as real processes. The seed decides the faults; the
processes' own timing varies between runs.
"""

from __future__ import annotations

import itertools
import random
import signal
import sys
import threading
import time
from collections.abc import Callable

import click

from balsamloom_cli import responses
from balsamloom_core import errors
from balsamloom_standins import (
    callers,
    checks,
    deployments,
    evidence,
    fleet,
)

STEP_S = 0.8
PROGRAMS = 4
QUIET_TIMEOUT_S = 30.0
HOLDS_TIMEOUT_S = 10.0
CALL_TIMEOUT_MS = 15_000
BUDGET = {"generated_tokens": 4_000, "calls": 2_000}
SHORT_DEADLINES_MS = (300, 1_500)
ENTRY_FAULTS = ("kill", "pause", "terminate", "cut")
STORE_FAULTS = ("refuse", "hang", "slow", "lose_answers")
TOOL_FAULTS = ("hang", "refuse", "error")
KINDS = ("entry", "entry", "store", "tools", "engine", "edit", "repair")


class Side:
    """One deployment with its programs, its faults and its findings.

    :param running: fleet that ends the processes.
    :param shape: size and names.
    :param choice: source of the choices of this side.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        shape: deployments.Shape,
        choice: random.Random,
    ) -> None:
        self.name = shape.customer
        self._choice = choice
        self._deployment = callers.start_deployment(running, shape)
        self._caller = callers.RecordingCaller(
            self._deployment, CALL_TIMEOUT_MS
        )
        self._sampler = evidence.RevisionSampler(
            lambda: self._deployment.live_entries(), self._deployment.status
        )
        self._names = itertools.count(100)
        self._paused: list[fleet.Process] = []
        self._stopping: list[fleet.Process] = []
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run_program, args=(number,), daemon=True
            )
            for number in range(PROGRAMS)
        ]
        self._seeds = [choice.random() for _ in range(PROGRAMS)]
        self._edits = itertools.count(20_000)
        self.findings: list[str] = []

    def start(self) -> None:
        """Start the programs."""
        for _ in range(PROGRAMS):
            self._caller.start(budget=BUDGET)
        self._sampler.start()
        for thread in self._threads:
            thread.start()

    def step(self) -> str:
        """Inject or repair one fault and return it in words."""
        kind = self._choice.choice(KINDS)
        match kind:
            case "entry":
                return self._disturb_entry()
            case "store":
                mode = self._choice.choice(STORE_FAULTS)
                return self._store_fault(mode)
            case "tools":
                mode = self._choice.choice(TOOL_FAULTS)
                return self._control_tool(mode)
            case "engine":
                return self._disturb_engine()
            case "edit":
                return self._edit()
            case _:
                self._repair_entries()
                return "repair entry processes"

    def finish(self) -> None:
        """Repair everything, wait until it is quiet, and check."""
        self._store_fault("none")
        for tool in self._deployment.tools:
            tool.request("POST", "/control", {"mode": "none"})
        for engine in self._deployment.engines:
            engine.request("POST", "/control", {"slowdown": 1})
        self._ended.set()
        self._repair_entries()
        for thread in self._threads:
            thread.join(QUIET_TIMEOUT_S)
            if thread.is_alive():
                self.findings.append("a program did not come to its end")
        self._deployment.wait_until(
            self._is_ready, "entry processes are ready", QUIET_TIMEOUT_S
        )
        self._caller.reconnect(self._deployment.live_entries())
        self._check()

    def figures(self) -> str:
        """Return the number of calls and of completed ones."""
        told = self._caller.calls
        completed = sum(call.is_completed for call in told)
        not_run = sum(call.not_run for call in told)
        return (
            f"{self.name}: {len(told)} calls, {completed} completed,"
            f" {not_run} refused as not run"
        )

    def _is_ready(self) -> bool:
        for entry in self._stopping:
            if entry.is_running:
                return False
        live = self._deployment.live_entries()
        statuses = [self._deployment.status(entry) for entry in live]
        served = sum(status.get("partitions", 0) for status in statuses)
        members = {status.get("members") for status in statuses}
        return served == callers.PARTITIONS and members == {len(live)}

    def _run_program(self, number: int) -> None:
        """Make calls one after another until the end.

        :param number: position of the program.
        """
        choice = random.Random(self._seeds[number])
        program_id = list(self._caller.budgets)[number]
        operations = [
            name
            for name, operation in self._deployment.shape.operations.items()
            if not operation.get("idempotent")
        ]
        for turn in itertools.count():
            if self._ended.wait(choice.uniform(0.0, 0.2)):
                return
            operation = choice.choice(operations)
            match choice.choice(("chat", "tool", "tool", "once")):
                case "chat":
                    # Answers of different lengths show a mix-up.
                    tokens = 3 + number + PROGRAMS * (turn % 5)
                    text = f"turn {turn} of {program_id}"
                    self._caller.chat(program_id, text, tokens)
                case "tool":
                    self._caller.tool(program_id, operation)
                case _:
                    self._call_once(choice, program_id, operation)

    def _call_once(
        self, choice: random.Random, program_id: str, operation: str
    ) -> None:
        key = self._caller.new_key(program_id, operation)
        deadline_ms = choice.choice(SHORT_DEADLINES_MS)
        self._caller.tool_once(program_id, operation, key, deadline_ms)

    def _disturb_entry(self) -> str:
        kind = self._choice.choice(ENTRY_FAULTS)
        free = [
            entry
            for entry in self._deployment.live_entries()
            if entry not in self._paused + self._stopping
        ]
        if len(free) < 2:
            self._repair_entries()
            return "repair entry processes"
        entry = self._choice.choice(free)
        match kind:
            case "kill":
                entry.kill()
            case "pause":
                entry.pause()
                self._paused.append(entry)
            case "terminate":
                entry.terminate()
                self._stopping.append(entry)
            case _:
                other = next(one for one in free if one is not entry)
                status = self._deployment.status(other)
                blocked = [status.get("peer_address", "")]
                self._set_links(entry, blocked)
        return f"{kind} {entry.name}"

    def _set_links(self, entry: fleet.Process, blocked: list[str]) -> None:
        body = {"blocked_peers": [peer for peer in blocked if peer]}
        entry.request("POST", "/v1/faults", body)

    def _repair_entries(self) -> None:
        for entry in self._paused:
            entry.resume()
        self._paused.clear()
        self._deployment.entries = self._deployment.live_entries()
        self._stopping = [
            entry for entry in self._stopping if entry.is_running
        ]
        for entry in self._deployment.entries:
            self._set_links(entry, [])
        wanted = self._deployment.shape.entry_count
        lacking = wanted - len(self._deployment.entries) + len(self._stopping)
        for _ in range(lacking):
            self._deployment.add_entry(next(self._names))

    def _store_fault(self, mode: str) -> str:
        body = {"mode": mode, "delay_ms": 300, "probability": 0.7}
        self._deployment.store.request("POST", "/faults", body)
        return f"store: {mode}"

    def _control_tool(self, mode: str) -> str:
        tool = self._choice.choice(self._deployment.tools)
        for other in self._deployment.tools:
            body = {"mode": mode if other is tool else "none"}
            other.request("POST", "/control", body)
        return f"{tool.name}: {mode}"

    def _disturb_engine(self) -> str:
        engine = self._choice.choice(self._deployment.engines)
        if self._choice.random() < 0.5:
            engine.request("POST", "/v1/cancel", {"tag_prefix": "p"})
            return f"{engine.name}: cancel all requests"
        factor = self._choice.choice((1, 10))
        engine.request("POST", "/control", {"slowdown": factor})
        return f"{engine.name}: slowdown {factor}"

    def _edit(self) -> str:
        value = next(self._edits)
        self._store_fault("none")
        self._deployment.apply("limits", {"silence_ms": value})
        return "store: none, edit of the configuration"

    def _check(self) -> None:
        caller = self._caller
        runs = evidence.fetch_records(self._deployment.tools)
        requests = evidence.fetch_records(self._deployment.engines)
        self.findings += checks.check_order(
            runs, callers.TOOL_TIMEOUT_MS / 1000
        )
        self.findings += checks.check_runs(runs, caller.calls)
        self.findings += checks.check_answers(caller.calls)
        self.findings += checks.check_budgets(requests, caller.budgets)
        for program_id in caller.budgets:
            self._check_program(program_id, requests)
        self.findings += self._sampler.stop()
        self._check_holds()

    def _check_program(
        self, program_id: str, requests: list[dict[str, object]]
    ) -> None:
        told = self._caller.calls_of(program_id)
        messages = self._caller.show(program_id)["messages"]
        self.findings += checks.check_history(
            messages,
            told,
            lambda call: self._caller.recorded_code(program_id, call.key),
        )
        own = [
            request
            for request in requests
            if evidence.program_of(str(request["tag"])) == program_id
        ]
        self.findings += checks.check_prompts(own, messages, told)

    def _check_holds(self) -> None:
        for program_id in self._caller.budgets:
            self._caller.end(program_id)

        def findings() -> list[str]:
            tags = evidence.fetch_hold_tags(self._deployment.engines)
            return checks.check_holds(tags, self._caller.ended)

        try:
            self._deployment.wait_until(
                lambda: not findings(), "memory is released", HOLDS_TIMEOUT_S
            )
        except TimeoutError:
            self.findings += findings()


def run(seed: int, steps: int, say: Callable[[str], None]) -> list[str]:
    """Run once and return what was found.

    :param seed: seed of the faults.
    :param steps: number of faults.
    :param say: takes lines of progress.
    """
    choice = random.Random(seed)
    with fleet.Fleet() as first, fleet.Fleet() as second:
        shapes = (deployments.RESTWELL, deployments.WASSERREIGEN)
        sides = [
            Side(
                running,
                callers.small_shape(shape),
                random.Random(choice.random()),
            )
            for running, shape in zip((first, second), shapes, strict=True)
        ]
        start_s = time.monotonic()
        for side in sides:
            side.start()
        for number in range(steps):
            side = choice.choice(sides)
            passed_s = time.monotonic() - start_s
            say(f"{passed_s:6.1f} s {side.name}: {side.step()}")
            next_s = start_s + (number + 1) * STEP_S
            time.sleep(max(next_s - time.monotonic(), 0))
        for side in sides:
            side.finish()
            say(side.figures())
        return [
            f"{side.name}: {finding}"
            for side in sides
            for finding in side.findings
        ]


@click.command()
@click.option("--seed", type=int, help="Seed; a random one by default.")
@click.option("--steps", default=40, show_default=True, help="Faults.")
def main(seed: int | None, steps: int) -> None:
    """Mix faults at random and check the requirements; status 1 if one fell.

    :param seed: seed of the faults.
    :param steps: number of faults.
    """
    # The processes end with this one, also when it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    click.echo(f"seed {seed}, {steps} steps")
    try:
        found = run(seed, steps, click.echo)
    except (
        responses.CallError,
        errors.BalsamloomError,
        TimeoutError,
    ) as error:
        found = [f"not quiet: {error!r}"]
    for finding in found:
        click.echo(finding)
    click.echo(f"seed {seed}: {len(found)} findings")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
