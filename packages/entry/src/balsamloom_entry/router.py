"""Routes of the callers' API: handled here or forwarded to the owner."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable, Iterator
from typing import Any, Protocol

from balsamloom_core import errors, events, identifiers, results
from balsamloom_entry import forwarding, requests
from balsamloom_state import partitions


class LocalService(Protocol):
    """Service for the programs that this process owns."""

    def start_program(self, request: requests.Request) -> requests.Response:
        """Start a program."""

    def show_program(self, program_id: str) -> requests.Response:
        """Describe a program."""

    def end_program(self, program_id: str) -> requests.Response:
        """End a program."""

    def show_call(self, program_id: str, key: str) -> requests.Response:
        """Return the result of an earlier call."""

    def run_model_call(
        self, program_id: str, request: requests.Request
    ) -> requests.Response:
        """Run a model call."""

    def run_tool_call(
        self,
        program_id: str,
        service: str,
        operation: str,
        request: requests.Request,
    ) -> requests.Response:
        """Run a call of a tool or another service."""


class Inspection(Protocol):
    """State of this process for callers and operators."""

    def address(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the address to use."""

    def status(self) -> dict[str, Any]:
        """Return a summary of the state."""

    def dump(self) -> dict[str, Any]:
        """Return the full state."""

    def set_faults(self, document: dict[str, Any]) -> dict[str, Any]:
        """Change injected faults, if the settings allow it."""


class Ownership(Protocol):
    """Ownership of partitions, as this process sees it."""

    def owner_of(self, partition: int) -> partitions.Member | None:
        """Return the partition's owner, or None if none is known."""

    def owner_for_new_program(self) -> partitions.Member | None:
        """Return the member that should start a new program."""

    @property
    def member_id(self) -> str:
        """Return this process's member id."""


class Router:
    """Handles requests of callers and of peers.

    :param local: service for programs of this process.
    :param inspection: state of this process.
    :param ownership: owners of partitions.
    :param forwarder: sends requests to other owners.
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
        """Return the number of requests whose response has not ended."""
        with self._lock:
            return self._in_progress

    def __call__(self, request: requests.Request) -> requests.Response:
        """Handle one request; errors become error responses."""
        self._change_in_progress(1)
        try:
            response = self._respond(request)
        except BaseException:
            self._change_in_progress(-1)
            raise
        return response._replace(
            chunks=self._count_until_closed(response.chunks)
        )

    def _respond(self, request: requests.Request) -> requests.Response:
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
            internal_error = errors.BalsamloomError(
                results.ResultCode.INTERNAL_ERROR
            )
            return requests.error_response(internal_error)

    def _route(self, request: requests.Request) -> requests.Response:
        match (request.method, *request.path):
            case ("GET", "v1", "address"):
                address = self._inspection.address(dict(request.query))
                return requests.json_response(address)
            case ("GET", "v1", "status"):
                return requests.json_response(self._inspection.status())
            case ("GET", "v1", "dump"):
                return requests.json_response(self._inspection.dump())
            case ("POST", "v1", "faults"):
                changed = self._inspection.set_faults(request.json_object())
                return requests.json_response(changed)
            case ("POST", "v1", "programs"):
                return self._start_program(request)
            case (_, "v1", "programs", program_id, *rest):
                return self._route_program(request, program_id, rest)
            case ("POST", "v1", "chat", "completions"):
                program_id = request.header(requests.PROGRAM_HEADER)
                return self._forward_unless_owned(request, program_id) or (
                    self._local.run_model_call(program_id, request)
                )
            case ("POST", "v1", "tools", service, operation):
                program_id = request.header(requests.PROGRAM_HEADER)
                return self._forward_unless_owned(request, program_id) or (
                    self._local.run_tool_call(
                        program_id, service, operation, request
                    )
                )
            case _:
                raise _unknown_path(request)

    def _route_program(
        self, request: requests.Request, program_id: str, rest: list[str]
    ) -> requests.Response:
        forwarded = self._forward_unless_owned(request, program_id)
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

    def _start_program(self, request: requests.Request) -> requests.Response:
        parent_id = request.json_object().get("parent_id")
        if isinstance(parent_id, str) and parent_id:
            forwarded = self._forward_unless_owned(request, parent_id)
        else:
            owner = self._ownership.owner_for_new_program()
            forwarded = self._forward_unless_self(request, owner)
        return forwarded or self._local.start_program(request)

    def _forward_unless_owned(
        self, request: requests.Request, program_id: str
    ) -> requests.Response | None:
        partition = identifiers.partition_of(program_id)
        return self._forward_unless_self(
            request, self._ownership.owner_of(partition)
        )

    def _forward_unless_self(
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
            # Members with different maps could forward in a loop.
            raise errors.BalsamloomError(
                results.ResultCode.WRONG_OWNER,
                retry_after_ms=forwarding.RETRY_AFTER_MS,
            )
        return self._forwarder.forward(request, member)

    def _change_in_progress(self, change: int) -> None:
        with self._lock:
            self._in_progress += change

    def _count_until_closed(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        return ChunksWithCallback(chunks, lambda: self._change_in_progress(-1))


class ChunksWithCallback:
    """Chunks of a response, with a callback at its end.

    The server closes the iterator even if the caller has disconnected before
    the first chunk; the ``finally`` of a generator would not run then.

    :param chunks: chunks to yield.
    :param on_close: called once, at the end or when closed.
    """

    def __init__(self, chunks: Iterable[bytes], on_close: Any) -> None:
        self._chunks = iter(chunks)
        self._on_close = on_close
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
        """End the response and call the callback."""
        if self._is_closed:
            return
        self._is_closed = True
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._on_close()


def _unknown_path(request: requests.Request) -> errors.BalsamloomError:
    path = "/".join(request.path)
    return errors.BalsamloomError(
        results.ResultCode.UNKNOWN_PATH, f"{request.method} /{path}"
    )
