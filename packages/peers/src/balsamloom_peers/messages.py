"""Messages between entry processes, as plain data.

Handlers and callers see these types only; the generated protobuf classes stay
inside this package.
"""

from __future__ import annotations

from typing import NamedTuple


class ServerState(NamedTuple):
    """State of a backend server as reported by one source.

    ``origin`` is the number of that source, see
    ``balsamloom_membership.backends.Origin``. Incarnations of different
    origins are not comparable.
    """

    server_id: str
    incarnation: int
    is_leaving: bool
    origin: int = 0


class ServerShare(NamedTuple):
    """Calls in flight at a backend server and the sender's limit for it.

    ``is_ejected`` is set if the sender ejected the server because of its own
    samples.
    """

    server_id: str
    in_flight: int
    limit: int
    is_ejected: bool = False


class Heartbeat(NamedTuple):
    """State of a member, sent as heartbeat request and reply."""

    member_id: str
    map_version: int = 0
    configuration_revision: int = 0
    calls_in_progress: int = 0
    server_states: tuple[ServerState, ...] = ()
    server_shares: tuple[ServerShare, ...] = ()
    is_leaving: bool = False


class Probe(NamedTuple):
    """Request to check a suspected member.

    ``is_confirmed`` is set if others have confirmed the sender's suspicion;
    the receiver may then have to take over partitions.
    """

    peer_address: str
    member_id: str
    is_confirmed: bool = False


class ForwardRequest(NamedTuple):
    """A caller's request, forwarded to the owner of its program."""

    method: str
    path: str
    query: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    origin_member_id: str = ""


class ForwardChunk(NamedTuple):
    """Chunk of the owner's response to a forwarded request.

    ``status`` and ``headers`` are set on the first chunk only.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Transfer(NamedTuple):
    """Program snapshots of one partition, sent to its new owner."""

    sender_member_id: str
    partition: int
    epoch: int
    compressed_batch: bytes


class TransferResult(NamedTuple):
    """Reply of the new owner; ``message`` is its reason to refuse."""

    is_accepted: bool
    message: str = ""


class Configuration(NamedTuple):
    """A configuration document and its revision."""

    revision: int
    document_json: bytes


class MapDocument(NamedTuple):
    """The encoded partition map and its version."""

    version: int
    map_json: bytes
