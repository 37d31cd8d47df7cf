"""Run sample programs of both deployments and check what became of them.

Everything runs on free loopback ports and ends with this process. One entry
process is killed midway. The last line counts the programs, those that are
complete, those that were lost and the calls that ran twice.
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
from collections.abc import Callable, Iterator
from typing import NamedTuple, NoReturn

import click

from balsamloom_cli import client, responses
from balsamloom_core import errors, results
from balsamloom_standins import deployments, fleet, load

SHAPES = (deployments.RESTWELL, deployments.WASSERREIGEN)
KILLED_CUSTOMER = deployments.RESTWELL.customer
CALL_TIMEOUT_MS = 30_000
KILL_TIMEOUT_S = 60.0
END_TIMEOUT_S = 120.0
# Enough arrivals that every kind of program occurs often.
PLANNED = load.RateStep(100, 10_000)
STEPS_LEFT_AT_KILL = 3
INTERRUPTED_STATUS = 130


class Step(NamedTuple):
    """One call of a program.

    ``is_repeatable`` says whether a second run would do no harm.
    """

    key: str
    call: load.ModelCall | load.ToolCall
    is_repeatable: bool


class Outcome(NamedTuple):
    """What a program's caller was told."""

    kind: str
    customer: str
    program_id: str
    name: str
    latency_ms: float
    steps: list[Step]
    steps_complete: int

    @property
    def is_complete(self) -> bool:
        """Whether every call of the program was answered as complete."""
        return self.name == "complete"

    @property
    def complete(self) -> list[Step]:
        """Calls whose caller was told that they are complete."""
        return self.steps[: self.steps_complete]


class Gate:
    """Holds calls that must not be cut off while a process is killed.

    A non-idempotent call whose owner dies before the result is durable has an
    unknown outcome by design, and its program could not be completed.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._inside = 0
        self._is_closed = False

    @contextlib.contextmanager
    def passing(self) -> Iterator[None]:
        """Wait until the gate is open, and count as inside."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_closed)
            self._inside += 1
        try:
            yield
        finally:
            with self._changed:
                self._inside -= 1
                self._changed.notify_all()

    @contextlib.contextmanager
    def closed(self) -> Iterator[None]:
        """Close the gate and wait until nobody is inside."""
        with self._changed:
            self._is_closed = True
            self._changed.wait_for(lambda: self._inside == 0)
        try:
            yield
        finally:
            with self._changed:
                self._is_closed = False
                self._changed.notify_all()


class Progress:
    """Programs under way, by the number of their remaining steps."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._left: dict[str, int] = {}
        self._begun = 0

    def note(self, program_id: str, steps_left: int) -> None:
        """Note how many steps a program still has.

        :param program_id: program.
        :param steps_left: remaining steps, zero at its end.
        """
        with self._changed:
            self._begun += program_id not in self._left
            self._left[program_id] = steps_left
            self._changed.notify_all()

    def wait_midway(self, begun: int) -> bool:
        """Wait until enough programs have begun and one has steps left.

        :param begun: number of programs that must have begun.
        :return: whether that came in time.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._begun >= begun and bool(self.under_way()),
                KILL_TIMEOUT_S,
            )

    def under_way(self) -> list[str]:
        """Return programs with steps left, those with most first."""
        found = [
            (-left, program_id)
            for program_id, left in self._left.items()
            if left >= STEPS_LEFT_AT_KILL
        ]
        return [program_id for _, program_id in sorted(found)]


