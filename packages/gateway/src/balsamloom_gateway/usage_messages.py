"""Messages in which holders report the usage of budgets to their standbys."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from balsamloom_gateway import ledger_records, usages


class UsageMessage(NamedTuple):
    """Reports of one holder.

    ``is_complete`` says that programs that it never reported are new.
    """

    holder: str
    reports: Sequence[usages.UsageReport]
    is_complete: bool


def encode(message: UsageMessage) -> dict[str, Any]:
    """Encode a message as a JSON object."""
    return {
        "holder": message.holder,
        "claims": [report.usage for report in message.reports],
        "details": [_encode_details(report) for report in message.reports],
        "is_sure": message.is_complete,
    }


def decode(body: Mapping[str, Any]) -> UsageMessage:
    """Decode a message.

    Processes of the release before send no details.

    :raises ValueError: it is malformed.
    """
    try:
        holder = str(body["holder"])
        found = [usages.Usage(*claim) for claim in body["claims"]]
        details = body.get("details") or [
            _older_details({holder: usage.unrecorded_tokens})
            for usage in found
        ]
        reports = [
            _decode_report(usage, fields)
            for usage, fields in zip(found, details, strict=True)
        ]
        return UsageMessage(holder, reports, bool(body["is_sure"]))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(repr(error)) from error


class UsageAnswer(NamedTuple):
    """What a member knows of a program that another one asks about.

    ``report`` is ``None`` if it does not know the program.
    """

    report: usages.UsageReport | None


def encode_answer(answer: UsageAnswer) -> dict[str, Any]:
    """Encode an answer as a JSON object."""
    report = answer.report
    return {
        "claim": report.usage if report else None,
        "details": _encode_details(report) if report else None,
    }


def decode_answer(holder: str, body: Mapping[str, Any]) -> UsageAnswer:
    """Decode the answer of a holder.

    Processes of the release before tell the unrecorded tokens of others by
    holder, and their own only in the sum.

    :raises ValueError: it is malformed.
    """
    try:
        if not body["claim"]:
            return UsageAnswer(None)
        usage = usages.Usage(*body["claim"])
        details = body.get("details")
        if details is None:
            unrecorded = body.get("unrecorded") or {}
            rest = usage.unrecorded_tokens - sum(unrecorded.values())
            details = _older_details({holder: max(rest, 0), **unrecorded})
        return UsageAnswer(_decode_report(usage, details))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(repr(error)) from error


def _encode_details(report: usages.UsageReport) -> dict[str, Any]:
    record = report.record
    return {
        "shares": ledger_records.encode_shares(report.shares),
        "running": ledger_records.encode_running(report.shares),
        "record": ledger_records.encode_fields(record) if record else None,
        "revision": report.revision,
    }


def _decode_report(
    usage: usages.Usage, details: Mapping[str, Any]
) -> usages.UsageReport:
    record = details["record"]
    return usages.UsageReport(
        usage,
        ledger_records.decode_shares(
            details["shares"], details.get("running", {})
        ),
        ledger_records.decode_fields(record) if record else None,
        int(details["revision"]),
    )


def _older_details(unrecorded: Mapping[str, int]) -> dict[str, Any]:
    """Return details in which holders have no share in a record."""
    shares = {holder: (tokens, 0, 1) for holder, tokens in unrecorded.items()}
    return {"shares": shares, "record": None, "revision": 0}
