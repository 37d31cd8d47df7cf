"""When a second request for one call may help."""

from __future__ import annotations

from balsamloom_policy import _servers, retries, settings, tickets


def may_hedge(
    ticket: tickets.Ticket,
    budget: retries.RetryBudget,
    values: settings.PolicySettings,
) -> bool:
    """Return whether a call may run at a second server."""
    if not ticket.profile.is_idempotent or ticket.is_over:
        return False
    if ticket.server is None or ticket.first_token_ms is not None:
        return False
    # Half of the budget is kept for retries and for urgent calls.
    reserved_tokens = (
        0.0 if ticket.profile.is_urgent else values.retry_burst / 2
    )
    if budget.tokens < 1 + reserved_tokens:
        return False
    return len(ticket.pool.servers) > 1


def delay_ms(
    ticket: tickets.Ticket, now_ms: float, values: settings.PolicySettings
) -> float | None:
    """Return when to send a second request, or None for never.

    :param ticket: assigned call without a first token.
    """
    typical_ms = _typical_response_ms(ticket)
    if typical_ms <= 0:
        return None
    end_ms = ticket.assigned_ms + typical_ms * values.hedge_ratio
    return max(end_ms - now_ms, 0.0)


def _typical_response_ms(ticket: tickets.Ticket) -> float:
    """Return the pool's usual time until a call shows life."""
    typical_times_ms = [
        state.first_token.typical_ms
        if state.has_tokens
        else state.whole_call.typical_ms
        for state in ticket.pool.servers.values()
        if state.sample_count >= _servers.MIN_SAMPLES
    ]
    if not typical_times_ms:
        return 0.0
    typical_ms = sorted(typical_times_ms)[len(typical_times_ms) // 2]
    state = ticket.server
    if state is None or not state.has_tokens:
        return typical_ms
    # A server that is always slow gains nothing from a second request.
    typical_ms = max(typical_ms, state.first_token.typical_ms)
    return typical_ms * state.prompt_factor(ticket.profile.prompt_tokens)
