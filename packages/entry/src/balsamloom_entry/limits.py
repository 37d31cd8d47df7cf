"""Limits of calls, from the ``limits`` section of the configuration."""

from __future__ import annotations

from typing import Any, NamedTuple


class CallLimits(NamedTuple):
    """Timeouts, deadlines and token limits of calls."""

    progress_after_ms: int = 2_000
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    connect_timeout_ms: int = 1_000
    silence_ms: int = 30_000
    start_timeout_ms: int = 5_000
    default_max_tokens: int = 256


_DESCRIPTIONS = {
    "progress_after_ms": "interval of progress events of a waiting call",
    "default_deadline_ms": "deadline of a call whose caller gives none",
    "max_deadline_ms": "maximum deadline that a caller may give a call",
    "connect_timeout_ms": "timeout of connecting to a backend server",
    "silence_ms": "maximum time without an event in an engine's stream",
    "start_timeout_ms": "timeout of starting a program",
    "default_max_tokens": "max_tokens of a model call whose caller gives none",
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
            "description": _DESCRIPTIONS[name],
        }
        for name, default in CallLimits._field_defaults.items()
    },
}


def from_document(document: dict[str, Any]) -> CallLimits:
    """Return the limits of a configuration section.

    :param document: validated content of the section.
    """
    return CallLimits(**document)
