"""Run sample programs on both deployments and verify their results.

All processes listen on free loopback ports and end with this process. One
entry process is killed midway. The last line counts the programs, the
complete ones, the lost ones and the calls that ran twice.
"""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import queue
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import NoReturn

import click
import demo_progress

from balsamloom_cli import client, responses
from balsamloom_core import errors, results
from balsamloom_standins import deployments, fleet, load

SHAPES = (deployments.RESTWELL, deployments.WASSERREIGEN)
KILLED_CUSTOMER = deployments.RESTWELL.customer
CALL_TIMEOUT_MS = 30_000
END_TIMEOUT_S = 120.0
# Enough arrivals that every kind of program occurs often.
ARRIVALS = load.RateStep(100, 10_000)
INTERRUPTED_STATUS = 130


class CustomerDemo:
    """Programs of one customer on its deployment.

    :param deployment: running deployment.
    :param plans: programs to run.
    """

    def __init__(
        self, deployment: deployments.Deployment, plans: list[load.Plan]
    ) -> None:
        self.deployment = deployment
        self.plans = plans
        self.kill_lock = demo_progress.KillLock()
        self.progress = demo_progress.Progress()
        addresses = [entry.address for entry in deployment.entries]
        self.caller = client.Caller(
            addresses, deployment.shape.customer, timeout_ms=CALL_TIMEOUT_MS
        )

    def start_programs(
        self, events: queue.Queue[demo_progress.Outcome | str]
    ) -> None:
        """Start each program at its arrival time, in its own thread.

        :param events: queue that receives the outcomes.
        """
        start_s = time.monotonic()
        for plan in self.plans:
            wait_s = start_s + plan.arrival_ms / 1000 - time.monotonic()
            time.sleep(max(wait_s, 0))
            threading.Thread(
                target=self._run_and_report, args=(plan, events), daemon=True
            ).start()

    def kill_owner(
        self, events: queue.Queue[demo_progress.Outcome | str]
    ) -> None:
        """Kill the entry process that owns a program in progress.

        :param events: queue that receives a message, empty if none was killed.
        """
        events.put(self._kill_owner())

    def _kill_owner(self) -> str:
        if not self.progress.wait_midway(len(self.plans) // 2):
            return ""
        with self.kill_lock.exclusive():
            for program_id in self.progress.in_progress():
                address = self.caller.address(program_id).address
                for entry in self.deployment.live_entries():
                    if entry.address == address:
                        entry.kill()
                        return (
                            f"killed entry process {entry.name} at {address},"
                            f" owner of {program_id}"
                        )
        return ""

    def find_missing(
        self, outcome: demo_progress.Outcome, runs: dict[str, int]
    ) -> str:
        """Check that every acknowledged step of a program is recorded.

        :param outcome: result as the caller saw it.
        :param runs: number of runs of each key at the tool servers.
        :return: description of what is missing, or an empty string.
        """
        try:
            shown = self.caller.show(outcome.program_id)
        except responses.CallError as error:
            return f"not found: {error}"
        finished = {
            call["key"]
            for call in shown["calls"]
            if call["code"] == results.ResultCode.COMPLETED
        }
        sent = [
            message["content"]
            for message in shown["messages"]
            if message["role"] == "user"
        ]
        acknowledged = [
            _text(step)
            for step in outcome.completed_steps
            if isinstance(step.call, load.ModelCall)
        ]
        if sent[: len(acknowledged)] != acknowledged:
            return "its history differs from what its caller sent"
        for step in outcome.completed_steps:
            if step.key not in finished:
                return f"call {step.key} is not in its history"
            if isinstance(step.call, load.ToolCall) and not runs.get(step.key):
                return f"call {step.key} never ran"
        return ""

    def runs(self) -> dict[str, int]:
        """Return the number of runs of each key at all tool servers."""
        found: collections.Counter[str] = collections.Counter()
        for tool in self.deployment.tools:
            found.update(tool.request("GET", "/runs"))
        return dict(found)

    def _run_and_report(
        self, plan: load.Plan, events: queue.Queue[demo_progress.Outcome | str]
    ) -> None:
        events.put(self._run(plan))

    def _run(self, plan: load.Plan) -> demo_progress.Outcome:
        start_s = time.monotonic()
        program_id, status = "", "complete"
        steps: list[demo_progress.Step] = []
        completed_count = 0
        try:
            program_id = self._start(plan)
            steps = self._steps(program_id, plan)
            for step in steps:
                self.progress.update(program_id, len(steps) - completed_count)
                self._call(program_id, step)
                completed_count += 1
        except errors.BalsamloomError as error:
            status = error.code.name.lower()
        except Exception as error:
            # run_programs waits for one outcome of each program.
            status = repr(error)
        if program_id:
            self.progress.update(program_id, 0)
        latency_ms = (time.monotonic() - start_s) * 1000
        return demo_progress.Outcome(
            plan.kind,
            plan.customer,
            program_id,
            status,
            latency_ms,
            steps,
            completed_count,
        )

    def _start(self, plan: load.Plan) -> str:
        specification = {
            "customer": plan.customer,
            "workspace": plan.kind,
            "urgent": plan.is_urgent,
        }
        with self.kill_lock.shared():
            return self.caller.start(specification)

    def _steps(
        self, program_id: str, plan: load.Plan
    ) -> list[demo_progress.Step]:
        steps = []
        for number, call in enumerate(plan.steps):
            if not isinstance(call, load.Pause):
                key = f"{program_id}-{number}"
                steps.append(
                    demo_progress.Step(key, call, self._is_repeatable(call))
                )
        return steps

    def _is_repeatable(self, call: load.ModelCall | load.ToolCall) -> bool:
        if isinstance(call, load.ModelCall):
            return True
        operation = self.deployment.shape.operations[call.operation]
        return bool(operation.get("idempotent"))

    def _call(self, program_id: str, step: demo_progress.Step) -> None:
        call = step.call
        if isinstance(call, load.ModelCall):
            self._chat(program_id, step, call)
            return
        no_lock = contextlib.nullcontext()
        with no_lock if step.is_repeatable else self.kill_lock.shared():
            self.caller.tool(
                program_id, call.service, call.operation, call.body, step.key
            )

    def _chat(
        self, program_id: str, step: demo_progress.Step, call: load.ModelCall
    ) -> None:
        body = {
            "model": call.model,
            "max_tokens": call.max_tokens,
            "messages": [{"role": "user", "content": _text(step)}],
        }
        *_, last = self.caller.chat(program_id, body, step.key)
        if last.body["code"] != results.ResultCode.COMPLETED:
            code = results.ResultCode(last.body["code"])
            raise errors.BalsamloomError(code)


def _text(step: demo_progress.Step) -> str:
    """Return the message of a model call, unique to the step."""
    assert isinstance(step.call, load.ModelCall)
    size = step.call.prompt_tokens * load.CHARACTERS_PER_TOKEN
    return f"{step.key} ".ljust(size, "x")


def choose_plans(customer: str, per_kind: int, seed: int) -> list[load.Plan]:
    """Return the same number of programs of each kind, long ones first.

    :param customer: customer of the programs.
    :param per_kind: programs of each kind.
    :param seed: seed of the choice.
    """
    by_kind: dict[str, list[load.Plan]] = collections.defaultdict(list)
    for plan in load.make_plans(seed, [ARRIVALS], customers=(customer,)):
        by_kind[plan.kind].append(plan)
    rounds = zip(
        *(found[:per_kind] for found in by_kind.values()), strict=True
    )
    chosen = [
        plan
        for part in rounds
        for plan in sorted(part, key=lambda plan: -len(plan.steps))
    ]
    return [
        plan._replace(arrival_ms=number * 400.0)
        for number, plan in enumerate(chosen)
    ]


def start_demo(
    running: fleet.Fleet,
    shape: deployments.Shape,
    per_kind: int,
    seed: int,
) -> CustomerDemo:
    """Start a deployment.

    :param running: fleet that ends its processes.
    :param shape: size and names.
    :param per_kind: programs of each kind.
    :param seed: seed of the programs.
    """
    deployment = deployments.Deployment(running, shape)
    deployment.start()
    plans = choose_plans(shape.customer, per_kind, seed)
    return CustomerDemo(deployment, plans)


def run_programs(
    demos: list[CustomerDemo],
) -> tuple[list[demo_progress.Outcome], bool]:
    """Run all programs, kill an entry process and print each outcome.

    :param demos: running deployments.
    :return: outcomes, and whether an entry process was killed.
    """
    # Receives the outcome of each program and one message about the kill.
    events: queue.Queue[demo_progress.Outcome | str] = queue.Queue()
    for demo in demos:
        _in_background(demo.start_programs, events)
        if demo.deployment.shape.customer == KILLED_CUSTOMER:
            _in_background(demo.kill_owner, events)
    expected = sum(len(demo.plans) for demo in demos)
    found: list[demo_progress.Outcome] = []
    kill = None
    while len(found) < expected or kill is None:
        event = events.get(timeout=END_TIMEOUT_S)
        if isinstance(event, demo_progress.Outcome):
            found.append(event)
            _print_outcome(event)
        else:
            kill = event
            click.echo(kill or "no entry process was killed")
    return found, bool(kill)


def _in_background(
    run: Callable[[queue.Queue[demo_progress.Outcome | str]], None],
    events: queue.Queue[demo_progress.Outcome | str],
) -> None:
    threading.Thread(target=run, args=(events,), daemon=True).start()


def _print_outcome(outcome: demo_progress.Outcome) -> None:
    click.echo(
        f"{outcome.customer:<13} {outcome.kind:<18} "
        f"{outcome.completed_count:>3} calls {outcome.latency_ms:>7.0f} ms  "
        f"{outcome.status}"
    )


def verify(
    demos: list[CustomerDemo], outcomes: list[demo_progress.Outcome]
) -> bool:
    """Check the outcomes and print their counts.

    :param demos: running deployments.
    :param outcomes: results as the callers saw them.
    :return: whether all are complete, none is lost and nothing ran twice.
    """
    lost, duplicates = 0, 0
    for demo in demos:
        runs = demo.runs()
        for outcome in outcomes:
            if outcome.customer != demo.deployment.shape.customer:
                continue
            missing = (
                demo.find_missing(outcome, runs) if outcome.program_id else ""
            )
            if missing:
                click.echo(f"lost: {outcome.program_id}: {missing}")
                lost += 1
            duplicates += sum(
                runs.get(step.key, 0) > 1
                for step in outcome.steps
                if not step.is_repeatable
            )
    complete = sum(outcome.is_complete for outcome in outcomes)
    click.echo(
        f"{len(outcomes)} programs, {complete} complete, {lost} lost,"
        f" {duplicates} run twice"
    )
    return complete == len(outcomes) and not lost and not duplicates


def _print_addresses(demo: CustomerDemo) -> None:
    deployment = demo.deployment
    click.echo(
        f"{deployment.shape.customer}: {len(deployment.entries)} entry"
        f" processes, {len(deployment.engines)} model servers,"
        f" {len(deployment.tools)} tool servers"
    )
    for entry in deployment.entries:
        click.echo(f"  entry process {entry.name} at {entry.address}")
    click.echo(f"  key-value service at {deployment.store.address}")


def _run(per_kind: int, model_servers: int, seed: int, is_kept: bool) -> bool:
    shapes = [
        shape._replace(engine_options=shape.engine_options[:model_servers])
        for shape in SHAPES
    ]
    with contextlib.ExitStack() as stack:
        # After an interrupt, the executor waits for running starts and then
        # the fleets end the processes that those started.
        executor = stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(len(shapes))
        )
        fleets = [stack.enter_context(fleet.Fleet()) for _ in shapes]
        starts = [
            executor.submit(start_demo, running, shape, per_kind, seed)
            for running, shape in zip(fleets, shapes, strict=True)
        ]
        demos = [start.result() for start in starts]
        for demo in demos:
            _print_addresses(demo)
        outcomes, is_killed = run_programs(demos)
        is_good = verify(demos, outcomes) and is_killed
        if is_kept:
            click.echo("running until Ctrl-C", err=True)
            threading.Event().wait()
    return is_good


