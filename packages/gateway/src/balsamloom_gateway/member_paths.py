"""What other members say of their paths to the backend servers.

This module performs no I/O.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Collection, Iterable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import traffic

# Members repeat their statements with each heartbeat.
MAX_STATEMENT_AGE_MS = 1_500.0


class _Statement(NamedTuple):
    has_path: bool
    said_ms: float


class MemberPaths:
    """Statements of members whether they reach backend servers.

    :param clock: time source.
    :param generator: spreads requests over the members.
    """

    def __init__(self, clock: clocks.Clock, generator: random.Random) -> None:
        self._clock = clock
        self._generator = generator
        self._lock = threading.Lock()
        self._statements: dict[str, _Statement] = {}

    def record(self, member: str, has_path: bool) -> None:
        """Record a statement of a member about itself."""
        statement = _Statement(has_path, self._clock.now_ms())
        with self._lock:
            self._statements[member] = statement

    def order(
        self,
        members: Iterable[traffic.Member],
        excluded: Collection[str],
    ) -> list[traffic.Member]:
        """Return the members that may reach servers, in random order.

        Those that say so come first, then those that have said nothing.
        """
        usable = [one for one in members if one.name not in excluded]
        self._generator.shuffle(usable)
        oldest_ms = self._clock.now_ms() - MAX_STATEMENT_AGE_MS
        with self._lock:
            self._statements = {
                name: statement
                for name, statement in self._statements.items()
                if statement.said_ms >= oldest_ms
            }
            said = {
                name: statement.has_path
                for name, statement in self._statements.items()
            }
        with_path = [one for one in usable if said.get(one.name)]
        unknown = [one for one in usable if one.name not in said]
        return [*with_path, *unknown]
