"""Descriptions of unexpected errors for the logs."""

from __future__ import annotations

import pathlib
import traceback
from collections.abc import Callable

# Call frames that a log line shows.
MAX_FRAMES = 6


def task_name(task: Callable[..., object]) -> str:
    """Return the name of the function or method that failed."""
    return str(getattr(task, "__qualname__", repr(task)))


def place(error: BaseException) -> str:
    """Return the lines that led to an error, the innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(
        f"{pathlib.PurePath(frame.filename).stem}:{frame.lineno}"
        for frame in frames
    )
