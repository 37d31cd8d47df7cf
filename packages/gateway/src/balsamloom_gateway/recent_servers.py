"""Servers of a program's latest turns."""

from __future__ import annotations

# The servers of the latest turns may still cache the program's prompt parts.
MAX_RECENT_SERVERS = 3


def add(servers: tuple[str, ...], server_id: str) -> tuple[str, ...]:
    """Return the recent servers with ``server_id`` first."""
    others = [other_id for other_id in servers if other_id != server_id]
    return (server_id, *others)[:MAX_RECENT_SERVERS]
