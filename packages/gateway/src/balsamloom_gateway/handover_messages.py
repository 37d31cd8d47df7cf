"""Requests and answers that one member hands over to another.

A request keeps its method, body and header fields; its target gets a prefix,
so that processes of the release before answer 404. Callers cannot send one,
as only the members' own listener reads this format.

Of a caller's key only the digest is passed on. Processes that cannot read it
answer 404 to another prefix.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    interfaces,
    server_connections,
    traffic,
)
from balsamloom_workspaces import credentials

TARGET_PREFIX = b"/requests/serve"
KEYED_TARGET_PREFIX = b"/requests/keyed"
_KEYED_START = KEYED_TARGET_PREFIX + b"/"
_FIELD_PREFIX = b"balsamloom-handover"
_REQUEST_FIELD = b"Balsamloom-Handover"
_KEY_FIELD = b"Balsamloom-Handover-Key"
_ID_FIELD = b"Balsamloom-Handover-Id"
_OUTCOME_FIELD = b"Balsamloom-Handover-Outcome"
_SERVER_FIELD = b"Balsamloom-Handover-Server"
# Statuses of answers to requests that have not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class InvalidHandoverError(ValueError):
    """Malformed handed-over request."""


class Origin(NamedTuple):
    """What the member that hands a request over says of it.

    ``version`` is that of its configuration. ``possible_runs`` counts the
    attempts that may have run already.
    """

    version: int
    possible_runs: int


class Outcome(enum.Enum):
    """What a member did with a request."""

    # It answered the request, for a server or by itself.
    ANSWERED = "answered"
    # It did not begin with it; another member may.
    REFUSED = "refused"
    # It did not begin with it, as it reaches no server itself.
    CUT_OFF = "cut-off"


def is_handover(target: bytes) -> bool:
    """Return whether a target is that of a handed-over request."""
    return target.startswith((TARGET_PREFIX + b"/", _KEYED_START))


def may_hand_over(target: bytes) -> bool:
    """Return whether a caller's target can get the prefix."""
    return target.startswith(b"/")


def encode_request(
    method: bytes,
    target: bytes,
    fields: Sequence[tuple[bytes, bytes]],
    body: bytes,
    origin: Origin,
    credential: credentials.Credential | None = None,
) -> bytes:
    """Encode a request, head and body.

    :param fields: header fields, as they would go to a server.
    :param credential: what the caller presents, ``None`` if callers need no
        key.
    """
    prefix = TARGET_PREFIX if credential is None else KEYED_TARGET_PREFIX
    lines = [method + b" " + prefix + target + b" HTTP/1.1"]
    lines.extend(
        name + b": " + value
        for name, value in fields
        if not _is_own_field(name)
    )
    lines.append(_REQUEST_FIELD + b": %d,%d" % origin)
    if credential is not None:
        proof = credentials.encode_proof(credential)
        lines.append(_KEY_FIELD + b": " + proof)
    if body or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def decode_origin(headers: Mapping[bytes, bytes]) -> Origin:
    """Decode what the sender of a request says of it.

    :raises InvalidHandoverError: the field is missing or malformed.
    """
    try:
        version, runs = headers[_REQUEST_FIELD].split(b",")
        return Origin(int(version), int(runs))
    except (KeyError, ValueError) as error:
        raise InvalidHandoverError(repr(error)) from error


def decode_credential(
    target: bytes, headers: Mapping[bytes, bytes]
) -> credentials.Credential | None:
    """Return what the caller presented, ``None`` if its fields still have it.

    :raises InvalidHandoverError: the field is missing or malformed.
    """
    if not target.startswith(_KEYED_START):
        return None
    try:
        return credentials.decode_proof(headers[_KEY_FIELD])
    except (KeyError, ValueError) as error:
        # The error's text would show the digest.
        raise InvalidHandoverError("no digest of a key") from error


def decode_target(target: bytes) -> bytes:
    """Return the target that the caller sent."""
    if target.startswith(_KEYED_START):
        return target[len(KEYED_TARGET_PREFIX) :]
    return target[len(TARGET_PREFIX) :]


def callers_fields(headers: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """Return the header fields without those of the hand-over."""
    return {
        name: value
        for name, value in headers.items()
        if not _is_own_field(name)
    }


def answer_fields(
    request_id: bytes, outcome: Outcome, server_id: str = ""
) -> list[tuple[bytes, bytes]]:
    """Return the fields that a member adds to its answer."""
    fields = [
        (_ID_FIELD, request_id),
        (_OUTCOME_FIELD, outcome.value.encode()),
    ]
    if server_id:
        fields.append((_SERVER_FIELD, server_id.encode("latin-1")))
    return fields


class MemberAnswerCodec:
    """Reads one member's answer as :class:`relay.Relay` reads a server's.

    :param codec: decodes the answer's other fields.
    """

    request_id_field = _ID_FIELD.lower()

    def __init__(self, codec: interfaces.ResponseCodec) -> None:
        self._codec = codec
        self.outcome = Outcome.REFUSED
        self.server_id = ""
        self.retry_after_ms: float | None = None

    def decode_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> traffic.AnswerMetadata:
        """Decode the fields of a member's answer.

        :raises InvalidResponseError: no member has sent it.
        """
        fields = {name.lower(): value for name, value in headers}
        found = self._codec.decode_response(status, headers)
        found = found._replace(idle_timeout_ms=None)
        value = fields.get(_OUTCOME_FIELD.lower())
        if value is None:
            return self._decode_refusal(status, found)
        try:
            self.outcome = Outcome(value.decode("latin-1"))
        except ValueError as error:
            raise server_connections.InvalidResponseError(
                str(error)
            ) from error
        server_id = fields.get(_SERVER_FIELD.lower(), b"")
        self.server_id = server_id.decode("latin-1")
        self.retry_after_ms = _parse_retry_after_ms(fields)
        is_not_run = (
            self.outcome is not Outcome.ANSWERED or status in _NOT_RUN_STATUSES
        )
        return found._replace(is_not_executed=is_not_run, is_signed=True)

    def relayed_fields(
        self, headers: Sequence[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        """Return the fields of an answer to send to the caller."""
        return [
            (name, value)
            for name, value in self._codec.relayed_fields(headers)
            if not _is_own_field(name)
        ]

    def _decode_refusal(
        self, status: int, found: traffic.AnswerMetadata
    ) -> traffic.AnswerMetadata:
        """Decode an answer that no hand-over service has sent.

        A listener that rejects a request has not passed it on.
        """
        if not 400 <= status < 500:
            raise server_connections.InvalidResponseError(
                f"status {status} lacks the outcome of the hand-over"
            )
        return found._replace(is_not_executed=True)


def _parse_retry_after_ms(fields: Mapping[bytes, bytes]) -> float | None:
    try:
        return float(fields[b"retry-after"]) * clocks.MS_PER_S
    except (KeyError, ValueError):
        return None


def _is_own_field(name: bytes) -> bool:
    return name.lower().startswith(_FIELD_PREFIX)
