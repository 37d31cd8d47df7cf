"""Stored turns of conversations.

Turns are immutable, so replicas need no consensus. Each turn refers to the
previous one. All turns that descend from the same first turn form a tree and
share a group, which determines the hosts that store them.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import NamedTuple

CHECKSUM_BYTES = 8


class Turn(NamedTuple):
    """One turn of a conversation.

    ``turn_id`` is the identifier of the request. ``previous_id`` is empty for
    a first turn. ``retention_ms`` is the remaining time for which the turn
    must be stored.
    """

    turn_id: str
    previous_id: str
    group_id: str
    input: bytes
    output: bytes
    retention_ms: float

    @property
    def size_bytes(self) -> int:
        """Return the size of the input and the output."""
        return len(self.input) + len(self.output)

    def checksum(self) -> bytes:
        """Return a checksum over all fields except ``retention_ms``."""
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


class TurnBatch(NamedTuple):
    """First part of the turns that another host asked for.

    ``left_bytes`` is the size of those that did not fit.
    """

    turns: tuple[Turn, ...]
    left_bytes: int


class ListingEntry(NamedTuple):
    """Turn in the listing of a storage host.

    ``sequence`` increases with each turn that the host stores.
    """

    sequence: int
    turn_id: str
    group_id: str


@dataclasses.dataclass(frozen=True)
class Chain:
    """Turn together with all previous turns.

    ``data`` holds their inputs and outputs, oldest first.
    """

    group_id: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class ChainEnd:
    """Last turns of a chain, from a host that lacks the turn before them.

    ``data`` is like that of :class:`Chain`. Hosts that are down when a turn
    is written leave the chain divided among the others.
    """

    group_id: str
    data: bytes
    missing_id: str


@dataclasses.dataclass(frozen=True)
class Absent:
    """Result for a turn that certainly does not exist."""


@dataclasses.dataclass(frozen=True)
class Unsure:
    """Result for a turn that may exist or whose chain is incomplete."""

    reason: str


Lookup = Chain | Absent | Unsure
HostLookup = Lookup | ChainEnd
