"""When a second request for one call may help."""

from __future__ import annotations

from balsamloom_policy import _servers, retries, settings, tickets


def may_hedge(
    ticket: tickets.Ticket,
    budget: retries.Budget,
    values: settings.PolicySettings,
) -> bool:
    """Return whether a call may run at a second server."""
    if not ticket.profile.is_idempotent or ticket.is_over:
        return False
    if ticket.server is None or ticket.first_token_ms is not None:
        return False
    # Half of the budget is kept for retries and for urgent calls.
    kept = 0.0 if ticket.profile.is_urgent else values.retry_burst / 2
    if budget.tokens < 1 + kept:
        return False
    return len(ticket.pool.servers) > 1


def delay_ms(
    ticket: tickets.Ticket, now_ms: float, values: settings.PolicySettings
) -> float | None:
    """Return when to send a second request, or None for never.

    :param ticket: assigned call without a first token.
    """
    usual_ms = _usual_start_ms(ticket)
    if usual_ms <= 0:
        return None
    end_ms = ticket.assigned_ms + usual_ms * values.hedge_ratio
    return max(end_ms - now_ms, 0.0)


def _usual_start_ms(ticket: tickets.Ticket) -> float:
    """Return the pool's usual time until a call shows life."""
    known = [
        state.first_token.usual if state.has_tokens else state.call.usual
        for state in ticket.pool.servers.values()
        if state.sample_count >= _servers.MIN_SAMPLES
    ]
    if not known:
        return 0.0
    usual_ms = sorted(known)[len(known) // 2]
    state = ticket.server
    if state is None or not state.has_tokens:
        return usual_ms
    # A server that is always slow gains nothing from a second request.
    usual_ms = max(usual_ms, state.first_token.usual)
    return usual_ms * state.prompt_factor(ticket.profile.prompt_tokens)
