"""Priority of a call at its model engine; lower values are more urgent."""

from __future__ import annotations

from balsamloom_gateway import responses
from balsamloom_policy import urgency
from balsamloom_workspaces import priorities


def engine_priority(
    call: responses.Call,
    estimate_ms: float,
    now_ms: float,
    orders_by_program_time: bool,
) -> int:
    """Return the priority that the engine is told.

    :param estimate_ms: estimated duration of the call.
    :param orders_by_program_time: whether programs with little time left go
        first among those of equal priority.
    """
    workspace = call.workspace
    rank = priorities.call_priority(
        workspace.priority if workspace else None, call.route.priority
    )
    if not orders_by_program_time:
        return rank
    left_ms = call.program_left_ms(now_ms)
    if left_ms is None:
        return urgency.engine_priority(rank, None)
    time = urgency.ProgramTime(call.metadata.program_id, left_ms, estimate_ms)
    return urgency.engine_priority(rank, time)
