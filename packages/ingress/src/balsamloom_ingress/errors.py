"""Errors of request bodies and of the memory that they need."""

from __future__ import annotations


class BodyError(Exception):
    """Base of the errors of request bodies."""


class BodyTooLargeError(BodyError):
    """A body, its framing or its trailers exceed a limit."""


class MalformedBodyError(BodyError):
    """A body is truncated or wrongly encoded."""


class ShedError(Exception):
    """The process has no room for what a caller sends.

    :param reason: what is short.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
