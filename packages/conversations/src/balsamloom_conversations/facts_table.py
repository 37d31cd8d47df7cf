"""Table of facts about the disk of a storage host, each a name and a text."""

from __future__ import annotations

import json
import sqlite3
import uuid

from balsamloom_conversations import completeness

SCHEMA = (
    "CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value TEXT)",
)


def load_disk_id(connection: sqlite3.Connection, is_first_start: bool) -> str:
    """Return the identifier of the disk, which is created with the table.

    The claim of a new disk is written with its identifier, so that no crash
    leaves a disk of which nothing is said.
    """
    disk_id = _read(connection, "disk_id")
    if disk_id is not None:
        return disk_id
    disk_id = uuid.uuid4().hex
    claim = completeness.NOTHING
    if is_first_start:
        claim = completeness.EVERYTHING
    with connection:
        connection.execute("BEGIN")
        _write(connection, "disk_id", disk_id)
        write_age(connection, 0.0)
        write_claim(connection, claim)
        write_fences(connection, completeness.Fences(is_first_start))
    return disk_id


def read_age(connection: sqlite3.Connection) -> float:
    """Return the age of the database at its last commit, in ms."""
    return float(_read(connection, "age_ms") or 0.0)


def write_age(connection: sqlite3.Connection, age_ms: float) -> None:
    """Write the age of the database."""
    _write(connection, "age_ms", str(age_ms))


def read_claim(connection: sqlite3.Connection) -> completeness.Claim:
    """Return what the host says of this disk.

    Databases of earlier releases have no claim. Their disks may have been
    lost shortly before, so nothing is claimed for them.
    """
    text = _read(connection, "claim")
    if text is None:
        return completeness.NOTHING
    has_turns, has_usage, replaced_hosts, losses = json.loads(text)
    return completeness.Claim(
        bool(has_turns), bool(has_usage), frozenset(replaced_hosts), losses
    )


def write_claim(
    connection: sqlite3.Connection, claim: completeness.Claim
) -> None:
    """Write what the host says of this disk."""
    fields = (
        claim.has_turns,
        claim.has_usage,
        sorted(claim.replaced_hosts),
        claim.losses,
    )
    _write(connection, "claim", json.dumps(fields))


def read_fences(connection: sqlite3.Connection) -> completeness.Fences:
    """Return the hosts that are fenced here.

    Hosts of earlier releases fenced none.
    """
    text = _read(connection, "fences")
    if text is None:
        return completeness.Fences(is_complete=True)
    is_complete, by_host = json.loads(text)
    return completeness.Fences(
        bool(is_complete),
        {name: frozenset(hosts) for name, hosts in by_host.items()},
    )


def write_fences(
    connection: sqlite3.Connection, fences: completeness.Fences
) -> None:
    """Write the hosts that are fenced here."""
    by_host = {name: sorted(hosts) for name, hosts in fences.by_host.items()}
    _write(connection, "fences", json.dumps((fences.is_complete, by_host)))


def _read(connection: sqlite3.Connection, name: str) -> str | None:
    found = connection.execute(
        "SELECT value FROM facts WHERE name = ?", (name,)
    )
    row = found.fetchone()
    return str(row[0]) if row else None


def _write(connection: sqlite3.Connection, name: str, value: str) -> None:
    connection.execute(
        "INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value)
    )
