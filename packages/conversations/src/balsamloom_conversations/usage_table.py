"""Tables of usage entries and settlements of a storage host."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable
from typing import Any, NamedTuple

from balsamloom_conversations import usage_entries

SCHEMA = (
    "CREATE TABLE IF NOT EXISTS usage_entries ("
    "program_id TEXT NOT NULL, holder_id TEXT NOT NULL,"
    " running TEXT NOT NULL, used_tokens INTEGER NOT NULL,"
    " sequence INTEGER NOT NULL, checksum BLOB NOT NULL,"
    " expires_ms REAL NOT NULL,"
    " PRIMARY KEY (program_id, holder_id)) WITHOUT ROWID",
    "CREATE INDEX IF NOT EXISTS usage_entries_by_expiry"
    " ON usage_entries (expires_ms)",
    "CREATE TABLE IF NOT EXISTS settlements ("
    "program_id TEXT NOT NULL, reservation_id TEXT NOT NULL,"
    " used_tokens INTEGER NOT NULL, checksum BLOB NOT NULL,"
    " expires_ms REAL NOT NULL,"
    " PRIMARY KEY (program_id, reservation_id)) WITHOUT ROWID",
    "CREATE INDEX IF NOT EXISTS settlements_by_expiry"
    " ON settlements (expires_ms)",
)


def write(
    connection: sqlite3.Connection,
    stored: usage_entries.StoredEntry,
    age_ms: float,
) -> None:
    """Write an entry unless a newer one of its holder is stored.

    :param age_ms: age of the database.
    """
    entry, retention_ms = stored
    connection.execute(
        "INSERT INTO usage_entries VALUES (?, ?, ?, ?, ?, ?, ?)"
        " ON CONFLICT (program_id, holder_id) DO UPDATE SET"
        " running = excluded.running,"
        " used_tokens = excluded.used_tokens, sequence = excluded.sequence,"
        " checksum = excluded.checksum, expires_ms = excluded.expires_ms"
        " WHERE excluded.sequence > usage_entries.sequence",
        (
            entry.program_id,
            entry.holder_id,
            json.dumps(entry.running),
            entry.used_tokens,
            entry.sequence,
            entry.checksum(),
            age_ms + retention_ms,
        ),
    )


def write_settlement(
    connection: sqlite3.Connection,
    settlement: usage_entries.Settlement,
    age_ms: float,
) -> None:
    """Write a settlement unless one of its reservation is stored."""
    connection.execute(
        "INSERT OR IGNORE INTO settlements VALUES (?, ?, ?, ?, ?)",
        (
            *settlement,
            settlement.checksum(),
            age_ms + usage_entries.RETENTION_MS,
        ),
    )


class Page(NamedTuple):
    """Intact entries of a page, and the keys of damaged ones.

    A key is the program and the holder.
    """

    entries: list[usage_entries.StoredEntry]
    damaged: list[tuple[str, str]]


def read(
    connection: sqlite3.Connection, program_id: str
) -> usage_entries.StoredUsage:
    """Return the usage of a program; incomplete if an entry is damaged.

    Damaged settlements are left out, so that their reservations count as
    running.
    """
    rows = connection.execute(
        "SELECT program_id, holder_id, running, used_tokens,"
        " sequence, checksum FROM usage_entries WHERE program_id = ?",
        (program_id,),
    ).fetchall()
    found = [_decode(row) for row in rows]
    intact = tuple(entry for entry in found if entry is not None)
    return usage_entries.StoredUsage(
        intact,
        len(intact) == len(found),
        _read_settlements(connection, program_id),
    )


def _read_settlements(
    connection: sqlite3.Connection, program_id: str
) -> dict[str, int]:
    rows = connection.execute(
        "SELECT program_id, reservation_id, used_tokens, checksum"
        " FROM settlements WHERE program_id = ?",
        (program_id,),
    )
    found: dict[str, int] = {}
    for *fields, checksum in rows:
        settlement = usage_entries.Settlement(*fields)
        if settlement.checksum() == checksum:
            found[settlement.reservation_id] = settlement.used_tokens
    return found


def list_after(
    connection: sqlite3.Connection,
    query: usage_entries.ListQuery,
    age_ms: float,
) -> Page:
    """Return the entries of a page, by program and holder."""
    rows = connection.execute(
        "SELECT program_id, holder_id, running, used_tokens,"
        " sequence, checksum, expires_ms FROM usage_entries"
        " WHERE (program_id, holder_id) > (?, ?)"
        " ORDER BY program_id, holder_id LIMIT ?",
        query,
    )
    page = Page([], [])
    for *row, expires_ms in rows:
        entry = _decode(tuple(row))
        if entry is None:
            page.damaged.append((row[0], row[1]))
        else:
            left_ms = max(expires_ms - age_ms, 0.0)
            page.entries.append(usage_entries.StoredEntry(entry, left_ms))
    return page


def delete(
    connection: sqlite3.Connection, keys: Iterable[tuple[str, str]]
) -> None:
    """Delete entries by program and holder."""
    connection.executemany(
        "DELETE FROM usage_entries WHERE program_id = ? AND holder_id = ?",
        keys,
    )


def delete_expired(connection: sqlite3.Connection, age_ms: float) -> None:
    """Delete entries and settlements whose retention is over."""
    for table in ("usage_entries", "settlements"):
        connection.execute(
            f"DELETE FROM {table} WHERE expires_ms < ?", (age_ms,)
        )


def _decode(row: tuple[Any, ...]) -> usage_entries.UsageEntry | None:
    """Decode an entry; return ``None`` if it is damaged."""
    program_id, holder_id, text, used_tokens, sequence, checksum = row
    try:
        running = tuple((name, tokens) for name, tokens in json.loads(text))
    except (ValueError, TypeError):
        return None
    entry = usage_entries.UsageEntry(
        program_id, holder_id, running, used_tokens, sequence
    )
    return entry if entry.checksum() == checksum else None
