"""What callers were told, what stand-ins recorded, and checks of both.

The scenarios and ``tools/chaos.py`` use the same callers and checks. A check
returns its findings in words; an empty list says that the requirement held.
"""

from __future__ import annotations

import collections
import copy
import dataclasses
import itertools
import json
import math
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple
from urllib import parse

import sseclient
import urllib3

from balsamloom_cli import client
from balsamloom_core import results
from balsamloom_standins import _cache, deployments, fleet

COMPLETED = int(results.ResultCode.COMPLETED)
POLL_S = 0.05
SEND_TIMEOUT_S = 20
# Longest time for one call of a caller with all its tries.
CALL_TIMEOUT_MS = 20_000
ENTRY_SETTINGS = {"commits_per_s": 20, "commit_burst": 20}
PARTITIONS = 256
TOOL_TIMEOUT_MS = 3_000
# The first part of an engine's tag is the program, the last one the call.
TAG_PROGRAM, TAG_CALL = 0, 2


@dataclasses.dataclass
class Events:
    """Events of one stream: progress, restarts and the longest silence."""

    progress: int = 0
    restarts: int = 0
    silence_ms: float = 0
    last_s: float = dataclasses.field(default_factory=time.monotonic)

    def note(self, name: str) -> None:
        """Count an event.

        :param name: name of the event.
        """
        now_s = time.monotonic()
        self.silence_ms = max(self.silence_ms, (now_s - self.last_s) * 1000)
        self.last_s = now_s
        self.progress += name == "progress"
        self.restarts += name == "restart"


class Told(NamedTuple):
    """What a caller was told of one call; times on the monotonic clock.

    ``text`` is the new message of a model call, else empty.
    """

    program_id: str
    key: str
    text: str
    max_tokens: int
    code: int
    not_run: bool
    answer: Any
    events: Events
    start_s: float
    end_s: float

    @property
    def is_completed(self) -> bool:
        """Return whether the caller got the whole answer."""
        return self.code == COMPLETED


