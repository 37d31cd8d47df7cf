"""SQLite database of turns and usage on the disk of one storage host.

Each commit is synced. The checksums of SQLite's write-ahead log (WAL) detect
writes that a power loss omitted or tore. Each turn has its own checksum, which
detects corruption of the disk.
"""

from __future__ import annotations

import pathlib
import sqlite3
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from balsamloom_conversations import (
    completeness,
    facts_table,
    turns,
    turns_table,
    usage_entries,
    usage_table,
)
from balsamloom_core import clock as clocks

FILE_NAME = "turns.db"
PAGE_BYTES = 4_096
# Fraction of the disk for the database; the rest leaves room for the WAL.
MAX_DISK_SHARE = 0.6
# Size of the WAL at which SQLite moves its pages to the database.
WAL_CHECKPOINT_PAGES = 500
# A longer chain is treated as a loop.
MAX_CHAIN_TURNS = 100_000
MB = 1_000_000

Record = turns.Turn | usage_entries.StoredEntry | usage_entries.Settlement

_PRAGMAS = (
    # WAL with normal locking maps shared memory, which the platform's file
    # layer lacks.
    "PRAGMA locking_mode = EXCLUSIVE",
    # EXTRA also syncs the directory after a journal is removed.
    "PRAGMA synchronous = EXTRA",
    "PRAGMA auto_vacuum = INCREMENTAL",
    "PRAGMA journal_mode = WAL",
    f"PRAGMA wal_autocheckpoint = {WAL_CHECKPOINT_PAGES}",
    "PRAGMA temp_store = MEMORY",
    "PRAGMA cache_size = -4000",
)
_SCHEMA = (
    *turns_table.SCHEMA,
    *facts_table.SCHEMA,
    *usage_table.SCHEMA,
)


class DatabaseError(Exception):
    """The disk or the database failed."""


class Counts(NamedTuple):
    """Number of turns and groups, and size of the database."""

    turns: int
    groups: int
    size_bytes: int


