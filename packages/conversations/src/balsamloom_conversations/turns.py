"""What is kept of a conversation.

A turn is written once and never changes, so copies need no agreement. A turn
names the one before it; the turns that one first turn leads to form a tree,
and all of them carry the same group, which decides where they are kept.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import NamedTuple

CHECKSUM_BYTES = 8


class Turn(NamedTuple):
    """One turn of a conversation.

    ``turn_id`` is the identifier of the request that it was. ``previous_id``
    is empty for a first turn. ``retention_ms`` is the time for which the turn
    has still to be kept.
    """

    turn_id: str
    previous_id: str
    group_id: str
    input: bytes
    output: bytes
    retention_ms: float

    def checksum(self) -> bytes:
        """Return a checksum over all that never changes."""
        digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
        for part in (
            self.turn_id.encode(),
            self.previous_id.encode(),
            self.group_id.encode(),
            self.input,
            self.output,
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()


class ListingEntry(NamedTuple):
    """Turn in the listing of a storage host.

    ``sequence`` grows with each turn that the host takes in.
    """

    sequence: int
    turn_id: str
    group_id: str


@dataclasses.dataclass(frozen=True)
class Chain:
    """A turn was found with all turns before it.

    ``data`` holds their inputs and outputs, the oldest first.
    """

    group_id: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Absent:
    """The host has no such turn and misses none that it should have."""


@dataclasses.dataclass(frozen=True)
class Unsure:
    """The host cannot tell, or lacks a part of the chain."""

    reason: str


Lookup = Chain | Absent | Unsure
