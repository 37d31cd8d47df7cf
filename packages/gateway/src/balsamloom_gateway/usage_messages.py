"""Messages in which holders report the usage of budgets to their standbys."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from balsamloom_gateway import ledger


class UsageMessage(NamedTuple):
    """Reports of one holder.

    ``is_complete`` says that programs that it never reported are new.
    """

    holder: str
    reports: Sequence[ledger.UsageReport]
    is_complete: bool


def encode(message: UsageMessage) -> dict[str, Any]:
    """Encode a message as a JSON object."""
    return {
        "holder": message.holder,
        "claims": [report.usage for report in message.reports],
        "covered": {
            report.usage.program_id: report.covered_tokens
            for report in message.reports
            if report.covered_tokens
        },
        "revisions": {
            report.usage.program_id: report.revision
            for report in message.reports
        },
        "is_sure": message.is_complete,
    }


def decode(body: Mapping[str, Any]) -> UsageMessage:
    """Decode a message.

    :raises ValueError: it is malformed.
    """
    try:
        # Processes of releases before do not send these fields.
        covered = body.get("covered") or {}
        revisions = body.get("revisions") or {}
        usages = [ledger.Usage(*claim) for claim in body["claims"]]
        reports = [
            ledger.UsageReport(
                usage,
                _decode_tokens(covered.get(usage.program_id, {})),
                int(revisions.get(usage.program_id, 0)),
            )
            for usage in usages
        ]
        return UsageMessage(
            str(body["holder"]), reports, bool(body["is_sure"])
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(repr(error)) from error


def _decode_tokens(tokens: Mapping[str, Any]) -> dict[str, int]:
    return {str(holder): int(count) for holder, count in tokens.items()}
