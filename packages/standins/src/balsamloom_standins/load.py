"""Load generator: runs programs through the HTTP interface for callers.

The load is open-loop: a program starts at its planned arrival, whether or not
earlier ones have ended.
"""

from __future__ import annotations

import collections
import json
import threading
import time
from typing import Any, NamedTuple

import sseclient
import urllib3

from balsamloom_standins import _plans

COMPLETED = 1000
# Extra time after the deadline to receive the system's own error response.
RESPONSE_GRACE_S = 1.0
DEFAULT_RETRY_MS = 200.0
MAX_RETRY_MS = 5_000.0
FAILED_ADDRESS_BACKOFF_MS = 1_000.0
# After these codes a call may have run. A retry with the same key is safe: if
# it ran, the recorded result is returned.
INTERRUPTED = 3001
BACKEND_FAILURE_CODES = (5000, 5001)

CHARACTERS_PER_TOKEN = _plans.CHARACTERS_PER_TOKEN
RateStep = _plans.RateStep
ModelCall = _plans.ModelCall
ToolCall = _plans.ToolCall
Pause = _plans.Pause
Plan = _plans.Plan
ProgramKind = _plans.ProgramKind
PROGRAM_KINDS = _plans.PROGRAM_KINDS
make_plans = _plans.make_plans


class ProgramResult(NamedTuple):
    """Result of one program.

    :param outcome: ``completed``, or the name of the last error.
    :param latency_ms: time from the planned arrival to the end.
    :param first_token_ms: time to first token of each model call.
    """

    plan: _plans.Plan
    program_id: str
    outcome: str
    latency_ms: float
    first_token_ms: list[float]
    retries: int

    @property
    def is_in_time(self) -> bool:
        """Whether the program completed within its deadline."""
        is_late = self.latency_ms > self.plan.deadline_ms
        return self.outcome == "completed" and not is_late


class _CallFailedError(Exception):
    """A call failed for good; the message is the name of the failure."""


class _Failure(NamedTuple):
    """An error answer or a broken connection."""

    name: str
    is_retryable: bool
    retry_after_ms: float


class AddressResolver:
    """Lookup of the entry address of a program, with failover.

    :param addresses: addresses of the entry processes to query.
    :param http: connection pool.
    """

    def __init__(
        self, addresses: list[str], http: urllib3.PoolManager
    ) -> None:
        self._addresses = addresses
        self._http = http
        self._lock = threading.Lock()
        self._index = 0
        self._failed: dict[str, float] = {}

    def resolve(self, program_id: str, customer: str) -> tuple[str, float]:
        """Return the address for a program and the time when it expires."""
        fields = {"program_id": program_id, "customer": customer}
        for _ in self._addresses:
            address = self._next_address()
            try:
                response = self._http.request(
                    "GET",
                    f"http://{address}/v1/address",
                    fields=fields,
                    timeout=2.0,
                )
                answer = response.json()
                valid_s = float(answer["valid_ms"]) / 1000
                return answer["address"], time.monotonic() + valid_s
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                self.mark_failed(address)
        return self._next_address(), time.monotonic()

    def mark_failed(self, address: str) -> None:
        """Skip an address for ``FAILED_ADDRESS_BACKOFF_MS``."""
        with self._lock:
            self._failed[address] = time.monotonic()

    def _next_address(self) -> str:
        oldest_s = time.monotonic() - FAILED_ADDRESS_BACKOFF_MS / 1000
        with self._lock:
            for _ in self._addresses:
                address = self._addresses[self._index % len(self._addresses)]
                self._index += 1
                if self._failed.get(address, 0.0) < oldest_s:
                    return address
            return address


