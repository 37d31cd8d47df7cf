"""Turns on the disk of one storage host, in an SQLite database.

Each commit is synced. SQLite's log carries checksums, so that writes that a
power loss left out or tore are not read; each turn has a checksum of its own
for damage of the disk.
"""

from __future__ import annotations

import pathlib
import sqlite3
import threading
import uuid
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from balsamloom_conversations import turns
from balsamloom_core import clock as clocks

FILE_NAME = "turns.db"
PAGE_BYTES = 4_096
# Share of the disk for the database; its log needs room beside it.
MAX_DISK_SHARE = 0.6
# Pages in the log after which they are moved to the database.
WAL_CHECKPOINT_PAGES = 500
# Turns are kept longer than asked for, as other hosts count the time from
# their own receipt of a copy.
RETENTION_MARGIN_MS = 5_000.0
# Longest chain that is followed; a longer one has a loop.
MAX_CHAIN_TURNS = 100_000
MB = 1_000_000

_PRAGMAS = (
    # The platform's files have no shared memory for several connections.
    "PRAGMA locking_mode = EXCLUSIVE",
    # EXTRA also syncs the folder after the removal of a journal.
    "PRAGMA synchronous = EXTRA",
    "PRAGMA auto_vacuum = INCREMENTAL",
    "PRAGMA journal_mode = WAL",
    f"PRAGMA wal_autocheckpoint = {WAL_CHECKPOINT_PAGES}",
    "PRAGMA temp_store = MEMORY",
    "PRAGMA cache_size = -4000",
)
_SCHEMA = (
    "CREATE TABLE IF NOT EXISTS turns ("
    "number INTEGER PRIMARY KEY AUTOINCREMENT, turn_id TEXT UNIQUE NOT NULL,"
    " previous_id TEXT NOT NULL, group_id TEXT NOT NULL,"
    " input BLOB NOT NULL, output BLOB NOT NULL, checksum BLOB NOT NULL)",
    "CREATE INDEX IF NOT EXISTS turns_by_group ON turns (group_id)",
    # A group is dropped as a whole, so that no chain loses its start.
    "CREATE TABLE IF NOT EXISTS groups ("
    "group_id TEXT PRIMARY KEY, expires_ms REAL NOT NULL)",
    "CREATE INDEX IF NOT EXISTS groups_by_expiry ON groups (expires_ms)",
    "CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value TEXT)",
)
_SELECT_TURNS = (
    "SELECT turn_id, previous_id, group_id, input, output, checksum FROM turns"
)


class DatabaseError(Exception):
    """The disk or the database refused a call."""


class Counts(NamedTuple):
    """Size of a database."""

    turns: int
    groups: int
    size_bytes: int


