"""Callers that record the result of each call, and small deployments for them.

The scenarios and ``tools/chaos.py`` use them.
"""

from __future__ import annotations

import copy
import dataclasses
import itertools
import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib import parse

import sseclient
import urllib3

from balsamloom_cli import client, responses
from balsamloom_core import results
from balsamloom_standins import deployments, fleet

COMPLETED = int(results.ResultCode.COMPLETED)
ACCEPTED = int(results.ResultCode.ACCEPTED)
POLL_INTERVAL_S = 0.05
SEND_TIMEOUT_S = 20
# Limit for one call, including its retries.
CALL_TIMEOUT_MS = 20_000
ENTRY_SETTINGS = {"commits_per_s": 20, "commit_burst": 20}
PARTITIONS = 256
TOOL_TIMEOUT_MS = 3_000


@dataclasses.dataclass
class StreamStats:
    """Counts of events of one stream, and the longest time without one."""

    progress: int = 0
    restarts: int = 0
    silence_ms: float = 0
    last_s: float = dataclasses.field(default_factory=time.monotonic)

    def record(self, name: str) -> None:
        """Count an event.

        :param name: name of the event.
        """
        now_s = time.monotonic()
        self.silence_ms = max(self.silence_ms, (now_s - self.last_s) * 1000)
        self.last_s = now_s
        self.progress += name == "progress"
        self.restarts += name == "restart"


class Call(NamedTuple):
    """A call and its result as the caller saw it.

    ``text`` is the new message of a model call, and empty for a tool call.
    Times are on the monotonic clock.
    """

    program_id: str
    key: str
    text: str
    max_tokens: int
    code: int
    not_run: bool
    answer: Any
    events: StreamStats
    start_s: float
    end_s: float

    @property
    def is_completed(self) -> bool:
        """Return whether the caller got the whole answer."""
        return self.code == COMPLETED


