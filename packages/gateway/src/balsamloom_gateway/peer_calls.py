"""Common HTTP handler of calls between processes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from balsamloom_core import events
from balsamloom_gateway import listeners


class UnavailableError(Exception):
    """The process cannot serve a call now, but another one may."""


class PeerCallHandler:
    """Dispatches calls of other processes by path.

    :param calls: functions from the request's to the response's body; they
        raise ``ValueError``, ``KeyError`` or ``TypeError`` for a malformed
        body, which is a 400.
    :param content_type: content type of the responses.
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
        """Handle one call."""
        call = self._calls.get(request.path)
        if call is None:
            response.send(404, ())
            return
        try:
            body = call(request.read_body())
        except UnavailableError as error:
            events.log(
                events.Event.PEER_CALL_REFUSED,
                path=request.path,
                reason=str(error),
            )
            response.send(503, ())
        except listeners.BodyRefusedError as error:
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
            response.send(200, self._fields, body)
