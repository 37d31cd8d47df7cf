"""Scheduling priority of a request; lower values are more urgent."""

from __future__ import annotations


def call_priority(workspace_priority: int | None, route_priority: int) -> int:
    """Return the priority of a call, which model engines are told.

    :param workspace_priority: ``None`` if the workspace leaves it to the
        route, or there is none.
    """
    if workspace_priority is None:
        return route_priority
    return workspace_priority
