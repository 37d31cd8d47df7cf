"""Stored usage of the token budgets of programs.

Budget holders write entries before turns run whose tokens the platform's
store does not show. The entry with the highest sequence counts.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

RETENTION_MS = 600_000.0
CHECKSUM_BYTES = 8
# Approximate size of the numbers of a record.
_NUMBERS_BYTES = 24


class UsageEntry(NamedTuple):
    """Usage of one program at one of its holders.

    ``holder_id`` names a process of the holder. ``running`` has the id of the
    reservation and the most of each turn that ran, ``used_tokens`` are those
    of turns of which the holder knew the end. ``sequence`` grows with each
    entry of a holder and program.
    """

    program_id: str
    holder_id: str
    running: tuple[tuple[str, int], ...]
    used_tokens: int
    sequence: int

    @property
    def size_bytes(self) -> int:
        """Return the approximate size."""
        names = [self.program_id, self.holder_id]
        names += [reservation_id for reservation_id, _ in self.running]
        return sum(map(len, names)) + len(names) * _NUMBERS_BYTES

    def checksum(self) -> bytes:
        """Return a checksum over all fields."""
        return _checksum(self)


class StoredEntry(NamedTuple):
    """Entry and the remaining time for which it must be stored."""

    entry: UsageEntry
    retention_ms: float

    @property
    def size_bytes(self) -> int:
        """Return the approximate size."""
        return self.entry.size_bytes


class Settlement(NamedTuple):
    """Tokens that the turn of a reservation used, once it has ended whole."""

    program_id: str
    reservation_id: str
    used_tokens: int

    @property
    def size_bytes(self) -> int:
        """Return the approximate size."""
        return len(self.program_id) + len(self.reservation_id) + _NUMBERS_BYTES

    def checksum(self) -> bytes:
        """Return a checksum over all fields."""
        return _checksum(self)


class ListQuery(NamedTuple):
    """Request for the entries after a program and holder, in that order."""

    program_id: str
    holder_id: str
    limit: int


class StoredUsage(NamedTuple):
    """What one storage host has of a program.

    ``settlements`` maps ids of reservations to the tokens that their turns
    used. Without ``is_complete``, the host may lack some that it stored.
    ``replaced_hosts`` are gone, and this host has what they stored.
    """

    entries: tuple[UsageEntry, ...]
    is_complete: bool
    settlements: Mapping[str, int] = {}
    replaced_hosts: tuple[str, ...] = ()


def _checksum(record: tuple[object, ...]) -> bytes:
    text = repr(tuple(record)).encode()
    return hashlib.blake2b(text, digest_size=CHECKSUM_BYTES).digest()
