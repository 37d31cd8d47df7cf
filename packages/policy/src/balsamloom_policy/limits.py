"""Concurrency limits per server, divided without a central counter."""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple

from balsamloom_policy import _servers, calls, settings

LIMIT_SMOOTHING = 0.2
MIN_GRADIENT = 0.5
MIN_UTILIZATION = 0.8


@dataclasses.dataclass(frozen=True)
class AdaptiveLimit:
    """Adapts to the gradient of the latency against its lowest value."""


@dataclasses.dataclass(frozen=True)
class StaticLimit:
    """Keeps the starting limit."""


@dataclasses.dataclass(frozen=True)
class NoLimit:
    """Sends every call at once; baseline for comparison."""


Limits = AdaptiveLimit | StaticLimit | NoLimit


class PeerShare(NamedTuple):
    """A peer's share of one server and the time it was received."""

    share: calls.ServerShare
    received_ms: float


def from_settings(values: settings.PolicySettings) -> Limits:
    """Return the variant that the settings select."""
    match values.limits:
        case "adaptive":
            return AdaptiveLimit()
        case "static":
            return StaticLimit()
        case _:
            return NoLimit()


def starting_limit(
    limits: Limits,
    server: calls.Server,
    member_count: int,
    values: settings.PolicySettings,
) -> float:
    """Return the limit of a server without samples.

    An adaptive limit starts at the server's whole stated concurrency, so that
    slots unused by peers can be used at once; :func:`cap` applies the share.
    """
    match limits:
        case NoLimit():
            return math.inf
        case AdaptiveLimit() if server.concurrency > 0:
            return float(server.concurrency)
        case StaticLimit() if server.concurrency > 0:
            return max(server.concurrency / member_count, 1.0)
        case _:
            return values.initial_limit


def cap(
    state: _servers.ServerState,
    peers: list[calls.ServerShare],
    member_count: int,
    values: settings.PolicySettings,
) -> float:
    """Return the number of slots that the peers leave to this process.

    Unused slots are divided among the processes that are at their limit, so
    that idle peers lend their share and regain it as their load grows.

    A share below one slot is rounded up. Rounding at random kept the sum exact
    but left slots unused between heartbeats, and mean latency rose to 1.3
    times that of random routing without limits.

    :param peers: shares of peers at this server that have not expired.
    """
    concurrency = state.server.concurrency
    if concurrency <= 0:
        return values.limit_max
    share = max(concurrency / member_count, 1.0)
    if not peers:
        return share
    own = len(state.in_flight)
    unused = concurrency - own - sum(peer.in_flight for peer in peers)
    saturated = sum(peer.in_flight >= peer.limit for peer in peers)
    if unused <= 0:
        return share
    return max(share, own + unused / (saturated + 1))


def adapt(
    limits: Limits,
    state: _servers.ServerState,
    values: settings.PolicySettings,
) -> None:
    """Adapt a server's limit after a call ended.

    The limit grows only while most of it is used, since the latency of an
    idle server does not show what it can sustain.
    """
    match limits:
        case NoLimit() | StaticLimit():
            return
        case AdaptiveLimit():
            latency = (
                state.first_token if state.has_tokens else state.whole_call
            )
            if latency.count < _servers.MIN_SAMPLES:
                return
            allowed_ms = latency.floor_ms * values.limit_tolerance
            gradient = min(
                max(allowed_ms / latency.recent_ms, MIN_GRADIENT), 1.0
            )
            target = state.limit * gradient
            if len(state.in_flight) >= state.slots * MIN_UTILIZATION:
                target += math.sqrt(state.limit)
            limit = state.limit + LIMIT_SMOOTHING * (target - state.limit)
            max_limit = state.server.concurrency or values.limit_max
            state.limit = min(max(limit, 1.0), max_limit)
