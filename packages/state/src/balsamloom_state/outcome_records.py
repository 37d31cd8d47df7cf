"""Converts outcomes of calls to records, budget use and errors."""

from __future__ import annotations

import json
from typing import Any

from balsamloom_core import errors, outcomes, results
from balsamloom_state import budgets, journal, programs, records_pb2

# Reserved for the fields of a record other than its texts.
RECORD_OVERHEAD_BYTES = 4_096


def used_amount(outcome: outcomes.Outcome) -> budgets.Amount:
    """Return the part of the budget that a call used.

    :param outcome: outcome of the call.
    """
    match outcome:
        case outcomes.NotRun():
            return budgets.ZERO
        case outcomes.UnknownOutcome():
            return budgets.ONE_CALL
        case (
            outcomes.Completed(generated_tokens=tokens)
            | outcomes.Failed(generated_tokens=tokens)
        ):
            return budgets.Amount(tokens, 1)


def finished_record(
    key: str,
    digest: bytes,
    outcome: outcomes.Outcome,
    new_messages: list[dict[str, Any]],
) -> records_pb2.CallFinished:
    """Build the journal record of a finished call.

    An answer that does not fit into a segment is omitted, and the code becomes
    ``ANSWER_TOO_LARGE``.

    :param key: idempotency key.
    :param digest: digest of the body.
    :param outcome: outcome of the call.
    :param new_messages: messages that the call adds to the history.
    """
    finished = records_pb2.CallFinished(
        key=key, digest=digest, code=int(outcome.code)
    )
    match outcome:
        case outcomes.Completed(body=body):
            finished.answer_json = json.dumps(body).encode()
            if new_messages:
                finished.new_messages_json = json.dumps(new_messages).encode()
        case (
            outcomes.NotRun(message=message)
            | outcomes.Failed(message=message)
            | outcomes.UnknownOutcome(message=message)
        ):
            finished.message = message
    if finished.ByteSize() + RECORD_OVERHEAD_BYTES > journal.MAX_BATCH_BYTES:
        # The call ran, so its end must be recorded even without the answer.
        finished.code = results.ResultCode.ANSWER_TOO_LARGE
        finished.ClearField("answer_json")
        finished.ClearField("new_messages_json")
    return finished


def unrecorded_call(finished: records_pb2.CallFinished) -> programs.Call:
    """Return a finished call that did not run and needs no record.

    :param finished: outcome of the call.
    """
    return programs.Call(
        finished.key,
        finished.digest,
        is_finished=True,
        code=finished.code,
        message=finished.message,
    )


def deposed_error(
    is_claimed: bool, is_not_run: bool
) -> errors.BalsamloomError:
    """Return the error for an outcome that a deposed owner cannot record.

    :param is_claimed: whether the call was claimed.
    :param is_not_run: whether it is certain that the call did not run.
    """
    if is_not_run:
        return errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
    if is_claimed:
        return errors.BalsamloomError(results.ResultCode.OUTCOME_UNKNOWN)
    return errors.BalsamloomError(results.ResultCode.INTERRUPTED)
