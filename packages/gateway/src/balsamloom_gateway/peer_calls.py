"""Shape that all handlers of calls between processes share."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from balsamloom_core import events
from balsamloom_gateway import listeners


class UnavailableError(Exception):
    """The process cannot serve a call now; another one may."""


class PeerCallHandler:
    """Answers calls of other processes, by path.

    :param calls: functions from a call's body to the answer's body; a body
        that they cannot read raises ``ValueError``, ``KeyError`` or
        ``TypeError``.
    :param content_type: type of the answers.
    """

    def __init__(
        self,
        calls: Mapping[str, Callable[[bytes], bytes]],
        content_type: bytes,
    ) -> None:
        self._calls = calls
        self._fields = ((b"Content-Type", content_type),)

    def handle(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer one call."""
        call = self._calls.get(request.path)
        if call is None:
            response.send(404, ())
            return
        try:
            answer = call(request.read_body())
        except UnavailableError as error:
            events.log(
                events.Event.PEER_CALL_REFUSED,
                path=request.path,
                reason=str(error),
            )
            response.send(503, ())
        except (
            ValueError,
            KeyError,
            TypeError,
            listeners.MalformedBodyError,
            listeners.BodyTooLargeError,
        ) as error:
            events.log(
                events.Event.PEER_MESSAGE_DAMAGED,
                logging.WARNING,
                path=request.path,
                reason=repr(error),
            )
            response.close_connection_after()
            response.send(400, ())
        else:
            response.send(200, self._fields, answer)