class _ProgramRunner:
    """Runner of one program, in a thread of its own."""

    def __init__(
        self,
        plan: _plans.Plan,
        resolver: AddressResolver,
        http: urllib3.PoolManager,
        start_s: float,
    ) -> None:
        self._plan = plan
        self._resolver = resolver
        self._http = http
        self._arrival_s = start_s + plan.arrival_ms / 1000
        self._deadline_s = self._arrival_s + plan.deadline_ms / 1000
        self._address = ""
        self._valid_until_s = 0.0
        self._program_id = ""
        self._first_token_ms: list[float] = []
        self._retries = 0

    def run(self) -> ProgramResult:
        """Run the steps in order and return the result."""
        outcome = "completed"
        try:
            self._start()
            for number, step in enumerate(self._plan.steps):
                self._run_step(f"{self._program_id}-s{number}", step)
            self._call("DELETE", f"/v1/programs/{self._program_id}", None, "")
        except _CallFailedError as failure:
            outcome = str(failure)
        latency_ms = (time.monotonic() - self._arrival_s) * 1000
        return ProgramResult(
            self._plan,
            self._program_id,
            outcome,
            latency_ms,
            self._first_token_ms,
            self._retries,
        )

    def _start(self) -> None:
        body = {
            "customer": self._plan.customer,
            "workspace": self._plan.kind,
            "urgent": self._plan.is_urgent,
            "budget": {
                "generated_tokens": 2 * self._plan.generated_tokens + 1_000,
                "calls": 2 * len(self._plan.steps) + 10,
                "wall_ms": int(self._plan.deadline_ms * 2),
            },
        }
        answer = self._call("POST", "/v1/programs", body, "")
        self._program_id = answer["program_id"]
        self._valid_until_s = 0.0

    def _run_step(self, key: str, step: _plans.Step) -> None:
        match step:
            case _plans.Pause(duration_ms):
                time.sleep(duration_ms / 1000)
            case _plans.ModelCall(model, prompt_tokens, max_tokens):
                text = f"{self._plan.number}/{key} ".ljust(
                    prompt_tokens * _plans.CHARACTERS_PER_TOKEN, "x"
                )
                body = {
                    "model": model,
                    "stream": True,
                    "max_tokens": max_tokens,
                    "messages": [{"role": "user", "content": text}],
                }
                self._call("POST", "/v1/chat/completions", body, key)
            case _plans.ToolCall(service, operation, body):
                path = f"/v1/tools/{service}/{operation}"
                self._call("POST", path, body, key)

    def _call(
        self, method: str, path: str, body: dict[str, Any] | None, key: str
    ) -> dict[str, Any]:
        """Send a request with retries until the deadline passes."""
        while True:
            response = self._attempt(method, path, body, key)
            if not isinstance(response, _Failure):
                return response
            wait_s = min(response.retry_after_ms, MAX_RETRY_MS) / 1000
            is_late = time.monotonic() + wait_s >= self._deadline_s
            if not response.is_retryable or is_late:
                raise _CallFailedError(response.name)
            self._retries += 1
            time.sleep(wait_s)
            self._valid_until_s = 0.0

    def _attempt(
        self, method: str, path: str, body: dict[str, Any] | None, key: str
    ) -> dict[str, Any] | _Failure:
        if time.monotonic() >= self._valid_until_s:
            self._address, self._valid_until_s = self._resolver.resolve(
                self._program_id, self._plan.customer
            )
        left_ms = max(int((self._deadline_s - time.monotonic()) * 1000), 1)
        headers = {"X-Deadline-Ms": str(left_ms)}
        if self._program_id:
            headers["X-Program-Id"] = self._program_id
        if key:
            headers["Idempotency-Key"] = key
        sent_s = time.monotonic()
        try:
            response = self._http.request(
                method,
                f"http://{self._address}{path}",
                json=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=1.0, read=left_ms / 1000 + RESPONSE_GRACE_S
                ),
                preload_content=False,
            )
            kind = response.headers.get("Content-Type", "")
            if kind.startswith("text/event-stream"):
                return self._read_stream(response, sent_s)
            answer = json.loads(response.data)
        except urllib3.exceptions.HTTPError:
            self._resolver.mark_failed(self._address)
            # A request to start a program has no key. If it was executed, the
            # retry starts a second one, and the budget ends the first.
            return _Failure("connection_broke", True, DEFAULT_RETRY_MS)
        except ValueError:
            return _Failure("damaged_answer", False, 0)
        return _parse_failure(answer) or answer

    def _read_stream(
        self, response: urllib3.BaseHTTPResponse, sent_s: float
    ) -> dict[str, Any] | _Failure:
        done: dict[str, Any] | None = None
        is_first = True
        for event in sseclient.SSEClient(response.stream(65536)).events():
            if event.event == "done":
                done = json.loads(event.data)
            elif event.event == "message" and event.data != "[DONE]":
                if is_first:
                    first_ms = (time.monotonic() - sent_s) * 1000
                    self._first_token_ms.append(first_ms)
                is_first = False
        if done is None:
            return _Failure("stream_cut_off", True, DEFAULT_RETRY_MS)
        return _parse_failure(done) or done


