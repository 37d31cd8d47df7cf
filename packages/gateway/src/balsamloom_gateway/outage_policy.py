"""Decides how many tokens a budget holder may hand out without a record."""

from __future__ import annotations

import enum
from typing import NamedTuple

from balsamloom_gateway import ledger


class OutagePolicy(enum.Enum):
    """Limit of the tokens that a holder may hand out without a record."""

    NONE = "none"
    # While the store does not answer, a part of the budget. A standby must
    # confirm the tokens before a turn gets them.
    OUTAGE = "outage"
    # Like OUTAGE, but only if the primary holder has reported its usage.
    LAST_RESORT = "last_resort"


class Evidence(NamedTuple):
    """What a holder knows of the programs of other holders.

    ``knows_all`` says that a program without an account must be new, and
    ``has_report`` that the program's primary holder has lately reported all
    its usage.
    """

    knows_all: bool
    has_report: bool


def max_unrecorded_tokens(
    account: ledger.Account,
    turn_tokens: int,
    policy: OutagePolicy,
    evidence: Evidence,
) -> int:
    """Return the maximum of a program's unrecorded tokens in an outage.

    :param turn_tokens: tokens of the turn that asks for them.
    """
    limit = account.max_outage_tokens(turn_tokens)
    is_reported = account.has_peer_usage or evidence.has_report
    is_own = account.revision > 0 or evidence.knows_all
    match policy:
        case OutagePolicy.NONE:
            return 0
        case OutagePolicy.OUTAGE:
            return limit if is_own or is_reported else 0
        case OutagePolicy.LAST_RESORT:
            return limit if is_reported else 0
