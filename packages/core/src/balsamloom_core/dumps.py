"""State dump of a process, put together from functions of its parts."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

DumpFunction = Callable[[], dict[str, Any]]


class DumpRegistry:
    """Named parts of a process, each with a describing function."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._parts: dict[str, DumpFunction] = {}

    def register(self, name: str, describe: DumpFunction) -> None:
        """Add a part.

        :param name: key of the part in the dump.
        :param describe: function that returns JSON-compatible state.
        """
        with self._lock:
            self._parts[name] = describe

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts; a part that fails gives its error."""
        with self._lock:
            parts = dict(self._parts)
        return {name: _describe(describe) for name, describe in parts.items()}


def _describe(describe: DumpFunction) -> dict[str, Any]:
    try:
        return describe()
    except Exception as error:
        # A dump must show the other parts even while one part is broken.
        return {"error": f"{type(error).__name__}: {error}"}
