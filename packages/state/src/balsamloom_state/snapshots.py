"""Snapshots: the complete state of a program as records."""

from __future__ import annotations

import json

from balsamloom_state import budgets, programs, records_pb2

# Leaves space for other records in the same segment.
MAX_PART_BYTES = 500_000


def take(
    program: programs.Program, epoch: int, now_ms: float
) -> list[records_pb2.Record]:
    """Return a snapshot of the program, split into parts if it is large.

    All parts have the program's next version and take effect once the last
    one is read. The caller holds the program's lock.

    :param program: program to copy; it is not changed.
    :param epoch: epoch of the partition that is written to the records.
    :param now_ms: time at which durations are measured.
    """
    snapshot = _program_snapshot(program, now_ms)
    version = program.version + 1
    if snapshot.ByteSize() <= MAX_PART_BYTES:
        return [_record(program, version, epoch, snapshot)]
    raw = snapshot.SerializeToString()
    chunks = [
        raw[start : start + MAX_PART_BYTES]
        for start in range(0, len(raw), MAX_PART_BYTES)
    ]
    return [
        _record(
            program,
            version,
            epoch,
            records_pb2.ProgramSnapshot(
                part=number, part_count=len(chunks), chunk=chunk
            ),
        )
        for number, chunk in enumerate(chunks)
    ]


def _record(
    program: programs.Program,
    version: int,
    epoch: int,
    snapshot: records_pb2.ProgramSnapshot,
) -> records_pb2.Record:
    return records_pb2.Record(
        program_id=program.program_id,
        version=version,
        epoch=epoch,
        snapshot=snapshot,
    )


def _program_snapshot(
    program: programs.Program, now_ms: float
) -> records_pb2.ProgramSnapshot:
    account = program.account
    return records_pb2.ProgramSnapshot(
        started=_program_started(program),
        messages_json=json.dumps(program.messages).encode(),
        calls=[_call_result(call) for call in program.calls.values()],
        used=budgets.to_record(account.used, account.wall_ms(now_ms)),
        reserved=budgets.to_record(account.reserved),
        is_ended=program.is_ended,
        end_code=program.end_code,
        attained_ms=program.attained_ms,
        blocked_ms=round(max(program.blocked_until_ms - now_ms, 0)),
    )


def _program_started(program: programs.Program) -> records_pb2.ProgramStarted:
    limits = program.account.limits
    return records_pb2.ProgramStarted(
        customer=program.customer,
        workspace=program.workspace,
        parent_id=program.parent_id,
        root_id=program.root_id,
        urgent=program.is_urgent,
        budget=records_pb2.Budget(
            generated_tokens=limits.generated_tokens,
            calls=limits.calls,
            wall_ms=limits.wall_ms,
        ),
    )


def _call_result(call: programs.Call) -> records_pb2.CallResult:
    return records_pb2.CallResult(
        key=call.key,
        digest=call.digest,
        code=call.code,
        answer_json=json.dumps(call.answer).encode(),
        is_claimed=not call.is_finished,
        timeout_ms=call.timeout_ms,
        message=call.message,
    )


def forgotten_record(
    program: programs.Program, epoch: int
) -> records_pb2.Record:
    """Return a record that invalidates earlier records of a program.

    :param program: program that the partition no longer has.
    :param epoch: epoch of the partition that is written to the record.
    """
    return records_pb2.Record(
        program_id=program.program_id,
        version=program.version + 1,
        epoch=epoch,
        forgotten=records_pb2.ProgramForgotten(),
    )
