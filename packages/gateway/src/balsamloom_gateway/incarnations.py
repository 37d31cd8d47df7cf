"""Identifiers of the runs of a member, which also tell its capacity.

Builds before this one decode a registration with exactly the fields that they
know, and take the incarnation as a whole. So the capacity is a part of it.
"""

from __future__ import annotations

# Above any host; larger figures are errors of their writer.
MAX_CAPACITY_MILLICORES = 1_000_000
_SEPARATOR = "."


def build(run_id: str, capacity_millicores: int) -> str:
    """Return the incarnation of a run.

    :param run_id: unique id of the run.
    :param capacity_millicores: processor of its host.
    """
    return f"{run_id}{_SEPARATOR}{capacity_millicores}"


def capacity_millicores(incarnation: str) -> int | None:
    """Return the processor of a member's host, in thousandths of a core.

    :return: ``None`` if the member's build does not tell it.
    """
    _, separator, figure = incarnation.rpartition(_SEPARATOR)
    if not separator or not figure.isascii() or not figure.isdigit():
        return None
    if len(figure) > len(str(MAX_CAPACITY_MILLICORES)):
        return None
    return min(int(figure), MAX_CAPACITY_MILLICORES)
