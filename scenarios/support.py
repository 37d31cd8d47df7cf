"""Functions that the steps share."""

import threading
import time

from balsamloom_standins import checks, evidence

# What a stated time may take longer on its way to the test.
TRANSPORT_S = 0.5
WAIT_S = 20.0
RAW_LIMIT_S = 1.0


def check(findings):
    assert not findings, "\n".join(findings)


def until(context, holds, what, timeout_s=WAIT_S):
    return context.deployment.wait_until(holds, what, timeout_s)


def all_runs(context):
    return evidence.fetch_records(context.deployment.tools)


def all_requests(context):
    return evidence.fetch_records(context.deployment.engines)


def own_runs(context):
    return [
        run
        for run in all_runs(context)
        if run["program_id"] in programs(context)
    ]


def programs(context):
    return list(context.caller.budgets)


def code_of(context, told):
    return context.caller.recorded_code(told.program_id, told.key)


def in_background(context, function, *values):
    task = context.executor.submit(function, *values)
    context.tasks.append(task)
    return task


def join(context):
    for task in context.tasks:
        task.result(WAIT_S * 2)
    context.tasks.clear()


def at_the_same_time(context, functions, timeout_s=WAIT_S * 2):
    barrier = threading.Barrier(len(functions))

    def run(function):
        barrier.wait()
        return function()

    tasks = [in_background(context, run, function) for function in functions]
    found = [task.result(timeout_s) for task in tasks]
    context.tasks.clear()
    return found


def control(standins, **values):
    for standin in standins:
        standin.request("POST", "/control", values)


def store_fault(context, **fault):
    context.deployment.store.request("POST", "/faults", fault)


def hosts_of(context):
    for running in context.deployment.fleet.processes:
        if running.name.startswith("hosts"):
            return running
    raise AssertionError("the deployment has no host list")


def owner_of(context, program_id):
    address = context.caller.owner(program_id)
    for entry in context.deployment.live_entries():
        if entry.address == address:
            return entry
    raise AssertionError(f"no entry process has the address {address}")


def is_generating(context, at_least):
    """Return whether every program's latest request has some tokens."""
    made = {}
    for request in all_requests(context):
        program_id = evidence.program_of(request["tag"])
        made[program_id] = max(made.get(program_id, 0), request["made"])
    return all(
        made.get(program_id, 0) >= at_least for program_id in programs(context)
    )


def kill(context, entry):
    entry.kill()
    context.since_s = time.monotonic()
    context.caller.reconnect(context.deployment.live_entries())


# Programs and their calls


def all_keys(context):
    return checks.runs_by_key(own_runs(context))


def others(context):
    return [
        entry
        for entry in context.deployment.live_entries()
        if entry not in context.paused
    ]


def map_versions(context):
    return [
        context.deployment.status(entry)["map_version"]
        for entry in context.deployment.live_entries()
    ]
