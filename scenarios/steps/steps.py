"""Steps of all scenarios."""

import concurrent.futures
import contextlib
import threading
import time

import behave

from balsamloom_cli import client
from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import store as stores
from balsamloom_standins import observations

# What a stated time may take longer on its way to the test.
TRANSPORT_S = 0.5
WAIT_S = 20.0
RAW_LIMIT_S = 1.0

behave.use_step_matcher("parse")


def check(findings):
    assert not findings, "\n".join(findings)


def until(context, holds, what, timeout_s=WAIT_S):
    return context.deployment.wait_until(holds, what, timeout_s)


def all_runs(context):
    return observations.records(context.deployment.tools)


def all_requests(context):
    return observations.records(context.deployment.engines)


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


def at_the_same_time(context, functions):
    barrier = threading.Barrier(len(functions))

    def run(function):
        barrier.wait()
        return function()

    tasks = [in_background(context, run, function) for function in functions]
    found = [task.result(WAIT_S * 2) for task in tasks]
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
        program_id = observations.program_of(request["tag"])
        made[program_id] = max(made.get(program_id, 0), request["made"])
    return all(
        made.get(program_id, 0) >= at_least for program_id in programs(context)
    )


def kill(context, entry):
    entry.kill()
    context.since_s = time.monotonic()
    context.caller.reconnect(context.deployment.live_entries())


# Programs and their calls


@behave.given("the deployment of {user}")
def given_deployment(context, user):
    context.deployment = context.world.deployment(user)
    context.caller = observations.LoggedCaller(context.deployment)
    context.executor = concurrent.futures.ThreadPoolExecutor(32)
    context.add_cleanup(context.executor.shutdown)
    context.tasks = []
    context.paused = []
    context.since_s = time.monotonic()


@behave.given("a running program")
def given_program(context):
    context.program_id = context.caller.start()


@behave.given("{count:d} running programs")
def given_programs(context, count):
    for _ in range(count):
        context.program_id = context.caller.start()


@behave.given("a running program with a budget of {tokens:d} generated tokens")
def given_budget(context, tokens):
    budget = {"generated_tokens": tokens}
    context.program_id = context.caller.start(budget=budget)


@behave.given("a sub-agent of the program")
def given_sub_agent(context):
    context.sub_agent_id = context.caller.start(parent_id=context.program_id)


@behave.given(
    'it has made {chats:d} model calls and {tools:d} "{operation}" call'
)
def given_calls(context, chats, tools, operation):
    run_turns(context, context.program_id, chats, tools, operation)
    check(
        [
            f"{told.key} ended with {told.code}"
            for told in context.caller.told
            if not told.is_completed
        ]
    )


def run_turns(context, program_id, chats, tools, operation):
    position = programs(context).index(program_id)
    for number in range(max(chats, tools)):
        if number < chats:
            text = f"question {number} of {program_id}"
            # Answers of different lengths show a mix-up.
            context.caller.chat(program_id, text, 5 + 3 * position + number)
        if number < tools:
            context.caller.tool(program_id, operation)


@behave.when(
    'each makes {chats:d} model calls and {tools:d} "{operation}" calls,'
    " all at the same time"
)
@behave.when(
    'each makes {chats:d} model calls and {tools:d} "{operation}" call,'
    " all at the same time"
)
@behave.when(
    'each makes {chats:d} model call and {tools:d} "{operation}" call,'
    " all at the same time"
)
def each_makes(context, chats, tools, operation):
    context.first_new = len(context.caller.told)

    def run(program_id):
        return lambda: run_turns(context, program_id, chats, tools, operation)

    at_the_same_time(context, [run(name) for name in programs(context)])


@behave.when('its caller sends {count:d} "{operation}" calls at the same time')
def send_at_once(context, count, operation):
    def call():
        return context.caller.tool(context.program_id, operation)

    at_the_same_time(context, [call] * count)


@behave.when("it makes model calls of {tokens:d} tokens until it is refused")
def call_until_refused(context, tokens):
    told = None
    for number in range(50):
        text = f"again {number}"
        told = context.caller.chat(context.program_id, text, tokens)
        if not told.is_completed:
            break
    assert not told.is_completed, "50 calls were not refused"
    assert number > 0, "the first call was refused"


@behave.when("the sub-agent makes a model call of {tokens:d} tokens")
def sub_agent_calls(context, tokens):
    context.caller.chat(context.sub_agent_id, "from below", tokens)


