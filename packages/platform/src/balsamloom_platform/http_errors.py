"""Messages for failed HTTP requests, without names of a library."""

from __future__ import annotations

import urllib3


def describe(error: Exception) -> str:
    """Return a short message for users.

    :param error: error of an HTTP request.
    """
    match error:
        case urllib3.exceptions.NameResolutionError():
            return "the host name cannot be resolved"
        case urllib3.exceptions.NewConnectionError():
            strerror = getattr(error.__cause__, "strerror", None)
            return str(strerror or "connection failed")
        case urllib3.exceptions.ConnectTimeoutError():
            return "no connection in time"
        case urllib3.exceptions.ReadTimeoutError():
            return "no answer in time"
        case urllib3.exceptions.ProtocolError():
            return "the connection was lost"
        case urllib3.exceptions.LocationParseError():
            return "not a valid host:port address"
        case _:
            return str(error)
