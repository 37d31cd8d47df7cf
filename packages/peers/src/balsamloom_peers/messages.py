"""Messages between entry processes, as plain data.

Handlers and callers see these types only; the generated protobuf classes stay
inside this package.
"""

from __future__ import annotations

from typing import NamedTuple


class ServerState(NamedTuple):
    """What one source says about a backend server.

    ``origin`` is the number of the source that made the statement, see
    ``balsamloom_membership.backends.Origin``; incarnations of different
    origins are not comparable.
    """

    server_id: str
    incarnation: int
    is_leaving: bool
    origin: int = 0


class ServerShare(NamedTuple):
    """Calls in flight at a backend server and the sender's limit for it.

    ``is_ejected`` says that the sender ejected the server on samples of its
    own.
    """

    server_id: str
    in_flight: int
    limit: int
    is_ejected: bool = False


class Heartbeat(NamedTuple):
    """Content of a heartbeat and of its answer."""

    member_id: str
    map_version: int = 0
    configuration_revision: int = 0
    calls_in_progress: int = 0
    server_states: tuple[ServerState, ...] = ()
    server_shares: tuple[ServerShare, ...] = ()
    is_leaving: bool = False


class Probe(NamedTuple):
    """Request to check a suspected member.

    ``is_confirmed`` tells the receiver that the sender's suspicion has been
    confirmed by others and that a take-over may be its task.
    """

    peer_address: str
    member_id: str
    is_confirmed: bool = False


class ForwardRequest(NamedTuple):
    """A caller's request, passed on to the owner of its program."""

    method: str
    path: str
    query: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    origin_member_id: str = ""


class ForwardChunk(NamedTuple):
    """One piece of the owner's answer.

    ``status`` and ``headers`` are set on the first chunk only.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Transfer(NamedTuple):
    """Snapshots of one partition, sent to its new owner."""

    sender_member_id: str
    partition: int
    epoch: int
    compressed_batch: bytes


class TransferResult(NamedTuple):
    """Answer of the new owner; ``message`` states why it refuses."""

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