@behave.when("its caller breaks off within an answer of {tokens:d} tokens")
def break_off(context, tokens):
    context.key = context.caller.new_key(context.program_id, "broken")
    context.tokens = tokens
    response = observations.send(
        context.caller.owner(context.program_id),
        "/v1/chat/completions",
        {
            "model": context.deployment.shape.model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "broken off"}],
        },
        **observations.call_headers(context.program_id, context.key),
    )
    assert response.read(10), "no answer began"
    response.close()


@behave.when("asks again with the same key")
def ask_again(context):
    context.caller.chat(
        context.program_id, "broken off", context.tokens, context.key
    )


@behave.when(
    'its caller sends a "{operation}" call that must end within {limit:d} ms'
)
def call_with_deadline(context, operation, limit):
    other = context.caller.with_timeout(limit)
    context.key = other.tool(context.program_id, operation).key


@behave.when(
    'a "{operation}" call is sent, and again with a deadline of {limit:d} ms'
)
def call_twice(context, operation, limit):
    key = context.caller.new_key(context.program_id, operation)
    in_background(
        context, context.caller.tool, context.program_id, operation, key
    )
    until(context, lambda: all_keys(context)[key], "the call runs")
    context.caller.tool_once(context.program_id, operation, key, limit)
    join(context)


@behave.when(
    'the same "{operation}" call is sent to every entry process at once'
)
def call_everywhere(context, operation):
    key = context.caller.new_key(context.program_id, operation)

    def through(entry):
        other = context.caller.with_timeout(20_000)
        other.reconnect([entry])
        return lambda: other.tool(context.program_id, operation, key)

    entries = context.deployment.live_entries()
    at_the_same_time(context, [through(entry) for entry in entries])


@behave.when('its caller streams a "{operation}" call')
def stream_call(context, operation):
    context.operation = operation
    context.key = context.caller.new_key(context.program_id, operation)
    context.caller.stream_tool(context.program_id, operation, context.key)


@behave.when("the caller sends the call again")
def call_again(context):
    context.caller.tool(context.program_id, context.operation, context.key)


@behave.when("the programs end")
def end_programs(context):
    tags = observations.holds(context.deployment.engines)
    held = {observations.program_of(tag) for tag in tags}
    assert held & set(programs(context)), "engines hold no memory before"
    for program_id in programs(context):
        context.caller.end(program_id)
    context.since_s = time.monotonic()


@behave.given("programs that make model calls without pause")
def call_without_pause(context):
    ended = threading.Event()
    budget = {"calls": 1_000_000, "generated_tokens": 100_000_000}

    def loop(program_id):
        number = 0
        while not ended.is_set():
            number += 1
            context.caller.chat(program_id, f"turn {number}", 3)
            if number % 20 == 0:
                # A long history would make the calls slow.
                program_id = context.caller.start(budget=budget)

    for _ in range(4):
        in_background(context, loop, context.caller.start(budget=budget))
    context.add_cleanup(ended.set)
    context.calls_ended = ended
    until(
        context,
        lambda: all(
            observations.records([engine])
            for engine in context.deployment.engines
        ),
        "all engines serve",
    )


# Faults


@behave.given("tool operations take {duration:d} ms")
def slow_tools(context, duration):
    control(context.deployment.tools, duration_ms=duration)


@behave.given("engines take {duration:d} ms for a token")
def slow_engines(context, duration):
    control(context.deployment.engines, token_ms=duration)


@behave.given("tool services refuse every call")
def refuse_tools(context):
    control(context.deployment.tools, mode="refuse")


@behave.given("tool services hang")
def hang_tools(context):
    control(context.deployment.tools, mode="hang")


@behave.when("tool services work again")
def repair_tools(context):
    control(context.deployment.tools, mode="none")


@behave.when("the store refuses all calls")
def refuse_store(context):
    store_fault(context, mode="refuse")


@behave.when(
    "the store refuses all calls within an answer of {tokens:d} tokens"
)
def refuse_within_answer(context, tokens):
    control(context.deployment.engines, token_ms=100)
    chat_in_background(context, tokens, 1)
    store_fault(context, mode="refuse")


@behave.when("the store hangs")
def hang_store(context):
    store_fault(context, mode="hang")


@behave.when("the host list hangs")
def hang_host_list(context):
    hosts = hosts_of(context)
    hosts.request("POST", "/faults", {"mode": "hang"})
    context.add_cleanup(hosts.request, "POST", "/faults", {})


@behave.when("the store takes {delay:d} ms for each call")
def slow_store(context, delay):
    store_fault(context, mode="slow", delay_ms=delay)


@behave.when("the store loses the answers to half of the writes")
def lose_answers(context):
    store_fault(context, mode="lose_answers", probability=0.5, seed=1)


@behave.when("the store gives stale answers")
def stale_store(context):
    store_fault(context, mode="stale_reads")


