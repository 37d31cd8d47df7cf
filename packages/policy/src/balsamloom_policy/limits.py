"""Concurrency limits per server, shared without a central counter."""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple

from balsamloom_policy import _servers, calls, settings

SMOOTHING = 0.2
GRADIENT_MIN = 0.5
IN_USE = 0.8


@dataclasses.dataclass(frozen=True)
class Adaptive:
    """Follows latency against its lowest level (gradient)."""


@dataclasses.dataclass(frozen=True)
class Static:
    """Keeps the starting share."""


@dataclasses.dataclass(frozen=True)
class NoLimit:
    """Sends at once whatever comes; the baseline."""


Limits = Adaptive | Static | NoLimit


class PeerShare(NamedTuple):
    """A peer's share at one server and when it was told."""

    share: calls.ServerShare
    told_ms: float


def policy(values: settings.PolicySettings) -> Limits:
    """Return the variant that the settings select."""
    match values.limits:
        case "adaptive":
            return Adaptive()
        case "static":
            return Static()
        case _:
            return NoLimit()


def starting_limit(
    limits: Limits,
    server: calls.Server,
    member_count: int,
    values: settings.PolicySettings,
) -> float:
    """Return the limit of a server of which nothing is learnt yet.

    An adaptive limit starts at the whole of a stated concurrency, so that
    slots which peers lend can be used at once; :func:`cap` holds the share.
    """
    match limits:
        case NoLimit():
            return math.inf
        case Adaptive() if server.concurrency > 0:
            return float(server.concurrency)
        case Static() if server.concurrency > 0:
            return max(server.concurrency / member_count, 1.0)
        case _:
            return values.initial_limit


def cap(
    state: _servers.ServerState,
    peers: list[calls.ServerShare],
    member_count: int,
    values: settings.PolicySettings,
) -> float:
    """Return the largest limit that peers' counts leave to this process.

    Slots that nobody uses are divided among the processes that are at their
    limit, so that idle peers lend their share and take it back as they fill.

    A share below one slot is rounded up. Leaving the rounding to chance kept
    the sum exact but slots empty between heartbeats, and mean latency rose to
    1.3 times that of random routing without limits.

    :param peers: fresh shares of peers at this server.
    """
    concurrency = state.server.concurrency
    if concurrency <= 0:
        return values.limit_max
    share = max(concurrency / member_count, 1.0)
    if not peers:
        return share
    own = len(state.in_flight)
    unused = concurrency - own - sum(peer.in_flight for peer in peers)
    wanting = sum(peer.in_flight >= peer.limit for peer in peers)
    if unused <= 0:
        return share
    return max(share, own + unused / (wanting + 1))


def adapt(
    limits: Limits,
    state: _servers.ServerState,
    values: settings.PolicySettings,
) -> None:
    """Move a server's limit after a call ended.

    The limit grows only while it is in use: an idle server's latency says
    nothing of a higher load.
    """
    match limits:
        case NoLimit() | Static():
            return
        case Adaptive():
            level = state.first_token if state.has_tokens else state.call
            if level.count < _servers.MIN_SAMPLES:
                return
            allowed_ms = level.floor * values.limit_tolerance
            gradient = min(max(allowed_ms / level.recent, GRADIENT_MIN), 1.0)
            target = state.limit * gradient
            if len(state.in_flight) >= state.slots * IN_USE:
                target += math.sqrt(state.limit)
            limit = state.limit + SMOOTHING * (target - state.limit)
            largest = state.server.concurrency or values.limit_max
            state.limit = min(max(limit, 1.0), largest)
