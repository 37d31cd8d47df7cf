"""Signals that stop a process or make it reload its settings."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class SignalReceiver:
    """Receives stop and reload signals through a pipe.

    Python runs signal handlers only in the main thread, and a signal delivered
    to another thread does not interrupt the main thread's wait for a lock.
    With the pipe, no handler code runs in the middle of other code.

    Create it in the main thread, once per process.

    :param on_reload: called on SIGHUP, by the thread in :meth:`wait`.
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
        """Block until a stop signal; run ``on_reload`` on each SIGHUP."""
        while True:
            number = os.read(self._receiver, 1)[0]
            if number in STOP_SIGNALS:
                return
            if number == signal.SIGHUP and self._on_reload is not None:
                self._on_reload()


def _noop_handler(number: int, frame: object) -> None:
    """Replace the default action, so that only the pipe gets the signal."""
