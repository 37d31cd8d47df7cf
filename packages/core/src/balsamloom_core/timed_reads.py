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
TIMED_OUT = "timed out"


def read_into(
    read: Callable[[Any], int | None],
    buffer: Any,
    connection: socket.socket,
    left_ms: float,
) -> int | None:
    """Read once, within a time and the socket's own timeout.

    :param read: reads into a buffer what is there; waits for the first byte.
    :param left_ms: time left for this read and all that follow.
    :raises TimeoutError: the time is over.
    """
    if left_ms <= 0:
        raise TimeoutError(TIMED_OUT)
    usual_s = connection.gettimeout()
    left_s = left_ms / clocks.MS_PER_S
    if left_s < (usual_s or math.inf):
        connection.settimeout(left_s)
    try:
        return read(buffer)
    finally:
        connection.settimeout(usual_s)
