"""Records of programs' budgets in the platform's store."""

from __future__ import annotations

import json
from typing import NamedTuple

from balsamloom_gateway import interfaces, ledger


class Block(NamedTuple):
    """Block that is being recorded."""

    account: ledger.Account
    key: str
    name: str
    tokens: int
    total_tokens: int


def take_recorded(block: Block, revision: int) -> None:
    """Add a block to its account, now that it is recorded."""
    account = block.account
    account.unconfirmed.pop(block.name, None)
    own = max(block.tokens, 0)
    account.recorded(block.total_tokens, revision, own)


def encode(block: Block) -> bytes:
    """Return the record that contains a block."""
    record = {"tokens": block.total_tokens, "block": block.name}
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
