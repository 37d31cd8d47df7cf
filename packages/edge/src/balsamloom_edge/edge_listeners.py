"""Listeners of an edge process, which share the limits of the process."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_edge import settings as edge_settings
from balsamloom_gateway import listener_limits, listeners
from balsamloom_ingress import guards


class Handlers(NamedTuple):
    """Handlers of the requests at each listener."""

    callers: listeners.Handler
    members: listeners.Handler
    operators: listeners.Handler
    ready: listeners.Handler
    lookup: listeners.Handler


class EdgeListeners(NamedTuple):
    """Listeners of callers and of members, and those beside them."""

    callers: listeners.Listener
    members: listeners.Listener
    auxiliary: tuple[listeners.Listener, ...]


def build(
    settings: edge_settings.EdgeSettings,
    handlers: Handlers,
    guard: guards.Guard,
) -> EdgeListeners:
    """Build the listeners, before the limits of a configuration are known.

    :param guard: limits and memory of the process.
    """
    process_limits = settings.ingress_limits
    callers = listener_limits.for_callers(
        settings.threads, None, process_limits
    )
    members = listener_limits.for_members(
        settings.threads, None, process_limits
    )
    others = listener_limits.for_others(settings.threads, process_limits)
    return EdgeListeners(
        listeners.Listener(
            settings.caller_address, handlers.callers, callers, guard
        ),
        listeners.Listener(
            settings.peer_address, handlers.members, members, guard
        ),
        tuple(
            listeners.Listener(address, handler, others, guard)
            for address, handler in (
                (settings.metrics_address, handlers.operators),
                (settings.ready_address, handlers.ready),
                (settings.lookup_address, handlers.lookup),
            )
        ),
    )
