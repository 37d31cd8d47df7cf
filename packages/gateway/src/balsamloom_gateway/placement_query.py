"""Where a request would go now and why, without sending it."""

from __future__ import annotations

import json
from typing import Any, NamedTuple, TypedDict

from balsamloom_gateway import (
    balancer,
    candidates,
    estimates,
    fleet,
    json_parsing,
    listeners,
    membership,
    planner,
    routes,
    server_limits,
    traffic,
)
from balsamloom_workspaces import priorities

PATH = "/placement"
JSON_FIELD = (b"Content-Type", b"application/json")
MAX_PARTS = 1_000
MAX_TOKENS = 10_000_000
_FIELDS = frozenset(
    {
        "host",
        "path",
        "program",
        "workspace",
        "prompt",
        "output_tokens",
        "has_budget",
        "recent_servers",
        "version",
    }
)


class InvalidQueryError(Exception):
    """A query is malformed or names something that does not exist."""


class Query(NamedTuple):
    """Properties of a request that might be sent.

    A turn with a token budget is placed by the holder of its program.
    ``recent_servers`` ran the last turns of the program.
    """

    host: str
    path: str
    program: str = ""
    workspace: str = ""
    prompt: tuple[traffic.PromptPart, ...] = ()
    output_tokens: int = 0
    has_budget: bool = False
    recent_servers: tuple[str, ...] = ()
    version: str | None = None


class ServerAnswer(TypedDict):
    """A server as a candidate; see :class:`candidates.Assessment`."""

    server_id: str
    failure_domain: str
    is_chosen: bool
    obstacle: str | None
    cost: dict[str, float]
    load: float
    slots: int
    in_flight: int
    report_age_ms: float | None
    is_probed: bool
    limit_per_s: float | None
    denied_for_ms: float
    ejected_for_ms: float
    pace: dict[str, object] | None


class Answer(TypedDict):
    """Where a request would go, as this member sees it.

    ``decided_by`` is the member whose view counts. ``priority`` is that of
    the workspace or the route, lower values are more urgent.
    """

    member: str
    decided_by: str
    configuration_version: int
    route: str
    service: str
    workspace: str | None
    priority: int
    rate_limit_per_s: float | None
    servers: list[ServerAnswer]
    refusal: str | None


class PlacementQueries:
    """Answers queries from the figures by which calls are placed.

    :param name: name of this member.
    :param view: configuration, members and servers.
    :param calls: balancer of this process's own calls.
    :param turns: balancer of the turns of programs that it holds.
    :param turn_planner: knows the servers that this member prefers.
    :param limits: rate limits of the servers.
    """

    def __init__(
        self,
        name: str,
        view: fleet.Fleet,
        calls: balancer.Balancer,
        turns: balancer.Balancer,
        turn_planner: planner.TurnPlanner,
        limits: server_limits.ServerLimits,
    ) -> None:
        self._name = name
        self._fleet = view
        self._calls = calls
        self._turns = turns
        self._planner = turn_planner
        self._limits = limits

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer a query over HTTP."""
        try:
            found: Any = self.answer(decode(request.read_body()))
            status = 200
        except (
            InvalidQueryError,
            listeners.BodyTooLargeError,
            listeners.MalformedBodyError,
        ) as error:
            found, status = {"error": str(error)}, 400
        response.send(status, (JSON_FIELD,), json.dumps(found).encode())

    def answer(self, query: Query) -> Answer:
        """Return where a request would go.

        :raises InvalidQueryError: there is no such route or workspace.
        """
        active = self._fleet.active_configuration
        if active is None:
            raise InvalidQueryError("no configuration has been loaded yet")
        configuration = active.configuration
        route = active.table.find(query.host, query.path)
        if route is None:
            raise InvalidQueryError(
                f"{query.host}{query.path}: no route in version "
                f"{configuration.version}"
            )
        workspace = _find_workspace(query.workspace, configuration)
        service = routes.choose_service(route, query.program)
        profile = _profile(query, route, configuration.services.get(service))
        holder = self._holder(query)
        servers = (
            self._calls.assess(service, profile)
            if holder is None
            else self._turns.assess(
                service, profile, self._planner.preferred_servers()
            )
        )
        priority = priorities.call_priority(
            workspace.priority if workspace else None, route.priority
        )
        limit = workspace.rate_limit if workspace else None
        return Answer(
            member=self._name,
            decided_by=holder or self._name,
            configuration_version=configuration.version,
            route=route.name,
            service=service,
            workspace=workspace.name if workspace else None,
            priority=priority,
            rate_limit_per_s=limit.rate_per_s if limit else None,
            servers=[self._describe(one) for one in servers],
            refusal=_refusal(servers),
        )

    def _holder(self, query: Query) -> str | None:
        """Return the member that places the turns of a query's program."""
        if not query.has_budget:
            return None
        holders = membership.budget_holders(
            query.program, self._fleet.members()
        )
        return holders[0].name if holders else self._name

    def _describe(self, found: candidates.Assessment) -> ServerAnswer:
        server = found.server
        limit = self._limits.latest(server.server_id, server.incarnation)
        cost = found.cost
        return ServerAnswer(
            server_id=server.server_id,
            failure_domain=server.failure_domain,
            is_chosen=found.is_chosen,
            obstacle=found.obstacle.value if found.obstacle else None,
            cost={
                name: round(value, 1) for name, value in cost._asdict().items()
            },
            load=round(found.load, 1),
            slots=server.slots,
            in_flight=found.in_flight,
            report_age_ms=_rounded(found.report_age_ms),
            is_probed=found.is_probed,
            limit_per_s=limit.limit_per_s if limit else None,
            denied_for_ms=round(found.denied_for_ms, 1),
            ejected_for_ms=round(found.ejected_for_ms, 1),
            pace=found.pace,
        )