class TurnDatabase:
    """Database of one storage host; all methods may be called by any thread.

    :param directory: folder on the host's disk.
    :param clock: time source.
    :param disk_bytes: size of the disk, ``None`` if not known.
    :raises DatabaseError: the database cannot be opened.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        clock: clocks.Clock,
        disk_bytes: int | None = None,
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._damaged: set[str] = set()
        path = directory / FILE_NAME
        try:
            self._connection = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False
            )
            for statement in (*_PRAGMAS, *_SCHEMA):
                self._connection.execute(statement)
            if disk_bytes is not None:
                pages = int(disk_bytes * MAX_DISK_SHARE) // PAGE_BYTES
                self._connection.execute(f"PRAGMA max_page_count = {pages}")
            self.disk_id, self.is_new = self._identify()
            self._started_ms = clock.now_ms() - float(self._fact("age_ms"))
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from error

    def age_ms(self) -> float:
        """Return the time for which processes have had this database open.

        It is the clock of expiry: it never jumps, and it stands still while
        no process runs, so that nothing expires early.
        """
        return self._clock.now_ms() - self._started_ms

    def add(self, found: Iterable[turns.Turn]) -> None:
        """Write turns and sync them; those already there stay as they are.

        :raises DatabaseError: nothing was written.
        """
        age_ms = self.age_ms()
        with self._lock:
            self._commit(lambda: self._add(list(found), age_ms), "add", age_ms)

    def chain(self, turn_id: str) -> turns.Chain | turns.Absent | turns.Unsure:
        """Return a turn's chain, if all of it is here.

        :raises DatabaseError: the database cannot be read.
        """
        parts: list[bytes] = []
        group_id = ""
        wanted = turn_id
        with self._lock:
            while wanted:
                turn = self._read(wanted)
                if turn is None:
                    if parts or wanted in self._damaged:
                        return turns.Unsure(f"turn {wanted} is missing")
                    return turns.Absent()
                if len(parts) >= 2 * MAX_CHAIN_TURNS:
                    return turns.Unsure("the chain has no start")
                parts += (turn.output, turn.input)
                group_id = turn.group_id
                wanted = turn.previous_id
        return turns.Chain(group_id, b"".join(reversed(parts)))

    def list_after(
        self, sequence: int, limit: int
    ) -> list[turns.ListingEntry]:
        """Return the turns taken in after a number, in that order.

        :raises DatabaseError: the database cannot be read.
        """
        rows = self._query(
            "SELECT number, turn_id, group_id FROM turns"
            " WHERE number > ? ORDER BY number LIMIT ?",
            (sequence, limit),
        )
        return [turns.ListingEntry(*row) for row in rows]

    def find_missing(self, turn_ids: Sequence[str]) -> list[str]:
        """Return those of some turns that are not here.

        :raises DatabaseError: the database cannot be read.
        """
        with self._lock:
            try:
                return [
                    turn_id for turn_id in turn_ids if not self._has(turn_id)
                ]
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error

    def read(self, turn_ids: Iterable[str]) -> list[turns.Turn]:
        """Return those of some turns that are here and sound.

        :raises DatabaseError: the database cannot be read.
        """
        age_ms = self.age_ms()
        found = []
        with self._lock:
            for turn_id in turn_ids:
                turn = self._read(turn_id)
                if turn is not None:
                    left_ms = self._expiry_ms(turn.group_id) - age_ms
                    kept_ms = max(left_ms - RETENTION_MARGIN_MS, 0.0)
                    found.append(turn._replace(retention_ms=kept_ms))
        return found

    def expire(self) -> int:
        """Drop the groups whose time is over; return how many turns went.

        :raises DatabaseError: nothing was dropped.
        """
        age_ms = self.age_ms()
        dropped = 0
        overdue = "SELECT group_id FROM groups WHERE expires_ms < ?"

        def drop() -> None:
            nonlocal dropped
            execute = self._connection.execute
            dropped = execute(
                f"DELETE FROM turns WHERE group_id IN ({overdue})", (age_ms,)
            ).rowcount
            execute("DELETE FROM groups WHERE expires_ms < ?", (age_ms,))

        with self._lock:
            self._commit(drop, "expire", age_ms)
            if dropped:
                # A script runs to its end; "execute" stops after one page.
                self._connection.executescript("PRAGMA incremental_vacuum")
        return dropped

    def counts(self) -> Counts:
        """Return how much is here.

        :raises DatabaseError: the database cannot be read.
        """
        (found,) = self._query("SELECT count(*) FROM turns", ())
        (groups,) = self._query("SELECT count(*) FROM groups", ())
        (pages,) = self._query("PRAGMA page_count", ())
        return Counts(found[0], groups[0], pages[0] * PAGE_BYTES)

    def find_damaged(self) -> list[str]:
        """Return the turns whose checksum does not match.

        :raises DatabaseError: the database cannot be read.
        """
        rows = self._query(_SELECT_TURNS, ())
        return [row[0] for row in rows if _decode(row) is None]

    def drop_damaged(self) -> list[str]:
        """Drop turns that were read and found damaged, and return them.

        :raises DatabaseError: nothing was dropped.
        """
        with self._lock:
            found = sorted(self._damaged)
            if not found:
                return []
            self._commit(
                lambda: self._connection.executemany(
                    "DELETE FROM turns WHERE turn_id = ?",
                    [(turn_id,) for turn_id in found],
                ),
                "drop damaged turns",
                self.age_ms(),
            )
            self._damaged.clear()
        return found

    def close(self) -> None:
        """Close the database."""
        with self._lock:
            self._connection.close()

    def _identify(self) -> tuple[str, bool]:
        """Return the identifier of the disk and whether it is a new one."""
        execute = self._connection.execute
        found = execute("SELECT value FROM facts WHERE name = 'disk_id'")
        row = found.fetchone()
        if row is not None:
            return str(row[0]), False
        disk_id = uuid.uuid4().hex
        with self._connection:
            execute("BEGIN")
            execute("INSERT INTO facts VALUES ('disk_id', ?)", (disk_id,))
            execute("INSERT INTO facts VALUES ('age_ms', '0')")
        return disk_id, True

    def _fact(self, name: str) -> str:
        found = self._connection.execute(
            "SELECT value FROM facts WHERE name = ?", (name,)
        )
        return str(found.fetchone()[0])

    def _add(self, found: list[turns.Turn], age_ms: float) -> None:
        execute = self._connection.execute
        for turn in found:
            execute(
                "INSERT OR IGNORE INTO turns (turn_id, previous_id, group_id,"
                " input, output, checksum) VALUES (?, ?, ?, ?, ?, ?)",
                (*turn[:5], turn.checksum()),
            )
            expires_ms = age_ms + turn.retention_ms + RETENTION_MARGIN_MS
            execute(
                "INSERT INTO groups VALUES (?, ?) ON CONFLICT (group_id)"
                " DO UPDATE SET expires_ms = max(expires_ms, ?)",
                (turn.group_id, expires_ms, expires_ms),
            )

    def _commit(
        self, change: Callable[[], object], name: str, age_ms: float
    ) -> None:
        """Run a change in a transaction and sync it."""
        execute = self._connection.execute
        try:
            execute("BEGIN")
            change()
            execute(
                "UPDATE facts SET value = ? WHERE name = 'age_ms'",
                (str(age_ms),),
            )
            execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise DatabaseError(f"{name}: {error}") from error

    def _roll_back(self) -> None:
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as error:
            raise DatabaseError(f"rollback: {error}") from error

    def _read(self, turn_id: str) -> turns.Turn | None:
        """Return a turn, ``None`` if it is not here or damaged.

        A damaged one is noted for :meth:`drop_damaged`.
        """
        try:
            row = self._connection.execute(
                f"{_SELECT_TURNS} WHERE turn_id = ?", (turn_id,)
            ).fetchone()
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from error
        turn = _decode(row) if row else None
        if row and turn is None:
            self._damaged.add(turn_id)
        return turn

    def _has(self, turn_id: str) -> bool:
        found = self._connection.execute(
            "SELECT 1 FROM turns WHERE turn_id = ?", (turn_id,)
        )
        return found.fetchone() is not None

    def _expiry_ms(self, group_id: str) -> float:
        row = self._connection.execute(
            "SELECT expires_ms FROM groups WHERE group_id = ?", (group_id,)
        ).fetchone()
        return float(row[0]) if row else 0.0

    def _query(self, statement: str, values: tuple[object, ...]) -> list[Any]:
        with self._lock:
            try:
                return self._connection.execute(statement, values).fetchall()
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error


def _decode(
    row: tuple[str, str, str, bytes, bytes, bytes],
) -> turns.Turn | None:
    """Return a turn, ``None`` if it is not what was written."""
    turn = turns.Turn(*row[:5], retention_ms=0.0)
    try:
        is_sound = turn.checksum() == row[5]
    except (TypeError, AttributeError):
        # A column has another type than the one that was written.
        is_sound = False
    return turn if is_sound else None
