"""Causes of failed connections in words, without a library's own names."""

from __future__ import annotations

import urllib3


def describe(error: Exception) -> str:
    """Return a short cause for a person.

    :param error: error of a request over HTTP.
    """
    match error:
        case urllib3.exceptions.NameResolutionError():
            return "the host name cannot be resolved"
        case urllib3.exceptions.NewConnectionError():
            strerror = getattr(error.__cause__, "strerror", None)
            return str(strerror or "no connection")
        case urllib3.exceptions.ConnectTimeoutError():
            return "no connection in time"
        case urllib3.exceptions.ReadTimeoutError():
            return "no answer in time"
        case urllib3.exceptions.ProtocolError():
            return "the connection broke"
        case urllib3.exceptions.LocationParseError():
            return "this is no valid host:port"
        case _:
            return str(error)
