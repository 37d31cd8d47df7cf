"""Records of programs' budgets in the platform's store."""

from __future__ import annotations

import json
from typing import NamedTuple

from balsamloom_gateway import interfaces, ledger


class Allocation(NamedTuple):
    """Block that is being recorded."""

    account: ledger.Account
    key: str
    name: str
    tokens: int
    total_tokens: int


def apply_recorded(allocation: Allocation, revision: int) -> None:
    """Add a block to its account, now that it is recorded."""
    account = allocation.account
    account.unconfirmed.pop(allocation.name, None)
    own = max(allocation.tokens, 0)
    account.apply_record(allocation.total_tokens, revision, own)


def encode(allocation: Allocation) -> bytes:
    """Return the record that contains a block."""
    record = {"tokens": allocation.total_tokens, "block": allocation.name}
    return json.dumps(record, separators=(",", ":")).encode()


def decode(item: interfaces.Item | None) -> tuple[int, str] | None:
    """Return the tokens of all recorded blocks and the latest block's name.

    :return: ``None`` if the record cannot be read.
    """
    if item is None:
        return 0, ""
    try:
        record = json.loads(item.value)
        return int(record["tokens"]), str(record["block"])
    except (ValueError, KeyError, TypeError):
        return None
