"""Types that describe configuration, backend servers and calls.

They do not depend on the names of a platform. An adapter decodes the
platform's records and headers into them.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Kind of calls on a route; it decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """Service with its relative weight in the traffic of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that maps a host name and a path prefix to services.

    On a stateful route a turn carries its new input only; earlier turns of
    the conversation are stored for ``retention_ms``. Calls on a public route
    need no key and belong to no workspace.
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
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine(NamedTuple):
    """Properties of a service's model engines.

    ``memory_tokens`` is the capacity of an engine's prefix cache.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """Group of interchangeable backend servers."""

    name: str
    max_connections: int
    engine: Engine | None


class IngressLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RateLimit(NamedTuple):
    """Requests that a workspace may send through all edge hosts together.

    In any window it is ``rate_per_s`` times the window's length and
    ``burst_requests`` more.
    """

    rate_per_s: float
    burst_requests: float


class Workspace(NamedTuple):
    """Customer of the operators, whose callers carry its keys.

    ``key_digests`` are SHA-256 digests; the keys themselves are not kept.
    Lower values of ``priority`` are more urgent, ``None`` leaves it to the
    route. ``rate_limit`` is ``None`` if there is none.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_limit: RateLimit | None = None


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    ``workspaces`` is ``None`` if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: IngressLimits
    workspaces: tuple[Workspace, ...] | None = None


class BackendServer(NamedTuple):
    """Registration of one run of a backend server.

    ``incarnation`` changes when a server restarts with the same identifier.
    ``version`` is that of its software.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    incarnation: int
    version: str = ""


class Member(NamedTuple):
    """Registration of one run of an edge process, stored by field name."""

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
    """Properties of a call from the caller's headers.

    ``deadline_ms`` and ``program_deadline_ms`` are relative to the arrival.
    ``previous_turn_id`` names the turn that a turn continues. ``resumed_id``
    names the request that began the stream which a call resumes; it is empty
    if the caller does not say, and ``None`` if the call begins a stream.
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
    resumed_id: str | None = None

    @property
    def continues_another(self) -> bool:
        """Return whether the call continues a turn or resumes a stream."""
        return bool(self.previous_turn_id) or self.resumed_id is not None


class ServerLoad(NamedTuple):
    """Load that a server reports with an answer.

    ``slowness`` is the duration of work divided by its usual duration.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


class AnswerMetadata(NamedTuple):
    """Properties of an answer from the server's headers.

    ``is_leaving`` announces that the server will stop accepting calls.
    ``limit_per_s`` is the number of requests a second that the server takes
    from all members together, ``None`` if it names no limit.
    """

    request_id: str
    is_not_executed: bool
    is_signed: bool
    load: ServerLoad | None
    idle_timeout_ms: float | None
    is_leaving: bool = False
    limit_per_s: float | None = None