@click.command()
@click.option(
    "--per-kind",
    type=click.IntRange(1, 20),
    default=4,
    show_default=True,
    help="Programs of each kind.",
)
@click.option(
    "--model-servers",
    type=click.IntRange(1, 10),
    default=10,
    show_default=True,
    help="Maximum number of model servers per deployment.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the programs."
)
@click.option(
    "--keep/--no-keep",
    "is_kept",
    default=False,
    show_default=True,
    help="Whether the deployments keep running until Ctrl-C.",
)
def main(per_kind: int, model_servers: int, seed: int, is_kept: bool) -> None:
    """Run sample programs on both deployments, with one process killed.

    The exit status is 0 only if all programs are complete, none is lost and
    no non-idempotent call ran twice.
    """
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _interrupt)
    try:
        is_good = _run(per_kind, model_servers, seed, is_kept)
    except KeyboardInterrupt:
        click.echo("interrupted; all processes have ended", err=True)
        sys.exit(INTERRUPTED_STATUS)
    except (RuntimeError, TimeoutError, queue.Empty) as error:
        raise click.ClickException(
            str(error) or f"no outcome for {END_TIMEOUT_S:g} s"
        ) from error
    sys.exit(0 if is_good else 1)


def _interrupt(*_: object) -> NoReturn:
    # A second signal must not interrupt the shutdown of the processes.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    raise KeyboardInterrupt


if __name__ == "__main__":
    main()
