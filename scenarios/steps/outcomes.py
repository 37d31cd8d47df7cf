"""Steps that check what came of it."""

import contextlib
import os
import signal
import subprocess
import time

import behave
import support

from balsamloom_cli import responses
from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import etcd_gateway
from balsamloom_standins import callers, checks, evidence

LOG_TAIL_CHARACTERS = 20_000

behave.use_step_matcher("parse")


@behave.then("every call is completed")
def every_call_completed(context):
    if context.tasks and hasattr(context, "calls_ended"):
        context.calls_ended.set()
        support.join(context)
    assert context.caller.calls, "no call was made"
    support.check(
        [
            f"{told.key} ended with {told.code}: {told.answer}"
            for told in context.caller.calls
            if not told.is_completed
        ]
    )


@behave.then("every answer is whole")
def every_answer_whole(context):
    assert any(told.text for told in context.caller.calls)
    support.check(checks.check_answers(context.caller.calls))


@behave.then("the tool services have run the calls of each program one by one")
def one_by_one(context):
    runs = support.own_runs(context)
    assert len(runs) > 1, "fewer than two tool calls ran"
    support.check(checks.check_order(runs))


@behave.then("every key has run once")
def every_key_once(context):
    counts = support.all_keys(context)
    assert counts, "no tool call ran"
    support.check(
        [f"{key}: {count}" for key, count in counts.items() if count != 1]
    )


@behave.then("no key has run twice")
def no_key_twice(context):
    assert support.all_keys(context), "no tool call ran"
    support.check(checks.check_runs(support.own_runs(context), []))


@behave.then("no key has run")
def no_key(context):
    assert not support.all_keys(context), support.all_keys(context)


@behave.then("no call that ran was said not to have run")
def refusals_true(context):
    assert support.all_keys(context), "no tool call ran"
    support.check(
        checks.check_runs(support.own_runs(context), context.caller.calls)
    )


@behave.then("all answers are the same")
def same_answers(context):
    answers = [told.answer for told in context.caller.calls]
    assert len(answers) > 1
    assert all(answer == answers[0] for answer in answers), answers


@behave.then("each history is what its caller was told")
def history_as_told(context):
    support.join(context)
    assert any(told.is_completed for told in context.caller.calls)
    for program_id in support.programs(context):
        messages = context.caller.show(program_id)["messages"]
        support.check(
            checks.check_history(
                messages,
                context.caller.calls_of(program_id),
                lambda told: support.code_of(context, told),
            )
        )


@behave.then("no engine has seen a prompt of another program")
def own_prompts(context):
    requests = support.all_requests(context)
    for program_id in support.programs(context):
        found = [
            request
            for request in requests
            if evidence.program_of(request["tag"]) == program_id
        ]
        assert found, "no engine saw the program"
        messages = context.caller.show(program_id)["messages"]
        told = context.caller.calls_of(program_id)
        support.check(checks.check_prompts(found, messages, told))


@behave.then('the last call is refused with "{name}" as not run')
def refused(context, name):
    last = context.caller.calls[-1]
    assert last.code == results.ResultCode[name], last
    assert last.not_run, last


@behave.then('the last call ended with "{name}"')
def ended_with(context, name):
    last = context.caller.calls[-1]
    assert last.code == results.ResultCode[name], last


@behave.then("the engines have generated at most its budget")
def within_budget(context):
    budgets = context.caller.budgets
    requests = support.all_requests(context)
    support.check(checks.check_budgets(requests, budgets))
    made = sum(
        request["made"]
        for request in requests
        if evidence.program_of(request["tag"]) in budgets
    )
    limit = budgets[context.program_id]["generated_tokens"]
    assert 0 < made <= limit, f"{made} tokens of {limit}"


@behave.then("the caller hears within {seconds:d} s that the call waits")
def hears(context, seconds):
    events = context.caller.calls[-1].events
    assert events.progress, "no progress event came"
    limit_ms = (seconds + support.TRANSPORT_S) * 1000
    assert events.silence_ms <= limit_ms, events


@behave.then("the next model call is completed")
def next_call_completed(context):
    told = context.caller.chat(context.program_id, "and now?", 4)
    assert told.is_completed, told
    support.check(checks.check_answers([told]))


@behave.then("the recorded result of each call is given again")
def results_again(context):
    for told in context.caller.calls:
        assert support.code_of(context, told) == callers.COMPLETED, told


@behave.then("no caller had to ask again")
def no_restart(context):
    assert all(not told.events.restarts for told in context.caller.calls)


@behave.then("the stopped processes have ended with status 0")
def stopped_cleanly(context):
    for entry in context.stopped:
        try:
            status = entry.wait(support.WAIT_S)
        except subprocess.TimeoutExpired as error:
            # environment.py makes the interpreter print the stack of each
            # thread on this signal.
            os.kill(entry.pid, signal.SIGABRT)
            entry.wait(support.WAIT_S)
            raise AssertionError(f"{error}: {log_tail(entry)}") from error
        assert status == 0, f"{entry.name}: {status}: {log_tail(entry)}"


def log_tail(entry):
    """Return the last lines of a process's log."""
    return entry.log_path.read_text(encoding="utf-8")[-LOG_TAIL_CHARACTERS:]


