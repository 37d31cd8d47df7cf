"""Steps that bring faults and operators' actions about."""

import time

import behave
import support

from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_platform import etcd_gateway
from balsamloom_standins import callers, evidence

behave.use_step_matcher("parse")


@behave.given("tool operations take {duration:d} ms")
def slow_tools(context, duration):
    support.control(context.deployment.tools, duration_ms=duration)


@behave.given("engines take {duration:d} ms for a token")
def slow_engines(context, duration):
    support.control(context.deployment.engines, token_ms=duration)


@behave.given("tool services refuse every call")
def refuse_tools(context):
    support.control(context.deployment.tools, mode="refuse")


@behave.given("tool services hang")
def hang_tools(context):
    support.control(context.deployment.tools, mode="hang")


@behave.when("tool services work again")
def repair_tools(context):
    support.control(context.deployment.tools, mode="none")


@behave.when("the store refuses all calls")
def refuse_store(context):
    support.store_fault(context, mode="refuse")


@behave.when(
    "the store refuses all calls within an answer of {tokens:d} tokens"
)
def refuse_within_answer(context, tokens):
    support.control(context.deployment.engines, token_ms=100)
    chat_in_background(context, tokens, 1)
    support.store_fault(context, mode="refuse")


@behave.when("the store hangs")
def hang_store(context):
    support.store_fault(context, mode="hang")


@behave.when("the host list hangs")
def hang_host_list(context):
    hosts = support.hosts_of(context)
    hosts.request("POST", "/faults", {"mode": "hang"})
    context.add_cleanup(hosts.request, "POST", "/faults", {})


@behave.when("the store takes {delay:d} ms for each call")
def slow_store(context, delay):
    support.store_fault(context, mode="slow", delay_ms=delay)


@behave.when("the store loses the answers to half of the writes")
def lose_answers(context):
    support.store_fault(context, mode="lose_answers", probability=0.5, seed=1)


@behave.when("the store gives stale answers")
def stale_store(context):
    support.store_fault(context, mode="stale_reads")


@behave.when("the store works again")
def repair_store(context):
    support.store_fault(context)
    context.since_s = time.monotonic()


@behave.when(
    "the store hangs for {seconds:d} s within an answer of {tokens:d} tokens"
)
def hang_within_answer(context, seconds, tokens):
    chat_in_background(context, tokens)
    support.store_fault(context, mode="hang")
    time.sleep(seconds)
    support.store_fault(context)
    support.join(context)


def chat_in_background(context, tokens, begun=5):
    """Start an answer of each program, and wait until all have begun."""
    for number, program_id in enumerate(support.programs(context)):
        text = f"long question of {program_id}"
        length = tokens + number
        support.in_background(
            context, context.caller.chat, program_id, text, length
        )
    support.until(
        context, lambda: support.is_generating(context, begun), "answers begin"
    )


@behave.when("{seconds:g} s have passed")
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when("the owner of the program dies")
def kill_owner(context):
    support.kill(context, support.owner_of(context, context.program_id))


@behave.when('the owner of the program dies within a "{operation}" call')
def kill_within_call(context, operation):
    key = context.caller.new_key(context.program_id, operation)
    support.in_background(
        context, context.caller.tool, context.program_id, operation, key
    )
    support.until(
        context, lambda: support.all_keys(context)[key], "the call runs"
    )
    support.owner_of(context, context.program_id).kill()
    support.join(context)


@behave.when(
    "the owner of the program dies within an answer of {tokens:d} tokens"
)
def kill_within_answer(context, tokens):
    chat_in_background(context, tokens)
    support.owner_of(context, context.program_id).kill()
    support.join(context)


@behave.when("{count:d} entry processes die at once")
def kill_several(context, count):
    for entry in context.deployment.live_entries()[:count]:
        support.kill(context, entry)


@behave.when(
    'the owner of the first is paused within "{operation}" calls of all'
)
def pause_within_calls(context, operation):
    first = support.programs(context)[0]
    paused = support.owner_of(context, first)
    for program_id in support.programs(context):
        support.in_background(
            context, context.caller.tool, program_id, operation
        )
    support.until(
        context,
        lambda: any(
            run["program_id"] == first for run in support.all_runs(context)
        ),
        "the call of the first runs",
    )
    former_id = context.deployment.status(paused)["member_id"]
    paused.pause()
    context.since_s = time.monotonic()
    context.paused = [paused]
    context.former_id = former_id
    context.caller.reconnect(support.others(context))


@behave.when("the paused entry process wakes")
def wake(context):
    for entry in context.paused:
        entry.resume()


@behave.when("the link between two entry processes is cut for {seconds:d} s")
def cut_link(context, seconds):
    first, second = context.deployment.live_entries()[:2]
    wait_balanced(context)
    context.map_version = max(support.map_versions(context))
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
            max(found) - min(found) <= 1 and sum(found) == callers.PARTITIONS
        )

    support.until(context, is_balanced, "partitions are spread evenly")


@behave.when("entry processes are stopped within answers of {tokens:d} tokens")
def stop_within_answers(context, tokens):
    chat_in_background(context, tokens)
    owner = support.owner_of(context, context.program_id)
    other = next(
        entry
        for entry in context.deployment.live_entries()
        if entry is not owner
    )
    context.stopped = [owner, other]
    for entry in context.stopped:
        entry.terminate()
    support.join(context)


# Operators


@behave.when("an operator applies an edit")
def apply_edit(context):
    deployment = context.deployment
    sampler = evidence.RevisionSampler(
        lambda: deployment.entries, deployment.status
    )
    sampler.start()
    context.add_cleanup(sampler.stop)
    context.sampler = sampler
    context.revision = deployment.apply("limits", {"silence_ms": 20_000})
    context.since_s = time.monotonic()


@behave.when("an entry process dies and another one starts")
def replace_entry(context):
    support.kill(context, context.deployment.live_entries()[0])
    context.world.replace(context.deployment)


def edit_at_once(context, sections):
    """Apply edits that were all based on the same document."""
    store = etcd_gateway.EtcdGateway(context.deployment.store.address)
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
    context.outcomes = support.at_the_same_time(context, edits)
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
    hosts = support.hosts_of(context)
    hosts.request("POST", "/control", {"hosts": [leaving]})
    context.leaving_s = time.monotonic()
    live = {**leaving, "is_leaving": False, "incarnation": 2}
    context.add_cleanup(hosts.request, "POST", "/control", {"hosts": [live]})


@behave.when("the load report says that an engine is leaving")
def drain_by_report(context):
    support.control(context.deployment.engines[:1], state="draining")
    context.leaving_s = time.monotonic()


# What is to be seen
