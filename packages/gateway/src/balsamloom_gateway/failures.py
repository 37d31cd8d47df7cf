"""Log lines about unexpected errors, with the place where they came from."""

from __future__ import annotations

import logging
import pathlib
import traceback
from collections.abc import Callable

from balsamloom_core import events

# Call frames that a log line shows.
MAX_FRAMES = 6


def log(
    event: events.Event, task: Callable[..., object], error: Exception
) -> None:
    """Log that a function or method failed unexpectedly."""
    events.log(
        event,
        logging.ERROR,
        task=getattr(task, "__qualname__", repr(task)),
        reason=repr(error),
        place=place(error),
    )


def place(error: BaseException) -> str:
    """Return the lines that led to an error, the innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(
        f"{pathlib.PurePath(frame.filename).stem}:{frame.lineno}"
        for frame in frames
    )
