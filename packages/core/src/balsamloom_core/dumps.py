"""State dump of a process, collected from its components."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

DumpFunction = Callable[[], dict[str, Any]]


class DumpRegistry:
    """Registry of components and the functions that dump their state."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._parts: dict[str, DumpFunction] = {}

    def register(self, name: str, describe: DumpFunction) -> None:
        """Add a component.

        :param name: key of the component in the dump.
        :param describe: function that returns JSON-compatible state.
        """
        with self._lock:
            self._parts[name] = describe

    def dump(self) -> dict[str, Any]:
        """Return the state of each component, or the error it raised."""
        with self._lock:
            parts = dict(self._parts)
        return {name: _describe(describe) for name, describe in parts.items()}


def _describe(describe: DumpFunction) -> dict[str, Any]:
    try:
        return describe()
    except Exception as error:
        # One failing component must not hide the state of the others.
        return {"error": f"{type(error).__name__}: {error}"}
