"""Simulated deployments and their JSON files.

A file has the fields of :class:`Deployment`, and nested objects have the
fields of the types named there. All fields are required.
"""

from __future__ import annotations

import json
import pathlib
import typing
from typing import Any, NamedTuple


class InvalidDeploymentError(Exception):
    """Error in a deployment file; the message names the field."""


class EngineFleet(NamedTuple):
    """Model servers that differ only in speed and failure domain.

    A batch iteration takes ``step_ms``, ``step_ms_per_request`` for each
    running request, ``context_ms_per_k`` for each 1,000 tokens of their
    contexts and the time to prefill the prompt chunk of the iteration. The
    servers are assigned ``speeds`` round-robin.
    """

    servers: int
    slots: int
    queue: int
    memory_tokens: int
    speeds: tuple[float, ...]
    step_ms: float
    step_ms_per_request: float
    context_ms_per_k: float
    prompt_tokens_per_ms: float
    chunk_tokens: int
    tokens_per_event: int


class ServiceFleet(NamedTuple):
    """Tool servers that differ only in their failure domains."""

    servers: int
    slots: int
    queue: int


class Noise(NamedTuple):
    """Slowdown by other work on the servers' hosts.

    In a ``share`` of the periods, work takes ``factor`` times as long.
    """

    share: float
    factor: float
    period_ms: float


class ToolCalls(NamedTuple):
    """Tool calls that may follow a turn.

    Each of ``times`` calls is made with probability ``share``. The calls of
    a turn run in parallel. Their work is lognormal.
    """

    share: float
    times: int
    work_ms: float
    work_spread: float


class ProgramKind(NamedTuple):
    """Kind of programs.

    Token counts and times are means of lognormal distributions; fields that
    end in ``_spread`` are their sigmas.
    """

    name: str
    rate_per_s: float
    turns: float
    turns_max: int
    shared_parts: int
    shared_tokens: float
    prompt_tokens: float
    prompt_spread: float
    output_events: float
    output_spread: float
    think_ms: float
    sub_agent_share: float
    sub_agents: int
    sub_agent_turns: int
    tools: tuple[ToolCalls, ...]
    objective_factor: float
    objective_ms: float
    worth: float
    worth_late: float


class Burst(NamedTuple):
    """Period in which ``factor`` times as many programs start."""

    at_ms: float
    duration_ms: float
    factor: float


class Deployment(NamedTuple):
    """Servers, edge processes and programs of a simulated day.

    ``domain_way_ms`` and ``caller_way_ms`` are one-way latencies: between
    failure domains, and between a caller and an edge process.
    """

    name: str
    edges: int
    failure_domains: int
    domain_way_ms: float
    caller_way_ms: float
    duration_ms: float
    engines: EngineFleet
    services: ServiceFleet
    noise: Noise
    kinds: tuple[ProgramKind, ...]
    bursts: tuple[Burst, ...]


def load(path: pathlib.Path) -> Deployment:
    """Read a deployment file.

    :raises InvalidDeploymentError: if it cannot be read or is invalid.
    """
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidDeploymentError(f"{path}: {error}") from error
    deployment = _convert(Deployment, content, path.name)
    assert isinstance(deployment, Deployment)
    return deployment


def _convert(expected_type: Any, value: Any, path: str) -> Any:
    """Convert a JSON value to a type of this module or a built-in one."""
    if typing.get_origin(expected_type) is tuple:
        if not isinstance(value, list):
            raise InvalidDeploymentError(
                f"{path}: expected a list, got {value!r}"
            )
        item = typing.get_args(expected_type)[0]
        return tuple(
            _convert(item, entry, f"{path}[{number}]")
            for number, entry in enumerate(value)
        )
    if hasattr(expected_type, "_fields"):
        return _convert_object(expected_type, value, path)
    if expected_type is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise InvalidDeploymentError(
            f"{path}: expected {expected_type.__name__}, got {value!r}"
        )
    return value


def _convert_object(expected_type: Any, value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        raise InvalidDeploymentError(
            f"{path}: expected an object, got {value!r}"
        )
    hints = typing.get_type_hints(expected_type)
    missing = [name for name in expected_type._fields if name not in value]
    if missing:
        raise InvalidDeploymentError(f"{path}.{missing[0]} is missing")
    unknown = sorted(set(value) - set(expected_type._fields))
    if unknown:
        raise InvalidDeploymentError(f"{path}.{unknown[0]} is unknown")
    return expected_type(
        **{
            name: _convert(hints[name], value[name], f"{path}.{name}")
            for name in expected_type._fields
        }
    )
