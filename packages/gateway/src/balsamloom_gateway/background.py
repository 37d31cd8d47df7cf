"""Background loops of a process."""

from __future__ import annotations

import logging
import pathlib
import threading
import traceback
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events

# Pause before a failed loop is restarted.
RESTART_DELAY_MS = 200.0
# Call frames that a log line shows.
MAX_FRAMES = 6


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
            events.log(
                events.Event.BACKGROUND_FAILED,
                logging.ERROR,
                task=getattr(target, "__qualname__", repr(target)),
                reason=repr(error),
                place=failure_place(error),
            )
            clock.sleep(RESTART_DELAY_MS)


def failure_place(error: BaseException) -> str:
    """Return the lines that led to an error, the innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(
        f"{pathlib.PurePath(frame.filename).stem}:{frame.lineno}"
        for frame in frames
    )