@behave.when("the store works again")
def repair_store(context):
    store_fault(context)
    context.since_s = time.monotonic()


@behave.when(
    "the store hangs for {seconds:d} s within an answer of {tokens:d} tokens"
)
def hang_within_answer(context, seconds, tokens):
    chat_in_background(context, tokens)
    store_fault(context, mode="hang")
    time.sleep(seconds)
    store_fault(context)
    join(context)


def chat_in_background(context, tokens, begun=5):
    """Start an answer of each program, and wait until all have begun."""
    for number, program_id in enumerate(programs(context)):
        text = f"long question of {program_id}"
        length = tokens + number
        in_background(context, context.caller.chat, program_id, text, length)
    until(context, lambda: is_generating(context, begun), "answers begin")


@behave.when("{seconds:g} s have passed")
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when("the owner of the program dies")
def kill_owner(context):
    kill(context, owner_of(context, context.program_id))


@behave.when('the owner of the program dies within a "{operation}" call')
def kill_within_call(context, operation):
    key = context.caller.new_key(context.program_id, operation)
    in_background(
        context, context.caller.tool, context.program_id, operation, key
    )
    until(context, lambda: all_keys(context)[key], "the call runs")
    owner_of(context, context.program_id).kill()
    join(context)


@behave.when(
    "the owner of the program dies within an answer of {tokens:d} tokens"
)
def kill_within_answer(context, tokens):
    chat_in_background(context, tokens)
    owner_of(context, context.program_id).kill()
    join(context)


@behave.when("{count:d} entry processes die at once")
def kill_several(context, count):
    for entry in context.deployment.live_entries()[:count]:
        kill(context, entry)


@behave.when(
    'the owner of the first is paused within "{operation}" calls of all'
)
def pause_within_calls(context, operation):
    first = programs(context)[0]
    paused = owner_of(context, first)
    for program_id in programs(context):
        in_background(context, context.caller.tool, program_id, operation)
    until(
        context,
        lambda: any(run["program_id"] == first for run in all_runs(context)),
        "the call of the first runs",
    )
    former_id = context.deployment.status(paused)["member_id"]
    paused.pause()
    context.since_s = time.monotonic()
    context.paused = [paused]
    context.former_id = former_id
    context.caller.reconnect(others(context))


@behave.when("the paused entry process wakes")
def wake(context):
    for entry in context.paused:
        entry.resume()


@behave.when("the link between two entry processes is cut for {seconds:d} s")
def cut_link(context, seconds):
    first, second = context.deployment.live_entries()[:2]
    wait_balanced(context)
    context.map_version = max(map_versions(context))
    peer = context.deployment.status(second)["peer_address"]
    first.request("POST", "/v1/faults", {"blocked_peers": [peer]})
    time.sleep(seconds)
    first.request("POST", "/v1/faults", {})


def wait_balanced(context):
    """Wait until the partitions have been spread evenly."""

    def is_balanced():
        found = [
            context.deployment.status(entry).get("partitions")
            for entry in context.deployment.live_entries()
        ]
        return (
            max(found) - min(found) <= 1
            and sum(found) == observations.PARTITIONS
        )

    until(context, is_balanced, "partitions are spread evenly")


@behave.when("entry processes are stopped within answers of {tokens:d} tokens")
def stop_within_answers(context, tokens):
    chat_in_background(context, tokens)
    owner = owner_of(context, context.program_id)
    other = next(
        entry
        for entry in context.deployment.live_entries()
        if entry is not owner
    )
    context.stopped = [owner, other]
    for entry in context.stopped:
        entry.terminate()
    join(context)


# Operators


@behave.when("an operator applies an edit")
def apply_edit(context):
    deployment = context.deployment
    sampler = observations.RevisionSampler(
        lambda: deployment.entries, deployment.status
    )
    sampler.start()
    context.add_cleanup(sampler.stop)
    context.sampler = sampler
    context.revision = deployment.apply("limits", {"silence_ms": 20_000})
    context.since_s = time.monotonic()


@behave.when("an entry process dies and another one starts")
def replace_entry(context):
    kill(context, context.deployment.live_entries()[0])
    context.world.replace(context.deployment)


def edit_at_once(context, sections):
    """Apply edits that were all based on the same document."""
    store = stores.EtcdGateway(context.deployment.store.address)
    editor = editing.Editor(store, clocks.Clock())
    known = editor.get().sections

    def apply(number, section):
        edit = editing.Edit(
            section,
            {**known[section].content, **EDITS[section][number]},
            known[section].revision,
            f"operator {number}",
            "",
            editing.new_edit_id(),
        )
        return lambda: editor.apply(edit, 5_000)

    edits = [apply(*numbered) for numbered in enumerate(sections)]
    context.outcomes = at_the_same_time(context, edits)
    context.since_s = time.monotonic()


