"""Socket reads that share one deadline.

A socket timeout restarts with each read, so a peer that sends single bytes
slowly would never time out.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from typing import Any

from balsamloom_core import clock as clocks

# Same text as the socket module's; CherryPy's server compares it.
TIMEOUT_MESSAGE = "timed out"


def read_into(
    read: Callable[[Any], int | None],
    buffer: Any,
    connection: socket.socket,
    remaining_ms: float,
) -> int | None:
    """Read once, within the remaining time and the socket's own timeout.

    :param read: blocking read into a buffer, such as ``readinto``.
    :param buffer: buffer passed to ``read``.
    :param connection: socket whose timeout bounds the read.
    :param remaining_ms: time until the deadline.
    :return: result of ``read``.
    :raises TimeoutError: if the deadline or the socket's timeout passes.
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
