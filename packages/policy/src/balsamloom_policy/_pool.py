"""State of one pool: its servers, waiting calls and measured rates."""

from __future__ import annotations

import collections
import math
import random
from typing import Any

from balsamloom_policy import (
    _servers,
    admission,
    calls,
    health,
    ordering,
    routing,
    settings,
)

CALL_WEIGHT = 0.05
# Estimates are averages, and half of all calls are shorter.
SHORTEST_CALL_FACTOR = 0.7


class Pool:
    """Servers, queue and counters of one model or service."""

    def __init__(self, name: str, generator: random.Random) -> None:
        self.name = name
        self.servers: dict[str, _servers.ServerState] = {}
        self.queue = ordering.Queue()
        self.router = routing.Router(generator)
        self.drain_rate = admission.DrainRate()
        self.retry_schedule = admission.RetrySchedule()
        self.customer_calls: collections.Counter[str] = collections.Counter()
        self.total_calls = 0
        self.urgent_in_flight = 0
        self.long_in_flight = 0
        self.mean_call_ms = 0.0
        self.checked_ms = -math.inf
        self.delayed_retries: list[tuple[float, int, Any]] = []
        self.slots = 0.0
        self.fastest: _servers.ServerState | None = None

    @property
    def has_server(self) -> bool:
        """Return whether there is a server that is not leaving."""
        return any(
            not state.server.is_leaving for state in self.servers.values()
        )

    def update_totals(self) -> None:
        """Recompute the pool's slots and its fastest server."""
        active = [
            state
            for state in self.servers.values()
            if not state.is_ejected and not state.server.is_leaving
        ]
        self.slots = sum(max(state.slots, 1.0) for state in active)
        empty_profile = calls.CallProfile("", "", self.name)
        known = [state for state in active if state.sample_count]
        self.fastest = min(
            known,
            key=lambda state: state.service_ms(empty_profile) * state.slowness,
            default=None,
        )

    def min_service_ms(self, profile: calls.CallProfile) -> float:
        """Return an optimistic estimate of a call's duration."""
        if self.fastest is None:
            return 0.0
        return self.fastest.service_ms(profile) * SHORTEST_CALL_FACTOR

    def drain_per_ms(self, now_ms: float) -> float:
        """Return the rate at which calls end while all slots are used.

        Right after a rise in demand the finished calls still reflect the
        lower demand, so the rate that the slots allow is the lower bound.
        """
        measured = self.drain_rate.per_ms(now_ms)
        if self.mean_call_ms <= 0 or math.isinf(self.slots):
            return measured
        return max(measured, self.slots / self.mean_call_ms)

    def record_end(self, duration_ms: float, now_ms: float) -> None:
        """Update drain rate and mean duration at the end of a call."""
        self.drain_rate.record_end(now_ms)
        if self.mean_call_ms <= 0:
            self.mean_call_ms = duration_ms
        self.mean_call_ms += CALL_WEIGHT * (duration_ms - self.mean_call_ms)

    def load(
        self, profile: calls.CallProfile, level: int, now_ms: float
    ) -> admission.PoolLoad:
        """Return the load that admission control checks a call against."""
        return admission.PoolLoad(
            queued=self.queue.count,
            ahead=self.queue.count_ahead(level, profile.is_urgent),
            drain_per_ms=self.drain_per_ms(now_ms),
            service_ms=self.min_service_ms(profile),
            customer_calls=self.customer_calls[profile.customer],
            total_calls=self.total_calls,
            customer_count=len(self.customer_calls),
        )

    def add_customer_call(self, customer: str) -> None:
        """Add a waiting or running call to its customer's count."""
        self.customer_calls[customer] += 1
        self.total_calls += 1

    def remove_customer_call(self, customer: str) -> None:
        """Subtract an ended call; customers without calls are dropped."""
        self.customer_calls[customer] -= 1
        self.total_calls -= 1
        if self.customer_calls[customer] <= 0:
            del self.customer_calls[customer]

    def eligible_servers(
        self,
        profile: calls.CallProfile,
        avoided_ids: frozenset[str],
        now_ms: float,
        values: settings.PolicySettings,
    ) -> list[_servers.ServerState]:
        """Return the servers that may take a call now.

        :param avoided_ids: servers where the call failed or runs; used only
            if the pool has no others.
        """
        extra = values.urgent_extra_slots if profile.is_urgent else 0
        eligible = []
        has_allowed_server = False
        for state in self.servers.values():
            if state.is_ejected or state.server.is_leaving:
                continue
            if state.server.server_id in avoided_ids:
                continue
            has_allowed_server = True
            if len(state.in_flight) < state.slots + extra:
                eligible.append(state)
        if has_allowed_server or not avoided_ids:
            return eligible
        return self.eligible_servers(profile, frozenset(), now_ms, values)

    def trial_server(
        self, profile: calls.CallProfile, now_ms: float
    ) -> _servers.ServerState | None:
        """Return an ejected server due for a trial, if the call may be one."""
        if profile.is_urgent or not profile.is_idempotent:
            return None
        for state in self.servers.values():
            if not state.is_ejected or state.server.is_leaving:
                continue
            if health.is_trial_due(state, now_ms):
                return state
        return None

    def describe(self, now_ms: float) -> dict[str, Any]:
        """Return the pool's state for a dump."""
        return {
            "waiting": self.queue.count,
            "in_flight": sum(
                len(state.in_flight) for state in self.servers.values()
            ),
            "available": sum(
                not (state.server.is_leaving or state.is_ejected)
                for state in self.servers.values()
            ),
            "rate_per_s": round(self.drain_per_ms(now_ms) * 1000, 2),
            "hold_ms": round(self.mean_call_ms, 1),
            "urgent_in_flight": self.urgent_in_flight,
            "long_in_flight": self.long_in_flight,
            "prefixes": len(self.router.index),
            "customers": dict(self.customer_calls),
            "servers": {
                server_id: _describe_server(state)
                for server_id, state in self.servers.items()
            },
        }


def _describe_server(state: _servers.ServerState) -> dict[str, Any]:
    slots = None if math.isinf(state.slots) else round(state.slots, 2)
    return {
        "in_flight": len(state.in_flight),
        "slots": slots,
        "slowness": round(state.slowness, 2),
        "is_ejected": state.is_ejected,
        "is_leaving": state.server.is_leaving,
        "first_token_ms": round(state.first_token.typical_ms, 1),
        "gap_ms": round(state.token_gap.typical_ms, 2),
        "call_ms": round(state.whole_call.typical_ms, 1),
        "peer_in_flight": state.peer_in_flight,
    }
