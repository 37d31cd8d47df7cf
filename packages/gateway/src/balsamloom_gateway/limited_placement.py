"""Choice of servers of which some limit their request rate."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from balsamloom_gateway import balancer, candidates, rate_quota, send_permits

# Each denial takes a call to another member. After these, a call only goes to
# servers without a limit.
MAX_DENIALS = 3
# Callers notice a longer wait.
MAX_WAIT_MS = 400.0
# A call waits for its server at most for this share of its time.
MAX_WAIT_SHARE = 0.25


class _DeniedChoice(NamedTuple):
    choice: balancer.Choice
    retry_after_ms: float


Choose = Callable[[frozenset[str]], balancer.Choice | candidates.NoServer]


class PermittedChoice(NamedTuple):
    """Server to which a call may be sent after ``wait_ms``.

    ``has_permit`` says that the call is counted in the server's rate limit.
    """

    choice: balancer.Choice
    has_permit: bool
    wait_ms: float


def choose_permitted(
    servers: balancer.Balancer,
    permits: send_permits.SendPermits,
    choose: Choose,
    left_ms: float,
) -> PermittedChoice | candidates.NoServer:
    """Return the best server that takes a call within its limit.

    The call waits for a server only if all of them have limits.

    :param choose: returns the best server of ``servers``, except those given.
    :param left_ms: time until the deadline of the call.
    """
    avoid: frozenset[str] = frozenset()
    denied: list[_DeniedChoice] = []
    while True:
        choice = choose(avoid)
        if isinstance(choice, candidates.NoServer):
            max_wait_ms = min(MAX_WAIT_MS, left_ms * MAX_WAIT_SHARE)
            return _wait_for_one(permits, denied, max_wait_ms) or choice
        is_limited = permits.limits.is_limited(choice.server)
        match permits.acquire(choice.server):
            case rate_quota.Granted():
                return PermittedChoice(choice, is_limited, 0.0)
            case rate_quota.Denied(retry_after_ms):
                servers.deny(choice, retry_after_ms)
                denied.append(_DeniedChoice(choice, retry_after_ms))
                avoid |= {choice.server.server_id}
        if len(denied) >= MAX_DENIALS:
            avoid |= permits.limits.limited_servers()


def _wait_for_one(
    permits: send_permits.SendPermits,
    denied: list[_DeniedChoice],
    max_wait_ms: float,
) -> PermittedChoice | candidates.NoServer | None:
    """Return the server that takes the call soonest, if that is in time.

    :return: ``None`` if no server was denied.
    """
    if not denied:
        return None
    soonest = min(denied, key=lambda one: one.retry_after_ms)
    match permits.acquire(soonest.choice.server, max_wait_ms):
        case rate_quota.Granted(wait_ms):
            return PermittedChoice(soonest.choice, True, wait_ms)
        case rate_quota.Denied(retry_after_ms):
            return candidates.NoServer(
                "the servers have reached their rate limits", retry_after_ms
            )
