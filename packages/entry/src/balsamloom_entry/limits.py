"""Times and sizes of calls, from the ``limits`` section."""

from __future__ import annotations

from typing import Any, NamedTuple


class CallLimits(NamedTuple):
    """Settings of calls that operators may change."""

    progress_after_ms: int = 2_000
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    connect_timeout_ms: int = 1_000
    silence_ms: int = 30_000
    start_timeout_ms: int = 5_000
    default_max_tokens: int = 256


_MEANINGS = {
    "progress_after_ms": "time after which a caller hears that a call waits",
    "default_deadline_ms": "time of a call whose caller gives none",
    "max_deadline_ms": "longest time that a caller may give a call",
    "connect_timeout_ms": "longest wait for a connection to a backend server",
    "silence_ms": "longest silence of a model engine within a stream",
    "start_timeout_ms": "longest wait for the start of a program",
    "default_max_tokens": "tokens of a model call whose caller gives none",
}
_MAX_VALUE = 3_600_000

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        name: {
            "type": "integer",
            "minimum": 1,
            "maximum": _MAX_VALUE,
            "default": default,
            "description": _MEANINGS[name],
        }
        for name, default in CallLimits._field_defaults.items()
    },
}


def from_document(document: dict[str, Any]) -> CallLimits:
    """Return the limits stated in a configuration section.

    :param document: checked content of the section.
    """
    return CallLimits(**document)
