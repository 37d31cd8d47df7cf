"""Steps that make calls."""

import concurrent.futures
import threading
import time

import behave
import support

from balsamloom_standins import callers, evidence

behave.use_step_matcher("parse")


@behave.given("the deployment of {user}")
def given_deployment(context, user):
    context.deployment = context.world.deployment(user)
    context.caller = callers.RecordingCaller(context.deployment)
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
    support.check(
        [
            f"{told.key} ended with {told.code}"
            for told in context.caller.calls
            if not told.is_completed
        ]
    )


def run_turns(context, program_id, chats, tools, operation):
    position = support.programs(context).index(program_id)
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
    context.first_new = len(context.caller.calls)

    def run(program_id):
        return lambda: run_turns(context, program_id, chats, tools, operation)

    # The calls of a program follow each other, and each has its own limit.
    limit_s = callers.CALL_TIMEOUT_MS / 1_000 + support.TRANSPORT_S
    support.at_the_same_time(
        context,
        [run(name) for name in support.programs(context)],
        (chats + tools) * limit_s,
    )
    support.check(
        [
            f"{told.key} took {told.end_s - told.start_s:.1f} s"
            for told in context.caller.calls[context.first_new :]
            if told.end_s - told.start_s > limit_s
        ]
    )


@behave.when('its caller sends {count:d} "{operation}" calls at the same time')
def send_at_once(context, count, operation):
    def call():
        return context.caller.tool(context.program_id, operation)

    support.at_the_same_time(context, [call] * count)


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
    response = callers.send(
        context.caller.owner(context.program_id),
        "/v1/chat/completions",
        {
            "model": context.deployment.shape.model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "broken off"}],
        },
        **callers.call_headers(context.program_id, context.key),
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
    support.in_background(
        context, context.caller.tool, context.program_id, operation, key
    )
    support.until(
        context, lambda: support.all_keys(context)[key], "the call runs"
    )
    context.caller.tool_once(context.program_id, operation, key, limit)
    support.join(context)


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
    support.at_the_same_time(context, [through(entry) for entry in entries])


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
    tags = evidence.fetch_hold_tags(context.deployment.engines)
    held = {evidence.program_of(tag) for tag in tags}
    assert held & set(support.programs(context)), (
        "engines hold no memory before"
    )
    for program_id in support.programs(context):
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
        support.in_background(
            context, loop, context.caller.start(budget=budget)
        )
    context.add_cleanup(ended.set)
    context.calls_ended = ended
    support.until(
        context,
        lambda: all(
            evidence.fetch_records([engine])
            for engine in context.deployment.engines
        ),
        "all engines serve",
    )


# Faults
