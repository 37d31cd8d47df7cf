"""Data types of calls and backend servers."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from balsamloom_core import results


class CallProfile(NamedTuple):
    """Properties of a call that are known before it runs.

    ``deadline_ms`` is a time of ``Clock.now_ms()``; ``prefix_hashes`` are
    hashes of ever longer prefixes of the message list, the longest last.
    """

    program_id: str
    customer: str
    pool: str
    is_urgent: bool = False
    attained_ms: float = 0.0
    is_new_program: bool = False
    deadline_ms: float | None = None
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_tokens: int = 0
    is_idempotent: bool = False


class Server(NamedTuple):
    """A backend server; ``concurrency`` is 0 if it has no stated limit."""

    server_id: str
    address: str
    pool: str
    concurrency: int = 0
    is_leaving: bool = False


class LoadReport(NamedTuple):
    """Load reported by a backend server, and the age of the report."""

    running: int
    waiting: int
    tokens_per_s: float = 0.0
    age_ms: float = 0.0


class ServerShare(NamedTuple):
    """Calls in flight and limit of one process at one server.

    ``is_ejected`` is set only if the process ejected the server on its own
    samples, not on reports of its peers.
    """

    server_id: str
    in_flight: int
    limit: float
    is_ejected: bool = False


class Observation(NamedTuple):
    """Outcome of a call at a server, with its token counts."""

    is_success: bool
    is_server_fault: bool = False
    generated_tokens: int = 0
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Server for a call; a lower priority number is served first."""

    server_id: str
    address: str
    priority: int


@dataclasses.dataclass(frozen=True)
class WaitStatus:
    """State of a call that waits for a slot."""

    reason: str
    position: int
    waited_ms: float


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Refusal of a call; an earlier attempt may have been sent."""

    code: results.ResultCode
    message: str
    retry_after_ms: int | None = None