class RecordingCaller:
    """Caller of one deployment that records every call and its result.

    :param deployment: deployment with running entry processes.
    :param timeout_ms: limit for one call, including its retries.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._deployment = deployment
        self._shape = deployment.shape
        self._lock = threading.Lock()
        self._call_numbers = itertools.count(1)
        self.calls: list[Call] = []
        self.budgets: dict[str, dict[str, int]] = {}
        self.ended: set[str] = set()
        self.reconnect(deployment.live_entries(), timeout_ms)

    def reconnect(
        self,
        entries: Iterable[fleet.Process],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        """Drop all cached addresses and use these entry processes.

        :param entries: entry processes that look up addresses.
        :param timeout_ms: limit for one call, including its retries.
        """
        addresses = [entry.address for entry in entries]
        self._caller = client.Caller(
            addresses, self._shape.customer, timeout_ms=timeout_ms
        )

    def with_timeout(self, timeout_ms: int) -> RecordingCaller:
        """Return a caller with the same records and another timeout.

        :param timeout_ms: limit for one call, including its retries.
        """
        other = copy.copy(self)
        other.reconnect(self._deployment.live_entries(), timeout_ms)
        return other

    def start(self, **specification: Any) -> str:
        """Start a program and return its identifier.

        :param specification: fields of the request other than the customer.
        """
        body = {"customer": self._shape.customer, **specification}
        program_id = self._caller.start(body)
        self.budgets[program_id] = specification.get("budget", {})
        return program_id

    def chat(
        self, program_id: str, text: str, max_tokens: int, key: str = ""
    ) -> Call:
        """Run a model call and wait for its result.

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
        chunks: list[str] = []
        events = StreamStats()

        def run() -> tuple[int, Any]:
            for event in self._caller.chat(program_id, body, key):
                events.record(event.name)
                if event.name == "restart":
                    chunks.clear()
                elif event.name == "message":
                    chunks.append(_content(event.body))
            # A recorded answer is sent whole, without chunks.
            message = event.body["result"]["choices"][0]["message"]
            return int(event.body["code"]), "".join(chunks) or message[
                "content"
            ]

        return self._record((program_id, key, text, max_tokens), run, events)

    def tool(self, program_id: str, operation: str, key: str = "") -> Call:
        """Run a tool call and wait for its result.

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

        return self._record((program_id, key, "", 0), run, StreamStats())

    def tool_once(
        self, program_id: str, operation: str, key: str, deadline_ms: int
    ) -> Call:
        """Send a tool call once, without retries.

        :param program_id: program of the call.
        :param operation: operation of the deployment's service.
        :param key: idempotency key.
        :param deadline_ms: value of the deadline header.
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
                raise responses.CallError(code, str(error), False) from error
            if "error" not in body:
                return COMPLETED, body
            code = results.ResultCode(body["error"]["code"])
            message = body["error"]["message"]
            raise responses.CallError(code, message, body["error"]["not_run"])

        return self._record((program_id, key, "", 0), run, StreamStats())

    def stream_tool(self, program_id: str, operation: str, key: str) -> Call:
        """Run a tool call once, with a streamed answer.

        :param program_id: program of the call.
        :param operation: operation of the deployment's service.
        :param key: idempotency key.
        """
        events = StreamStats()

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
                events.record(event.event)
                if event.event == "done":
                    break
            body = json.loads(event.data)
            return int(body["code"]), body

        return self._record((program_id, key, "", 0), run, events)

    def show(self, program_id: str) -> dict[str, Any]:
        """Return the state of a program.

        :param program_id: program to show.
        """
        return self._caller.show(program_id)

    def recorded_code(self, program_id: str, key: str) -> int:
        """Return the code of the recorded result of an earlier call.

        Wait for a result that is not durable yet, because its messages
        are already in the history.

        :param program_id: program of the call.
        :param key: idempotency key of the call.
        """
        return final_code(lambda: self._current_code(program_id, key))

    def _current_code(self, program_id: str, key: str) -> int:
        # The client would retry if the recorded result is a refusal.
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
        """Return the address of the entry process that owns a program.

        :param program_id: program to look up.
        """
        return self._caller.address(program_id).address

    def calls_of(self, program_id: str) -> list[Call]:
        """Return the calls of one program.

        :param program_id: identifier of the program.
        """
        return [call for call in self.calls if call.program_id == program_id]

    def new_key(self, program_id: str, kind: str) -> str:
        """Return a new idempotency key that contains the program identifier.

        :param program_id: program of the call.
        :param kind: operation or kind of call.
        """
        return f"{program_id}:{kind}:{next(self._call_numbers)}"

    def _record(
        self,
        call: tuple[str, str, str, int],
        run: Callable[[], tuple[int, Any]],
        events: StreamStats,
    ) -> Call:
        start_s = time.monotonic()
        not_run = False
        try:
            code, answer = run()
        except responses.CallError as error:
            code, not_run = int(error.code), error.not_run
            answer = error.message
        finished = Call(
            *call, code, not_run, answer, events, start_s, time.monotonic()
        )
        with self._lock:
            self.calls.append(finished)
        return finished


def final_code(
    fetch_code: Callable[[], int], timeout_s: float = SEND_TIMEOUT_S
) -> int:
    """Poll the code of a call until the call is no longer in progress.

    :param fetch_code: returns the current code.
    :param timeout_s: longest wait; the last code is returned after it.
    """
    end_s = time.monotonic() + timeout_s
    code = fetch_code()
    while code == ACCEPTED and time.monotonic() < end_s:
        time.sleep(POLL_INTERVAL_S)
        code = fetch_code()
    return code


def call_headers(program_id: str, key: str) -> dict[str, str]:
    """Return the headers of a call.

    :param program_id: program of the call.
    :param key: idempotency key.
    """
    return {"X-Program-Id": program_id, "Idempotency-Key": key}


def send(
    address: str, path: str, body: dict[str, Any], **headers: str
) -> urllib3.BaseHTTPResponse:
    """Send one request without retries, and don't read the response body.

    :param address: address of the entry process.
    :param path: path of the request.
    :param body: JSON body.
    :param headers: headers other than those for the body.
    """
    return urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{address}{path}",
        json=body,
        headers=headers,
        preload_content=False,
        timeout=SEND_TIMEOUT_S,
    )


def small_shape(shape: deployments.Shape) -> deployments.Shape:
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


def start_deployment(
    processes: fleet.Fleet, shape: deployments.Shape
) -> deployments.Deployment:
    """Start a deployment with a host list and wait until it is ready.

    :param processes: fleet that runs the processes.
    :param shape: size and names of the deployment.
    """
    hosts = processes.standin("hosts")
    settings = {**ENTRY_SETTINGS, "host_list_address": hosts.address}
    deployment = deployments.Deployment(processes, shape, settings)
    deployment.start()
    return deployment


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content") or "")
