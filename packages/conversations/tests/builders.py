"""Builders of test data for kept turns."""

from __future__ import annotations

from balsamloom_conversations import replicas, turns
from balsamloom_core import clock as clocks

RETENTION_MS = 60_000.0


def turn(
    turn_id: str = "t1",
    previous_id: str = "",
    group_id: str = "g1",
    sent: bytes = b"",
    received: bytes = b"",
    retention_ms: float = RETENTION_MS,
) -> turns.Turn:
    """Build a turn; what was sent and received names it."""
    return turns.Turn(
        turn_id,
        previous_id,
        group_id,
        sent or f"<{turn_id}".encode(),
        received or f"{turn_id}>\n".encode(),
        retention_ms,
    )


def chain(count: int, group_id: str = "g1") -> list[turns.Turn]:
    """Build turns that continue each other."""
    names = [f"{group_id}-{number}" for number in range(count)]
    before = ["", *names]
    return [
        turn(name, previous, group_id)
        for name, previous in zip(names, before, strict=False)
    ]


def joined(found: list[turns.Turn]) -> bytes:
    """Return what a server gets of turns that continue each other."""
    return b"".join(part.input + part.output for part in found)


def host(name: str, failure_domain: str = "") -> replicas.StorageHost:
    """Build a storage host."""
    domain = failure_domain or name[0]
    return replicas.StorageHost(name, f"{name}:1", domain, f"disk-{name}")


def manual_clock() -> clocks.ManualClock:
    """Build a clock that moves only when told to."""
    return clocks.ManualClock(1_000_000.0)
