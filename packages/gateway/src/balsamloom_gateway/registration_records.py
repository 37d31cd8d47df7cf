"""Records of the registrations of edge processes and storage hosts."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from balsamloom_conversations import replicas
from balsamloom_gateway import interfaces, json_parsing, traffic

T = TypeVar("T")


def encode_member(member: traffic.Member) -> bytes:
    """Encode a member's registration as JSON."""
    return _encode(member._asdict())


def decode_member(name: str, value: bytes) -> traffic.Member:
    """Decode a member's registration.

    :param name: name in the record's key.
    :raises InvalidRecordError: it cannot be decoded or has another name.
    """
    return _decode(traffic.Member, name, value)


def encode_storage_host(host: replicas.StorageHost) -> bytes:
    """Encode a storage host's registration as JSON."""
    return _encode(host._asdict())


def decode_storage_host(name: str, value: bytes) -> replicas.StorageHost:
    """Decode a storage host's registration.

    :param name: name in the record's key.
    :raises InvalidRecordError: it cannot be decoded or has another name.
    """
    return _decode(replicas.StorageHost, name, value)


def _encode(fields: Mapping[str, str]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(kind: Callable[..., T], name: str, value: bytes) -> T:
    try:
        fields = json_parsing.parse_object(value)
        _check(fields, name)
        return kind(**fields)
    except (ValueError, TypeError) as error:
        raise interfaces.InvalidRecordError(str(error)) from error


def _check(fields: Mapping[str, Any], name: str) -> None:
    """Check the fields of a registration.

    :raises ValueError: one is no text of one line, or the name is another.
    """
    for field, text in fields.items():
        if not isinstance(text, str) or not text.isprintable():
            raise ValueError(f"{field} is not a text of one line")
    if fields.get("name") != name:
        raise ValueError(f"the name is not {name!r}")
