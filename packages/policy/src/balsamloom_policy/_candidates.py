"""Selects the next waiting call and its server."""

from __future__ import annotations

from typing import Any

from balsamloom_policy import (
    _policies,
    _pool,
    _servers,
    ordering,
    tickets,
)


def next_entries(
    pool: _pool.Pool, now_ms: float, policies: _policies.Policies
) -> list[Any]:
    """Return the calls that may be next, in the order of service."""
    values = policies.values
    urgent = pool.queue.urgent_head()
    heads: list[Any] = list(pool.queue.heads(now_ms, values))
    if isinstance(policies.ordering, ordering.AttainedService):
        heads = [
            entry
            for entry in heads
            if _is_within_long_share(pool, entry, now_ms, policies)
        ]
    if urgent is None:
        return heads
    max_urgent = max(values.urgent_share * pool.slots, 1.0)
    if heads and pool.urgent_in_flight >= max_urgent:
        return [*heads, urgent]
    return [urgent, *heads]


def choose_server(
    ticket: tickets.Ticket,
    eligible: list[_servers.ServerState],
    now_ms: float,
    policies: _policies.Policies,
) -> _servers.ServerState:
    """Choose the server for a call among the eligible ones."""
    return ticket.pool.router.choose(
        policies.routing,
        policies.affinity,
        ticket.profile,
        eligible,
        ticket.pool.servers,
        now_ms,
        policies.values,
    )


def mark_long_calls(
    pool: _pool.Pool, now_ms: float, policies: _policies.Policies
) -> None:
    """Mark and count calls that became long while in flight."""
    values = policies.values
    long_ms = values.level_base_ms * 2 ** (values.long_level - 1)
    for state in pool.servers.values():
        for ticket in state.in_flight:
            assert isinstance(ticket, tickets.Ticket)
            if ticket.is_long:
                continue
            age_ms = now_ms - ticket.assigned_ms
            if ticket.profile.attained_ms + age_ms >= long_ms:
                ticket.is_long = True
                pool.long_in_flight += 1


def requeue(
    pool: _pool.Pool,
    entries: list[Any],
    previous: ordering.Ordering,
    policies: _policies.Policies,
) -> None:
    """Rebuild the queue of waiting calls for changed policies."""
    for entry in entries:
        pool.queue.remove(previous, entry)
    pool.queue = ordering.Queue()
    for entry in sorted(entries, key=lambda entry: entry.queued_ms):
        entry.level = ordering.queue_level(
            policies.ordering, entry.profile, policies.values
        )
        pool.queue.push(policies.ordering, entry)


def _is_within_long_share(
    pool: _pool.Pool,
    entry: Any,
    now_ms: float,
    policies: _policies.Policies,
) -> bool:
    values = policies.values
    if entry.level < values.long_level:
        return True
    if pool.long_in_flight < max(values.long_share * pool.slots, 1.0):
        return True
    # A call that has aged enough may use slots reserved for short calls.
    level = ordering.aged_level(entry, now_ms, values)
    return level < values.long_level - 1
