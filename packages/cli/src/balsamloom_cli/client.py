"""Client of the callers' interface.

A :class:`Caller` looks up the address of a program's owner, keeps it for as
long as the answer allows, and tries again where that is safe: after a refusal
that says "not run", when no byte has left, and with the same idempotency key.
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

from balsamloom_cli import answers
from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import http_errors

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_TIMEOUT_MS = 60_000
FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 1_000
MAX_CACHED_ADDRESSES = 10_000


class _Request(NamedTuple):
    method: str
    path: str
    body: answers.Body | None
    headers: Mapping[str, str]
    program_id: str
    may_be_repeated: bool


class _Pacing:
    """Pauses between tries, and the deadline of all of them."""

    def __init__(self, clock: clocks.Clock, timeout_ms: float) -> None:
        self._clock = clock
        self._end_ms = clock.now_ms() + timeout_ms
        self._pause_ms: float = FIRST_PAUSE_MS
        self._may_have_run = False

    def note(self, error: answers.CallError) -> None:
        """Take a failed try in; its error is then true of all tries.

        A refusal of the last try says nothing about an earlier one that was
        cut off.

        :param error: error of the try.
        """
        self._may_have_run = self._may_have_run or not error.not_run
        error.not_run = not self._may_have_run

    @property
    def remaining_ms(self) -> float:
        return self._end_ms - self._clock.now_ms()

    def pause(self, error: answers.CallError) -> None:
        """Wait as the service asks, or a growing time with jitter.

        :param error: reason; raised again if the deadline leaves no time.
        """
        pause_ms = random.uniform(self._pause_ms / 2, self._pause_ms)
        if error.retry_after_ms is not None:
            pause_ms = error.retry_after_ms
        if pause_ms >= self.remaining_ms:
            raise error
        self._pause_ms = min(2 * self._pause_ms, LONGEST_PAUSE_MS)
        self._clock.sleep(pause_ms)


def new_key() -> str:
    """Return a fresh idempotency key."""
    return secrets.token_hex(8)


class Caller:
    """A caller of balsamloom; may be used by several threads.

    :param addresses: entry processes to ask for addresses.
    :param customer: customer in whose name addresses are asked for.
    :param clock: time for waits and validity.
    :param timeout_ms: longest time for one call with all its tries.
    :param pool: connections.
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
            raise ValueError("no address of an entry process")
        self._seeds = tuple(addresses)
        self._customer = customer
        self._clock = clock or clocks.Clock()
        self._timeout_ms = timeout_ms
        self._pool = pool or urllib3.PoolManager(num_pools=32, maxsize=32)
        self._lock = threading.Lock()
        self._cache: cachetools.LRUCache[
            str, tuple[float, answers.Address]
        ] = cachetools.LRUCache(MAX_CACHED_ADDRESSES)

    def address(self, program_id: str = "") -> answers.Address:
        """Return the address to use, from the cache while it is valid.

        :param program_id: program, or empty to start one.
        :raises CallError: if no entry process can be asked in time.
        """
        pacing = _Pacing(self._clock, self._timeout_ms)
        return self._address(program_id, pacing)

    def start(self, specification: answers.Body) -> str:
        """Start a program and return its identifier.

        It is sent again only if it certainly did not run, since a repeated
        start would make a second program.

        :param specification: ``customer``, ``workspace``, ``budget`` and so
            on.
        """
        headers = {"Idempotency-Key": new_key()}
        request = _Request(
            "POST", "/v1/programs", specification, headers, "", False
        )
        return str(self._answered(request)["program_id"])

    def chat(
        self, program_id: str, body: answers.Body, key: str
    ) -> Iterator[answers.StreamEvent]:
        """Run a model call and yield its events; ``done`` is the last.

        A stream that is cut off or has a gap is asked for again with the same
        key.

        :param program_id: program of the call.
        :param body: request; its messages are the new ones of this turn.
        :param key: idempotency key.
        :raises CallError: if the call ends with an error or in no time.
        """
        request = _Request(
            "POST",
            "/v1/chat/completions",
            {**body, "stream": True},
            _call_headers(program_id, key),
            program_id,
            True,
        )
        pacing = _Pacing(self._clock, self._timeout_ms)
        while True:
            number = 0
            try:
                for event in self._streamed(request, pacing):
                    number = event.number
                    yield event
                return
            except answers.CallError as error:
                is_final = not answers.is_temporary(error)
                pacing.note(error)
                if is_final:
                    raise
                self._forget(program_id)
                pacing.pause(error)
                if number:
                    yield answers.StreamEvent(
                        "restart", number, {"cause": error.message}
                    )

    def tool(
        self,
        program_id: str,
        service: str,
        operation: str,
        body: answers.Body,
        key: str,
    ) -> answers.Body:
        """Run a tool call and return its answer.

        Every try uses the same key, by which the service runs the call at
        most once.

        :param program_id: program of the call.
        :param service: name of the service.
        :param operation: name of the operation.
        :param body: request body.
        :param key: idempotency key.
        :raises CallError: if the call ends with an error or in no time.
        """
        request = _Request(
            "POST",
            f"/v1/tools/{_quoted(service)}/{_quoted(operation)}",
            body,
            _call_headers(program_id, key),
            program_id,
            True,
        )
        return self._answered(request)

    def show(self, program_id: str) -> answers.Body:
        """Return the state of a program.

        :param program_id: program to show.
        """
        return self._answered(_program_request("GET", program_id))

    def result(self, program_id: str, key: str) -> answers.Body:
        """Return the result of an earlier call.

        :param program_id: program of the call.
        :param key: idempotency key of the call.
        """
        request = _program_request("GET", program_id, f"/calls/{_quoted(key)}")
        return self._answered(request)

    def end(self, program_id: str) -> answers.Body:
        """End a program.

        :param program_id: program to end.
        """
        return self._answered(_program_request("DELETE", program_id))

    def _answered(self, request: _Request) -> answers.Body:
        pacing = _Pacing(self._clock, self._timeout_ms)
        while True:
            try:
                response, is_named = self._sent(request, pacing)
                try:
                    return answers.decoded(response, request.path, is_named)
                finally:
                    response.release_conn()
            except answers.CallError as error:
                is_safe = error.not_run or request.may_be_repeated
                if not is_safe and error.code == answers.CUT_OFF:
                    raise answers.CallError(
                        results.ResultCode.OUTCOME_UNKNOWN,
                        error.message,
                        False,
                    ) from error
                is_final = not (is_safe and answers.is_temporary(error))
                pacing.note(error)
                if is_final:
                    raise
                self._forget(request.program_id)
                pacing.pause(error)

    def _streamed(
        self, request: _Request, pacing: _Pacing
    ) -> Iterator[answers.StreamEvent]:
        response, is_named = self._sent(request, pacing)
        try:
            if response.status >= 400:
                answers.decoded(response, request.path, is_named)
            yield from answers.events_of(response)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise answers.interrupted(
                f"stream: {http_errors.describe(error)}"
            ) from error
        finally:
            response.close()

    def _sent(
        self, request: _Request, pacing: _Pacing
    ) -> tuple[urllib3.BaseHTTPResponse, bool]:
        """Send to the owner, or to an alternative if it takes no connection.

        :return: the response, and whether it is the owner's.
        :raises CallError: if no address takes a connection, or the connection
            fails after bytes have left.
        """
        found = self._address(request.program_id, pacing)
        error = answers.not_sent("no address")
        for address in (found.address, *found.alternatives):
            if pacing.remaining_ms <= 0:
                break
            try:
                response = self._sent_to(address, request, pacing.remaining_ms)
                return response, address == found.address
            except answers.CallError as caught:
                if not caught.not_run:
                    raise
                error = caught
        raise error

    def _sent_to(
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
            raise answers.not_sent(
                f"{address}: {http_errors.describe(error)}"
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise answers.interrupted(
                f"{address}: {http_errors.describe(error)}"
            ) from error
        self._note_owner(request.program_id, response)
        return response

    def _note_owner(
        self, program_id: str, response: urllib3.BaseHTTPResponse
    ) -> None:
        owner = response.headers.get("X-Owner-Address")
        if not owner:
            return
        with self._lock:
            known = self._cache.get(program_id)
            if known:
                end_ms, found = known
                found = found._replace(address=owner)
                self._cache[program_id] = (end_ms, found)

    def _address(self, program_id: str, pacing: _Pacing) -> answers.Address:
        with self._lock:
            end_ms, known = self._cache.get(program_id, (0.0, None))
        if known is not None and self._clock.now_ms() < end_ms:
            return known
        found = self._asked(program_id, pacing)
        end_ms = self._clock.now_ms() + found.valid_ms
        with self._lock:
            self._cache[program_id] = (end_ms, found)
        return found

    def _asked(self, program_id: str, pacing: _Pacing) -> answers.Address:
        request = _Request("GET", "/v1/address", None, {}, program_id, True)
        query = {"program_id": program_id, "customer": self._customer}
        fields = parse.urlencode(
            {name: value for name, value in query.items() if value}
        )
        request = request._replace(path=f"/v1/address?{fields}")
        while True:
            error = answers.not_sent("no address")
            for address in self._askable(program_id):
                try:
                    response = self._sent_to(
                        address, request, CONNECT_TIMEOUT_MS
                    )
                    return answers.address_in(
                        answers.decoded(response, request.path)
                    )
                except answers.CallError as caught:
                    error = caught
            pacing.pause(error)

    def _askable(self, program_id: str) -> list[str]:
        with self._lock:
            _, found = self._cache.get(program_id, (0.0, None))
        others = found.alternatives if found else ()
        return list(dict.fromkeys([*self._seeds, *others]))

    def _forget(self, program_id: str) -> None:
        with self._lock:
            _, found = self._cache.get(program_id, (0.0, None))
            if found is not None:
                # The alternatives stay known as addresses to ask.
                self._cache[program_id] = (0.0, found)


def _program_request(
    method: str, program_id: str, below: str = ""
) -> _Request:
    path = f"/v1/programs/{_quoted(program_id)}{below}"
    return _Request(method, path, None, {}, program_id, True)


def _call_headers(program_id: str, key: str) -> dict[str, str]:
    return {"X-Program-Id": program_id, "Idempotency-Key": key}


def _quoted(segment: str) -> str:
    return parse.quote(segment, safe="")