class Desk:
    """One customer's deployment with its callers.

    :param deployment: running deployment.
    :param plans: programs to run.
    """

    def __init__(
        self, deployment: deployments.Deployment, plans: list[load.Plan]
    ) -> None:
        self.deployment = deployment
        self.plans = plans
        self.gate = Gate()
        self.progress = Progress()
        addresses = [entry.address for entry in deployment.entries]
        self.caller = client.Caller(
            addresses, deployment.shape.customer, timeout_ms=CALL_TIMEOUT_MS
        )

    def start_programs(self, ended: queue.Queue[Outcome | str]) -> None:
        """Start all programs at their times, each in a thread of its own.

        :param ended: takes the outcomes.
        """
        start_s = time.monotonic()
        for plan in self.plans:
            wait_s = start_s + plan.arrival_ms / 1000 - time.monotonic()
            time.sleep(max(wait_s, 0))
            threading.Thread(
                target=self._run_into, args=(plan, ended), daemon=True
            ).start()

    def kill_owner(self, ended: queue.Queue[Outcome | str]) -> None:
        """Kill the owner of a program under way.

        :param ended: takes a line that says so, empty if none was under way.
        """
        ended.put(self._kill_owner())

    def _kill_owner(self) -> str:
        if not self.progress.wait_midway(len(self.plans) // 2):
            return ""
        with self.gate.closed():
            for program_id in self.progress.under_way():
                address = self.caller.address(program_id).address
                for entry in self.deployment.live_entries():
                    if entry.address == address:
                        entry.kill()
                        return (
                            f"killed entry process {entry.name} at {address},"
                            f" owner of {program_id}"
                        )
        return ""

    def lacks(self, outcome: Outcome, runs: dict[str, int]) -> str:
        """Return what a program lacks that its caller was told, or nothing.

        :param outcome: what the caller was told.
        :param runs: runs of each key at the tool servers.
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
        asked = [
            message["content"]
            for message in shown["messages"]
            if message["role"] == "user"
        ]
        told = [
            _text(step)
            for step in outcome.complete
            if isinstance(step.call, load.ModelCall)
        ]
        if asked[: len(told)] != told:
            return "its history is not what its caller asked"
        for step in outcome.complete:
            if step.key not in finished:
                return f"call {step.key} is not in its history"
            if isinstance(step.call, load.ToolCall) and not runs.get(step.key):
                return f"call {step.key} never ran"
        return ""

    def runs(self) -> dict[str, int]:
        """Return the runs of each key at all tool servers together."""
        found: collections.Counter[str] = collections.Counter()
        for tool in self.deployment.tools:
            found.update(tool.request("GET", "/runs"))
        return dict(found)

    def _run_into(
        self, plan: load.Plan, ended: queue.Queue[Outcome | str]
    ) -> None:
        ended.put(self._run(plan))

    def _run(self, plan: load.Plan) -> Outcome:
        start_s = time.monotonic()
        program_id, name = "", "complete"
        steps: list[Step] = []
        complete = 0
        try:
            program_id = self._start(plan)
            steps = self._steps(program_id, plan)
            for step in steps:
                self.progress.note(program_id, len(steps) - complete)
                self._call(program_id, step)
                complete += 1
        except errors.BalsamloomError as error:
            name = error.code.name.lower()
        except Exception as error:
            # The program must be counted whatever happened to its thread.
            name = repr(error)
        if program_id:
            self.progress.note(program_id, 0)
        latency_ms = (time.monotonic() - start_s) * 1000
        return Outcome(
            plan.kind,
            plan.customer,
            program_id,
            name,
            latency_ms,
            steps,
            complete,
        )

    def _start(self, plan: load.Plan) -> str:
        specification = {
            "customer": plan.customer,
            "workspace": plan.kind,
            "urgent": plan.is_urgent,
        }
        with self.gate.passing():
            return self.caller.start(specification)

    def _steps(self, program_id: str, plan: load.Plan) -> list[Step]:
        steps = []
        for number, call in enumerate(plan.steps):
            if not isinstance(call, load.Pause):
                key = f"{program_id}-{number}"
                steps.append(Step(key, call, self._is_repeatable(call)))
        return steps

    def _is_repeatable(self, call: load.ModelCall | load.ToolCall) -> bool:
        if isinstance(call, load.ModelCall):
            return True
        operation = self.deployment.shape.operations[call.operation]
        return bool(operation.get("idempotent"))

    def _call(self, program_id: str, step: Step) -> None:
        call = step.call
        if isinstance(call, load.ModelCall):
            self._chat(program_id, step, call)
            return
        held = contextlib.nullcontext()
        with held if step.is_repeatable else self.gate.passing():
            self.caller.tool(
                program_id, call.service, call.operation, call.body, step.key
            )

    def _chat(self, program_id: str, step: Step, call: load.ModelCall) -> None:
        body = {
            "model": call.model,
            "max_tokens": call.max_tokens,
            "messages": [{"role": "user", "content": _text(step)}],
        }
        *_, last = self.caller.chat(program_id, body, step.key)
        if last.body["code"] != results.ResultCode.COMPLETED:
            code = results.ResultCode(last.body["code"])
            raise errors.BalsamloomError(code)


def _text(step: Step) -> str:
    """Return the message of a model call; no two calls share it."""
    assert isinstance(step.call, load.ModelCall)
    size = step.call.prompt_tokens * load.CHARACTERS_PER_TOKEN
    return f"{step.key} ".ljust(size, "x")


def choose_plans(customer: str, per_kind: int, seed: int) -> list[load.Plan]:
    """Return as many programs of each kind of a customer, long ones first.

    :param customer: customer of the programs.
    :param per_kind: programs of each kind.
    :param seed: seed of the choice.
    """
    by_kind: dict[str, list[load.Plan]] = collections.defaultdict(list)
    for plan in load.make_plans(seed, [PLANNED], customers=(customer,)):
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


def start_desk(
    running: fleet.Fleet,
    shape: deployments.Shape,
    per_kind: int,
    seed: int,
) -> Desk:
    """Start a deployment.

    :param running: fleet that ends its processes.
    :param shape: size and names.
    :param per_kind: programs of each kind.
    :param seed: seed of the programs.
    """
    deployment = deployments.Deployment(running, shape)
    deployment.start()
    plans = choose_plans(shape.customer, per_kind, seed)
    return Desk(deployment, plans)


def run_programs(desks: list[Desk]) -> tuple[list[Outcome], bool]:
    """Run all programs, kill an entry process and print each outcome.

    :param desks: running deployments.
    :return: the outcomes, and whether an entry process was killed.
    """
    # Holds the outcome of each program, and a line about the kill.
    ended: queue.Queue[Outcome | str] = queue.Queue()
    for desk in desks:
        _in_background(desk.start_programs, ended)
        if desk.deployment.shape.customer == KILLED_CUSTOMER:
            _in_background(desk.kill_owner, ended)
    expected = sum(len(desk.plans) for desk in desks)
    found: list[Outcome] = []
    kill = None
    while len(found) < expected or kill is None:
        event = ended.get(timeout=END_TIMEOUT_S)
        if isinstance(event, Outcome):
            found.append(event)
            _print_outcome(event)
        else:
            kill = event
            click.echo(kill or "no entry process was killed")
    return found, bool(kill)


def _in_background(
    run: Callable[[queue.Queue[Outcome | str]], None],
    ended: queue.Queue[Outcome | str],
) -> None:
    threading.Thread(target=run, args=(ended,), daemon=True).start()


def _print_outcome(outcome: Outcome) -> None:
    click.echo(
        f"{outcome.customer:<13} {outcome.kind:<18} "
        f"{outcome.steps_complete:>3} calls {outcome.latency_ms:>7.0f} ms  "
        f"{outcome.name}"
    )


def verify(desks: list[Desk], outcomes: list[Outcome]) -> bool:
    """Print the counted figures.

    :param desks: running deployments.
    :param outcomes: what callers were told.
    :return: whether all are complete, none is lost and nothing ran twice.
    """
    lost, twice = 0, 0
    for desk in desks:
        runs = desk.runs()
        for outcome in outcomes:
            if outcome.customer != desk.deployment.shape.customer:
                continue
            lack = desk.lacks(outcome, runs) if outcome.program_id else ""
            if lack:
                click.echo(f"lost: {outcome.program_id}: {lack}")
                lost += 1
            twice += sum(
                runs.get(step.key, 0) > 1
                for step in outcome.steps
                if not step.is_repeatable
            )
    complete = sum(outcome.is_complete for outcome in outcomes)
    click.echo(
        f"{len(outcomes)} programs, {complete} complete, {lost} lost,"
        f" {twice} run twice"
    )
    return complete == len(outcomes) and not lost and not twice


def _print_addresses(desk: Desk) -> None:
    deployment = desk.deployment
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
        # Leaving the executor waits for starts under way, and the fleet ends
        # what they start after an interrupt.
        executor = stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(len(shapes))
        )
        fleets = [stack.enter_context(fleet.Fleet()) for _ in shapes]
        starts = [
            executor.submit(start_desk, running, shape, per_kind, seed)
            for running, shape in zip(fleets, shapes, strict=True)
        ]
        desks = [start.result() for start in starts]
        for desk in desks:
            _print_addresses(desk)
        outcomes, is_killed = run_programs(desks)
        is_good = verify(desks, outcomes) and is_killed
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
    help="Most model servers of a deployment.",
)
@click.option("--seed", default=1, show_default=True, help="Seed.")
@click.option(
    "--keep/--no-keep",
    "is_kept",
    default=False,
    show_default=True,
    help="Whether the deployments go on running until Ctrl-C.",
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
    # A second signal must not cut off the ending of the processes.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    raise KeyboardInterrupt


if __name__ == "__main__":
    main()
