"""Permits to load weights, shared by all members.

All permits are one value in the store that is changed by compare-and-swap.
For each member a permit expires once that member has seen it unchanged for
its duration by its own clock, so clocks of two hosts are never compared.
"""

from __future__ import annotations

import json
import secrets
import threading
from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_platform import store as stores

KEY = "/balsamloom/weights/permits"
DEFAULT_CAPACITY = 2
DEFAULT_DURATION_MS = 60_000
MAX_ATTEMPTS = 5
# The holder stops using a permit before other members consider it expired,
# since a request of the holder may still be in flight.
VALID_FRACTION = 0.8


class Store(Protocol):
    """Operations of the key-value service that permits need."""

    def get(self, key: str) -> stores.Item | None:
        """Read one key."""

    def commit(
        self,
        comparisons: list[stores.Comparison],
        operations: list[stores.Operation],
    ) -> stores.Committed | stores.Conflict:
        """Apply all operations if all comparisons hold."""


class PermitRecord(NamedTuple):
    """Stored form of a permit; the nonce changes with each renewal."""

    holder_id: str
    name: str
    nonce: str
    duration_ms: int


class Permit(NamedTuple):
    """Permit held by this process."""

    name: str
    nonce: str
    valid_until_ms: float


class PermitTable:
    """Permits of the fleet as seen by one member.

    :param store: key-value service.
    :param self_id: own member id.
    :param clock: source of time.
    :param capacity: largest number of permits held at the same time.
    :param duration_ms: time after which a permit expires.
    """

    def __init__(
        self,
        store: Store,
        self_id: str,
        clock: clocks.Clock,
        capacity: int = DEFAULT_CAPACITY,
        duration_ms: int = DEFAULT_DURATION_MS,
    ) -> None:
        self._store = store
        self._self_id = self_id
        self._clock = clock
        self._capacity = capacity
        self._duration_ms = duration_ms
        self._lock = threading.Lock()
        self._first_seen_ms: dict[str, float] = {}

    def acquire(self, name: str) -> Permit | None:
        """Acquire a permit if one is free, or renew this member's permit.

        The member finds its own record by name. A lost response of the store
        thus does not use up a second permit.

        :param name: purpose of the permit, unique in this process.
        :return: the permit, or none if all are held.
        :raises StoreUnavailable: if the store does not respond.
        """
        with self._lock:
            for _ in range(MAX_ATTEMPTS):
                start_ms = self._clock.now_ms()
                entries, revision = self._read()
                others = [
                    entry
                    for entry in self._unexpired(entries)
                    if (entry.holder_id, entry.name) != (self._self_id, name)
                ]
                if len(others) >= self._capacity:
                    return None
                nonce = secrets.token_hex(8)
                own = PermitRecord(
                    self._self_id, name, nonce, self._duration_ms
                )
                if self._write([*others, own], revision):
                    until_ms = start_ms + self._duration_ms * VALID_FRACTION
                    return Permit(name, nonce, until_ms)
            return None

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a permit may still be used.

        :param permit: permit from :meth:`acquire`.
        """
        return self._clock.now_ms() < permit.valid_until_ms

    def release(self, permit: Permit) -> None:
        """Release a permit; no effect if its record was renewed or removed.

        :param permit: permit from :meth:`acquire`.
        :raises StoreUnavailable: if the store does not respond; the permit
            then expires by itself.
        """
        with self._lock:
            for _ in range(MAX_ATTEMPTS):
                entries, revision = self._read()
                kept = [
                    entry for entry in entries if entry.nonce != permit.nonce
                ]
                if kept == entries or self._write(kept, revision):
                    return

    def _read(self) -> tuple[list[PermitRecord], int]:
        item = self._store.get(KEY)
        if item is None:
            return [], 0
        entries = [PermitRecord(*fields) for fields in json.loads(item.value)]
        return entries, item.mod_revision

    def _unexpired(self, entries: list[PermitRecord]) -> list[PermitRecord]:
        now_ms = self._clock.now_ms()
        self._first_seen_ms = {
            entry.nonce: self._first_seen_ms.get(entry.nonce, now_ms)
            for entry in entries
        }
        return [
            entry
            for entry in entries
            if now_ms - self._first_seen_ms[entry.nonce] < entry.duration_ms
        ]

    def _write(self, entries: list[PermitRecord], revision: int) -> bool:
        value = json.dumps([list(entry) for entry in entries]).encode()
        comparison: stores.Comparison = stores.KeyAbsent(KEY)
        if revision:
            comparison = stores.RevisionIs(KEY, revision)
        outcome = self._store.commit([comparison], [stores.Put(KEY, value)])
        return isinstance(outcome, stores.Committed)
