"""Durable entries of the tokens that budget holders hand out.

A holder writes an entry before a turn runs whose tokens the program's record
in the store does not show. So a successor knows them also after the loss of
all processes that did.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from balsamloom_conversations import usage_entries
from balsamloom_gateway import ledger_records

UsageEntry = usage_entries.UsageEntry


class JournalAnswer(NamedTuple):
    """Entries of a program, the newest of each holder.

    ``settlements`` maps ids of reservations to the tokens that their turns
    used, for turns that ended whole. Without ``is_complete``, entries may be
    missing.
    """

    entries: tuple[UsageEntry, ...]
    is_complete: bool
    settlements: Mapping[str, int] = {}


def entry_of(
    program_id: str, holder_id: str, share: ledger_records.Share
) -> UsageEntry:
    """Return what a holder's share tells of its turns, as an entry."""
    return UsageEntry(
        program_id,
        holder_id,
        tuple(share.running.items()),
        share.used_tokens,
        share.sequence,
    )


def share_of(entry: UsageEntry) -> ledger_records.Share:
    """Return an entry as the report of a share."""
    running = dict(entry.running)
    handed_out_tokens = entry.used_tokens + sum(running.values())
    return ledger_records.Share(
        handed_out_tokens, entry.used_tokens, entry.sequence, running
    )


class UsageJournal(Protocol):
    """Journal of usage entries."""

    def write(self, entries: Sequence[UsageEntry]) -> bool:
        """Write entries; return whether they are durable now."""

    def read(self, program_id: str) -> JournalAnswer:
        """Return the entries of a program."""


class NoJournal:
    """Journal of a deployment without storage hosts."""

    def write(self, entries: Sequence[UsageEntry]) -> bool:
        """Return false, as no host can store them."""
        return False

    def read(self, program_id: str) -> JournalAnswer:
        """Return no entries, of which none can exist."""
        return JournalAnswer((), is_complete=True)
