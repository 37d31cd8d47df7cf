"""Stand-in for a model engine: continuous batching at a set speed.

One thread generates the tokens of all requests. Each step gives one token to
every running request, and takes longer the more of them there are.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import json
import pathlib
import queue
import select
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import cherrypy

from balsamloom_standins import _cache, _serving

DEFAULT_MAX_TOKENS = 16
DEFAULT_PRIORITY = 0
DEFAULT_THREADS = 640
MAX_RECORDS = 10_000
# Closed connections are detected once a tick, even if no token is due.
TICK_S = 0.02

_REFUSAL_STATUSES = {"draining": 503, "overloaded": 429}


@dataclasses.dataclass
class EngineSettings:
    """Speed and limits; ``POST /control`` changes them at run time.

    :param token_ms: time per token with one running request.
    :param batch_growth: share of ``token_ms`` added per further request.
    :param prefill_ms: time for 1,000 prompt tokens that are not cached.
    :param slots: maximum number of running requests.
    :param slowdown: factor on all times.
    :param max_waiting: number of waiting requests from which new ones are
        refused.
    :param load_delay_ms: age of the load report.
    :param cache_delay_ms: age of the cache events.
    :param state: ``serving`` or ``draining``.
    :param enforces_fence: whether orders with a lower fence than an applied
        one are rejected.
    """

    token_ms: float = 5.0
    batch_growth: float = 0.03
    prefill_ms: float = 20.0
    slots: int = 8
    slowdown: float = 1.0
    max_waiting: int = 1_000
    load_delay_ms: float = 0.0
    cache_delay_ms: float = 0.0
    state: str = "serving"
    enforces_fence: bool = True


class Request:
    """A waiting or running chat request.

    :param body: decoded JSON of the request.
    :param tag: tag under which its memory is held.
    :param connection: socket whose closing cancels the request.
    """

    def __init__(
        self, body: dict[str, Any], tag: str, connection: socket.socket
    ) -> None:
        self.messages: list[dict[str, Any]] = body.get("messages", [])
        self.max_tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        self.priority = float(body.get("priority", DEFAULT_PRIORITY))
        self.tag = tag
        self.descriptor = connection.fileno()
        self.blocks = _cache.chain_blocks(self.messages)
        self.prefill_end_s = 0.0
        self.generated = 0
        self.is_ended = False
        self.record: dict[str, Any] = {
            "tag": tag,
            "prompt": self.blocks[-1].digest if self.blocks else "",
            "max_tokens": self.max_tokens,
            "made": 0,
            "is_refused": False,
            "start_s": time.monotonic(),
            "end_s": None,
        }
        # Numbers of generated tokens; None marks the end of the request.
        self.tokens: queue.SimpleQueue[int | None] = queue.SimpleQueue()

    @property
    def text(self) -> str:
        """Return the answer generated so far."""
        return "".join(f"t{number} " for number in range(self.generated))


class BatchScheduler:
    """Queue and batch of requests, with the thread that serves them.

    :param settings: speed and limits.
    :param cache: prefix cache.
    :param holds: memory held by tag.
    :param token_bytes: engine memory per token.
    """

    def __init__(
        self,
        settings: EngineSettings,
        cache: _cache.PrefixCache,
        holds: _cache.MemoryHolds,
        token_bytes: int,
    ) -> None:
        self.lock = threading.Condition()
        self.settings = settings
        self.cache = cache
        self.holds = holds
        self.cancelled_count = 0
        self._token_bytes = token_bytes
        self._records: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self._submission_numbers = itertools.count()
        self._waiting: list[tuple[float, int, Request]] = []
        self._running: dict[int, Request] = {}
        self._poll = select.poll()
        self._recent_tokens: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=10_000)
        )
        threading.Thread(target=self._run, daemon=True).start()

    def records(self) -> list[dict[str, Any]]:
        """Return records of the last requests, including refused ones.

        Times are on the monotonic clock of the host.
        """
        with self.lock:
            return list(self._records)

    def submit(self, request: Request) -> str:
        """Queue a request, or return the code of its refusal."""
        with self.lock:
            self._records.append(request.record)
            refusal = ""
            if self.settings.state == "draining":
                refusal = "draining"
            elif len(self._waiting) >= self.settings.max_waiting:
                refusal = "overloaded"
            if refusal:
                request.record["is_refused"] = True
                return refusal
            self._poll.register(request.descriptor, select.POLLRDHUP)
            self.holds.start(request.tag, 0)
            entry = (request.priority, next(self._submission_numbers), request)
            heapq.heappush(self._waiting, entry)
            self.lock.notify()
            return ""

    def cancel(self, tag_prefix: str) -> int:
        """Cancel the requests whose tag starts with a prefix."""
        with self.lock:
            return self._cancel(
                lambda request: request.tag.startswith(tag_prefix)
            )

    def finish(self, request: Request) -> None:
        """End a request whose stream has ended; idempotent."""
        with self.lock:
            self._end(request)

    def load_report(self) -> dict[str, Any]:
        """Return the load report of ``load_delay_ms`` ago."""
        with self.lock:
            limit_s = time.monotonic() - self.settings.load_delay_ms / 1000
            while len(self._reports) > 1 and self._reports[1][0] <= limit_s:
                self._reports.popleft()
            if not self.settings.load_delay_ms or not self._reports:
                return self._current_load()
            at_s, found = self._reports[0]
            age_ms = (time.monotonic() - at_s) * 1000
            return {**found, "age_ms": age_ms}

    def _run(self) -> None:
        next_s = time.monotonic()
        while True:
            with self.lock:
                if not self._running and not self._waiting:
                    self._record_report()
                    self.lock.wait(1.0)
                    next_s = time.monotonic()
                self._cancel_disconnected()
                self._admit_waiting()
                now_s = time.monotonic()
                if now_s >= next_s:
                    self._generate_tokens(now_s)
                    self._record_report()
                    # A late step is not made up for by a burst of tokens.
                    next_s = max(next_s + self._step_duration_s(), now_s)
            time.sleep(min(max(next_s - time.monotonic(), 0.0005), TICK_S))

    def _step_duration_s(self) -> float:
        settings = self.settings
        others = max(len(self._running) - 1, 0)
        factor = (1 + settings.batch_growth * others) * settings.slowdown
        return settings.token_ms * factor / 1000

    def _admit_waiting(self) -> None:
        while self._waiting and len(self._running) < self.settings.slots:
            _, number, request = heapq.heappop(self._waiting)
            if request.is_ended:
                continue
            computed = self.cache.admit(request.blocks)
            prompt = sum(block.tokens for block in request.blocks)
            size_bytes = (prompt + request.max_tokens) * self._token_bytes
            self.holds.start(request.tag, size_bytes)
            self.holds.end(request.tag)
            prefill_s = self.settings.prefill_ms * computed / 1_000_000
            request.prefill_end_s = (
                time.monotonic() + prefill_s * self.settings.slowdown
            )
            self._running[number] = request

    def _generate_tokens(self, now_s: float) -> None:
        generated = 0
        for number, request in list(self._running.items()):
            if request.is_ended:
                del self._running[number]
                continue
            if request.prefill_end_s > now_s:
                continue
            request.tokens.put(request.generated)
            request.generated += 1
            request.record["made"] = request.generated
            generated += 1
            if request.generated >= request.max_tokens:
                self._cache_answer(request)
                self._end(request)
                del self._running[number]
        self._recent_tokens.append((now_s, generated))

    def _cache_answer(self, request: Request) -> None:
        answer = {"role": "assistant", "content": request.text}
        blocks = _cache.chain_blocks([*request.messages, answer])
        self.cache.add_answer(blocks)

    def _end(self, request: Request) -> None:
        if request.is_ended:
            return
        request.is_ended = True
        request.record["end_s"] = time.monotonic()
        self._poll.unregister(request.descriptor)
        self.holds.end(request.tag)
        request.tokens.put(None)

    def _cancel_disconnected(self) -> None:
        closed = {descriptor for descriptor, _ in self._poll.poll(0)}
        if closed:
            self._cancel(lambda request: request.descriptor in closed)

    def _cancel(self, matches: Any) -> int:
        waiting = [entry[2] for entry in self._waiting]
        found = [
            request
            for request in [*waiting, *self._running.values()]
            if not request.is_ended and matches(request)
        ]
        for request in found:
            self._end(request)
        self.cancelled_count += len(found)
        self._waiting = [
            entry for entry in self._waiting if not entry[2].is_ended
        ]
        heapq.heapify(self._waiting)
        for number, request in list(self._running.items()):
            if request.is_ended:
                del self._running[number]
        return len(found)

    def _record_report(self) -> None:
        now_s = time.monotonic()
        if not self._reports or now_s - self._reports[-1][0] >= TICK_S:
            self._reports.append((now_s, self._current_load()))

    def _current_load(self) -> dict[str, Any]:
        oldest_s = time.monotonic() - 1
        while self._recent_tokens and self._recent_tokens[0][0] < oldest_s:
            self._recent_tokens.popleft()
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "tokens_per_s": sum(count for _, count in self._recent_tokens),
            "state": self.settings.state,
            "age_ms": 0,
        }


class EngineStandin:
    """CherryPy handlers of a model engine.

    :param settings: speed and limits.
    :param cache_tokens: size of the prefix cache.
    :param hold_ttl_ms: time for which ended requests hold their memory.
    :param token_bytes: engine memory per token.
    :param history_path: file shared by the engines of a run to count tokens
        that are computed again.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        cache_tokens: int = 200_000,
        hold_ttl_ms: float = 600_000,
        token_bytes: int = 1_000,
        history_path: pathlib.Path | None = None,
    ) -> None:
        self._settings = settings or EngineSettings()
        history = _cache.BlockHistory(history_path)
        self._scheduler = BatchScheduler(
            self._settings,
            _cache.PrefixCache(cache_tokens, history),
            _cache.MemoryHolds(hold_ttl_ms),
            token_bytes,
        )
        self._applied_orders: list[dict[str, Any]] = []
        self._rejected_orders: list[dict[str, Any]] = []

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Serve the engine's paths."""
        body = _serving.read_json()
        match (cherrypy.request.method, *path):
            case ("POST", "v1", "chat", "completions"):
                return self._chat(body)
            case ("POST", "v1", "cancel"):
                number = self._scheduler.cancel(body["tag_prefix"])
                return _serving.write_json({"cancelled": number})
            case ("GET", "load"):
                return _serving.write_json(self._scheduler.load_report())
            case ("GET", "holds"):
                with self._scheduler.lock:
                    holds = self._scheduler.holds.describe()
                return _serving.write_json({"holds": holds})
            case ("POST", "holds", "release"):
                with self._scheduler.lock:
                    number = self._scheduler.holds.release(body["tags"])
                return _serving.write_json({"released": number})
            case ("GET", "cache", "events"):
                return self._cache_events_response(int(query.get("after", 0)))
            case ("POST", "orders"):
                return self._apply_order(body)
            case ("GET", "orders"):
                return self._orders_response()
            case ("GET", "records"):
                return _serving.write_json(
                    {"records": self._scheduler.records()}
                )
            case ("GET", "stats"):
                with self._scheduler.lock:
                    counts = dict(self._scheduler.cache.counts)
                    counts["cancelled"] = self._scheduler.cancelled_count
                return _serving.write_json(counts)
            case ("POST", "control"):
                return self._control(body)
            case _:
                return _serving.write_json({"error": "not found"}, 404)

    default._cp_config = {"response.stream": True}

    def _chat(self, body: dict[str, Any]) -> Any:
        tag = cherrypy.request.headers.get("X-Request-Tag", "")
        connection = _serving.request_socket()
        request = Request(body, tag, connection)
        refusal = self._scheduler.submit(request)
        if refusal:
            return _refusal_response(refusal, _REFUSAL_STATUSES[refusal])
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return self._stream(request, connection)

    def _stream(
        self, request: Request, connection: socket.socket
    ) -> Iterator[bytes]:
        try:
            is_open = True
            while is_open:
                numbers = [request.tokens.get()]
                while not request.tokens.empty():
                    numbers.append(request.tokens.get())
                is_open = numbers[-1] is not None
                events = [
                    _token_event(number)
                    for number in numbers
                    if number is not None
                ]
                if events:
                    yield b"".join(events)
            if request.generated >= request.max_tokens:
                yield _closing_events(request)
            else:
                # A cancelled stream ends without a closing event.
                _serving.close_connection(connection)
        finally:
            self._scheduler.finish(request)

    def _cache_events_response(self, after: int) -> bytes:
        delay_s = self._settings.cache_delay_ms / 1000
        newest_s = time.monotonic() - delay_s
        with self._scheduler.lock:
            found = [
                {key: value for key, value in event.items() if key != "at_s"}
                for event in self._scheduler.cache.events
                if event["number"] > after and event["at_s"] <= newest_s
            ]
        return _serving.write_json({"events": found})

    def _apply_order(self, body: dict[str, Any]) -> bytes:
        with self._scheduler.lock:
            highest = max(
                (order["fence"] for order in self._applied_orders), default=0
            )
            if self._settings.enforces_fence and body["fence"] < highest:
                self._rejected_orders.append(body)
                return _serving.write_json({"fence": highest}, 409)
            self._applied_orders.append(body)
        return _serving.write_json({"fence": body["fence"]})

    def _orders_response(self) -> bytes:
        with self._scheduler.lock:
            in_force = {
                order["kind"]: order["value"] for order in self._applied_orders
            }
            answer = {
                "applied": self._applied_orders,
                "rejected": self._rejected_orders,
                "in_force": in_force,
            }
            return _serving.write_json(answer)

    def _control(self, body: dict[str, Any]) -> bytes:
        known = dataclasses.asdict(self._settings)
        unknown = sorted(set(body) - set(known))
        if unknown:
            message = f"unknown settings {unknown}; use {sorted(known)}"
            return _serving.write_json({"error": message}, 400)
        with self._scheduler.lock:
            for name, value in body.items():
                setattr(self._settings, name, value)
            return _serving.write_json(dataclasses.asdict(self._settings))


def _refusal_response(code: str, status: int) -> bytes:
    document = {"error": {"code": code}}
    return _serving.write_json(document, status, retry_after_ms=1_000)


def _token_event(number: int) -> bytes:
    delta = {"content": f"t{number} "}
    # The monotonic clock is the same for all processes of a host, so a
    # reader can compute the delay of a chunk.
    sent_ms = time.monotonic() * 1000
    choice = {"index": 0, "delta": delta}
    return _event({"choices": [choice], "sent_ms": sent_ms})


def _closing_events(request: Request) -> bytes:
    usage = {
        "prompt_tokens": sum(block.tokens for block in request.blocks),
        "completion_tokens": request.generated,
    }
    choice = {"index": 0, "delta": {}, "finish_reason": "length"}
    return _event({"choices": [choice], "usage": usage}) + b"data: [DONE]\n\n"


def _event(body: dict[str, Any]) -> bytes:
    document = {"object": "chat.completion.chunk", **body}
    return b"data: " + json.dumps(document).encode() + b"\n\n"
