"""What the service answers to callers, decoded into types and errors."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import sseclient
import urllib3

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_platform import http_errors

CHUNK_BYTES = 65_536
CUT_OFF = results.ResultCode.INTERRUPTED

Body = dict[str, Any]


class CallError(errors.BalsamloomError):
    """A request that ended without the wanted answer.

    :param code: result code, from the service where it gave one.
    :param message: cause.
    :param not_run: whether it is certain that the call did not run.
    :param retry_after_ms: wait that the service asks for.
    """

    def __init__(
        self,
        code: results.ResultCode,
        message: str,
        not_run: bool,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(code, message, retry_after_ms)
        self.not_run = not_run


class Address(NamedTuple):
    """Answer to the question which address to use."""

    address: str
    valid_ms: int
    alternatives: tuple[str, ...]


class StreamEvent(NamedTuple):
    """One event of a model call.

    ``name`` is ``message``, ``progress`` or ``done``, or ``restart`` when the
    call was sent again and the text received so far is void.
    """

    name: str
    number: int
    body: Body


def address_in(body: Body) -> Address:
    """Return the addresses that a lookup was answered with.

    :raises KeyError: the answer names none.
    """
    alternatives = [
        other["address"] if isinstance(other, dict) else other
        for other in body.get("alternatives", [])
    ]
    return Address(body["address"], int(body["valid_ms"]), tuple(alternatives))


def events_of(response: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    """Return the events of a stream up to its end.

    :raises CallError: the stream broke off, or says that the call failed.
    """
    expected = 1
    stream = sseclient.SSEClient(response.stream(CHUNK_BYTES))
    for event in stream.events():
        if event.data == "[DONE]":
            break
        number = int(event.id or 0)
        if number != expected:
            raise interrupted(
                f"event {number} came where {expected} was expected"
            )
        expected += 1
        body = json.loads(event.data)
        if "error" in body:
            raise _reported(body, response)
        if event.event == "done":
            _check_done(body)
        yield StreamEvent(event.event, number, body)
        if event.event == "done":
            return
    raise interrupted(f"the stream ended at event {expected - 1} not done")


def decoded(
    response: urllib3.BaseHTTPResponse,
    path: str,
    is_named: bool = True,
) -> Body:
    """Return the body of an answer.

    :param path: path of the request, for messages.
    :param is_named: whether the asked process was named as the owner.
    :raises CallError: the answer is an error, or is not whole.
    """
    try:
        body = json.loads(response.read())
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise interrupted(f"{path}: {http_errors.describe(error)}") from error
    if not isinstance(body, dict):
        raise interrupted(f"{path}: the answer is no object")
    if response.status < 400 and "error" not in body:
        return body
    reported = _reported(body, response)
    if not is_named and reported.code == results.ResultCode.UNKNOWN_PROGRAM:
        # An alternative does not know the program before its takeover.
        raise CallError(
            results.ResultCode.OWNER_UNREACHABLE, reported.message, True
        )
    raise reported


def _check_done(body: Body) -> None:
    code = results.ResultCode(body["code"])
    info = results.info(code)
    if info.http_status >= 400:
        message = str(body.get("message") or info.meaning)
        raise CallError(code, message, info.not_run)


def _reported(body: Body, response: urllib3.BaseHTTPResponse) -> CallError:
    detail = body.get("error")
    if not isinstance(detail, dict):
        return interrupted(f"status {response.status} without a result code")
    try:
        code = results.ResultCode(detail["code"])
    except (KeyError, ValueError):
        code = results.ResultCode.INTERNAL_ERROR
    return CallError(
        code,
        str(detail.get("message", "")),
        detail.get("not_run") is True,
        _retry_after_ms(detail, response),
    )


def _retry_after_ms(
    detail: Body, response: urllib3.BaseHTTPResponse
) -> int | None:
    value = detail.get("retry_after_ms")
    if value is not None:
        return int(value)
    header = response.headers.get("Retry-After", "")
    return int(header) * clocks.MS_PER_S if header.isdigit() else None


def not_sent(message: str) -> CallError:
    """Return the error of a request that never left."""
    return CallError(results.ResultCode.NOT_SENT, message, True)


def interrupted(message: str) -> CallError:
    """Return the error of a request that may have run."""
    return CallError(CUT_OFF, message, False)


def is_temporary(error: CallError) -> bool:
    """Return whether the same request may have another answer later."""
    if error.code in (CUT_OFF, results.ResultCode.NOT_SENT):
        return True
    is_busy = results.info(error.code).http_status == 503
    return error.not_run and (is_busy or error.retry_after_ms is not None)
