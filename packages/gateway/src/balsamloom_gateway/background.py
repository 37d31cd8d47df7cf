"""Background loops of a process."""

from __future__ import annotations

import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import failures

# Pause before a failed loop is restarted.
RESTART_DELAY_MS = 200.0


def start(target: Callable[[], None], clock: clocks.Clock) -> None:
    """Run a loop in a daemon thread; restart it after an unexpected error."""
    threading.Thread(
        target=_run_with_restarts, args=(target, clock), daemon=True
    ).start()


def _run_with_restarts(
    target: Callable[[], None], clock: clocks.Clock
) -> None:
    while True:
        try:
            target()
            return
        except Exception as error:
            failures.log(events.Event.BACKGROUND_FAILED, target, error)
            clock.sleep(RESTART_DELAY_MS)