EDITS = {
    "limits": ({"silence_ms": 21_000}, {"silence_ms": 22_000}),
    "customers": ({}, {"another": {}}),
}


@behave.when('two operators edit the section "{section}" at the same time')
def edit_one_section(context, section):
    edit_at_once(context, [section, section])


@behave.when("two operators edit two sections at the same time")
def edit_two_sections(context):
    edit_at_once(context, ["limits", "customers"])


@behave.when("the configuration says that an engine is leaving")
def drain_by_configuration(context):
    shape = context.deployment.shape
    section = f"models/{shape.customer}"
    content = context.deployment.sections()[section]
    content[shape.model]["servers"][0]["draining"] = True
    context.deployment.apply(section, content)
    context.leaving_s = time.monotonic()
    context.add_cleanup(
        context.deployment.apply,
        section,
        context.deployment.sections()[section],
    )


@behave.when("the host list says that an engine is leaving")
def drain_by_host_list(context):
    leaving = {
        "host_id": f"{context.deployment.shape.customer}-m0",
        "kind": "engine",
        "address": context.deployment.engines[0].address,
        "failure_domain": "",
        "is_leaving": True,
        "incarnation": 1,
        "pool": context.deployment.shape.model,
    }
    hosts = hosts_of(context)
    hosts.request("POST", "/control", {"hosts": [leaving]})
    context.leaving_s = time.monotonic()
    live = {**leaving, "is_leaving": False, "incarnation": 2}
    context.add_cleanup(hosts.request, "POST", "/control", {"hosts": [live]})


@behave.when("the load report says that an engine is leaving")
def drain_by_report(context):
    control(context.deployment.engines[:1], state="draining")
    context.leaving_s = time.monotonic()


# What is to be seen


def all_keys(context):
    return observations.runs_by_key(own_runs(context))


@behave.then("every call is completed")
def every_call_completed(context):
    if context.tasks and hasattr(context, "calls_ended"):
        context.calls_ended.set()
        join(context)
    assert context.caller.told, "no call was made"
    check(
        [
            f"{told.key} ended with {told.code}: {told.answer}"
            for told in context.caller.told
            if not told.is_completed
        ]
    )


@behave.then("every answer is whole")
def every_answer_whole(context):
    assert any(told.text for told in context.caller.told)
    check(observations.check_answers(context.caller.told))


@behave.then("the tool services have run the calls of each program one by one")
def one_by_one(context):
    runs = own_runs(context)
    assert len(runs) > 1, "fewer than two tool calls ran"
    check(observations.check_order(runs))


@behave.then("every key has run once")
def every_key_once(context):
    counts = all_keys(context)
    assert counts, "no tool call ran"
    check([f"{key}: {count}" for key, count in counts.items() if count != 1])


@behave.then("no key has run twice")
def no_key_twice(context):
    assert all_keys(context), "no tool call ran"
    check(observations.check_runs(own_runs(context), []))


@behave.then("no key has run")
def no_key(context):
    assert not all_keys(context), all_keys(context)


@behave.then("no call that ran was said not to have run")
def refusals_true(context):
    assert all_keys(context), "no tool call ran"
    check(observations.check_runs(own_runs(context), context.caller.told))


@behave.then("all answers are the same")
def same_answers(context):
    answers = [told.answer for told in context.caller.told]
    assert len(answers) > 1
    assert all(answer == answers[0] for answer in answers), answers


@behave.then("each history is what its caller was told")
def history_as_told(context):
    join(context)
    assert any(told.is_completed for told in context.caller.told)
    for program_id in programs(context):
        messages = context.caller.show(program_id)["messages"]
        check(
            observations.check_history(
                messages,
                context.caller.calls_of(program_id),
                lambda told: code_of(context, told),
            )
        )


@behave.then("no engine has seen a prompt of another program")
def own_prompts(context):
    requests = all_requests(context)
    for program_id in programs(context):
        found = [
            request
            for request in requests
            if observations.program_of(request["tag"]) == program_id
        ]
        assert found, "no engine saw the program"
        messages = context.caller.show(program_id)["messages"]
        told = context.caller.calls_of(program_id)
        check(observations.check_prompts(found, messages, told))


@behave.then('the last call is refused with "{name}" as not run')
def refused(context, name):
    last = context.caller.told[-1]
    assert last.code == results.ResultCode[name], last
    assert last.not_run, last