class LoggedCaller:
    """Callers of one deployment, with a log of all that they were told.

    :param deployment: deployment with running entry processes.
    :param timeout_ms: longest time for one call with all its tries.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._deployment = deployment
        self._shape = deployment.shape
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self.told: list[Told] = []
        self.budgets: dict[str, dict[str, int]] = {}
        self.ended: set[str] = set()
        self.reconnect(deployment.live_entries(), timeout_ms)

    def reconnect(
        self,
        entries: Iterable[fleet.Running],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        """Forget all addresses and ask these entry processes from now on.

        :param entries: entry processes to ask.
        :param timeout_ms: longest time for one call with all its tries.
        """
        addresses = [entry.address for entry in entries]
        self._caller = client.Caller(
            addresses, self._shape.customer, timeout_ms=timeout_ms
        )

    def with_timeout(self, timeout_ms: int) -> LoggedCaller:
        """Return a caller with the same log and another timeout.

        :param timeout_ms: longest time for one call with all its tries.
        """
        other = copy.copy(self)
        other.reconnect(self._deployment.live_entries(), timeout_ms)
        return other

    def start(self, **specification: Any) -> str:
        """Start a program and return its identifier.

        :param specification: fields of the request besides the customer.
        """
        body = {"customer": self._shape.customer, **specification}
        program_id = self._caller.start(body)
        self.budgets[program_id] = specification.get("budget", {})
        return program_id

    def chat(
        self, program_id: str, text: str, max_tokens: int, key: str = ""
    ) -> Told:
        """Run a model call to its end.

        :param program_id: program of the call.
        :param text: new message.
        :param max_tokens: length of the answer.
        :param key: idempotency key, a new one by default.
        """
        key = key or self.new_key(program_id, "chat")
        body = {
            "model": self._shape.model,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        parts: list[str] = []
        events = Events()

        def run() -> tuple[int, Any]:
            for event in self._caller.chat(program_id, body, key):
                events.note(event.name)
                if event.name == "restart":
                    parts.clear()
                elif event.name == "message":
                    parts.append(_content(event.body))
            # A recorded answer comes as a whole, without chunks.
            message = event.body["result"]["choices"][0]["message"]
            return int(event.body["code"]), "".join(parts) or message[
                "content"
            ]

        return self._logged((program_id, key, text, max_tokens), run, events)

    def tool(self, program_id: str, operation: str, key: str = "") -> Told:
        """Run a tool call to its end.

        :param program_id: program of the call.
        :param operation: operation of the deployment's service.
        :param key: idempotency key, a new one by default.
        """
        key = key or self.new_key(program_id, operation)

        def run() -> tuple[int, Any]:
            answer = self._caller.tool(
                program_id, self._shape.service, operation, {"key": key}, key
            )
            return COMPLETED, answer

        return self._logged((program_id, key, "", 0), run, Events())

    def tool_once(
        self, program_id: str, operation: str, key: str, deadline_ms: int
    ) -> Told:
        """Send a tool call once, so that the first answer is the last.

        :param program_id: program of the call.
        :param operation: operation of the deployment's service.
        :param key: idempotency key.
        :param deadline_ms: deadline that the service is told.
        """
        headers = call_headers(program_id, key)
        headers["X-Deadline-Ms"] = str(deadline_ms)
        path = f"/v1/tools/{self._shape.service}/{operation}"

        def run() -> tuple[int, Any]:
            try:
                address = self.owner(program_id)
                response = send(address, path, {"key": key}, **headers)
                body = response.json()
            except urllib3.exceptions.HTTPError as error:
                code = results.ResultCode.INTERRUPTED
                raise client.CallError(code, str(error), False) from error
            if "error" not in body:
                return COMPLETED, body
            code = results.ResultCode(body["error"]["code"])
            message = body["error"]["message"]
            raise client.CallError(code, message, body["error"]["not_run"])

        return self._logged((program_id, key, "", 0), run, Events())

    def stream_tool(self, program_id: str, operation: str, key: str) -> Told:
        """Run a tool call once, with its answer as a stream.

        :param program_id: program of the call.
        :param operation: operation of the deployment's service.
        :param key: idempotency key.
        """
        events = Events()

        def run() -> tuple[int, Any]:
            path = f"/v1/tools/{self._shape.service}/{operation}"
            response = send(
                self.owner(program_id),
                path,
                {"key": key},
                **call_headers(program_id, key),
                Accept="text/event-stream",
            )
            for event in sseclient.SSEClient(response.stream()).events():
                events.note(event.event)
                if event.event == "done":
                    break
            body = json.loads(event.data)
            return int(body["code"]), body

        return self._logged((program_id, key, "", 0), run, events)

    def show(self, program_id: str) -> dict[str, Any]:
        """Return the state of a program.

        :param program_id: program to show.
        """
        return self._caller.show(program_id)

    def recorded_code(self, program_id: str, key: str) -> int:
        """Return the code of the recorded result of an earlier call.

        :param program_id: program of the call.
        :param key: idempotency key of the call.
        """
        # One try: a recorded refusal would be asked for again and again.
        path = f"/v1/programs/{program_id}/calls/{parse.quote(key, safe='')}"
        url = f"http://{self.owner(program_id)}{path}"
        with urllib3.PoolManager(retries=False) as pool:
            body = pool.request("GET", url, timeout=SEND_TIMEOUT_S).json()
        return int(body.get("error", body)["code"])

    def end(self, program_id: str) -> None:
        """End a program.

        :param program_id: program to end.
        """
        self._caller.end(program_id)
        self.ended.add(program_id)

    def owner(self, program_id: str) -> str:
        """Return the address that callers of a program are told.

        :param program_id: program to look up.
        """
        return self._caller.address(program_id).address

    def calls_of(self, program_id: str) -> list[Told]:
        """Return what was told of one program.

        :param program_id: program of the calls.
        """
        return [told for told in self.told if told.program_id == program_id]

    def new_key(self, program_id: str, kind: str) -> str:
        """Return an idempotency key that tells its program.

        :param program_id: program of the call.
        :param kind: what is called.
        """
        return f"{program_id}:{kind}:{next(self._numbers)}"

    def _logged(
        self,
        call: tuple[str, str, str, int],
        run: Callable[[], tuple[int, Any]],
        events: Events,
    ) -> Told:
        start_s = time.monotonic()
        not_run = False
        try:
            code, answer = run()
        except client.CallError as error:
            code, not_run = int(error.code), error.not_run
            answer = error.message
        told = Told(
            *call, code, not_run, answer, events, start_s, time.monotonic()
        )
        with self._lock:
            self.told.append(told)
        return told


class RevisionSampler:
    """Notes the configuration revision of every entry process over time.

    :param entries: returns the entry processes.
    :param status: reads the status of one.
    """

    def __init__(
        self,
        entries: Callable[[], Iterable[fleet.Running]],
        status: Callable[[fleet.Running], dict[str, Any]],
    ) -> None:
        self._entries = entries
        self._status = status
        self._ended = threading.Event()
        self._seen: dict[int, list[int]] = collections.defaultdict(list)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> list[str]:
        """End sampling and return the members whose revision fell."""
        self._ended.set()
        self._thread.join()
        return [
            f"R10: process {pid} went through revisions {seen}"
            for pid, seen in self._seen.items()
            if seen != sorted(seen)
        ]

    def _run(self) -> None:
        while not self._ended.wait(POLL_S):
            for entry in list(self._entries()):
                revision = self._status(entry).get("configuration_revision")
                seen = self._seen[entry.pid]
                if revision is not None and seen[-1:] != [revision]:
                    seen.append(revision)


def call_headers(program_id: str, key: str) -> dict[str, str]:
    """Return the headers of a call.

    :param program_id: program of the call.
    :param key: idempotency key.
    """
    return {"X-Program-Id": program_id, "Idempotency-Key": key}


def send(
    address: str, path: str, body: dict[str, Any], **headers: str
) -> urllib3.BaseHTTPResponse:
    """Send one request without another try; its answer is not read yet.

    :param address: entry process.
    :param path: path of the request.
    :param body: JSON body.
    :param headers: headers besides those of the body.
    """
    return urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{address}{path}",
        json=body,
        headers=headers,
        preload_content=False,
        timeout=SEND_TIMEOUT_S,
    )


def small(shape: deployments.Shape) -> deployments.Shape:
    """Return a shape with few stand-ins, for tests.

    :param shape: shape of a user's deployment.
    """
    options = (("--token-ms", "2"), ("--token-ms", "4"))
    operations = {
        name: {**operation, "timeout_ms": TOOL_TIMEOUT_MS}
        for name, operation in shape.operations.items()
    }
    return shape._replace(
        engine_options=options, tool_count=2, operations=operations
    )


def started(
    running: fleet.Fleet, shape: deployments.Shape
) -> deployments.Deployment:
    """Start a deployment with a host list and wait until it serves.

    :param running: fleet that ends the processes.
    :param shape: size and names.
    """
    hosts = running.standin("hosts")
    settings = {**ENTRY_SETTINGS, "host_list_address": hosts.address}
    deployment = deployments.Deployment(running, shape, settings)
    deployment.start()
    return deployment


def records(standins: Iterable[fleet.Running]) -> list[dict[str, Any]]:
    """Return the records of all requests that stand-ins have seen.

    :param standins: engines or tool services.
    """
    return [
        record
        for standin in standins
        for record in standin.request("GET", "/records")["records"]
    ]


def holds(engines: Iterable[fleet.Running]) -> list[str]:
    """Return the tags of all memory that engines hold.

    :param engines: engines.
    """
    return [
        hold["tag"]
        for engine in engines
        for hold in engine.request("GET", "/holds")["holds"]
    ]


def program_of(tag: str) -> str:
    """Return the program of an engine's tag.

    :param tag: tag of a request or of held memory.
    """
    return tag.split("/")[TAG_PROGRAM]


def runs_by_key(runs: Iterable[dict[str, Any]]) -> collections.Counter[str]:
    """Return how often each idempotency key ran.

    :param runs: records of tool services.
    """
    return collections.Counter(run["key"] for run in runs)


def check_order(
    runs: Iterable[dict[str, Any]], timeout_s: float = float("inf")
) -> list[str]:
    """Check that no tool call of a program began before another ended (R1).

    :param runs: records of tool services.
    :param timeout_s: timeout of the operations; a call that hangs for longer
        is given up then, and the next one may begin.
    """
    found = []
    last: dict[str, dict[str, Any]] = {}
    for run in sorted(runs, key=lambda run: float(run["start_s"])):
        former = last.get(run["program_id"])
        if (
            former
            and not (former["end_s"] and former["end_s"] <= run["start_s"])
            and run["start_s"] - former["start_s"] < timeout_s
        ):
            gap_s = run["start_s"] - former["start_s"]
            found.append(
                f"R1: {run['key']} began within {former['key']},"
                f" {gap_s:.3f} s after its start"
            )
        last[run["program_id"]] = run
    return found


def check_runs(
    runs: Iterable[dict[str, Any]], told: Iterable[Told]
) -> list[str]:
    """Check that calls ran at most once, and as callers were told (R6, R7).

    :param runs: records of non-idempotent calls at tool services.
    :param told: what callers were told of these calls.
    """
    counts = runs_by_key(runs)
    found = [
        f"R7: {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]
    for call in told:
        if call.is_completed and not call.text and not counts[call.key]:
            found.append(f"R5: {call.key} has an answer but never ran")
        if call.not_run and counts[call.key]:
            found.append(
                f"R6: {call.key} ran, but its caller was told that it did"
                f" not, with code {call.code}"
            )
    return found


def check_answers(told: Iterable[Told]) -> list[str]:
    """Check that completed model calls gave the whole answer (R5).

    :param told: what callers were told.
    """
    return [
        f"R5: {call.key} should have {call.max_tokens} tokens: {call.answer!r}"
        for call in told
        if call.is_completed
        and call.text
        and call.answer != _answer_text(call.max_tokens)
    ]


def check_history(
    messages: Sequence[dict[str, Any]],
    told: Iterable[Told],
    code_of: Callable[[Told], int],
) -> list[str]:
    """Check a program's history against what its caller was told (R2).

    The messages of each completed call stand together, once. A call whose
    answer was given before another one was sent stands before it; calls
    that overlapped may stand in either order.

    :param messages: history of the program.
    :param told: what the caller was told.
    :param code_of: code of the recorded result of a call that was not
        completed for the caller.
    """
    left = [_identity(message) for message in messages]
    position = 0
    waiting = _recorded_calls(told, code_of)
    while waiting:
        found = _next_call(waiting, left[position:])
        if found is None:
            expected = [_messages_of(call) for call in waiting]
            return [f"R2: history {left} should go on with {expected}"]
        position += len(_messages_of(found))
        waiting.remove(found)
    if position < len(left):
        return [f"R2: history {left} has more than the caller was told"]
    return []


def _recorded_calls(
    told: Iterable[Told], code_of: Callable[[Told], int]
) -> list[Told]:
    """Return one entry for each call that ran, with the time that it took.

    A call that was sent again with its key began with the first sending. Its
    record was there when a caller had the answer; until then it may come at
    any time.
    """
    by_key: dict[str, list[Told]] = {}
    for call in sorted(told, key=lambda call: call.start_s):
        by_key.setdefault(call.key, []).append(call)
    calls = []
    for sendings in by_key.values():
        first = sendings[0]
        ends_s = [call.end_s for call in sendings if call.is_completed]
        if ends_s:
            calls.append(first._replace(end_s=min(ends_s)))
        elif code_of(first) == COMPLETED:
            calls.append(first._replace(end_s=math.inf))
    return calls


def _next_call(
    waiting: Sequence[Told], messages: Sequence[tuple[str, ...]]
) -> Told | None:
    """Return the call that a history goes on with, if it may stand there."""
    first_end_s = min(call.end_s for call in waiting)
    for call in waiting:
        expected = _messages_of(call)
        is_next = list(messages[: len(expected)]) == expected
        if is_next and call.start_s <= first_end_s:
            return call
    return None


def check_prompts(
    requests: Iterable[dict[str, Any]],
    messages: Sequence[dict[str, Any]],
    told: Iterable[Told],
) -> list[str]:
    """Check that engines saw no prompt but this program's own (R2).

    :param requests: records of engines.
    :param messages: history of the program at its end.
    :param told: what the caller was told of all calls of the program.
    """
    texts = {call.text for call in told if call.text}
    allowed = {
        _cache.blocks_of([*messages[:length], _user(text)])[-1].digest
        for length in range(len(messages) + 1)
        for text in texts
    }
    return [
        f"R2: {request['tag']} has a prompt that is not its program's"
        for request in requests
        if request["prompt"] not in allowed
    ]


def check_budgets(
    requests: Iterable[dict[str, Any]], budgets: dict[str, dict[str, int]]
) -> list[str]:
    """Check the tokens that engines generated against the budgets (R3).

    :param requests: records of engines.
    :param budgets: budget of each program.
    """
    made: collections.Counter[str] = collections.Counter()
    for request in requests:
        made[program_of(request["tag"])] += request["made"]
    return [
        f"R3: {program_id} used {made[program_id]} tokens of {budget}"
        for program_id, budget in budgets.items()
        if made[program_id] > budget.get("generated_tokens", made[program_id])
    ]


def check_holds(tags: Iterable[str], ended: set[str]) -> list[str]:
    """Check that no memory is held for ended programs (R4).

    :param tags: tags of held memory.
    :param ended: programs that have ended.
    """
    return [
        f"R4: memory is held for {tag}"
        for tag in tags
        if program_of(tag) in ended
    ]


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content") or "")


def _answer_text(tokens: int) -> str:
    return "".join(f"t{number} " for number in range(tokens))


def _user(text: str) -> dict[str, str]:
    return {"role": "user", "content": text}


def _messages_of(call: Told) -> list[tuple[str, ...]]:
    if call.text:
        answer = _answer_text(call.max_tokens)
        return [("user", call.text), ("assistant", answer)]
    return [("tool", call.key)]


def _identity(message: dict[str, Any]) -> tuple[str, ...]:
    if message["role"] == "tool":
        return ("tool", str(message["tool_call_id"]))
    return (str(message["role"]), str(message["content"]))
