"""Inject random faults while programs run, then check the requirements.

Starts both deployments as real processes. The seed determines the faults, but
the timing of the processes varies between runs.
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

STEP_INTERVAL_S = 0.8
PROGRAM_COUNT = 4
RECOVERY_TIMEOUT_S = 30.0
RELEASE_TIMEOUT_S = 10.0
CALL_TIMEOUT_MS = 15_000
BUDGET = {"generated_tokens": 4_000, "calls": 2_000}
SHORT_DEADLINES_MS = (300, 1_500)
ENTRY_FAULTS = ("kill", "pause", "terminate", "cut")
STORE_FAULTS = ("refuse", "hang", "slow", "lose_answers")
TOOL_FAULTS = ("hang", "refuse", "error")
STEP_KINDS = ("entry", "entry", "store", "tools", "engine", "edit", "repair")


class Target:
    """A deployment under test with its programs, faults and findings.

    :param running: fleet that ends the processes.
    :param shape: size and names.
    :param rng: random source of the faults and programs.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        shape: deployments.Shape,
        rng: random.Random,
    ) -> None:
        self.name = shape.customer
        self._rng = rng
        self._deployment = callers.start_deployment(running, shape)
        self._caller = callers.RecordingCaller(
            self._deployment, CALL_TIMEOUT_MS
        )
        self._sampler = evidence.RevisionSampler(
            lambda: self._deployment.live_entries(), self._deployment.status
        )
        self._entry_numbers = itertools.count(100)
        self._paused: list[fleet.Process] = []
        self._stopping: list[fleet.Process] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run_program, args=(number,), daemon=True
            )
            for number in range(PROGRAM_COUNT)
        ]
        self._seeds = [rng.random() for _ in range(PROGRAM_COUNT)]
        self._silence_ms = itertools.count(20_000)
        self.findings: list[str] = []

    def start(self) -> None:
        """Start the programs."""
        for _ in range(PROGRAM_COUNT):
            self._caller.start(budget=BUDGET)
        self._sampler.start()
        for thread in self._threads:
            thread.start()

    def step(self) -> str:
        """Inject or repair one random fault and return its description."""
        kind = self._rng.choice(STEP_KINDS)
        match kind:
            case "entry":
                return self._inject_entry_fault()
            case "store":
                mode = self._rng.choice(STORE_FAULTS)
                return self._set_store_fault(mode)
            case "tools":
                mode = self._rng.choice(TOOL_FAULTS)
                return self._set_tool_fault(mode)
            case "engine":
                return self._inject_engine_fault()
            case "edit":
                return self._edit_configuration()
            case _:
                self._repair_entries()
                return "repair entry processes"

    def finish(self) -> None:
        """Repair all faults, wait for recovery, and check requirements."""
        self._set_store_fault("none")
        for tool in self._deployment.tools:
            tool.request("POST", "/control", {"mode": "none"})
        for engine in self._deployment.engines:
            engine.request("POST", "/control", {"slowdown": 1})
        self._stopped.set()
        self._repair_entries()
        for thread in self._threads:
            thread.join(RECOVERY_TIMEOUT_S)
            if thread.is_alive():
                self.findings.append("a program did not end in time")
        self._deployment.wait_until(
            self._is_ready, "entry processes are ready", RECOVERY_TIMEOUT_S
        )
        self._caller.reconnect(self._deployment.live_entries())
        self._check()

    def summary(self) -> str:
        """Return a line with the number of calls by their outcome."""
        calls = self._caller.calls
        completed = sum(call.is_completed for call in calls)
        not_run = sum(call.not_run for call in calls)
        return (
            f"{self.name}: {len(calls)} calls, {completed} completed,"
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
        """Make random calls one after another until the run is stopped.

        :param number: index of the program.
        """
        rng = random.Random(self._seeds[number])
        program_id = list(self._caller.budgets)[number]
        operations = [
            name
            for name, operation in self._deployment.shape.operations.items()
            if not operation.get("idempotent")
        ]
        for turn in itertools.count():
            if self._stopped.wait(rng.uniform(0.0, 0.2)):
                return
            operation = rng.choice(operations)
            match rng.choice(("chat", "tool", "tool", "once")):
                case "chat":
                    # Distinct lengths reveal answers that were swapped.
                    tokens = 3 + number + PROGRAM_COUNT * (turn % 5)
                    text = f"turn {turn} of {program_id}"
                    self._caller.chat(program_id, text, tokens)
                case "tool":
                    self._caller.tool(program_id, operation)
                case _:
                    self._call_once(rng, program_id, operation)

    def _call_once(
        self, rng: random.Random, program_id: str, operation: str
    ) -> None:
        key = self._caller.new_key(program_id, operation)
        deadline_ms = rng.choice(SHORT_DEADLINES_MS)
        self._caller.tool_once(program_id, operation, key, deadline_ms)

    def _inject_entry_fault(self) -> str:
        kind = self._rng.choice(ENTRY_FAULTS)
        eligible = [
            entry
            for entry in self._deployment.live_entries()
            if entry not in self._paused + self._stopping
        ]
        if len(eligible) < 2:
            self._repair_entries()
            return "repair entry processes"
        entry = self._rng.choice(eligible)
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
                other = next(peer for peer in eligible if peer is not entry)
                status = self._deployment.status(other)
                blocked = [status.get("peer_address", "")]
                self._block_peers(entry, blocked)
        return f"{kind} {entry.name}"

    def _block_peers(self, entry: fleet.Process, blocked: list[str]) -> None:
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
            self._block_peers(entry, [])
        expected = self._deployment.shape.entry_count
        missing = (
            expected - len(self._deployment.entries) + len(self._stopping)
        )
        for _ in range(missing):
            self._deployment.add_entry(next(self._entry_numbers))

    def _set_store_fault(self, mode: str) -> str:
        body = {"mode": mode, "delay_ms": 300, "probability": 0.7}
        self._deployment.store.request("POST", "/faults", body)
        return f"store: {mode}"

    def _set_tool_fault(self, mode: str) -> str:
        tool = self._rng.choice(self._deployment.tools)
        for other in self._deployment.tools:
            body = {"mode": mode if other is tool else "none"}
            other.request("POST", "/control", body)
        return f"{tool.name}: {mode}"

    def _inject_engine_fault(self) -> str:
        engine = self._rng.choice(self._deployment.engines)
        if self._rng.random() < 0.5:
            engine.request("POST", "/v1/cancel", {"tag_prefix": "p"})
            return f"{engine.name}: cancel all requests"
        factor = self._rng.choice((1, 10))
        engine.request("POST", "/control", {"slowdown": factor})
        return f"{engine.name}: slowdown {factor}"

    def _edit_configuration(self) -> str:
        value = next(self._silence_ms)
        self._set_store_fault("none")
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
        calls = self._caller.calls_of(program_id)
        messages = self._caller.show(program_id)["messages"]
        self.findings += checks.check_history(
            messages,
            calls,
            lambda call: self._caller.recorded_code(program_id, call.key),
        )
        sent_requests = [
            request
            for request in requests
            if evidence.program_of(str(request["tag"])) == program_id
        ]
        self.findings += checks.check_prompts(sent_requests, messages, calls)

    def _check_holds(self) -> None:
        for program_id in self._caller.budgets:
            self._caller.end(program_id)

        def unreleased() -> list[str]:
            tags = evidence.fetch_hold_tags(self._deployment.engines)
            return checks.check_holds(tags, self._caller.ended)

        try:
            self._deployment.wait_until(
                lambda: not unreleased(),
                "memory is released",
                RELEASE_TIMEOUT_S,
            )
        except TimeoutError:
            self.findings += unreleased()


def run(seed: int, steps: int, report: Callable[[str], None]) -> list[str]:
    """Run both deployments under faults and return the violations found.

    :param seed: seed of the faults.
    :param steps: number of faults.
    :param report: called with each line of progress.
    """
    rng = random.Random(seed)
    with fleet.Fleet() as first, fleet.Fleet() as second:
        shapes = (deployments.RESTWELL, deployments.WASSERREIGEN)
        targets = [
            Target(
                running,
                callers.small_shape(shape),
                random.Random(rng.random()),
            )
            for running, shape in zip((first, second), shapes, strict=True)
        ]
        start_s = time.monotonic()
        for target in targets:
            target.start()
        for number in range(steps):
            target = rng.choice(targets)
            elapsed_s = time.monotonic() - start_s
            report(f"{elapsed_s:6.1f} s {target.name}: {target.step()}")
            next_s = start_s + (number + 1) * STEP_INTERVAL_S
            time.sleep(max(next_s - time.monotonic(), 0))
        for target in targets:
            target.finish()
            report(target.summary())
        return [
            f"{target.name}: {finding}"
            for target in targets
            for finding in target.findings
        ]


@click.command()
@click.option("--seed", type=int, help="Seed of faults; random by default.")
@click.option("--steps", default=40, show_default=True, help="Fault count.")
def main(seed: int | None, steps: int) -> None:
    """Inject random faults and check the requirements.

    The exit status is 1 if a requirement is violated.

    :param seed: seed of the faults.
    :param steps: number of faults.
    """
    # sys.exit unwinds the fleets, which end their processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    click.echo(f"seed {seed}, {steps} steps")
    try:
        findings = run(seed, steps, click.echo)
    except (
        responses.CallError,
        errors.BalsamloomError,
        TimeoutError,
    ) as error:
        findings = [f"no recovery from the faults: {error!r}"]
    for finding in findings:
        click.echo(finding)
    click.echo(f"seed {seed}: {len(findings)} findings")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
