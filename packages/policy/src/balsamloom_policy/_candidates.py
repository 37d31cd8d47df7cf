"""Which waiting call is next, and at which server."""

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
    """Return the calls that may be next, the first to be served first."""
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
    bound = max(values.urgent_share * pool.slots, 1.0)
    if heads and pool.urgent_in_flight >= bound:
        return [*heads, urgent]
    return [urgent, *heads]


def choose_server(
    ticket: tickets.Ticket,
    found: list[_servers.ServerState],
    now_ms: float,
    policies: _policies.Policies,
) -> _servers.ServerState:
    """Return the server for a call, of those that may take it now."""
    return ticket.pool.router.choose(
        policies.routing,
        policies.affinity,
        ticket.profile,
        found,
        ticket.pool.servers,
        now_ms,
        policies.values,
    )


def mark_long_calls(
    pool: _pool.Pool, now_ms: float, policies: _policies.Policies
) -> None:
    """Count calls that have become long while in flight."""
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
    former: ordering.Ordering,
    policies: _policies.Policies,
) -> None:
    """Put waiting calls into the order of other policies."""
    for entry in entries:
        pool.queue.remove(former, entry)
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
    # An aged call may use the slots kept for short ones.
    level = ordering.aged_level(entry, now_ms, values)
    return level < values.long_level - 1
