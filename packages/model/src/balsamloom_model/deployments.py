"""Deployments to simulate, read from JSON files.

A file has the fields of :class:`Deployment`; nested objects have those of the
types that are named there. All fields are needed.
"""

from __future__ import annotations

import json
import pathlib
import typing
from typing import Any, NamedTuple


class InvalidDeploymentError(Exception):
    """A deployment file is malformed; the message names the field."""


class EngineFleet(NamedTuple):
    """Model servers that are equal but for their speeds.

    An iteration of the batch takes ``step_ms`` plus the shares of running
    requests, of the tokens in memory and of the prompt chunk that it reads.
    Speeds are dealt out in turn.
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
    """Plain servers that are equal but for their failure domains."""

    servers: int
    slots: int
    queue: int


class Noise(NamedTuple):
    """Servers' machines are shared: a share of periods are slow."""

    share: float
    factor: float
    period_ms: float


class ToolCalls(NamedTuple):
    """Tool calls that may follow a turn; ``times`` run one beside another."""

    share: float
    times: int
    work_ms: float
    work_spread: float


class ProgramKind(NamedTuple):
    """One kind of programs; token counts and times are lognormal."""

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
    """Time in which more programs start."""

    at_ms: float
    duration_ms: float
    factor: float


class Deployment(NamedTuple):
    """Everything that a simulated day consists of."""

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

    :raises InvalidDeploymentError: it cannot be read or a field is wrong.
    """
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidDeploymentError(f"{path}: {error}") from error
    found = _convert(Deployment, content, path.name)
    assert isinstance(found, Deployment)
    return found


def _convert(expected_type: Any, value: Any, path: str) -> Any:
    """Convert a JSON value to a type of this module."""
    if typing.get_origin(expected_type) is tuple:
        if not isinstance(value, list):
            raise InvalidDeploymentError(f"{path}: a list is expected")
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
            f"{path}: {expected_type.__name__} is expected"
        )
    return value


def _convert_object(expected_type: Any, value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        raise InvalidDeploymentError(f"{path}: an object is expected")
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
