"""Callbacks that another component may set."""

from __future__ import annotations

from collections.abc import Callable

from balsamloom_core import events
from balsamloom_gateway import failures


def ignore(*_: object) -> None:
    """Do nothing, whatever the arguments."""


def agree(*_: object) -> bool:
    """Return true, whatever the arguments."""
    return True


def refuse(*_: object) -> bool:
    """Return false, whatever the arguments."""
    return False


def run_isolated(callback: Callable[..., object], *arguments: object) -> bool:
    """Run a callback; log an error, so that others run in spite of it.

    :return: whether it raised no error.
    """
    try:
        callback(*arguments)
    except Exception as error:
        failures.log(events.Event.CHANGE_NOT_APPLIED, callback, error)
        return False
    return True
