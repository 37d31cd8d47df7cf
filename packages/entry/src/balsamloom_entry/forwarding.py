"""Forwarding of requests to the owner of a program, once, over gRPC."""

from __future__ import annotations

import itertools
import urllib.parse
from collections.abc import Iterable, Iterator

from balsamloom_core import errors, http_status, metric_names, results
from balsamloom_entry import requests
from balsamloom_peers import client as peer_clients
from balsamloom_peers import messages
from balsamloom_platform import metrics
from balsamloom_state import partitions

RETRY_AFTER_MS = 1_000
# The owner ends a call at the call's deadline. This timeout ends the wait for
# an owner that was lost meanwhile.
FORWARD_TIMEOUT_MS = 660_000
_FORWARDED_HEADERS = (
    requests.PROGRAM_HEADER,
    requests.KEY_HEADER,
    requests.DEADLINE_HEADER,
    "Content-Type",
    "Accept",
)


class Forwarder:
    """Forwards requests to the owners of programs.

    :param peers: channels to the peers.
    :param member_id: this process.
    :param sink: receiver of metrics.
    """

    def __init__(
        self,
        peers: peer_clients.PeerPool,
        member_id: str,
        sink: metrics.Metrics,
    ) -> None:
        self._metrics = sink
        self._peers = peers
        self._member_id = member_id

    def forward(
        self, request: requests.Request, owner: partitions.Member
    ) -> requests.Response:
        """Send a request to the owner and return its streamed response.

        :param request: request of a caller.
        :param owner: owner of the program.
        :raises BalsamloomError: if the owner cannot be reached; the code
            says whether it may have received the request.
        """
        self._metrics.count(metric_names.CALLS_FORWARDED.key())
        message = messages.ForwardRequest(
            request.method,
            "/" + "/".join(request.path),
            urllib.parse.urlencode(request.query),
            _forwarded_headers(request),
            request.body,
            self._member_id,
        )
        try:
            client = self._peers.client(owner.peer_address)
            chunks = iter(
                client.forward(message, FORWARD_TIMEOUT_MS, owner.member_id)
            )
            first = next(chunks, None)
        except peer_clients.PeerUnreachable as error:
            raise _unreachable_error(error) from error
        if first is None:
            raise errors.BalsamloomError(
                results.ResultCode.DAMAGED_MESSAGE,
                "the owner sent an empty response",
            )
        headers = {
            **dict(first.headers),
            requests.OWNER_HEADER: owner.http_address,
        }
        body = ForwardedBody(itertools.chain([first], chunks), chunks)
        if not http_status.is_final(first.status):
            body.close()
            raise errors.BalsamloomError(
                results.ResultCode.DAMAGED_MESSAGE,
                f"the owner sent the status {first.status}",
            )
        return requests.Response(first.status, headers, body)


class ForwardedBody:
    """Body of an owner's response; closing it cancels the request.

    :param chunks: all chunks of the response.
    :param stream: generator that cancels the request when it is closed.
    """

    def __init__(
        self,
        chunks: Iterable[messages.ForwardChunk],
        stream: Iterator[messages.ForwardChunk],
    ) -> None:
        self._chunks = iter(chunks)
        self._stream = stream

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part of the body that is not empty."""
        try:
            body = next(self._chunks).body
            while not body:
                body = next(self._chunks).body
        except errors.BalsamloomError:
            # The caller notices the failure by the missing last event.
            raise StopIteration from None
        return body

    def close(self) -> None:
        """Cancel the request at the owner if it has not ended."""
        close = getattr(self._stream, "close", None)
        if close is not None:
            close()


def handle_forwarded(
    router: requests.Handler, message: messages.ForwardRequest
) -> Iterator[messages.ForwardChunk]:
    """Handle a request that a peer forwarded.

    :param router: this process's request handler.
    :param message: request of the peer.
    """
    request = requests.Request(
        message.method,
        tuple(part for part in message.path.split("/") if part),
        dict(urllib.parse.parse_qsl(message.query)),
        {name.lower(): value for name, value in message.headers},
        message.body,
        is_forwarded=True,
    )
    response = router(request)
    headers = tuple(response.headers.items())
    yield messages.ForwardChunk(response.status, headers, b"")
    try:
        for chunk in response.chunks:
            yield messages.ForwardChunk(body=chunk)
    finally:
        close = getattr(response.chunks, "close", None)
        if close is not None:
            close()


def _forwarded_headers(
    request: requests.Request,
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, request.headers[name.lower()])
        for name in _FORWARDED_HEADERS
        if name.lower() in request.headers
    )


def _unreachable_error(
    error: peer_clients.PeerUnreachable,
) -> errors.BalsamloomError:
    if error.was_sent:
        return errors.BalsamloomError(
            results.ResultCode.INTERRUPTED,
            "the connection to the owner was lost; query the call's result",
            RETRY_AFTER_MS,
        )
    return errors.BalsamloomError(
        results.ResultCode.OWNER_UNREACHABLE, error.message, RETRY_AFTER_MS
    )
