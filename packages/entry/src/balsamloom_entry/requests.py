"""Requests and responses, independent of their transport.

A caller's request arrives over HTTP, or over gRPC from a peer that does not
own the program; both are handled by the same router.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from balsamloom_core import errors, results

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
PROGRAM_HEADER = "X-Program-Id"
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
OWNER_HEADER = "X-Owner-Address"
MAX_KEY_CHARACTERS = 200


class Request(NamedTuple):
    """Request whose header names are in lower case."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    is_forwarded: bool = False

    def header(self, name: str) -> str:
        """Return a required header.

        :param name: header name in any case.
        :raises BalsamloomError: if it is missing.
        """
        value = self.headers.get(name.lower(), "")
        if not value:
            raise errors.BalsamloomError(
                results.ResultCode.MISSING_HEADER, f"header {name} is missing"
            )
        return value

    def idempotency_key(self) -> str:
        """Return the idempotency key.

        :raises BalsamloomError: if it is missing or too long.
        """
        key = self.header(KEY_HEADER)
        if len(key) > MAX_KEY_CHARACTERS:
            raise errors.BalsamloomError(
                results.ResultCode.MALFORMED_REQUEST,
                f"header {KEY_HEADER} has {len(key)} characters; accepted: at"
                f" most {MAX_KEY_CHARACTERS}",
            )
        return key

    def deadline_ms(self, default_ms: int) -> int:
        """Return the time to the caller's deadline.

        :param default_ms: returned if the caller gives none.
        :raises BalsamloomError: if the header is not a positive whole number.
        """
        value = self.headers.get(DEADLINE_HEADER.lower(), "")
        if not value:
            return default_ms
        if not value.isdecimal() or int(value) == 0:
            raise errors.BalsamloomError(
                results.ResultCode.MALFORMED_REQUEST,
                f"header {DEADLINE_HEADER} is {value!r}; accepted: a positive"
                " whole number of milliseconds",
            )
        return int(value)

    def json_object(self) -> dict[str, Any]:
        """Return the body, which must be a JSON object.

        :raises BalsamloomError: if the body is not a JSON object.
        """
        try:
            document = json.loads(self.body)
        except ValueError as error:
            raise errors.BalsamloomError(
                results.ResultCode.MALFORMED_REQUEST,
                f"body is not JSON: {error}",
            ) from error
        if not isinstance(document, dict):
            raise errors.BalsamloomError(
                results.ResultCode.MALFORMED_REQUEST,
                f"body is a {type(document).__name__}; accepted: an object",
            )
        return document


class Response(NamedTuple):
    """Status, headers and the chunks of a body, which may be a stream."""

    status: int
    headers: dict[str, str]
    chunks: Iterable[bytes]


Handler = Callable[[Request], Response]


def json_response(
    document: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with a JSON body.

    :param document: JSON-compatible value.
    :param status: HTTP status.
    :param headers: additional headers.
    """
    body = json.dumps(document, separators=(",", ":")).encode()
    all_headers = {"Content-Type": JSON_TYPE, **(headers or {})}
    return Response(status, all_headers, [body])


def error_response(error: errors.BalsamloomError) -> Response:
    """Return a response for an error, with ``Retry-After`` if it is known.

    :param error: error to describe.
    """
    headers = {}
    if error.retry_after_ms is not None:
        # The header is in whole seconds; the body has the exact time.
        headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
    status = results.info(error.code).http_status
    return json_response(error.document(), status, headers)
