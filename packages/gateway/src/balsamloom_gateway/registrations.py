"""Registrations that may lapse while the store is away."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class Registrations(Generic[T]):
    """Values by name; a lapsed one may be held until a time.

    Not safe for several threads; the owner has a lock.
    """

    def __init__(self) -> None:
        self._values: dict[str, T] = {}
        self._held_until_ms: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def values(self) -> list[T]:
        """Return the values in the order in which they came."""
        return list(self._values.values())

    def get(self, name: str) -> T | None:
        """Return a value, if there is one."""
        return self._values.get(name)

    def put(self, name: str, value: T) -> T | None:
        """Take a registration in; return the one before it."""
        self._held_until_ms.pop(name, None)
        former = self._values.get(name)
        self._values[name] = value
        return former

    def remove(self, name: str) -> T | None:
        """Drop a registration and return it."""
        self._held_until_ms.pop(name, None)
        return self._values.pop(name, None)

    def hold(self, name: str, until_ms: float) -> None:
        """Keep a lapsed registration until a time."""
        if name in self._values:
            self._held_until_ms[name] = until_ms

    def drop_expired(self, now_ms: float) -> list[T]:
        """Drop held registrations whose time is over and return them."""
        expired = [
            name
            for name, until_ms in self._held_until_ms.items()
            if now_ms >= until_ms
        ]
        found = [self.remove(name) for name in expired]
        return [value for value in found if value is not None]
