"""What the holders of a program tell each other of its usage."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from balsamloom_gateway import ledger_records


class Usage(NamedTuple):
    """Usage of a program's budget as one holder knows it.

    ``recorded_tokens`` are those that all holders have allocated in the
    program's record, ``unrecorded_tokens`` those handed out beyond it. Holders
    exchange the fields as a list in this order.
    """

    program_id: str
    budget_tokens: int
    recorded_tokens: int
    unrecorded_tokens: int


class UsageReport(NamedTuple):
    """Usage that a holder reports, with the shares of all that it knows of.

    ``allocated_tokens`` of these shares are those handed out. ``record`` is
    the program's record at ``revision``, if the holder has read it.
    """

    usage: Usage
    shares: Mapping[str, ledger_records.Share]
    record: ledger_records.Record | None = None
    revision: int = 0


class StandbyAnswers(NamedTuple):
    """What the other holders of a program know of it.

    ``report`` is ``None`` if none of them knows the program. That proves
    nothing unless ``is_complete``: all members that may know it have answered.
    """

    report: UsageReport | None
    is_complete: bool


def merge_shares(
    known: dict[str, ledger_records.Share],
    others: Mapping[str, ledger_records.Share],
) -> None:
    """Add the reported shares that others know, unless they are older."""
    for holder, share in others.items():
        if holder not in known or known[holder].sequence <= share.sequence:
            known[holder] = share
