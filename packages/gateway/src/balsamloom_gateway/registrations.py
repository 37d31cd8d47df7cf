"""Registrations that outlive their lease during a store outage."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class Registrations(Generic[T]):
    """Values by name; an expired one can be held until a deadline.

    Not thread-safe; the owner must hold a lock.
    """

    def __init__(self) -> None:
        self._values: dict[str, T] = {}
        self._held_until_ms: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def values(self) -> list[T]:
        """Return the values in insertion order."""
        return list(self._values.values())

    def get(self, name: str) -> T | None:
        """Return the value of a name, ``None`` if it has none."""
        return self._values.get(name)

    def put(self, name: str, value: T) -> T | None:
        """Add or replace a registration; return the previous one."""
        self._held_until_ms.pop(name, None)
        previous = self._values.get(name)
        self._values[name] = value
        return previous

    def remove(self, name: str) -> T | None:
        """Remove a registration and return it."""
        self._held_until_ms.pop(name, None)
        return self._values.pop(name, None)

    def hold(self, name: str, until_ms: float) -> None:
        """Keep an expired registration until a deadline."""
        if name in self._values:
            self._held_until_ms[name] = until_ms

    def drop_expired(self, now_ms: float) -> list[T]:
        """Remove and return held registrations whose deadline has passed."""
        expired = [
            name
            for name, until_ms in self._held_until_ms.items()
            if now_ms >= until_ms
        ]
        removed = [self.remove(name) for name in expired]
        return [value for value in removed if value is not None]
