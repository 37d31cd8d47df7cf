"""HTTP interface for callers."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import cherrypy

from balsamloom_core import errors, events, results
from balsamloom_entry import calls
from balsamloom_entry import process as processes

ADDRESS_VALID_MS = 5_000


class CallerInterface:
    """CherryPy handlers.

    :param process: the entry process.
    """

    def __init__(self, process: processes.EntryProcess) -> None:
        self._process = process
        self._calls = calls.CallService(process)

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Route a request by its method and path."""
        try:
            return self._route(cherrypy.request.method, path, query)
        except errors.BalsamloomError as error:
            return _error(error)

    default._cp_config = {"response.stream": True}

    def _route(
        self, method: str, path: tuple[str, ...], query: dict[str, str]
    ) -> Any:
        match (method, *path):
            case ("GET", "v1", "address"):
                return self._address(query.get("program_id", ""))
            case ("GET", "v1", "status"):
                return _json({"member_id": self._process.member.member_id})
            case ("GET", "v1", "dump"):
                return _json(self._process.dumps.dump())
            case ("POST", "v1", "programs"):
                return self._start()
            case ("GET", "v1", "programs", program_id):
                return self._show(program_id)
            case ("DELETE", "v1", "programs", program_id):
                self._calls.end_program(self._calls.program(program_id))
                return _json({"program_id": program_id})
            case ("POST", "v1", "chat", "completions"):
                return self._chat()
            case ("POST", "v1", "tools", service, operation):
                return self._tool(service, operation)
            case _:
                raise errors.BalsamloomError(results.ResultCode.UNKNOWN_PATH)

    def _address(self, program_id: str) -> bytes:
        owner = self._process.owner_of(program_id) if program_id else None
        member = owner or self._process.member
        alternatives = [
            {"address": other.http_address, "domain": other.failure_domain}
            for other in self._process.partition_map.members.values()
            if other.member_id != member.member_id
        ]
        return _json(
            {
                "address": member.http_address,
                "valid_ms": ADDRESS_VALID_MS,
                "alternatives": alternatives,
            }
        )

    def _start(self) -> bytes:
        program = self._calls.start_program(_body())
        return _json({"program_id": program.program_id}, 201)

    def _show(self, program_id: str) -> bytes:
        program = self._calls.program(program_id)
        return _json(
            {
                "program_id": program_id,
                "customer": program.customer,
                "messages": program.messages,
                "calls": sorted(program.calls),
                "is_ended": program.is_ended,
            }
        )

    def _chat(self) -> Any:
        program = self._calls.program(_header("X-Program-Id"))
        key = _header("Idempotency-Key")
        found = self._calls.chat(program, key, _body())
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return _event_stream(found)

    def _tool(self, service: str, operation: str) -> bytes:
        program = self._calls.program(_header("X-Program-Id"))
        key = _header("Idempotency-Key")
        call = self._calls.tool(program, key, service, operation, _body())
        if call.code != results.ResultCode.COMPLETED:
            code = results.ResultCode(call.code)
            raise errors.BalsamloomError(code, call.message)
        return _json(call.answer)


def _event_stream(found: Iterator[calls.StreamEvent]) -> Iterator[bytes]:
    number = 0
    try:
        for event in found:
            number += 1
            yield _event(number, event.name, event.body)
    except errors.BalsamloomError as error:
        yield _event(number + 1, "done", _error_body(error))
    except Exception as error:
        events.log(events.Event.REQUEST_FAILED, cause=repr(error))
        unexpected = errors.BalsamloomError(results.ResultCode.INTERNAL_ERROR)
        yield _event(number + 1, "done", _error_body(unexpected))
    yield b"data: [DONE]\n\n"


def _event(number: int, name: str, body: dict[str, Any]) -> bytes:
    data = json.dumps(body, separators=(",", ":"))
    return f"id: {number}\nevent: {name}\ndata: {data}\n\n".encode()


def _header(name: str) -> str:
    value: str = cherrypy.request.headers.get(name, "")
    if not value:
        raise errors.BalsamloomError(
            results.ResultCode.MISSING_HEADER, f"header {name} is missing"
        )
    return value


def _body() -> dict[str, Any]:
    try:
        document: dict[str, Any] = json.loads(cherrypy.request.body.read())
    except ValueError as error:
        raise errors.BalsamloomError(
            results.ResultCode.MALFORMED_REQUEST, f"body: {error}"
        ) from error
    return document


def _json(document: dict[str, Any], status: int = 200) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(document).encode()


def _error_body(error: errors.BalsamloomError) -> dict[str, Any]:
    info = results.info(error.code)
    return {
        "error": {
            "code": int(error.code),
            "name": error.code.name.lower(),
            "message": error.message,
            "not_run": info.not_run,
            "retry_after_ms": error.retry_after_ms,
        }
    }


def _error(error: errors.BalsamloomError) -> bytes:
    return _json(_error_body(error), results.info(error.code).http_status)