@behave.then("every partition is served again within {seconds:d} s")
def all_served(context, seconds):
    def served():
        statuses = [
            context.deployment.status(entry)
            for entry in support.others(context)
        ]
        return sum(status.get("partitions", 0) for status in statuses)

    passed_s = time.monotonic() - context.since_s
    support.until(
        context,
        lambda: served() == callers.PARTITIONS,
        "every partition is served",
        seconds - passed_s,
    )


@behave.then("it serves again as a new member")
def new_member(context):
    entry = context.paused[0]

    def serves():
        status = context.deployment.status(entry)
        is_new = status.get("member_id") not in (None, context.former_id)
        return is_new and status["partitions"] > 0

    support.until(context, serves, "the process serves as a new member")
    support.join(context)


@behave.then("the partition map has not changed")
def map_unchanged(context):
    found = max(support.map_versions(context))
    assert found == context.map_version, (found, context.map_version)


@behave.then("new calls and programs are refused at once as not run")
def refused_at_once(context):
    shape = context.deployment.shape
    headers = callers.call_headers(context.program_id, "refused")
    tool_path = f"/v1/tools/{shape.service}/book"
    requests = [
        ("/v1/programs", {"customer": shape.customer}, {}),
        (tool_path, {}, headers),
    ]
    for path, body, sent in requests:
        start_s = time.monotonic()
        address = context.caller.owner(context.program_id)
        response = callers.send(address, path, body, **sent)
        error = response.json()["error"]
        assert time.monotonic() - start_s < support.RAW_LIMIT_S, path
        assert error["name"] == "store_unavailable", error
        assert error["not_run"] and error["retry_after_ms"], error
        assert int(response.headers["Retry-After"]) > 0


@behave.then("address answers and states are still given")
def still_answered(context):
    for entry in context.deployment.live_entries():
        path = f"/v1/address?program_id={context.program_id}"
        assert entry.request("GET", path)["address"]
        assert entry.request("GET", "/v1/status")["is_joined"]
        assert entry.request("GET", "/v1/dump")["session"]


@behave.then("within {seconds:d} s new calls and programs are taken")
def taken_again(context, seconds):
    with contextlib.suppress(responses.CallError):
        other = context.caller.with_timeout(seconds * 1000)
        other.start()
        told = other.tool(context.program_id, "book")
    assert told.is_completed, told
    assert time.monotonic() - context.since_s < seconds


@behave.then("no engine memory is held for them after {seconds:d} s")
def memory_released(context, seconds):
    def findings():
        tags = evidence.fetch_hold_tags(context.deployment.engines)
        return checks.check_holds(tags, context.caller.ended)

    limit_s = context.since_s + seconds - time.monotonic()
    support.until(
        context, lambda: not findings(), "memory is released", limit_s
    )


def in_force(context):
    statuses = [
        context.deployment.status(entry)
        for entry in context.deployment.live_entries()
    ]
    return all(
        status.get("configuration_revision", 0) >= context.revision
        for status in statuses
    )


@behave.then("it is in force at every entry process within {seconds:d} s")
@behave.then(
    "the accepted edit is in force at every entry process within {seconds:d} s"
)
@behave.then(
    "both edits are in force at every entry process within {seconds:d} s"
)
def in_force_within(context, seconds):
    outcomes = getattr(context, "outcomes", [])
    revisions = [
        outcome.revision
        for outcome in outcomes
        if isinstance(outcome, editing.AppliedEdit)
    ]
    context.revision = max([*revisions, getattr(context, "revision", 0)])
    limit_s = context.since_s + seconds - time.monotonic()
    support.until(
        context, lambda: in_force(context), "the edit is in force", limit_s
    )
    if len(outcomes) == len(revisions) == 2:
        sections = documents(context)
        assert sections["limits"]["silence_ms"] == 21_000, sections
        assert "another" in sections["customers"], sections


@behave.then("the edit is in force at every entry process")
def in_force_now(context):
    support.until(context, lambda: in_force(context), "the edit is in force")


def documents(context):
    store = etcd_gateway.EtcdGateway(context.deployment.store.address)
    sections = editing.Editor(store, clocks.Clock()).get().sections
    return {name: section.content for name, section in sections.items()}


@behave.then("no entry process has gone back to an earlier revision")
def never_back(context):
    context.deployment.wait_ready()
    support.check(context.sampler.stop())


@behave.then("one edit is accepted and the other is shown both sides")
def one_accepted(context):
    accepted = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, editing.AppliedEdit)
    ]
    conflicts = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, editing.Conflict)
    ]
    assert (len(accepted), len(conflicts)) == (1, 1), context.outcomes
    conflict = conflicts[0]
    values = {
        side.content["silence_ms"]
        for side in (conflict.theirs, conflict.yours)
    }
    assert values == {21_000, 22_000}, conflict
    kept = documents(context)["limits"]["silence_ms"]
    assert kept == conflict.theirs.content["silence_ms"], conflict


@behave.then("the engine gets no new work for {seconds:d} s")
def no_new_work(context, seconds):
    start_s = time.monotonic()
    assert start_s - context.leaving_s >= 5, "too early to tell"
    time.sleep(seconds)
    leaving, *rest = context.deployment.engines

    def begun(engines):
        return [
            record
            for record in evidence.fetch_records(engines)
            if record["start_s"] > start_s
        ]

    assert begun(rest), "the other engines got no work either"
    late = begun([leaving])
    assert not late, f"{len(late)} requests came to the leaving engine"
    context.calls_ended.set()
    support.join(context)
