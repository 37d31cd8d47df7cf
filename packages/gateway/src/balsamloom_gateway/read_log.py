"""Log lines about reads of the store's records."""

from __future__ import annotations

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import feed


def log_read(
    copy: feed.Feed,
    clock: clocks.Clock,
    source: str,
    revision: int,
    changes: int,
    started_ms: float,
) -> None:
    """Log what an answer adds to a copy, before it is applied.

    :param source: name of a member, or the call of the store.
    :param revision: revision up to which the answer is complete.
    :param changes: number of changes in it.
    :param started_ms: time at which it was asked for.
    """
    events.log(
        events.Event.RECORDS_READ,
        source=source,
        after_revision=copy.store_revision,
        store_revision=revision,
        changes=changes,
        spent_ms=round(clock.now_ms() - started_ms),
        age_ms=copy.age_ms(),
    )
