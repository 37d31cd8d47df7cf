"""Token budgets of programs, in durable blocks.

Blocks are recorded in the platform's store. Tokens of recorded blocks that
are not known to be unused count as spent, so a crash costs a program at most
the rest of a block.

While the store does not answer, tokens may be handed out before their block
is recorded, if a standby knows of it. A crash then loses none of these
exposed tokens. The most of one turn, by which a budget may be exceeded, covers
the rest of a block that a lost process held.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

# A block is this part of the budget or what a few turns need. Larger blocks
# need fewer records and lose more in a crash.
ALLOCATION_DIVISOR = 8
ALLOCATION_TURNS = 2
# Share of the unrecorded budget that may be exposed while the store is away.
OUTAGE_DIVISOR = 2
# Servers remembered for each program, where its prompt parts may be held.
MAX_RECENT_SERVERS = 3


@dataclasses.dataclass(frozen=True)
class Reservation:
    """The turn may generate up to the reserved number of tokens."""


@dataclasses.dataclass(frozen=True)
class ExhaustedBudget:
    """The budget does not hold one more turn."""

    recorded_tokens: int
    left_tokens: int


@dataclasses.dataclass(frozen=True)
class RequiredAllocation:
    """A block has to be recorded first."""

    tokens: int


class AccountState(NamedTuple):
    """Tokens of a program that a holder has claimed."""

    program_id: str
    budget_tokens: int
    recorded_tokens: int
    unrecorded_tokens: int


class Account:
    """Budget of one program at the process that holds its blocks.

    :param program_id: program.
    :param budget_tokens: tokens that all its turns may generate.
    """

    def __init__(self, program_id: str, budget_tokens: int) -> None:
        self.program_id = program_id
        self.budget_tokens = budget_tokens
        self.recorded_tokens = 0
        # What each other holder has exposed, as far as it told.
        self.peer_unrecorded_tokens: dict[str, int] = {}
        # Blocks that this process recorded itself.
        self.own_recorded_tokens = 0
        self.revision = 0
        self.left_tokens = 0
        self.unrecorded_tokens = 0
        self.in_flight_tokens = 0
        # Blocks whose recording was neither confirmed nor refused.
        self.unconfirmed: dict[str, int] = {}
        self.requested_tokens = 0
        # What each standby knows to be claimed here.
        self.reported_states: dict[str, AccountState] = {}
        # Whether the standbys were asked what they know.
        self.has_queried_standbys = False
        self.max_turn_tokens = 0
        # Whether another process holds the program's blocks. Its turns come
        # here only while that one cannot be reached, so a block is for one
        # turn.
        self.is_secondary = False
        # Whether all processes that knew of exposed tokens may be lost.
        self.may_lack_unrecorded = False
        self.last_used_ms = 0.0
        self.recent_servers: tuple[str, ...] = ()

    @property
    def state(self) -> AccountState:
        """Return what is claimed here."""
        return AccountState(
            self.program_id,
            self.budget_tokens,
            self.recorded_tokens,
            self.unrecorded_tokens,
        )

    @property
    def max_overrun_tokens(self) -> int:
        """Return by how much the program may exceed its budget.

        Another process may not have used up the blocks that it recorded, and
        what is left of them cannot be known here. Lost tokens without a
        record exceed the budget by themselves.
        """
        if self.may_lack_unrecorded:
            return 0
        others = self.recorded_tokens - self.own_recorded_tokens
        return min(max(others, 0), self.max_turn_tokens)

    @property
    def has_peer_state(self) -> bool:
        """Return whether another holder told of the program."""
        return bool(self.peer_unrecorded_tokens)

    def merge_state(self, holder: str, state: AccountState) -> None:
        """Take in what another holder of the program has claimed.

        :param holder: name and incarnation of the other holder. What a lost
            one had exposed stays counted as spent.
        """
        self.peer_unrecorded_tokens[holder] = state.unrecorded_tokens
        self.recorded_tokens = max(self.recorded_tokens, state.recorded_tokens)

    def take_over(self, name: str) -> bool:
        """Take over what a lost holder exposed; return whether it was any.

        It counts as exposed here from now on, so that the next block covers
        it. Until then only the memory of this process knows of it.

        :param name: name of the lost holder.
        """
        lost = [
            holder
            for holder in self.peer_unrecorded_tokens
            if holder.partition("/")[0] == name
        ]
        adopted = sum(
            self.peer_unrecorded_tokens.pop(holder) for holder in lost
        )
        self.unrecorded_tokens += adopted
        return adopted > 0

    def known_state(self) -> AccountState:
        """Return what is known to be claimed, here and elsewhere."""
        unrecorded_tokens = (
            self.unrecorded_tokens + self._total_peer_unrecorded_tokens()
        )
        return self.state._replace(unrecorded_tokens=unrecorded_tokens)

    def outdated_standbys(self, standbys: Iterable[str]) -> list[str]:
        """Return the standbys that do not know what is claimed."""
        return [
            standby
            for standby in standbys
            if self.reported_states.get(standby) != self.state
        ]

    def max_outage_tokens(self) -> int:
        """Return the tokens that may be exposed while the store is away."""
        claimed = self.recorded_tokens + self._total_peer_unrecorded_tokens()
        return (self.budget_tokens - claimed) // OUTAGE_DIVISOR

    def reserve(
        self, tokens: int, max_unrecorded_tokens: int
    ) -> Reservation | ExhaustedBudget | RequiredAllocation:
        """Reserve the most that a turn may generate.

        :param allowance: tokens that may be exposed in all.
        """
        missing = max(tokens - self.left_tokens, 0)
        unallocated = self._unallocated_tokens()
        if missing > unallocated:
            return ExhaustedBudget(self.recorded_tokens, self.left_tokens)
        # The slack is given once, so it has to be recorded first.
        may_expose = missing <= unallocated - self.max_overrun_tokens
        is_allowed = self.unrecorded_tokens + missing <= max_unrecorded_tokens
        if missing and not (may_expose and is_allowed):
            return RequiredAllocation(self._allocation_size(missing))
        self.left_tokens -= tokens - missing
        self.unrecorded_tokens += missing
        self.in_flight_tokens += tokens
        return Reservation()

    def settle(self, reserved_tokens: int, used_tokens: int) -> None:
        """Give back what a turn did not hand to its caller."""
        self.in_flight_tokens -= reserved_tokens
        self._add_unused(reserved_tokens - used_tokens)

    def next_allocation(self, turn_tokens: int) -> int:
        """Return the block to record ahead of the next turn, 0 for none."""
        missing = turn_tokens - self.left_tokens
        if missing <= 0 and not self.unrecorded_tokens:
            return 0
        if self.is_secondary:
            return self.unrecorded_tokens
        if missing > self._unallocated_tokens():
            return self.unrecorded_tokens
        return self._allocation_size(max(missing, 0))

    def apply_record(
        self, total_tokens: int, revision: int, own_tokens: int
    ) -> None:
        """Take in what the store holds.

        :param total_tokens: tokens of all blocks recorded for the program.
        :param revision: revision of the record.
        :param own_tokens: tokens of allocations of this process that were not
            known to be recorded.
        """
        self.recorded_tokens = max(total_tokens, self.recorded_tokens)
        self.revision = revision
        self.requested_tokens = 0
        self.own_recorded_tokens += own_tokens
        self._add_unused(own_tokens)

    def _total_peer_unrecorded_tokens(self) -> int:
        """Return what other holders have exposed."""
        return sum(self.peer_unrecorded_tokens.values())

    def _unallocated_tokens(self) -> int:
        """Return the budget that is neither recorded nor exposed."""
        state = self.known_state()
        limit = self.budget_tokens + self.max_overrun_tokens
        return limit - state.recorded_tokens - state.unrecorded_tokens

    def _allocation_size(self, missing: int) -> int:
        """Return the size of a block that covers what is exposed as well."""
        needed = missing + self.unrecorded_tokens
        if self.is_secondary:
            return needed
        remaining = self._unallocated_tokens() + self.unrecorded_tokens
        usual = max(
            self.budget_tokens // ALLOCATION_DIVISOR,
            ALLOCATION_TURNS * self.max_turn_tokens,
        )
        return min(max(needed, usual), max(remaining, needed))

    def _add_unused(self, tokens: int) -> None:
        covered = min(max(tokens, 0), self.unrecorded_tokens)
        self.unrecorded_tokens -= covered
        self.left_tokens += tokens - covered


def add_recent_server(
    servers: tuple[str, ...], server_id: str
) -> tuple[str, ...]:
    """Return a program's recent servers with the latest first."""
    rest = [known for known in servers if known != server_id]
    return (server_id, *rest)[:MAX_RECENT_SERVERS]
