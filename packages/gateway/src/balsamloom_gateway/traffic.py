"""Types that describe configuration, backend servers and calls.

They carry the project's own names. An adapter decodes whatever a platform
calls these things into them.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """Part of a route's traffic that a service gets."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that maps a host name and a path prefix to services.

    On a stateful route a turn carries its new input only; what came before
    it is kept for ``retention_ms``.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    timeout_ms: float
    objective_ms: float
    priority: int
    is_resumable: bool
    is_stateful: bool
    retention_ms: float

    @property
    def is_repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine(NamedTuple):
    """Properties of a service's model engines."""

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """Group of backend servers that run the same calls."""

    name: str
    connection_limit: int
    engine: Engine | None


class IngressLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: IngressLimits


class BackendServer(NamedTuple):
    """One run of a backend server, as it registered itself.

    ``incarnation`` changes when a server starts again under its identifier.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    incarnation: int


class Member(NamedTuple):
    """One run of an edge process, as it registered itself."""

    name: str
    caller_address: str
    peer_address: str
    failure_domain: str
    incarnation: str


class PromptPart(NamedTuple):
    """Section of a prompt that an engine caches as a whole."""

    part_id: str
    tokens: int


class CallMetadata(NamedTuple):
    """What a caller's headers say of a call.

    ``deadline_ms`` and ``program_deadline_ms`` are times left.
    ``previous_turn_id`` names the turn that a turn continues.
    """

    request_id: str
    deadline_ms: float | None
    program_id: str
    session_id: str
    program_deadline_ms: float | None
    token_budget: int | None
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt: tuple[PromptPart, ...]
    affinity_key: str
    previous_turn_id: str = ""


class ServerLoad(NamedTuple):
    """Load that a server reports with an answer.

    ``slowness`` is the time that work takes against the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


class AnswerMetadata(NamedTuple):
    """What a server's answer says beside its content.

    ``is_leaving`` announces that the server takes no new calls soon.
    """

    request_id: str
    is_not_executed: bool
    is_signed: bool
    load: ServerLoad | None
    idle_timeout_ms: float | None
    is_leaving: bool = False
