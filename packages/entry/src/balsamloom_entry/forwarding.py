"""Passing requests on to the owner of a program, once, over gRPC."""

from __future__ import annotations

from collections.abc import Iterator

from balsamloom_core import errors, results
from balsamloom_entry import requests
from balsamloom_peers import client as peer_clients
from balsamloom_peers import server as peer_servers
from balsamloom_state import partitions

RETRY_AFTER_MS = 1_000
_PASSED_HEADERS = (
    requests.PROGRAM_HEADER,
    requests.KEY_HEADER,
    requests.DEADLINE_HEADER,
    "Content-Type",
)


class Forwarder:
    """Sends requests to owners.

    :param peers: channels to the peers.
    :param member_id: this process.
    """

    def __init__(self, peers: peer_clients.PeerPool, member_id: str) -> None:
        self._peers = peers
        self._member_id = member_id

    def forward(
        self, request: requests.Request, owner: partitions.Member
    ) -> requests.Answer:
        """Send a request to the owner and return its answer as it comes.

        :param request: request of a caller.
        :param owner: owner of the program.
        :raises BalsamloomError: if the owner cannot be reached and did not get
            the request, or if it may have got it.
        """
        message = peer_servers.ForwardRequest(
            method=request.method,
            path="/" + "/".join(request.path),
            query=dict(request.query),
            headers=_passed(request),
            body=request.body,
            origin_member_id=self._member_id,
        )
        chunks = self._peers.forward(
            owner.member_id, owner.peer_address, message
        )
        try:
            first = next(chunks)
        except peer_clients.PeerUnreachable as error:
            raise _unreachable(error) from error
        except StopIteration as error:
            raise errors.BalsamloomError(
                results.ResultCode.DAMAGED_MESSAGE, "empty answer of the owner"
            ) from error
        headers = {**first.headers, requests.OWNER_HEADER: owner.http_address}
        return requests.Answer(first.status, headers, _bodies(first, chunks))


def handle(
    router: requests.Handler, message: peer_servers.ForwardRequest
) -> Iterator[peer_servers.ForwardChunk]:
    """Answer a request that a peer passed on.

    :param router: handler of requests of this process.
    :param message: request of the peer.
    """
    request = requests.Request(
        message.method,
        tuple(part for part in message.path.split("/") if part),
        message.query,
        {name.lower(): value for name, value in message.headers.items()},
        message.body,
        is_forwarded=True,
    )
    answer = router(request)
    yield peer_servers.ForwardChunk(answer.status, answer.headers, b"")
    for chunk in answer.chunks:
        yield peer_servers.ForwardChunk(0, {}, chunk)


def _bodies(
    first: peer_servers.ForwardChunk,
    chunks: Iterator[peer_servers.ForwardChunk],
) -> Iterator[bytes]:
    if first.body:
        yield first.body
    try:
        for chunk in chunks:
            yield chunk.body
    except peer_clients.PeerUnreachable:
        # A stream without its last event tells the caller that it was cut.
        return


def _passed(request: requests.Request) -> dict[str, str]:
    return {
        name: request.headers[name.lower()]
        for name in _PASSED_HEADERS
        if name.lower() in request.headers
    }


def _unreachable(error: peer_clients.PeerUnreachable) -> Exception:
    if error.was_sent:
        return errors.BalsamloomError(
            results.ResultCode.INTERRUPTED,
            "the owner of the program broke off; ask for the call's result",
            RETRY_AFTER_MS,
        )
    return errors.BalsamloomError(
        results.ResultCode.OWNER_UNREACHABLE, error.message, RETRY_AFTER_MS
    )
