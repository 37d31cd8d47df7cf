"""Index of the servers that cache prompt prefixes, in bounded memory."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import zlib
from collections.abc import Iterable

from balsamloom_policy import settings

_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True)
class BoundedAffinity:
    """Prefers the server of the longest known prefix up to a load bound."""


@dataclasses.dataclass(frozen=True)
class NoAffinity:
    """Ignores prefixes; baseline for comparison."""


Affinity = BoundedAffinity | NoAffinity


def from_settings(values: settings.PolicySettings) -> Affinity:
    """Return the variant that the settings select."""
    return BoundedAffinity() if values.prefixes == "bounded" else NoAffinity()


class PrefixIndex:
    """LRU cache of the server that last ran each prefix."""

    def __init__(self) -> None:
        self._servers: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._servers)

    def find(self, prefix_hashes: tuple[int, ...]) -> str | None:
        """Return the server of the longest known prefix."""
        for prefix in reversed(prefix_hashes):
            server_id = self._servers.get(prefix)
            if server_id is not None:
                self._servers.move_to_end(prefix)
                return server_id
        return None

    def record(
        self, prefix_hashes: tuple[int, ...], server_id: str, max_entries: int
    ) -> None:
        """Record the server that runs a prompt.

        :param max_entries: prefixes kept, the most recently used ones.
        """
        for prefix in prefix_hashes:
            self._servers[prefix] = server_id
            self._servers.move_to_end(prefix)
        while len(self._servers) > max_entries:
            self._servers.popitem(last=False)

    def remove_server(self, server_id: str) -> None:
        """Drop the prefixes of a removed server."""
        stale = [
            prefix
            for prefix, owner in self._servers.items()
            if owner == server_id
        ]
        for prefix in stale:
            del self._servers[prefix]


def rendezvous(
    prefix: int, server_ids: Iterable[str], count: int
) -> list[str]:
    """Return the servers of a prefix by rendezvous hashing.

    All processes get the same servers, so that a prefix shared by programs of
    several processes is computed at few servers.
    """
    return heapq.nlargest(
        count, server_ids, key=lambda server_id: _hash(prefix, server_id)
    )


def _hash(prefix: int, server_id: str) -> int:
    value = (prefix ^ zlib.crc32(server_id.encode())) * _MULTIPLIER & _MASK
    value ^= value >> 32
    return value * _MULTIPLIER & _MASK
