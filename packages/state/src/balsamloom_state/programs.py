"""State of programs and their calls, computed from their records."""

from __future__ import annotations

import dataclasses
import json
import threading
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import identifiers, results
from balsamloom_state import budgets, journal, locks, records_pb2


@dataclasses.dataclass
class Call:
    """One call of a program.

    A call without ``is_finished`` is claimed and may be running. ``batch``
    contains the record of the result; it is ``None`` after a replay, which
    reads durable records only.
    """

    key: str
    digest: bytes
    is_finished: bool = False
    code: int = 0
    answer: dict[str, Any] = dataclasses.field(default_factory=dict)
    message: str = ""
    timeout_ms: int = 0
    claimed_ms: float = 0.0
    batch: journal.Batch | None = dataclasses.field(default=None, repr=False)

    @property
    def is_durable(self) -> bool:
        """Return whether the result is durable."""
        if self.batch is None:
            return True
        return isinstance(self.batch.state, journal.Durable)


class Program:
    """History and calls of one program.

    ``call_lock`` is held for a whole call, so the calls run one at a time in
    order of arrival; ``lock`` protects the fields and is held briefly.
    ``holds`` maps the keys of calls in progress to their part of the budget;
    ``reserve_batch`` is the batch that carries the newest reservation.
    ``base_version`` is that of the start record or the newest snapshot;
    records below it are not needed to rebuild the program.

    :param program_id: identifier of the program.
    :param clock: time source of waits for ``call_lock``.
    """

    def __init__(
        self, program_id: str, clock: clocks.Clock | None = None
    ) -> None:
        self.program_id = program_id
        self.version = 0
        self.base_version = 0
        self.customer = ""
        self.workspace = ""
        self.parent_id = ""
        self.root_id = program_id
        self.is_urgent = False
        self.is_ended = False
        self.is_forgotten = False
        self.has_gap = False
        self.end_code = 0
        self.ended_ms = 0.0
        self.attained_ms = 0
        self.blocked_until_ms = 0.0
        self.messages: list[dict[str, Any]] = []
        self.calls: dict[str, Call] = {}
        self.account = budgets.Account(budgets.Limits())
        self.holds: dict[str, budgets.Amount] = {}
        self.reserve_batch: journal.Batch | None = None
        self.call_lock = locks.FifoLock(clock)
        self.lock = threading.RLock()
        self._chunks: dict[int, bytes] = {}
        self._history_bytes = 0

    @property
    def has_initial_state(self) -> bool:
        """Return whether a start record or a snapshot was applied."""
        return self.base_version > 0

    def apply(self, record: records_pb2.Record, now_ms: float = 0.0) -> bool:
        """Apply a record if its version is higher than the program's.

        :param record: record of this program.
        :param now_ms: start time of durations in the record.
        :return: whether the record was new.
        """
        if record.program_id != self.program_id:
            raise ValueError(
                f"record of program {record.program_id!r} applied to "
                f"program {self.program_id!r}"
            )
        if record.version <= self.version:
            return False
        kind = record.WhichOneof("kind")
        if kind == "snapshot":
            return self._apply_snapshot(record, now_ms)
        if kind != "started" and record.version != self.version + 1:
            self.has_gap = True
        self.version = record.version
        self._apply_kind(kind, record, now_ms)
        return True

    def _apply_kind(
        self, kind: str | None, record: records_pb2.Record, now_ms: float
    ) -> None:
        match kind:
            case "started":
                self.base_version = record.version
                self._apply_started(record.started, now_ms)
            case "claimed":
                self._apply_claimed(record.claimed, now_ms)
            case "finished":
                self._apply_finished(record.finished, now_ms)
            case "unknown":
                self._apply_unknown(record.unknown, now_ms)
            case "reserved":
                reserved = record.reserved
                self.account.load(reserved.used, reserved.reserved, now_ms)
            case "ended":
                self._apply_ended(record.ended.code, now_ms)
            case "forgotten":
                self.is_forgotten = True

    def history_bytes(self) -> int:
        """Return the size of the history as JSON text."""
        return self._history_bytes

    def claimed_without_result(self) -> list[Call]:
        """Return the claimed calls that have no recorded result."""
        return [call for call in self.calls.values() if not call.is_finished]

    def mark_unknown(self, call: Call, blocked_until_ms: float) -> None:
        """Finish a claimed call with an unknown outcome.

        :param call: claimed call.
        :param blocked_until_ms: time until which the call may still run.
        """
        call.is_finished = True
        call.code = results.ResultCode.OUTCOME_UNKNOWN
        self.blocked_until_ms = max(self.blocked_until_ms, blocked_until_ms)

    def _apply_started(
        self, started: records_pb2.ProgramStarted, now_ms: float
    ) -> None:
        self.customer = started.customer
        self.workspace = started.workspace
        self.parent_id = started.parent_id
        self.root_id = started.root_id or self.program_id
        self.is_urgent = started.urgent
        budget = started.budget
        self.account = budgets.Account(
            budgets.Limits(
                budget.generated_tokens, budget.calls, budget.wall_ms
            )
        )
        self.account.load(records_pb2.Budget(), started.reserved, now_ms)

    def _apply_claimed(
        self, claimed: records_pb2.CallClaimed, now_ms: float
    ) -> None:
        call = Call(claimed.key, claimed.digest)
        call.timeout_ms = claimed.timeout_ms
        call.claimed_ms = now_ms
        self.calls[claimed.key] = call

    def _apply_finished(
        self, finished: records_pb2.CallFinished, now_ms: float
    ) -> None:
        call = self.calls.setdefault(
            finished.key, Call(finished.key, finished.digest)
        )
        call.is_finished = True
        call.code = finished.code
        call.message = finished.message
        if finished.answer_json:
            call.answer = json.loads(finished.answer_json)
        if finished.new_messages_json and not self.is_ended:
            self.messages.extend(json.loads(finished.new_messages_json))
            self._history_bytes += len(finished.new_messages_json)
        self.attained_ms += finished.service_ms
        if finished.blocked_ms:
            end_ms = now_ms + finished.blocked_ms
            self.blocked_until_ms = max(self.blocked_until_ms, end_ms)
        if finished.HasField("used"):
            self.account.load(finished.used, finished.reserved, now_ms)

    def _apply_unknown(
        self, unknown: records_pb2.CallUnknown, now_ms: float
    ) -> None:
        call = self.calls.setdefault(unknown.key, Call(unknown.key, b""))
        self.mark_unknown(call, now_ms + unknown.blocked_ms)

    def _apply_ended(self, code: int, now_ms: float) -> None:
        self.is_ended = True
        self.end_code = code
        self.ended_ms = now_ms
        self.messages = []

    def _apply_snapshot(
        self, record: records_pb2.Record, now_ms: float
    ) -> bool:
        snapshot = record.snapshot
        if snapshot.part_count > 1:
            joined = self._join_parts(snapshot)
            if joined is None:
                return False
            snapshot = joined
        self.version = self.base_version = record.version
        self.has_gap = False
        self.is_forgotten = False
        self._load(snapshot, now_ms)
        return True

    def _join_parts(
        self, part: records_pb2.ProgramSnapshot
    ) -> records_pb2.ProgramSnapshot | None:
        if part.part == 0:
            self._chunks = {}
        self._chunks[part.part] = part.chunk
        if len(self._chunks) < part.part_count:
            return None
        chunks = [self._chunks[number] for number in range(part.part_count)]
        self._chunks = {}
        return records_pb2.ProgramSnapshot.FromString(b"".join(chunks))

    def _load(
        self, snapshot: records_pb2.ProgramSnapshot, now_ms: float
    ) -> None:
        self._apply_started(snapshot.started, now_ms)
        self.account.load(snapshot.used, snapshot.reserved, now_ms)
        self.messages = json.loads(snapshot.messages_json or b"[]")
        self._history_bytes = len(snapshot.messages_json)
        self.calls = {
            result.key: _to_call(result, now_ms) for result in snapshot.calls
        }
        self.attained_ms = snapshot.attained_ms
        self.blocked_until_ms = now_ms + snapshot.blocked_ms
        self.is_ended = False
        if snapshot.is_ended:
            self._apply_ended(snapshot.end_code, now_ms)


def _to_call(result: records_pb2.CallResult, now_ms: float) -> Call:
    return Call(
        result.key,
        result.digest,
        is_finished=not result.is_claimed,
        code=result.code,
        answer=json.loads(result.answer_json or b"{}"),
        message=result.message,
        timeout_ms=result.timeout_ms,
        claimed_ms=now_ms,
    )


class ProgramTable:
    """Programs that this member owns.

    :param clock: time source of the programs.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._programs: dict[str, Program] = {}

    def get(self, program_id: str) -> Program | None:
        """Return a program, or ``None`` if this member does not have it."""
        with self._lock:
            return self._programs.get(program_id)

    def add(self, program: Program) -> None:
        """Add a program; it replaces one with the same identifier."""
        with self._lock:
            self._programs[program.program_id] = program

    def remove(self, program_id: str) -> None:
        """Remove a program if it is present."""
        with self._lock:
            self._programs.pop(program_id, None)

    def all(self) -> list[Program]:
        """Return all programs."""
        with self._lock:
            return list(self._programs.values())

    def in_partition(self, partition: int) -> list[Program]:
        """Return the programs of a partition."""
        return [
            program
            for program in self.all()
            if identifiers.partition_of(program.program_id) == partition
        ]
