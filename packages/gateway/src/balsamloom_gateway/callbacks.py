"""Default for callbacks that another component may set."""

from __future__ import annotations


def ignore(*_: object) -> None:
    """Do nothing, whatever the arguments."""
