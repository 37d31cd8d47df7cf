"""Statuses that an HTTP response can have (RFC 9110)."""

from __future__ import annotations

_INTERIM_STATUSES = range(100, 200)
_FINAL_STATUSES = range(200, 600)


def is_interim(status: int) -> bool:
    """Return whether a final response follows one with this status."""
    return status in _INTERIM_STATUSES


def is_final(status: int) -> bool:
    """Return whether a response with this status answers a request."""
    return status in _FINAL_STATUSES
