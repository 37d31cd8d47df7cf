"""Decides whether and when to send a second request for a call."""

from __future__ import annotations

from balsamloom_policy import _servers, retries, settings, tickets


def may_hedge(
    ticket: tickets.Ticket,
    budget: retries.RetryBudget,
    values: settings.PolicySettings,
) -> bool:
    """Return whether a call may be sent to a second server."""
    if not ticket.profile.is_idempotent or ticket.is_over:
        return False
    if ticket.server is None or ticket.first_token_ms is not None:
        return False
    # Half of the budget is reserved for retries and urgent calls.
    reserved = 0.0 if ticket.profile.is_urgent else values.retry_burst / 2
    if budget.tokens < 1 + reserved:
        return False
    return len(ticket.pool.servers) > 1


def delay_ms(
    ticket: tickets.Ticket, now_ms: float, values: settings.PolicySettings
) -> float | None:
    """Return the delay in ms until a hedge, or None for no hedge.

    :param ticket: assigned call without a first token.
    """
    typical_ms = _typical_response_ms(ticket)
    if typical_ms <= 0:
        return None
    hedge_ms = ticket.assigned_ms + typical_ms * values.hedge_ratio
    return max(hedge_ms - now_ms, 0.0)


def _typical_response_ms(ticket: tickets.Ticket) -> float:
    """Return the median typical time to the first response in the pool."""
    times_ms = [
        state.first_token.typical_ms
        if state.has_tokens
        else state.whole_call.typical_ms
        for state in ticket.pool.servers.values()
        if state.sample_count >= _servers.MIN_SAMPLES
    ]
    if not times_ms:
        return 0.0
    typical_ms = sorted(times_ms)[len(times_ms) // 2]
    state = ticket.server
    if state is None or not state.has_tokens:
        return typical_ms
    # A second request gains nothing if the server is always this slow.
    typical_ms = max(typical_ms, state.first_token.typical_ms)
    return typical_ms * state.prompt_factor(ticket.profile.prompt_tokens)