def _parse_failure(answer: dict[str, Any]) -> _Failure | None:
    error = answer.get("error")
    if error is None:
        return None
    code = int(error.get("code", 0))
    # Codes from 4000 on mean that the request itself is invalid.
    is_refused = bool(error.get("not_run")) and 2000 <= code < 3000
    is_unknown = code == INTERRUPTED or code in BACKEND_FAILURE_CODES
    retry_after_ms = float(error.get("retry_after_ms") or DEFAULT_RETRY_MS)
    return _Failure(
        str(error.get("name", code)), is_refused or is_unknown, retry_after_ms
    )


class LoadRun:
    """Run of programs against entry processes.

    :param addresses: addresses of the entry processes.
    :param programs: programs from :func:`plans`.
    """

    def __init__(
        self, addresses: list[str], programs: list[_plans.Plan]
    ) -> None:
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=256, retries=False
        )
        self._resolver = AddressResolver(addresses, self._http)
        self._programs = programs
        self._lock = threading.Lock()
        self.results: list[ProgramResult] = []

    def run(self) -> dict[str, Any]:
        """Run all programs and return the summary."""
        start_s = time.monotonic()
        threads = []
        for plan in self._programs:
            wait_s = start_s + plan.arrival_ms / 1000 - time.monotonic()
            time.sleep(max(wait_s, 0))
            runner = _ProgramRunner(plan, self._resolver, self._http, start_s)
            thread = threading.Thread(target=self._run, args=(runner,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        duration_s = time.monotonic() - start_s
        return {"duration_s": duration_s, **summary(self.results)}

    def _run(self, runner: _ProgramRunner) -> None:
        result = runner.run()
        with self._lock:
            self.results.append(result)


def summary(results: list[ProgramResult]) -> dict[str, Any]:
    """Return counts and latencies, overall and by kind of program.

    :param results: results of the programs.
    """
    kinds = sorted({result.plan.kind for result in results})
    stragglers = [result for result in results if result.plan.is_straggler]
    others = [result for result in results if not result.plan.is_straggler]
    urgent = [result for result in results if result.plan.is_urgent]
    first = [value for result in results for value in result.first_token_ms]
    return {
        **_summarize(results),
        "outcomes": collections.Counter(result.outcome for result in results),
        "retries": sum(result.retries for result in results),
        "first_token_ms": _stats(first),
        "urgent": _summarize(urgent),
        "stragglers": _summarize(stragglers),
        "others": _summarize(others),
        "kinds": {
            kind: _summarize(
                [result for result in results if result.plan.kind == kind]
            )
            for kind in kinds
        },
    }


def _summarize(results: list[ProgramResult]) -> dict[str, Any]:
    completed = [result for result in results if result.outcome == "completed"]
    return {
        "programs": len(results),
        "completed": len(completed),
        "in_time": sum(result.is_in_time for result in results),
        "latency_ms": _stats([result.latency_ms for result in completed]),
    }


def _stats(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "mean": sum(ordered) / len(ordered),
        "p50": ordered[round(last * 0.50)],
        "p95": ordered[round(last * 0.95)],
        "p99": ordered[round(last * 0.99)],
        "max": ordered[last],
    }
