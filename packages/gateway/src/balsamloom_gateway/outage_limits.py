"""Limit of the tokens that a program gets in an outage of the store."""

from __future__ import annotations

# In an outage of the store, ``1 / OUTAGE_DIVISOR`` of the budget that is not
# known to be used may be handed out, recorded or not. Programs without a
# record get less: those that begin after a loss cannot be told from them.
OUTAGE_DIVISOR = 2
NEW_PROGRAM_OUTAGE_DIVISOR = 4


def max_handed_out_tokens(
    budget_tokens: int,
    used_tokens: int,
    recorded_tokens: int,
    turn_tokens: int,
) -> int:
    """Return the maximum of the tokens that are handed out in an outage.

    :param used_tokens: tokens that the record tells to be used.
    :param recorded_tokens: tokens of all shares in the record.
    :param turn_tokens: tokens of the turn that asks for them.
    """
    divisor = OUTAGE_DIVISOR
    if not recorded_tokens:
        divisor = NEW_PROGRAM_OUTAGE_DIVISOR
    return max(turn_tokens, (budget_tokens - used_tokens) // divisor)
