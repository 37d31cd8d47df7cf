"""Programs and their calls, rebuilt by applying records in order."""

from __future__ import annotations

import dataclasses
import json
import threading
from collections.abc import Iterable
from typing import Any

from balsamloom_core import results
from balsamloom_state import records_pb2


@dataclasses.dataclass
class Call:
    """One call of a program."""

    key: str
    digest: bytes
    is_finished: bool = False
    code: int = 0
    answer: dict[str, Any] = dataclasses.field(default_factory=dict)
    message: str = ""
    timeout_ms: int = 0


class Program:
    """History and calls of one program.

    ``order`` is held by the call in progress, so calls run in order.

    :param program_id: identifier of the program.
    """

    def __init__(self, program_id: str) -> None:
        self.program_id = program_id
        self.version = 0
        self.customer = ""
        self.workspace = ""
        self.is_ended = False
        self.messages: list[dict[str, Any]] = []
        self.calls: dict[str, Call] = {}
        self.order = threading.Lock()

    def apply(self, record: records_pb2.Record) -> bool:
        """Apply one record.

        :param record: record of this program.
        :return: whether the record was new.
        """
        if record.version <= self.version:
            return False
        self.version = record.version
        match record.WhichOneof("kind"):
            case "started":
                self.customer = record.started.customer
                self.workspace = record.started.workspace
            case "claimed":
                claimed = record.claimed
                call = Call(claimed.key, claimed.digest)
                call.timeout_ms = claimed.timeout_ms
                self.calls[claimed.key] = call
            case "finished":
                self._finish(record.finished)
            case "ended":
                self.is_ended = True
                self.messages = []
        return True

    def _finish(self, finished: records_pb2.CallFinished) -> None:
        call = self.calls.setdefault(
            finished.key, Call(finished.key, finished.digest)
        )
        call.is_finished = True
        call.code = finished.code
        call.message = finished.message
        if finished.answer_json:
            call.answer = json.loads(finished.answer_json)
        if finished.new_messages_json:
            self.messages.extend(json.loads(finished.new_messages_json))

    def claimed_without_result(self) -> list[Call]:
        """Return the calls whose outcome is unknown after a take-over."""
        return [call for call in self.calls.values() if not call.is_finished]


class ProgramTable:
    """Programs that this member owns."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._programs: dict[str, Program] = {}

    def get(self, program_id: str) -> Program | None:
        """Return a program."""
        with self._lock:
            return self._programs.get(program_id)

    def apply(self, record: records_pb2.Record) -> Program:
        """Apply a record to its program, which is made if it is new."""
        with self._lock:
            program = self._programs.setdefault(
                record.program_id, Program(record.program_id)
            )
        program.apply(record)
        return program

    def replay(self, records: Iterable[records_pb2.Record]) -> int:
        """Apply records of a former owner and settle its open claims.

        :param records: records in order.
        :return: number of calls whose outcome is unknown.
        """
        touched = {self.apply(record).program_id for record in records}
        unknown = 0
        for program_id in touched:
            program = self.get(program_id)
            for call in program.claimed_without_result() if program else []:
                call.is_finished = True
                call.code = results.ResultCode.OUTCOME_UNKNOWN
                unknown += 1
        return unknown
