"""Settings schema of the entry process, from its package."""

from __future__ import annotations

from typing import Any

from balsamloom_entry import schema as entry


def schema() -> dict[str, Any]:
    """Return the JSON Schema of an entry process's settings file."""
    return entry.SCHEMA
