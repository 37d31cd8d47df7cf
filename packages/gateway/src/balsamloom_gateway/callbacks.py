"""Default of callbacks that another part may set."""

from __future__ import annotations


def ignore(*_: object) -> None:
    """Follow an event with nothing, as nobody listens to it."""