def decode(body: bytes) -> Query:
    """Decode a query.

    :raises InvalidQueryError: it is malformed.
    """
    try:
        document = json_parsing.parse_object(body)
    except ValueError as error:
        raise InvalidQueryError(f"the query: {error}") from error
    unknown = sorted(document.keys() - _FIELDS)
    if unknown:
        raise InvalidQueryError(
            f"{unknown[0]}: unknown; accepted: {', '.join(sorted(_FIELDS))}"
        )
    has_budget = document.get("has_budget", False)
    if not isinstance(has_budget, bool):
        raise InvalidQueryError(
            f"has_budget: {has_budget!r}; accepted: true or false"
        )
    query = Query(
        host=_text(document, "host"),
        path=_text(document, "path"),
        program=_text(document, "program", ""),
        workspace=_text(document, "workspace", ""),
        prompt=_prompt(document.get("prompt", [])),
        output_tokens=_tokens(
            "output_tokens", document.get("output_tokens", 0)
        ),
        has_budget=has_budget,
        recent_servers=_names(document.get("recent_servers", [])),
        version=_text(document, "version", "") or None,
    )
    if query.has_budget and not query.program:
        raise InvalidQueryError("program: missing; a budget belongs to one")
    return query


def _profile(
    query: Query, route: traffic.Route, spec: traffic.Service | None
) -> estimates.CallProfile:
    tokens = sum(part.tokens for part in query.prompt)
    profile = estimates.profile_of(
        route, spec, query.prompt, tokens, query.output_tokens
    )
    return profile._replace(
        recent_servers=query.recent_servers, version=query.version
    )


def _find_workspace(
    name: str, configuration: traffic.Configuration
) -> traffic.Workspace | None:
    if not name:
        return None
    for workspace in configuration.workspaces or ():
        if workspace.name == name:
            return workspace
    raise InvalidQueryError(
        f"workspace: {name!r} is not in version {configuration.version}"
    )


def _refusal(servers: list[candidates.Assessment]) -> str | None:
    if any(one.is_chosen for one in servers):
        return None
    if not servers:
        return "the service has no available server"
    return "no server of the service may take the request now"


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)


def _text(
    document: dict[str, Any], name: str, default: str | None = None
) -> str:
    value = document.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise InvalidQueryError(f"{name}: {value!r}; accepted: a string")
    return value


def _tokens(name: str, value: Any) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= MAX_TOKENS:
        raise InvalidQueryError(
            f"{name}: {value!r}; accepted: an integer from 0 to {MAX_TOKENS}"
        )
    return int(value)


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(
        isinstance(name, str) for name in value
    ):
        raise InvalidQueryError(
            f"recent_servers: {value!r}; accepted: a list of strings"
        )
    return tuple(value)


def _prompt(value: Any) -> tuple[traffic.PromptPart, ...]:
    if not isinstance(value, list) or len(value) > MAX_PARTS:
        raise InvalidQueryError(
            f"prompt: accepted: a list of at most {MAX_PARTS} parts"
        )
    parts = []
    for part in value:
        match part:
            case [str(part_id), tokens]:
                count = _tokens("prompt", tokens)
                parts.append(traffic.PromptPart(part_id, count))
            case _:
                raise InvalidQueryError(
                    f"prompt: {part!r}; accepted: [identifier, tokens]"
                )
    return tuple(parts)
