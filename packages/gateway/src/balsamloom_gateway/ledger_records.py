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


def apply_recorded(allocation: Allocation, revision: int) -> None:
    """Add a recorded allocation to its account."""
    account = allocation.account
    account.unconfirmed.pop(allocation.name, None)
    own_tokens = max(allocation.tokens, 0)
    account.apply_record(allocation.total_tokens, revision, own_tokens)


def encode(allocation: Allocation) -> bytes:
    """Encode the program's record with its latest allocation."""
    record = {"tokens": allocation.total_tokens, "block": allocation.name}
    return json.dumps(record, separators=(",", ":")).encode()


def decode(item: interfaces.Item | None) -> tuple[int, str] | None:
    """Decode a program's record.

    :return: tokens of all allocations and the name of the latest one, or
        ``None`` if the record cannot be read.
    """
    if item is None:
        return 0, ""
    try:
        record = json_parsing.parse(item.value)
        return int(record["tokens"]), str(record["block"])
    except (ValueError, KeyError, TypeError):
        return None
