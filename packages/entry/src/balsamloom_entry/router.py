"""Routes of the callers' interface: answered here or by the owner."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable, Iterator
from typing import Any, Protocol

from balsamloom_core import errors, events, identifiers, results
from balsamloom_entry import forwarding, requests
from balsamloom_state import partitions


class LocalService(Protocol):
    """What this process does for programs that it owns."""

    def start_program(self, request: requests.Request) -> requests.Response:
        """Start a program."""

    def show_program(self, program_id: str) -> requests.Response:
        """Describe a program."""

    def end_program(self, program_id: str) -> requests.Response:
        """End a program."""

    def show_call(self, program_id: str, key: str) -> requests.Response:
        """Return the result of an earlier call."""

    def chat(
        self, program_id: str, request: requests.Request
    ) -> requests.Response:
        """Run a model call."""

    def tool(
        self,
        program_id: str,
        service: str,
        operation: str,
        request: requests.Request,
    ) -> requests.Response:
        """Run a tool call or a call of a plain service."""


class Inspection(Protocol):
    """What a process tells of itself."""

    def address(self, query: dict[str, str]) -> dict[str, Any]:
        """Return which address to use."""

    def status(self) -> dict[str, Any]:
        """Return a short state."""

    def dump(self) -> dict[str, Any]:
        """Return the full state."""

    def set_faults(self, document: dict[str, Any]) -> dict[str, Any]:
        """Change injected faults, where the settings allow it."""


class Ownership(Protocol):
    """Who owns what."""

    def owner_of(self, partition: int) -> partitions.Member | None:
        """Return the owner of a partition."""

    def starter(self) -> partitions.Member | None:
        """Return the member that should start a new program."""

    @property
    def member_id(self) -> str:
        """Return this process's member id."""


class Router:
    """Answers requests of callers and of peers.

    :param local: service for programs of this process.
    :param inspection: state of this process.
    :param ownership: partition map.
    :param forwarder: way to other owners.
    """

    def __init__(
        self,
        local: LocalService,
        inspection: Inspection,
        ownership: Ownership,
        forwarder: forwarding.Forwarder,
    ) -> None:
        self._local = local
        self._inspection = inspection
        self._ownership = ownership
        self._forwarder = forwarder
        self._in_progress = 0
        self._lock = threading.Lock()

    @property
    def in_progress(self) -> int:
        """Return the number of requests whose answer has not ended."""
        with self._lock:
            return self._in_progress

    def __call__(self, request: requests.Request) -> requests.Response:
        """Answer one request; errors become error answers."""
        self._count(1)
        try:
            response = self._answer(request)
        except BaseException:
            self._count(-1)
            raise
        return response._replace(chunks=self._counted(response.chunks))

    def _answer(self, request: requests.Request) -> requests.Response:
        try:
            return self._route(request)
        except errors.BalsamloomError as error:
            return requests.error_response(error)
        except Exception as error:
            events.log(
                events.Event.REQUEST_FAILED,
                logging.ERROR,
                path="/".join(request.path),
                cause=repr(error),
            )
            unexpected = errors.BalsamloomError(
                results.ResultCode.INTERNAL_ERROR
            )
            return requests.error_response(unexpected)

    def _route(self, request: requests.Request) -> requests.Response:
        match (request.method, *request.path):
            case ("GET", "v1", "address"):
                found = self._inspection.address(dict(request.query))
                return requests.json_response(found)
            case ("GET", "v1", "status"):
                return requests.json_response(self._inspection.status())
            case ("GET", "v1", "dump"):
                return requests.json_response(self._inspection.dump())
            case ("POST", "v1", "faults"):
                changed = self._inspection.set_faults(request.json_object())
                return requests.json_response(changed)
            case ("POST", "v1", "programs"):
                return self._start(request)
            case (_, "v1", "programs", program_id, *rest):
                return self._program(request, program_id, rest)
            case ("POST", "v1", "chat", "completions"):
                program_id = request.header(requests.PROGRAM_HEADER)
                return self._elsewhere(request, program_id) or (
                    self._local.chat(program_id, request)
                )
            case ("POST", "v1", "tools", service, operation):
                program_id = request.header(requests.PROGRAM_HEADER)
                return self._elsewhere(request, program_id) or (
                    self._local.tool(program_id, service, operation, request)
                )
            case _:
                raise _unknown_path(request)

    def _program(
        self, request: requests.Request, program_id: str, rest: list[str]
    ) -> requests.Response:
        forwarded = self._elsewhere(request, program_id)
        if forwarded is not None:
            return forwarded
        match (request.method, *rest):
            case ("GET",):
                return self._local.show_program(program_id)
            case ("DELETE",):
                return self._local.end_program(program_id)
            case ("GET", "calls", key):
                return self._local.show_call(program_id, key)
            case _:
                raise _unknown_path(request)

    def _start(self, request: requests.Request) -> requests.Response:
        parent_id = request.json_object().get("parent_id")
        if isinstance(parent_id, str) and parent_id:
            forwarded = self._elsewhere(request, parent_id)
        else:
            starter = self._ownership.starter()
            forwarded = self._to_member(request, starter)
        return forwarded or self._local.start_program(request)

    def _elsewhere(
        self, request: requests.Request, program_id: str
    ) -> requests.Response | None:
        partition = identifiers.partition_of(program_id)
        return self._to_member(request, self._ownership.owner_of(partition))

    def _to_member(
        self, request: requests.Request, member: partitions.Member | None
    ) -> requests.Response | None:
        if member is None:
            raise errors.BalsamloomError(
                results.ResultCode.OWNER_UNREACHABLE,
                "the program's partition has no owner at the moment",
                forwarding.RETRY_AFTER_MS,
            )
        if member.member_id == self._ownership.member_id:
            return None
        if request.is_forwarded:
            # A second hop could go round in a circle while maps differ.
            raise errors.BalsamloomError(
                results.ResultCode.WRONG_OWNER,
                retry_after_ms=forwarding.RETRY_AFTER_MS,
            )
        return self._forwarder.forward(request, member)

    def _count(self, change: int) -> None:
        with self._lock:
            self._in_progress += change

    def _counted(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        return CountedChunks(chunks, lambda: self._count(-1))


class CountedChunks:
    """Chunks of an answer, with a call at the end of the response.

    The server closes the iterator also when the caller has gone, even if no
    chunk was asked for; a generator's ``finally`` would not run then.

    :param chunks: chunks to pass on.
    :param at_end: called once.
    """

    def __init__(self, chunks: Iterable[bytes], at_end: Any) -> None:
        self._chunks = iter(chunks)
        self._at_end = at_end
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        try:
            return next(self._chunks)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """End the response."""
        if self._is_closed:
            return
        self._is_closed = True
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._at_end()


def _unknown_path(request: requests.Request) -> errors.BalsamloomError:
    path = "/".join(request.path)
    return errors.BalsamloomError(
        results.ResultCode.UNKNOWN_PATH, f"{request.method} /{path}"
    )
