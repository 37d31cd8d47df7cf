"""Client of the callers' interface.

A :class:`Caller` looks up the address of a program's owner, caches it while it
is valid and retries where that is safe: if the response says "not run", if
nothing was sent, or with the same idempotency key.
"""

from __future__ import annotations

import random
import secrets
import threading
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple
from urllib import parse

import cachetools
import urllib3

from balsamloom_cli import responses
from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import http_errors, response_limits

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_TIMEOUT_MS = 60_000
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
MAX_CACHED_ADDRESSES = 10_000


class _Request(NamedTuple):
    method: str
    path: str
    body: responses.Body | None
    headers: Mapping[str, str]
    program_id: str
    is_idempotent: bool


class _Backoff:
    """Exponential backoff between attempts, and their common deadline."""

    def __init__(self, clock: clocks.Clock, timeout_ms: float) -> None:
        self._clock = clock
        self._deadline_ms = clock.now_ms() + timeout_ms
        self._delay_ms: float = INITIAL_BACKOFF_MS
        self._may_have_run = False

    def record_failure(self, error: responses.CallError) -> None:
        """Record a failed attempt and update ``error.not_run``.

        It stays true only if no attempt can have run: a refused attempt may
        follow one that was interrupted and did run.
        """
        self._may_have_run = self._may_have_run or not error.not_run
        error.not_run = not self._may_have_run

    @property
    def remaining_ms(self) -> float:
        return self._deadline_ms - self._clock.now_ms()

    def wait(self, error: responses.CallError) -> None:
        """Wait as long as the service asks, or with backoff and jitter.

        :param error: cause; raised if the wait would pass the deadline.
        """
        delay_ms = random.uniform(self._delay_ms / 2, self._delay_ms)
        if error.retry_after_ms is not None:
            delay_ms = error.retry_after_ms
        if delay_ms >= self.remaining_ms:
            raise error
        self._delay_ms = min(2 * self._delay_ms, MAX_BACKOFF_MS)
        self._clock.sleep(delay_ms)


def new_key() -> str:
    """Return a new idempotency key."""
    return secrets.token_hex(8)


