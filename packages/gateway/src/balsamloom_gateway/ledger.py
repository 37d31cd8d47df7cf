"""Token budgets of programs, in durable blocks.

Blocks are recorded in the platform's store. Tokens of recorded blocks that
are not known to be unused count as spent, so a crash costs a program at most
the rest of a block.

Tokens may be handed out before their block is recorded, up to an allowance.
These exposed tokens are what a crash can lose. A budget may be exceeded by
the most of one turn, so an allowance of one turn is always safe. A larger one
is given only while the store does not answer; a process that may follow on a
crash then counts as much of the budget as spent (:func:`presumed_tokens`).
"""

from __future__ import annotations

import dataclasses

# A first block covers a quarter of the budget: most programs need two or
# three blocks, and a crash costs a program at most one.
BLOCK_SHARE = 4
# Share of the unrecorded budget that may be exposed while the store is away.
OUTAGE_SHARE = 2
# Servers remembered for each program, where its prompt parts may be held.
RECENT_SERVERS = 3


@dataclasses.dataclass(frozen=True)
class Reserved:
    """The turn may generate up to the reserved number of tokens."""


@dataclasses.dataclass(frozen=True)
class Exhausted:
    """The budget does not hold one more turn."""

    recorded_tokens: int
    left_tokens: int


@dataclasses.dataclass(frozen=True)
class BlockNeeded:
    """A block has to be recorded first."""

    tokens: int


def presumed_tokens(budget_tokens: int, turn_tokens: int) -> int:
    """Return what a lost process may have handed out in an outage.

    One turn less is presumed, because a budget may be exceeded by one turn.
    """
    return max(budget_tokens // OUTAGE_SHARE - turn_tokens, 0)


class Account:
    """Budget of one program at the process that holds its blocks.

    :param program_id: program.
    :param budget_tokens: tokens that all its turns may generate.
    """

    def __init__(self, program_id: str, budget_tokens: int) -> None:
        self.program_id = program_id
        self.budget_tokens = budget_tokens
        self.recorded_tokens = 0
        self.presumed_tokens = 0
        self.revision = 0
        self.left_tokens = 0
        self.exposed_tokens = 0
        self.in_flight_tokens = 0
        # Blocks whose recording was neither confirmed nor refused.
        self.unconfirmed: dict[str, int] = {}
        self.wanted_tokens = 0
        self.used_ms = 0.0
        self.servers: tuple[str, ...] = ()

    def outage_allowance(self) -> int:
        """Return the tokens that may be exposed while the store is away."""
        return (self.budget_tokens - self.recorded_tokens) // OUTAGE_SHARE

    def reserve(
        self, tokens: int, allowance: int
    ) -> Reserved | Exhausted | BlockNeeded:
        """Reserve the most that a turn may generate.

        :param allowance: tokens that may be exposed in all.
        """
        missing = max(tokens - self.left_tokens, 0)
        if missing > self._unclaimed_tokens():
            return Exhausted(self.recorded_tokens, self.left_tokens)
        if missing and self.exposed_tokens + missing > allowance:
            return BlockNeeded(self._block(missing))
        self.left_tokens -= tokens - missing
        self.exposed_tokens += missing
        self.in_flight_tokens += tokens
        return Reserved()

    def settle(self, reserved_tokens: int, used_tokens: int) -> None:
        """Give back what a turn did not hand to its caller."""
        self.in_flight_tokens -= reserved_tokens
        self._add_left(reserved_tokens - used_tokens)

    def next_block(self, turn_tokens: int) -> int:
        """Return the block to record ahead of the next turn, 0 for none."""
        missing = turn_tokens - self.left_tokens
        if missing <= 0 and not self.exposed_tokens:
            return 0
        if missing > self._unclaimed_tokens():
            return self.exposed_tokens
        return self._block(max(missing, 0))

    def recorded(self, total_tokens: int, revision: int, own: int) -> None:
        """Take in what the store holds.

        :param total_tokens: tokens of all blocks recorded for the program.
        :param revision: revision of the record.
        :param own: tokens of blocks that belong to this process and were not
            known to be recorded.
        """
        self.recorded_tokens = total_tokens
        self.revision = revision
        self.wanted_tokens = 0
        self._add_left(own)

    def _unclaimed_tokens(self) -> int:
        """Return the budget that is neither recorded nor exposed."""
        return self.budget_tokens - self.recorded_tokens - self.exposed_tokens

    def _block(self, missing: int) -> int:
        """Return the size of a block that covers what is exposed as well."""
        needed = missing + self.exposed_tokens
        unrecorded = self.budget_tokens - self.recorded_tokens
        usual = self.budget_tokens // BLOCK_SHARE
        return min(max(needed, usual), max(unrecorded, needed))

    def _add_left(self, tokens: int) -> None:
        covered = min(max(tokens, 0), self.exposed_tokens)
        self.exposed_tokens -= covered
        self.left_tokens += tokens - covered


def note_server(servers: tuple[str, ...], server_id: str) -> tuple[str, ...]:
    """Return a program's recent servers with the latest first."""
    rest = [known for known in servers if known != server_id]
    return (server_id, *rest)[:RECENT_SERVERS]
