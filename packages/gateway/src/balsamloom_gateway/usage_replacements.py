"""Storage hosts that are gone, and of which another one has all entries.

This module performs no I/O.
"""

from __future__ import annotations

import threading
from collections.abc import Collection


class UsageReplacements:
    """Knows of which hosts that are gone this host has all usage entries.

    An entry lies on several hosts. What a host stored is here once all the
    others have been read after it went. Of two hosts that went at the same
    time, nobody may have a copy.

    :param replaced: hosts that an earlier process of this host replaced.
    """

    def __init__(self, replaced: frozenset[str] = frozenset()) -> None:
        self._lock = threading.Lock()
        self._replaced = replaced

    def hosts(self) -> tuple[str, ...]:
        """Return the names of the hosts that are gone and replaced."""
        return tuple(sorted(self._replaced))

    def merge(self, replaced: Collection[str]) -> None:
        """Add what a host, all entries of which were fetched, replaces."""
        with self._lock:
            self._replaced |= frozenset(replaced)

    def update(self, read: Collection[str], down: Collection[str]) -> None:
        """Handle a round in which the entries of other hosts were read.

        :param read: hosts of which all entries were fetched.
        :param down: hosts that have not answered for some rounds.
        """
        with self._lock:
            self._replaced -= frozenset(read)
            unknown = frozenset(down) - self._replaced
            if len(unknown) == 1:
                self._replaced |= unknown

    def includes(self, names: Collection[str]) -> bool:
        """Return whether all of some hosts are replaced."""
        return frozenset(names) <= self._replaced