class TurnDatabase:
    """Thread-safe database of one storage host.

    :param directory: directory on the host's disk.
    :param clock: time source.
    :param disk_bytes: size of the disk; ``None`` if unknown.
    :param is_first_start: whether the host has never acknowledged a record;
        a new disk of another host lacks what it acknowledged before.
    :raises DatabaseError: the database cannot be opened.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        clock: clocks.Clock,
        disk_bytes: int | None = None,
        is_first_start: bool = False,
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
            self.disk_id = facts_table.load_disk_id(
                self._connection, is_first_start
            )
            self._claim = facts_table.read_claim(self._connection)
            self._fences = facts_table.read_fences(self._connection)
            age_ms = facts_table.read_age(self._connection)
            self._started_ms = clock.now_ms() - age_ms
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from error

    def age_ms(self) -> float:
        """Return the total time for which processes had this database open.

        Expiry uses this time because it never jumps and does not advance
        while no process runs, so that no turn expires early.
        """
        return self._clock.now_ms() - self._started_ms

    def add(self, new_records: Iterable[Record]) -> None:
        """Store records and sync them.

        Turns and settlements already stored do not change.

        :raises DatabaseError: no record was stored.
        """
        age_ms = self.age_ms()
        with self._lock:
            self._commit(
                lambda: self._insert(list(new_records), age_ms), "add", age_ms
            )

    def usage(self, program_id: str) -> usage_entries.StoredUsage:
        """Return the usage of a program.

        :raises DatabaseError: the database cannot be read.
        """
        with self._lock:
            try:
                return usage_table.read(self._connection, program_id)
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error

    def list_usage(
        self, query: usage_entries.ListQuery
    ) -> list[usage_entries.StoredEntry]:
        """Return a page of the usage entries.

        Damaged ones are deleted, as no reader would learn that they are
        missing; the same commit takes back what the host says of its disk.

        :raises DatabaseError: the database cannot be read.
        """
        age_ms = self.age_ms()
        with self._lock:
            try:
                page = usage_table.list_after(self._connection, query, age_ms)
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error
            if page.damaged:
                self._lose(
                    lambda: usage_table.delete(self._connection, page.damaged)
                )
        return page.entries

    @property
    def claim(self) -> completeness.Claim:
        """Return what this host says of its disk, as stored on it."""
        return self._claim

    def set_claim(self, claim: completeness.Claim) -> bool:
        """Store what this host says of its disk from now on.

        What it says no more is taken back at once, and what it says in
        addition counts once it is on the disk.

        :return: whether the claim is stored; not if records of this disk were
            lost since the ``losses`` of the claim.
        :raises DatabaseError: nothing was stored.
        """
        with self._lock:
            if claim.losses != self._claim.losses:
                return False
            self._claim = self._claim.common(claim)
            self._commit(
                lambda: facts_table.write_claim(self._connection, claim),
                "set claim",
                self.age_ms(),
            )
            self._claim = claim
        return True

    @property
    def fences(self) -> completeness.Fences:
        """Return the hosts that are fenced here, as stored."""
        return self._fences

    def set_fence(self, name: str, fenced: frozenset[str]) -> None:
        """Store which hosts another one fences from now on.

        :raises DatabaseError: nothing was stored.
        """
        with self._lock:
            self._set_fences(self._fences.with_host(name, fenced))

    def complete_fences(self, found: Iterable[completeness.Fences]) -> None:
        """Store the fences of all other hosts on a new disk.

        :raises DatabaseError: nothing was stored.
        """
        with self._lock:
            fences = self._fences._replace(is_complete=True)
            for other in found:
                for name, fenced in other.by_host.items():
                    known = fences.by_host.get(name, frozenset())
                    fences = fences.with_host(name, known | fenced)
            self._set_fences(fences)

    def _set_fences(self, fences: completeness.Fences) -> None:
        if fences == self._fences:
            return
        self._commit(
            lambda: facts_table.write_fences(self._connection, fences),
            "set fences",
            self.age_ms(),
        )
        self._fences = fences

    def chain(self, turn_id: str) -> turns.HostLookup:
        """Return a turn and all previous turns that are stored here.

        :return: :class:`turns.Unsure` if the turn itself is damaged.
        :raises DatabaseError: the database cannot be read.
        """
        parts: list[bytes] = []
        group_id = ""
        wanted = turn_id
        with self._lock:
            while wanted:
                turn = self._read(wanted)
                if turn is None:
                    return self._incomplete_chain(wanted, group_id, parts)
                if len(parts) >= 2 * MAX_CHAIN_TURNS:
                    return turns.Unsure("the chain is too long or has a loop")
                parts += (turn.output, turn.input)
                group_id = turn.group_id
                wanted = turn.previous_id
        return turns.Chain(group_id, b"".join(reversed(parts)))

    def _incomplete_chain(
        self, missing_id: str, group_id: str, parts: list[bytes]
    ) -> turns.HostLookup:
        """Return the result for a chain without one of its turns.

        :param parts: data of the turns after the missing one, latest first.
        """
        if parts:
            data = b"".join(reversed(parts))
            return turns.ChainEnd(group_id, data, missing_id)
        if missing_id in self._damaged:
            return turns.Unsure(f"turn {missing_id} is damaged")
        return turns.Absent()

    def list_after(
        self, sequence: int, limit: int
    ) -> list[turns.ListingEntry]:
        """Return the turns stored after a sequence number, in that order.

        :raises DatabaseError: the database cannot be read.
        """
        rows = self._query(
            "SELECT number, turn_id, group_id FROM turns"
            " WHERE number > ? ORDER BY number LIMIT ?",
            (sequence, limit),
        )
        return [turns.ListingEntry(*row) for row in rows]

    def find_missing(self, turn_ids: Sequence[str]) -> list[str]:
        """Return the identifiers in ``turn_ids`` that are not stored.

        :raises DatabaseError: the database cannot be read.
        """
        with self._lock:
            try:
                return [
                    turn_id
                    for turn_id in turn_ids
                    if not turns_table.has(self._connection, turn_id)
                ]
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error

    def read(self, turn_ids: Iterable[str]) -> list[turns.Turn]:
        """Return the turns in ``turn_ids`` that are stored and intact.

        :raises DatabaseError: the database cannot be read.
        """
        age_ms = self.age_ms()
        with self._lock:
            read = (
                self._read_to_copy(turn_id, age_ms) for turn_id in turn_ids
            )
            return [turn for turn in read if turn is not None]

    def read_batch(
        self, turn_ids: Sequence[str], max_bytes: int, max_turns: int
    ) -> turns.TurnBatch:
        """Return the first of the turns that are stored and intact.

        :param turn_ids: turns to read, in this order.
        :param max_bytes: total size; the first turn is returned whatever its
            size.
        :param max_turns: maximum number of turns.
        :raises DatabaseError: the database cannot be read.
        """
        age_ms = self.age_ms()
        found: list[turns.Turn] = []
        size_bytes = 0
        with self._lock:
            for number, turn_id in enumerate(turn_ids):
                size_bytes += self._total_bytes([turn_id])
                is_full = size_bytes > max_bytes or len(found) == max_turns
                if found and is_full:
                    left_bytes = self._total_bytes(turn_ids[number:])
                    return turns.TurnBatch(tuple(found), left_bytes)
                turn = self._read_to_copy(turn_id, age_ms)
                if turn is not None:
                    found.append(turn)
        return turns.TurnBatch(tuple(found), 0)

    def expire(self) -> int:
        """Delete expired groups and usage; return the number of turns.

        :raises DatabaseError: nothing was deleted.
        """
        age_ms = self.age_ms()
        deleted = 0

        def delete() -> None:
            nonlocal deleted
            deleted = turns_table.delete_expired(self._connection, age_ms)
            usage_table.delete_expired(self._connection, age_ms)

        with self._lock:
            self._commit(delete, "expire", age_ms)
            if deleted:
                # execute() would stop after one page.
                self._connection.executescript("PRAGMA incremental_vacuum")
        return deleted

    def counts(self) -> Counts:
        """Return the current counts.

        :raises DatabaseError: the database cannot be read.
        """
        (turn_row,) = self._query("SELECT count(*) FROM turns", ())
        (group_row,) = self._query("SELECT count(*) FROM groups", ())
        (page_row,) = self._query("PRAGMA page_count", ())
        return Counts(turn_row[0], group_row[0], page_row[0] * PAGE_BYTES)

    def find_damaged(self) -> list[str]:
        """Return the identifiers of all turns with a wrong checksum.

        :raises DatabaseError: the database cannot be read.
        """
        rows = self._query(turns_table.SELECT_TURNS, ())
        return [row[0] for row in rows if turns_table.decode(row) is None]

    def delete_damaged(self) -> list[str]:
        """Delete turns found damaged by reads; return their identifiers.

        The same commit takes back what the host says of its disk.

        :raises DatabaseError: nothing was deleted.
        """
        with self._lock:
            found = sorted(self._damaged)
            if not found:
                return []
            self._lose(lambda: turns_table.delete(self._connection, found))
            self._damaged.clear()
        return found

    def _lose(self, delete: Callable[[], object]) -> None:
        """Delete damaged records and take back the claim in one commit."""
        claim = self._claim.after_loss()

        def change() -> None:
            delete()
            facts_table.write_claim(self._connection, claim)

        self._claim = claim
        self._commit(change, "delete damaged records", self.age_ms())

    def close(self) -> None:
        """Close the database."""
        with self._lock:
            self._connection.close()

    def _insert(self, new_records: list[Record], age_ms: float) -> None:
        for record in new_records:
            match record:
                case turns.Turn():
                    turns_table.insert(self._connection, record, age_ms)
                case usage_entries.StoredEntry():
                    usage_table.write(self._connection, record, age_ms)
                case usage_entries.Settlement():
                    usage_table.write_settlement(
                        self._connection, record, age_ms
                    )

    def _commit(
        self, change: Callable[[], object], name: str, age_ms: float
    ) -> None:
        """Apply a change in a transaction and sync it."""
        execute = self._connection.execute
        try:
            execute("BEGIN")
            change()
            facts_table.write_age(self._connection, age_ms)
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
        """Return a turn; ``None`` if it is missing or damaged.

        A damaged turn is recorded for :meth:`delete_damaged`.
        """
        try:
            row = turns_table.read_row(self._connection, turn_id)
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from error
        turn = turns_table.decode(row) if row else None
        if row and turn is None:
            self._damaged.add(turn_id)
        return turn

    def _read_to_copy(self, turn_id: str, age_ms: float) -> turns.Turn | None:
        """Return a turn with the time for which a copy must be stored."""
        turn = self._read(turn_id)
        if turn is None:
            return None
        left_ms = turns_table.left_ms(self._connection, turn.group_id, age_ms)
        return turn._replace(retention_ms=left_ms)

    def _total_bytes(self, turn_ids: Sequence[str]) -> int:
        try:
            return turns_table.total_bytes(self._connection, turn_ids)
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from error

    def _query(self, statement: str, values: tuple[object, ...]) -> list[Any]:
        with self._lock:
            try:
                return self._connection.execute(statement, values).fetchall()
            except sqlite3.Error as error:
                raise DatabaseError(str(error)) from error
