"""Priority of a call at an engine, by the time that its program has left.

For load beyond what the engines take at a time. A turn whose program is
nearly late goes before one that has seconds to spare, and a program that
cannot end in time any more yields to those that can.

Imports no settings or schemas, as edge processes import it at their start.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

# Priorities of an engine run from 0, served first, to this one.
LAST_PRIORITY = 9
# Bands of a rank: little time left, enough, and much.
BANDS = 3
# Ranks that have bands of their own; later ones share the last.
MAX_RANK = LAST_PRIORITY // BANDS - 1
# Time left, in durations of the turn, below which it is little or enough.
LITTLE_TIME_TURNS = 4.0
ENOUGH_TIME_TURNS = 12.0
# A late program yields for this time, then it is served again at the end of
# its rank, so that it does not starve.
MAX_YIELD_MS = 2_000.0
# Share of the programs that go first in their rank, whatever time they have.
# By time left alone, a lasting overload would serve hardly any long program:
# each of its turns waits behind those of programs that began later.
FAVOURED_SHARE = 0.35


class ProgramTime(NamedTuple):
    """Time that a program has left, and the estimate of its next turn.

    ``left_ms`` is negative after the program's deadline.
    """

    program_id: str
    left_ms: float
    turn_ms: float

    @property
    def is_late(self) -> bool:
        """Return whether the program cannot end in time any more."""
        return self.left_ms < self.turn_ms

    @property
    def is_favoured(self) -> bool:
        """Return whether all turns of the program go first in their rank.

        All processes agree on it without a message.
        """
        draw = zlib.crc32(self.program_id.encode()) / (1 << 32)
        return draw < FAVOURED_SHARE


def engine_priority(call_rank: int, time: ProgramTime | None) -> int:
    """Return the priority of a call at an engine; 0 is served first.

    :param call_rank: priority of the workspace or the route; lower values are
        more urgent.
    :param time: ``None`` if the program's deadline is not known.
    """
    first = BANDS * min(max(call_rank, 0), MAX_RANK)
    if time is None:
        return first + 1
    if time.is_late and time.left_ms > -MAX_YIELD_MS:
        return LAST_PRIORITY
    return first + _band(time)


def _band(time: ProgramTime) -> int:
    if time.is_late:
        return BANDS - 1
    if time.is_favoured or time.left_ms < LITTLE_TIME_TURNS * time.turn_ms:
        return 0
    if time.left_ms < ENOUGH_TIME_TURNS * time.turn_ms:
        return 1
    return BANDS - 1
