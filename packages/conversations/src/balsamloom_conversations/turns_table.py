"""Tables of the turns and groups of a storage host."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable, Sequence

from balsamloom_conversations import turns

# Extends the retention because other hosts measure it from the time at which
# they received their replica.
RETENTION_MARGIN_MS = 5_000.0
SCHEMA = (
    "CREATE TABLE IF NOT EXISTS turns ("
    "number INTEGER PRIMARY KEY AUTOINCREMENT, turn_id TEXT UNIQUE NOT NULL,"
    " previous_id TEXT NOT NULL, group_id TEXT NOT NULL,"
    " input BLOB NOT NULL, output BLOB NOT NULL, checksum BLOB NOT NULL)",
    "CREATE INDEX IF NOT EXISTS turns_by_group ON turns (group_id)",
    # Groups expire as a whole, so that no chain loses its start.
    "CREATE TABLE IF NOT EXISTS groups ("
    "group_id TEXT PRIMARY KEY, expires_ms REAL NOT NULL)",
    "CREATE INDEX IF NOT EXISTS groups_by_expiry ON groups (expires_ms)",
)
SELECT_TURNS = (
    "SELECT turn_id, previous_id, group_id, input, output, checksum FROM turns"
)

Row = tuple[str, str, str, bytes, bytes, bytes]


def insert(
    connection: sqlite3.Connection, turn: turns.Turn, age_ms: float
) -> None:
    """Insert a turn unless it is stored, and extend its group's retention.

    :param age_ms: age of the database.
    """
    connection.execute(
        "INSERT OR IGNORE INTO turns (turn_id, previous_id, group_id,"
        " input, output, checksum) VALUES (?, ?, ?, ?, ?, ?)",
        (*turn[:5], turn.checksum()),
    )
    expires_ms = age_ms + turn.retention_ms + RETENTION_MARGIN_MS
    connection.execute(
        "INSERT INTO groups VALUES (?, ?) ON CONFLICT (group_id)"
        " DO UPDATE SET expires_ms = max(expires_ms, ?)",
        (turn.group_id, expires_ms, expires_ms),
    )


def read_row(connection: sqlite3.Connection, turn_id: str) -> Row | None:
    """Return the row of a turn, which may be damaged."""
    row: Row | None = connection.execute(
        f"{SELECT_TURNS} WHERE turn_id = ?", (turn_id,)
    ).fetchone()
    return row


def decode(row: Row) -> turns.Turn | None:
    """Decode a row; return ``None`` if it is damaged."""
    turn = turns.Turn(*row[:5], retention_ms=0.0)
    try:
        is_intact = turn.checksum() == row[5]
    except (TypeError, AttributeError):
        # The type of a damaged column may have changed.
        is_intact = False
    return turn if is_intact else None


def has(connection: sqlite3.Connection, turn_id: str) -> bool:
    """Return whether a turn is stored."""
    found = connection.execute(
        "SELECT 1 FROM turns WHERE turn_id = ?", (turn_id,)
    )
    return found.fetchone() is not None


def total_bytes(
    connection: sqlite3.Connection, turn_ids: Sequence[str]
) -> int:
    """Return the size of the turns that are stored, damaged ones too."""
    (total,) = connection.execute(
        "SELECT total(length(input) + length(output)) FROM turns"
        " WHERE turn_id IN (SELECT value FROM json_each(?))",
        (json.dumps(list(turn_ids)),),
    ).fetchone()
    return int(total)


def left_ms(
    connection: sqlite3.Connection, group_id: str, age_ms: float
) -> float:
    """Return for how long a copy of a group must be stored."""
    row = connection.execute(
        "SELECT expires_ms FROM groups WHERE group_id = ?", (group_id,)
    ).fetchone()
    expires_ms = float(row[0]) if row else 0.0
    return max(expires_ms - age_ms - RETENTION_MARGIN_MS, 0.0)


def delete(connection: sqlite3.Connection, turn_ids: Iterable[str]) -> None:
    """Delete turns."""
    connection.executemany(
        "DELETE FROM turns WHERE turn_id = ?",
        [(turn_id,) for turn_id in turn_ids],
    )


def delete_expired(connection: sqlite3.Connection, age_ms: float) -> int:
    """Delete expired groups; return the number of turns."""
    expired_groups = "SELECT group_id FROM groups WHERE expires_ms < ?"
    deleted = connection.execute(
        f"DELETE FROM turns WHERE group_id IN ({expired_groups})", (age_ms,)
    ).rowcount
    connection.execute("DELETE FROM groups WHERE expires_ms < ?", (age_ms,))
    return deleted