class Caller:
    """Thread-safe client of balsamloom.

    :param addresses: entry processes for address lookups.
    :param customer: customer on whose behalf addresses are looked up.
    :param clock: clock for delays and cache expiry.
    :param timeout_ms: timeout of a call, including its retries.
    :param pool: HTTP connection pool.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        customer: str = "",
        clock: clocks.Clock | None = None,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        pool: urllib3.PoolManager | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("addresses is empty; an entry process is needed")
        self._entry_addresses = tuple(addresses)
        self._customer = customer
        self._clock = clock or clocks.Clock()
        self._timeout_ms = timeout_ms
        self._pool = pool or response_limits.checked_pool(32, 32)
        self._lock = threading.Lock()
        self._cache: cachetools.LRUCache[
            str, tuple[float, responses.Address]
        ] = cachetools.LRUCache(MAX_CACHED_ADDRESSES)

    def address(self, program_id: str = "") -> responses.Address:
        """Return the address of a program's owner, cached while valid.

        :param program_id: program, or empty to start a new one.
        :raises CallError: if no entry process responds before the timeout.
        """
        backoff = _Backoff(self._clock, self._timeout_ms)
        return self._address(program_id, backoff)

    def start(self, specification: responses.Body) -> str:
        """Start a program and return its identifier.

        It is retried only if it certainly did not run, since a repeated
        start would create a second program.

        :param specification: ``customer``, ``workspace``, ``budget`` and so
            on.
        """
        headers = {"Idempotency-Key": new_key()}
        request = _Request(
            "POST", "/v1/programs", specification, headers, "", False
        )
        return str(self._call(request)["program_id"])

    def chat(
        self, program_id: str, body: responses.Body, key: str
    ) -> Iterator[responses.StreamEvent]:
        """Run a model call and yield its events; ``done`` is the last.

        A stream that is interrupted or has a gap is retried with the same
        key.

        :param program_id: program of the call.
        :param body: request with only the new messages of this turn.
        :param key: idempotency key.
        :raises CallError: if the call fails or times out.
        """
        request = _Request(
            "POST",
            "/v1/chat/completions",
            {**body, "stream": True},
            _call_headers(program_id, key),
            program_id,
            True,
        )
        backoff = _Backoff(self._clock, self._timeout_ms)
        while True:
            number = 0
            try:
                for event in self._stream(request, backoff):
                    number = event.number
                    yield event
                return
            except responses.CallError as error:
                is_final = not responses.is_temporary(error)
                backoff.record_failure(error)
                if is_final:
                    raise
                self._expire(program_id)
                backoff.wait(error)
                if number:
                    yield responses.StreamEvent(
                        "restart", number, {"cause": error.message}
                    )

    def tool(
        self,
        program_id: str,
        service: str,
        operation: str,
        body: responses.Body,
        key: str,
    ) -> responses.Body:
        """Run a tool call and return its response.

        All attempts use the same key, so the service runs the call at most
        once.

        :param program_id: program of the call.
        :param service: name of the service.
        :param operation: name of the operation.
        :param body: request body.
        :param key: idempotency key.
        :raises CallError: if the call fails or times out.
        """
        request = _Request(
            "POST",
            f"/v1/tools/{_quote(service)}/{_quote(operation)}",
            body,
            _call_headers(program_id, key),
            program_id,
            True,
        )
        return self._call(request)

    def show(self, program_id: str) -> responses.Body:
        """Return the state of a program."""
        return self._call(_program_request("GET", program_id))

    def result(self, program_id: str, key: str) -> responses.Body:
        """Return the result of an earlier call.

        :param program_id: program of the call.
        :param key: idempotency key of the call.
        """
        request = _program_request("GET", program_id, f"/calls/{_quote(key)}")
        return self._call(request)

    def end(self, program_id: str) -> responses.Body:
        """End a program."""
        return self._call(_program_request("DELETE", program_id))

    def _call(self, request: _Request) -> responses.Body:
        backoff = _Backoff(self._clock, self._timeout_ms)
        while True:
            try:
                response, is_owner = self._send(request, backoff)
                try:
                    return responses.parse_response(
                        response, request.path, is_owner
                    )
                finally:
                    response.release_conn()
            except responses.CallError as error:
                is_safe = error.not_run or request.is_idempotent
                if not is_safe and error.code == responses.INTERRUPTED:
                    raise responses.CallError(
                        results.ResultCode.OUTCOME_UNKNOWN,
                        error.message,
                        False,
                    ) from error
                is_final = not (is_safe and responses.is_temporary(error))
                backoff.record_failure(error)
                if is_final:
                    raise
                self._expire(request.program_id)
                backoff.wait(error)

    def _stream(
        self, request: _Request, backoff: _Backoff
    ) -> Iterator[responses.StreamEvent]:
        response, is_owner = self._send(request, backoff)
        try:
            if response.status >= 400:
                responses.parse_response(response, request.path, is_owner)
            yield from responses.read_events(response)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise responses.interrupted_error(
                f"stream: {http_errors.describe(error)}"
            ) from error
        finally:
            response.close()

    def _send(
        self, request: _Request, backoff: _Backoff
    ) -> tuple[urllib3.BaseHTTPResponse, bool]:
        """Send to the owner, or to an alternative if it is unreachable.

        :return: the response, and whether it is the owner's.
        :raises CallError: if no address accepts a connection, or a connection
            fails after it was established.
        """
        addresses = self._address(request.program_id, backoff)
        error = responses.not_sent_error("no time left to send the request")
        for address in (addresses.address, *addresses.alternatives):
            if backoff.remaining_ms <= 0:
                break
            try:
                response = self._send_to(
                    address, request, backoff.remaining_ms
                )
                return response, address == addresses.address
            except responses.CallError as caught:
                if not caught.not_run:
                    raise
                error = caught
        raise error

    def _send_to(
        self, address: str, request: _Request, remaining_ms: float
    ) -> urllib3.BaseHTTPResponse:
        headers = {**request.headers, "X-Deadline-Ms": str(int(remaining_ms))}
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / clocks.MS_PER_S,
            read=remaining_ms / clocks.MS_PER_S,
        )
        try:
            response = self._pool.request(
                request.method,
                f"http://{address}{request.path}",
                json=request.body,
                headers=headers,
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise responses.not_sent_error(
                f"{address}: {http_errors.describe(error)}"
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise responses.interrupted_error(
                f"{address}: {http_errors.describe(error)}"
            ) from error
        self._update_owner(request.program_id, response)
        return response

    def _update_owner(
        self, program_id: str, response: urllib3.BaseHTTPResponse
    ) -> None:
        owner = response.headers.get("X-Owner-Address")
        if not owner:
            return
        with self._lock:
            cached = self._cache.get(program_id)
            if cached:
                expires_ms, addresses = cached
                addresses = addresses._replace(address=owner)
                self._cache[program_id] = (expires_ms, addresses)

    def _address(
        self, program_id: str, backoff: _Backoff
    ) -> responses.Address:
        with self._lock:
            expires_ms, cached = self._cache.get(program_id, (0.0, None))
        if cached is not None and self._clock.now_ms() < expires_ms:
            return cached
        addresses = self._look_up(program_id, backoff)
        expires_ms = self._clock.now_ms() + addresses.valid_ms
        with self._lock:
            self._cache[program_id] = (expires_ms, addresses)
        return addresses

    def _look_up(
        self, program_id: str, backoff: _Backoff
    ) -> responses.Address:
        request = _Request("GET", "/v1/address", None, {}, program_id, True)
        query = {"program_id": program_id, "customer": self._customer}
        fields = parse.urlencode(
            {name: value for name, value in query.items() if value}
        )
        request = request._replace(path=f"/v1/address?{fields}")
        while True:
            error = responses.not_sent_error("no entry process is known")
            for address in self._lookup_servers(program_id):
                try:
                    response = self._send_to(
                        address, request, CONNECT_TIMEOUT_MS
                    )
                    return responses.parse_address(
                        responses.parse_response(response, request.path)
                    )
                except responses.CallError as caught:
                    error = caught
            backoff.wait(error)

    def _lookup_servers(self, program_id: str) -> list[str]:
        with self._lock:
            _, addresses = self._cache.get(program_id, (0.0, None))
        others = addresses.alternatives if addresses else ()
        return list(dict.fromkeys([*self._entry_addresses, *others]))

    def _expire(self, program_id: str) -> None:
        with self._lock:
            _, addresses = self._cache.get(program_id, (0.0, None))
            if addresses is not None:
                # Keep the alternatives for the next lookup.
                self._cache[program_id] = (0.0, addresses)


def _program_request(
    method: str, program_id: str, subpath: str = ""
) -> _Request:
    path = f"/v1/programs/{_quote(program_id)}{subpath}"
    return _Request(method, path, None, {}, program_id, True)


def _call_headers(program_id: str, key: str) -> dict[str, str]:
    return {"X-Program-Id": program_id, "Idempotency-Key": key}


def _quote(segment: str) -> str:
    return parse.quote(segment, safe="")
