"""The path of one call, from the caller's request to the durable result."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from balsamloom_core import errors, identifiers, outcomes, results
from balsamloom_entry import process as processes
from balsamloom_platform import engines, tools
from balsamloom_state import journal, programs, records_pb2

COMMIT_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 1_000
READ_TIMEOUT_MS = 60_000
TOOL_TIMEOUT_MS = 30_000


class StreamEvent(NamedTuple):
    """One event towards the caller."""

    name: str
    body: dict[str, Any]


class CallService:
    """Runs the calls of programs that this process owns.

    :param process: the entry process.
    """

    def __init__(self, process: processes.EntryProcess) -> None:
        self._process = process
        self._counter = itertools.count(random.randrange(1000))

    def start_program(self, spec: dict[str, Any]) -> programs.Program:
        """Start a program and make that durable.

        :param spec: body of the caller's request.
        :raises BalsamloomError: if nothing can be made durable.
        """
        member_id = self._process.member.member_id
        # Another member may have joined and taken partitions since the last
        # look.
        self._process.refresh_map()
        owned = self._process.partition_map.partitions_of(member_id)
        if not owned:
            raise errors.BalsamloomError(results.ResultCode.PARTITION_MOVING)
        program_id = identifiers.new_program_id(random.choice(owned))
        started = records_pb2.ProgramStarted(
            customer=spec["customer"], workspace=spec.get("workspace", "")
        )
        record = records_pb2.Record(
            program_id=program_id, version=1, started=started
        )
        self._commit(record)
        return self._process.programs.apply(record)

    def program(self, program_id: str) -> programs.Program:
        """Return a program that this process owns.

        :param program_id: identifier of the program.
        :raises BalsamloomError: if there is none.
        """
        program = self._process.programs.get(program_id)
        if program is None:
            raise errors.BalsamloomError(results.ResultCode.UNKNOWN_PROGRAM)
        return program

    def end_program(self, program: programs.Program) -> None:
        """End a program; its history is dropped.

        :param program: program to end.
        """
        with program.order:
            record = self._record(program, ended=records_pb2.ProgramEnded())
            self._commit(record)
            program.apply(record)

    def chat(
        self, program: programs.Program, key: str, body: dict[str, Any]
    ) -> Iterator[StreamEvent]:
        """Run a model call and yield its events.

        :param program: program of the call.
        :param key: idempotency key.
        :param body: request body; its messages are the new ones of this turn.
        """
        with program.order:
            digest = _digest(body)
            known = self._known(program, key, digest)
            if known is not None:
                yield _done(known)
                return
            yield from self._run_chat(program, key, digest, body)

    def _run_chat(
        self,
        program: programs.Program,
        key: str,
        digest: bytes,
        body: dict[str, Any],
    ) -> Iterator[StreamEvent]:
        addresses = self._process.settings["engines"]
        address = addresses[next(self._counter) % len(addresses)]
        engine = engines.Engine(address, self._process.pool)
        request = {**body, "messages": program.messages + body["messages"]}
        tag = f"{program.program_id}/1/{key}"
        stream = engine.chat(request, tag, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)
        text: list[str] = []
        usage: dict[str, Any] = {}
        for batch in stream.batches():
            for chunk in batch:
                text.append(_content(chunk.body))
                usage = chunk.body.get("usage", usage)
                yield StreamEvent("message", chunk.body)
        if not stream.is_whole:
            raise errors.BalsamloomError(results.ResultCode.INTERRUPTED)
        answer = {"role": "assistant", "content": "".join(text)}
        result = {"message": answer, "usage": usage}
        call = self._finish(
            program,
            records_pb2.CallFinished(
                key=key,
                digest=digest,
                code=results.ResultCode.COMPLETED,
                answer_json=json.dumps(result).encode(),
                new_messages_json=json.dumps(
                    [*body["messages"], answer]
                ).encode(),
                generated_tokens=usage.get("completion_tokens", 0),
            ),
        )
        yield _done(call)

    def tool(
        self,
        program: programs.Program,
        key: str,
        service: str,
        operation: str,
        body: dict[str, Any],
    ) -> programs.Call:
        """Run a tool call at most once.

        :param program: program of the call.
        :param key: idempotency key.
        :param service: name of the service.
        :param operation: name of the operation.
        :param body: request body.
        """
        digest = _digest({"path": f"{service}/{operation}", "body": body})
        with program.order:
            known = self._known(program, key, digest)
            if known is not None:
                return known
            claim = self._record(
                program,
                claimed=records_pb2.CallClaimed(
                    key=key, digest=digest, timeout_ms=TOOL_TIMEOUT_MS
                ),
            )
            self._commit(claim)
            program.apply(claim)
            client = tools.ToolService(
                self._process.settings["tools"][service], self._process.pool
            )
            outcome = client.call(
                service, operation, body, key, TOOL_TIMEOUT_MS
            )
            return self._finish(program, _finished(key, digest, outcome))

    def _known(
        self, program: programs.Program, key: str, digest: bytes
    ) -> programs.Call | None:
        if program.is_ended:
            raise errors.BalsamloomError(results.ResultCode.PROGRAM_ENDED)
        call = program.calls.get(key)
        if call is not None and call.digest != digest:
            raise errors.BalsamloomError(
                results.ResultCode.KEY_REUSED_WITH_OTHER_BODY
            )
        return call

    def _finish(
        self, program: programs.Program, finished: records_pb2.CallFinished
    ) -> programs.Call:
        record = self._record(program, finished=finished)
        self._commit(record)
        program.apply(record)
        return program.calls[finished.key]

    def _record(
        self, program: programs.Program, **kind: Any
    ) -> records_pb2.Record:
        return records_pb2.Record(
            program_id=program.program_id, version=program.version + 1, **kind
        )

    def _commit(self, record: records_pb2.Record) -> None:
        batch = self._process.journal.append([record])
        match self._process.journal.wait(batch, COMMIT_TIMEOUT_MS):
            case journal.Durable():
                return
            case journal.Deposed():
                raise errors.BalsamloomError(results.ResultCode.WRONG_OWNER)
            case journal.Pending():
                raise errors.BalsamloomError(
                    results.ResultCode.STORE_UNAVAILABLE
                )


def _finished(
    key: str, digest: bytes, outcome: outcomes.Outcome
) -> records_pb2.CallFinished:
    finished = records_pb2.CallFinished(
        key=key, digest=digest, code=int(outcome.code)
    )
    match outcome:
        case outcomes.Completed(body=body):
            finished.answer_json = json.dumps(body).encode()
        case (
            outcomes.NotRun(message=message) | outcomes.Failed(message=message)
        ):
            finished.message = message
        case outcomes.Unknown(message=message):
            finished.message = message
    return finished


def _done(call: programs.Call) -> StreamEvent:
    return StreamEvent("done", {"code": call.code, **call.answer})


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    content: str = choices[0].get("delta", {}).get("content") or ""
    return content


def _digest(body: dict[str, Any]) -> bytes:
    raw = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(raw.encode(), digest_size=16).digest()
