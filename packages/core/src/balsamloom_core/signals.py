"""Signals that stop a process or let it read its settings again."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class SignalReceiver:
    """Takes signals in the main thread, whichever thread gets them.

    A signal that the system gives to another thread does not end the main
    thread's wait for a lock, and only the main thread runs handlers. Signals
    come through a pipe, so that nothing runs in the middle of other code.

    Made by the main thread, once in a process.

    :param on_reload: called for each SIGHUP, by the thread in :meth:`wait`.
    """

    def __init__(self, on_reload: Callable[[], None] | None = None) -> None:
        self._on_reload = on_reload
        self._receiver, sender = os.pipe()
        os.set_blocking(sender, False)
        signal.set_wakeup_fd(sender, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, _noop_handler)
        if on_reload is not None:
            signal.signal(signal.SIGHUP, _noop_handler)

    def wait(self) -> None:
        """Wait for a signal to stop."""
        while True:
            number = os.read(self._receiver, 1)[0]
            if number in STOP_SIGNALS:
                return
            if number == signal.SIGHUP and self._on_reload is not None:
                self._on_reload()


def _noop_handler(number: int, frame: object) -> None:
    """Let a signal through to the pipe instead of its usual effect."""
