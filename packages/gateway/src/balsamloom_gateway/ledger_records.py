"""Stored records of the allocations of program budgets."""

from __future__ import annotations

import json
from typing import NamedTuple

from balsamloom_gateway import interfaces, json_parsing, ledger


class Allocation(NamedTuple):
    """Allocation to record; negative ``tokens`` return unused ones."""

    account: ledger.Account
    key: str
    name: str
    tokens: int
    total_tokens: int


class Record(NamedTuple):
    """A program's record.

    ``tokens`` are those of all allocations, ``name`` is that of the latest
    one, and ``lost_tokens`` may have been handed out beyond them.
    """

    tokens: int
    name: str
    lost_tokens: int = 0


def apply_recorded(allocation: Allocation, revision: int) -> None:
    """Add a recorded allocation to its account."""
    account = allocation.account
    account.unconfirmed.pop(allocation.name, None)
    own_tokens = max(allocation.tokens, 0)
    account.apply_record(allocation.total_tokens, revision, own_tokens)


def encode(allocation: Allocation) -> bytes:
    """Encode the program's record with its latest allocation."""
    record = {"tokens": allocation.total_tokens, "block": allocation.name}
    lost_tokens = allocation.account.max_lost_tokens
    if lost_tokens:
        record["lost"] = lost_tokens
    return json.dumps(record, separators=(",", ":")).encode()


def decode(item: interfaces.Item | None) -> Record | None:
    """Decode a program's record; return ``None`` if it cannot be read."""
    if item is None:
        return Record(0, "")
    try:
        record = json_parsing.parse(item.value)
        return Record(
            int(record["tokens"]),
            str(record["block"]),
            int(record.get("lost", 0)),
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
    ):
        return None