@behave.then('the last call ended with "{name}"')
def ended_with(context, name):
    last = context.caller.told[-1]
    assert last.code == results.ResultCode[name], last


@behave.then("the engines have generated at most its budget")
def within_budget(context):
    budgets = context.caller.budgets
    requests = all_requests(context)
    check(observations.check_budgets(requests, budgets))
    made = sum(
        request["made"]
        for request in requests
        if observations.program_of(request["tag"]) in budgets
    )
    limit = budgets[context.program_id]["generated_tokens"]
    assert 0 < made <= limit, f"{made} tokens of {limit}"


@behave.then("the caller hears within {seconds:d} s that the call waits")
def hears(context, seconds):
    events = context.caller.told[-1].events
    assert events.progress, "no progress event came"
    limit_ms = (seconds + TRANSPORT_S) * 1000
    assert events.silence_ms <= limit_ms, events


@behave.then("the next model call is completed")
def next_call_completed(context):
    told = context.caller.chat(context.program_id, "and now?", 4)
    assert told.is_completed, told
    check(observations.check_answers([told]))


@behave.then("the recorded result of each call is given again")
def results_again(context):
    for told in context.caller.told:
        assert code_of(context, told) == observations.COMPLETED, told


@behave.then("no caller had to ask again")
def no_restart(context):
    assert all(not told.events.restarts for told in context.caller.told)


@behave.then("the stopped processes have ended with status 0")
def stopped_cleanly(context):
    for entry in context.stopped:
        assert entry.wait(WAIT_S) == 0, entry.name


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


@behave.then("every partition is served again within {seconds:d} s")
def all_served(context, seconds):
    def served():
        statuses = [
            context.deployment.status(entry) for entry in others(context)
        ]
        return sum(status.get("partitions", 0) for status in statuses)

    passed_s = time.monotonic() - context.since_s
    until(
        context,
        lambda: served() == observations.PARTITIONS,
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

    until(context, serves, "the process serves as a new member")
    join(context)


@behave.then("the partition map has not changed")
def map_unchanged(context):
    found = max(map_versions(context))
    assert found == context.map_version, (found, context.map_version)


@behave.then("new calls and programs are refused at once as not run")
def refused_at_once(context):
    shape = context.deployment.shape
    headers = observations.call_headers(context.program_id, "refused")
    tool_path = f"/v1/tools/{shape.service}/book"
    requests = [
        ("/v1/programs", {"customer": shape.customer}, {}),
        (tool_path, {}, headers),
    ]
    for path, body, sent in requests:
        start_s = time.monotonic()
        address = context.caller.owner(context.program_id)
        response = observations.send(address, path, body, **sent)
        error = response.json()["error"]
        assert time.monotonic() - start_s < RAW_LIMIT_S, path
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
    with contextlib.suppress(client.CallError):
        other = context.caller.with_timeout(seconds * 1000)
        other.start()
        told = other.tool(context.program_id, "book")
    assert told.is_completed, told
    assert time.monotonic() - context.since_s < seconds


@behave.then("no engine memory is held for them after {seconds:d} s")
def memory_released(context, seconds):
    def findings():
        tags = observations.holds(context.deployment.engines)
        return observations.check_holds(tags, context.caller.ended)

    limit_s = context.since_s + seconds - time.monotonic()
    until(context, lambda: not findings(), "memory is released", limit_s)


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
        if isinstance(outcome, editing.Applied)
    ]
    context.revision = max([*revisions, getattr(context, "revision", 0)])
    limit_s = context.since_s + seconds - time.monotonic()
    until(context, lambda: in_force(context), "the edit is in force", limit_s)
    if len(outcomes) == len(revisions) == 2:
        sections = documents(context)
        assert sections["limits"]["silence_ms"] == 21_000, sections
        assert "another" in sections["customers"], sections


@behave.then("the edit is in force at every entry process")
def in_force_now(context):
    until(context, lambda: in_force(context), "the edit is in force")


def documents(context):
    store = stores.EtcdGateway(context.deployment.store.address)
    sections = editing.Editor(store, clocks.Clock()).get().sections
    return {name: section.content for name, section in sections.items()}


@behave.then("no entry process has gone back to an earlier revision")
def never_back(context):
    context.deployment.wait_ready()
    check(context.sampler.stop())


@behave.then("one edit is accepted and the other is shown both sides")
def one_accepted(context):
    accepted = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, editing.Applied)
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
            for record in observations.records(engines)
            if record["start_s"] > start_s
        ]

    assert begun(rest), "the other engines got no work either"
    late = begun([leaving])
    assert not late, f"{len(late)} requests came to the leaving engine"
    context.calls_ended.set()
    join(context)
