"""Reads of a socket that must all end before one time.

The timeout of a socket starts anew with each byte, so that a peer that sends
one now and then would never be given up.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from typing import Any

from balsamloom_core import clock as clocks

# As the socket's own; CherryPy's server knows a timeout by this text.
TIMEOUT_MESSAGE = "timed out"


def read_into(
    read: Callable[[Any], int | None],
    buffer: Any,
    connection: socket.socket,
    remaining_ms: float,
) -> int | None:
    """Read once, within a time and the socket's own timeout.

    :param read: reads into a buffer what is there; waits for the first byte.
    :param remaining_ms: time left for this read and all that follow.
    :raises TimeoutError: the time is over.
    """
    if remaining_ms <= 0:
        raise TimeoutError(TIMEOUT_MESSAGE)
    socket_timeout_s = connection.gettimeout()
    remaining_s = remaining_ms / clocks.MS_PER_S
    if remaining_s < (socket_timeout_s or math.inf):
        connection.settimeout(remaining_s)
    try:
        return read(buffer)
    finally:
        connection.settimeout(socket_timeout_s)
