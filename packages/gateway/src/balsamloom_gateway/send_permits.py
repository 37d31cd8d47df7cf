"""Permits to send requests to backend servers that limit their rate.

One member counts the requests to a server on behalf of all. It is chosen by
hashing; another one takes over if it does not answer. A process that reaches
no other member uses an equal share of the limit.
"""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Sequence
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    circuit_breaker,
    fleet,
    member_calls,
    membership,
    peers,
    rate_quota,
    server_limits,
    traffic,
)

# A caller waits for these calls.
PERMIT_TIMEOUT_MS = 60.0
BREAKER_BACKOFF = circuit_breaker.Backoff(
    1_000.0, 1_000.0, trial_ms=PERMIT_TIMEOUT_MS
)


class PermitRequest(NamedTuple):
    """Request for a permit, with the sender's latest sighting of the limit.

    Members have different clocks, so the sighting is sent as its age. The
    permit may be valid only after up to ``max_wait_ms``.
    """

    server_id: str
    incarnation: int
    limit_per_s: float | None
    age_ms: float
    max_wait_ms: float


class PermitReply(NamedTuple):
    """Reply to a :class:`PermitRequest` with the granter's latest sighting.

    ``wait_ms`` is the time until the request may be sent or, if it is not
    granted, until another one may be granted.
    """

    is_granted: bool
    wait_ms: float
    limit_per_s: float | None
    age_ms: float


class SendPermits:
    """Permits of this member for its own requests and for other members.

    :param name: name of this member.
    :param limits: known limits of the servers.
    :param clients: other members.
    :param view: registered members.
    :param clock: time source.
    """

    def __init__(
        self,
        name: str,
        limits: server_limits.ServerLimits,
        clients: peers.PeerClients,
        view: fleet.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self.limits = limits
        self._calls = member_calls.MemberCalls(clients, BREAKER_BACKOFF, clock)
        self._fleet = view
        self._clock = clock
        self._lock = threading.Lock()
        self._quotas: dict[tuple[str, int], rate_quota.RateQuota] = {}

    def record(
        self, server: traffic.BackendServer, report: rate_quota.LimitReport
    ) -> None:
        """Record what a server said of its limit."""
        self.limits.record(
            server.server_id,
            server.incarnation,
            report.sighting(self._clock.now_ms()),
        )

    def keep_only(self, servers: Sequence[traffic.BackendServer]) -> None:
        """Forget the limits of all servers but those given."""
        self.limits.keep_only(servers)
        runs = {(server.server_id, server.incarnation) for server in servers}
        with self._lock:
            self._quotas = {
                run: quota
                for run, quota in self._quotas.items()
                if run in runs
            }

    def acquire(
        self, server: traffic.BackendServer, max_wait_ms: float = 0.0
    ) -> rate_quota.Permit:
        """Return whether one request may be sent to a server.

        :param max_wait_ms: time that it may wait.
        """
        if not self.limits.is_limited(server):
            return rate_quota.Granted()
        run = (server.server_id, server.incarnation)
        members = self._fleet.members()
        for granter in granters(server.server_id, members):
            if granter.name == self._name:
                return self._take(run, 1, max_wait_ms)
            reply = self._request(granter, server, max_wait_ms)
            if reply is not None:
                return _permit(reply)
        return self._take(run, len(members), max_wait_ms)

    def grant(self, request: PermitRequest) -> PermitReply:
        """Decide on the request of another member."""
        run = (request.server_id, request.incarnation)
        seen_ms = self._clock.now_ms() - request.age_ms
        self.limits.record(
            *run, rate_quota.LimitSighting(request.limit_per_s, seen_ms)
        )
        permit = self._take(run, 1, request.max_wait_ms)
        seen = self.limits.latest(*run)
        limit_per_s = seen.limit_per_s if seen else None
        latest_ms = seen.seen_ms if seen else seen_ms
        age_ms = self._clock.now_ms() - latest_ms
        match permit:
            case rate_quota.Granted(wait_ms):
                return PermitReply(True, wait_ms, limit_per_s, age_ms)
            case rate_quota.Denied(retry_after_ms):
                return PermitReply(False, retry_after_ms, limit_per_s, age_ms)

    def _take(
        self, run: tuple[str, int], share: int, max_wait_ms: float
    ) -> rate_quota.Permit:
        """Take a token of a server's quota at this member.

        :param run: identifier and incarnation of the server.
        :param share: number of members that share the limit evenly.
        """
        seen = self.limits.latest(*run)
        if seen is None or seen.limit_per_s is None:
            return rate_quota.Granted()
        now_ms = self._clock.now_ms()
        rate_per_s = max(seen.limit_per_s, rate_quota.MIN_RATE_PER_S)
        with self._lock:
            quota = self._quotas.setdefault(run, rate_quota.RateQuota(now_ms))
            return quota.take(rate_per_s / max(share, 1), now_ms, max_wait_ms)

    def _request(
        self,
        granter: traffic.Member,
        server: traffic.BackendServer,
        max_wait_ms: float,
    ) -> PermitReply | None:
        """Ask a member for a permit; return ``None`` if it does not answer."""
        seen = self.limits.latest(server.server_id, server.incarnation)
        if seen is None:
            return None
        request = PermitRequest(
            server.server_id,
            server.incarnation,
            seen.limit_per_s,
            self._clock.now_ms() - seen.seen_ms,
            max_wait_ms,
        )
        answer = self._calls.call(
            granter, peers.PERMIT_PATH, request._asdict(), PERMIT_TIMEOUT_MS
        )
        if answer is None:
            return None
        try:
            reply = decode_reply(answer)
        except ValueError as error:
            events.log(
                events.Event.PEER_MESSAGE_DAMAGED,
                logging.WARNING,
                path=peers.PERMIT_PATH,
                reason=str(error),
            )
            return None
        self.limits.record(
            server.server_id,
            server.incarnation,
            rate_quota.LimitSighting(
                reply.limit_per_s, self._clock.now_ms() - reply.age_ms
            ),
        )
        return reply


def granters(
    server_id: str, members: Sequence[traffic.Member]
) -> list[traffic.Member]:
    """Return the members that may grant permits, the preferred one first."""
    return membership.budget_holders(server_id, members)


def decode_request(body: dict[str, Any]) -> PermitRequest:
    """Decode a permit request.

    :raises ValueError: it is malformed.
    """
    try:
        return PermitRequest(
            str(body["server_id"]),
            int(body["incarnation"]),
            _optional_number(body["limit_per_s"]),
            _number(body["age_ms"]),
            _number(body["max_wait_ms"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(repr(error)) from error


def decode_reply(body: dict[str, Any]) -> PermitReply:
    """Decode a permit reply.

    :raises ValueError: it is malformed.
    """
    try:
        return PermitReply(
            bool(body["is_granted"]),
            _number(body["wait_ms"]),
            _optional_number(body["limit_per_s"]),
            _number(body["age_ms"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(repr(error)) from error


def _permit(reply: PermitReply) -> rate_quota.Permit:
    if reply.is_granted:
        return rate_quota.Granted(reply.wait_ms)
    return rate_quota.Denied(reply.wait_ms)


def _optional_number(value: Any) -> float | None:
    return None if value is None else _number(value)


def _number(value: Any) -> float:
    """Decode a rate or a duration.

    :raises ValueError: it is negative or not finite.
    """
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{value!r} is not a finite number from 0")
    return number
