"""Answers to a turn that asks its program's account for tokens."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Success: the turn may generate the requested number of tokens."""


@dataclasses.dataclass(frozen=True)
class Exhaustion:
    """Refusal: the rest of the budget is too small for the turn."""

    recorded_tokens: int
    left_tokens: int


class Doubt(enum.Enum):
    """Tokens that may turn out to be unused, so that the turn would fit."""

    RUNNING_TURNS = "running_turns"
    OTHER_HOLDERS = "other_holders"


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """Refusal for now: the turn fits only if some tokens are unused."""

    doubt: Doubt


@dataclasses.dataclass(frozen=True)
class RequiredAllocation:
    """Allocation that must be recorded before the turn may run."""

    tokens: int
