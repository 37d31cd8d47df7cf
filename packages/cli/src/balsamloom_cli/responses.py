"""Responses of the callers' interface, parsed into types and errors."""

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
INTERRUPTED = results.ResultCode.INTERRUPTED

Body = dict[str, Any]


class CallError(errors.BalsamloomError):
    """A request to the service failed or was refused.

    :param code: result code, from the service if it sent one.
    :param message: cause.
    :param not_run: True if it is certain that the call did not run.
    :param retry_after_ms: delay before a retry that the service asks for.
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
    """Result of an address lookup."""

    address: str
    valid_ms: int
    alternatives: tuple[str, ...]


class StreamEvent(NamedTuple):
    """Event of a model call.

    ``name`` is ``message``, ``progress`` or ``done``, or ``restart`` if the
    call is retried and the text received so far must be discarded.
    """

    name: str
    number: int
    body: Body


def parse_address(body: Body) -> Address:
    """Return the addresses in the response to a lookup.

    :raises KeyError: if the response has no address.
    """
    alternatives = [
        other["address"] if isinstance(other, dict) else other
        for other in body.get("alternatives", [])
    ]
    return Address(body["address"], int(body["valid_ms"]), tuple(alternatives))


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    """Yield the events of a stream up to ``done``.

    :raises CallError: if the stream is interrupted or the call failed.
    """
    expected_number = 1
    stream = sseclient.SSEClient(response.stream(CHUNK_BYTES))
    for event in stream.events():
        if event.data == "[DONE]":
            break
        number = int(event.id or 0)
        if number != expected_number:
            raise interrupted_error(
                f"expected event {expected_number}, got event {number}"
            )
        expected_number += 1
        body = json.loads(event.data)
        if "error" in body:
            raise _parse_error(body, response)
        if event.event == "done":
            _check_result(body)
        yield StreamEvent(event.event, number, body)
        if event.event == "done":
            return
    raise interrupted_error(
        f"the stream ended after event {expected_number - 1} without done"
    )


def parse_response(
    response: urllib3.BaseHTTPResponse,
    path: str,
    is_owner: bool = True,
) -> Body:
    """Return the body of a response.

    :param path: path of the request, for error messages.
    :param is_owner: whether the response is from the program's owner.
    :raises CallError: if the response is an error or incomplete.
    """
    try:
        body = json.loads(response.read())
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise interrupted_error(
            f"{path}: {http_errors.describe(error)}"
        ) from error
    if not isinstance(body, dict):
        raise interrupted_error(f"{path}: the response is not a JSON object")
    if response.status < 400 and "error" not in body:
        return body
    failure = _parse_error(body, response)
    if not is_owner and failure.code == results.ResultCode.UNKNOWN_PROGRAM:
        # The process at an alternative address knows the program only after
        # it has taken over from the owner.
        raise CallError(
            results.ResultCode.OWNER_UNREACHABLE, failure.message, True
        )
    raise failure


def _check_result(body: Body) -> None:
    code = results.ResultCode(body["code"])
    info = results.info(code)
    if info.http_status >= 400:
        message = str(body.get("message") or info.meaning)
        raise CallError(code, message, info.not_run)


def _parse_error(body: Body, response: urllib3.BaseHTTPResponse) -> CallError:
    detail = body.get("error")
    if not isinstance(detail, dict):
        return interrupted_error(
            f"status {response.status} without a result code"
        )
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


def not_sent_error(message: str) -> CallError:
    """Return the error for a request that was not sent."""
    return CallError(results.ResultCode.NOT_SENT, message, True)


def interrupted_error(message: str) -> CallError:
    """Return the error for a request that may have run."""
    return CallError(INTERRUPTED, message, False)


def is_temporary(error: CallError) -> bool:
    """Return whether a retry of the same request may succeed."""
    if error.code in (
        INTERRUPTED,
        results.ResultCode.NOT_SENT,
    ):
        return True
    is_busy = results.info(error.code).http_status == 503
    return error.not_run and (is_busy or error.retry_after_ms is not None)
