"""Data of calls and backend servers that the policy exchanges."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from balsamloom_core import results


class CallProfile(NamedTuple):
    """What is known of a call before it runs.

    ``deadline_ms`` is absolute on ``Clock.now_ms()``; ``prefix_hashes`` are
    hashes of growing message lists, the longest last.
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
    """A backend server; ``concurrency`` is 0 if it states no limit."""

    server_id: str
    address: str
    pool: str
    concurrency: int = 0
    is_leaving: bool = False


class LoadReport(NamedTuple):
    """Load that a backend server states, and the age of the statement."""

    running: int
    waiting: int
    tokens_per_s: float = 0.0
    age_ms: float = 0.0


class ServerShare(NamedTuple):
    """Calls in flight and limit of one process at one server.

    ``is_ejected`` says that the process ejected the server on samples of its
    own, not on the word of others.
    """

    server_id: str
    in_flight: int
    limit: float
    is_ejected: bool = False


class Observation(NamedTuple):
    """How a call at a server ended."""

    is_success: bool
    is_server_fault: bool = False
    generated_tokens: int = 0
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The call may be sent; a lower priority number goes first."""

    server_id: str
    address: str
    priority: int


@dataclasses.dataclass(frozen=True)
class WaitStatus:
    """The call waits for a slot."""

    reason: str
    position: int
    waited_ms: float


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The call was not sent to any server."""

    code: results.ResultCode
    message: str
    retry_after_ms: int | None = None
