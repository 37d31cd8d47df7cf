"""gRPC server of an entry process."""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Callable, Iterator
from typing import Any, Protocol

import grpc

from balsamloom_core import errors, results
from balsamloom_peers import _checks, _convert, links, messages, peer_pb2

# A transfer carries at most one journal batch of 1 MB and a forwarded request
# at most one body; the rest is headroom for headers.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_FORWARDS = 400
# Threads reserved for heartbeats and probes. Without them, peers would suspect
# a process that is busy with forwarded streams.
CONTROL_THREADS = 32
MEMBER_METADATA = "balsamloom-member"
ADDRESS_METADATA = "balsamloom-address"
FORWARD_LIMIT_REACHED = "forwards are at their limit"
LINK_BLOCKED = "link is blocked"

_SERVICE = "balsamloom.peers.Peer"
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Makes the start of a second process on the same port fail.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    # Must allow the keepalive pings that client.py configures.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
)


class ForwardContext:
    """State of a forwarded request at the owner.

    :param context: gRPC context.
    """

    def __init__(self, context: Any) -> None:
        self._context = context
        self.ended = threading.Event()
        context.add_callback(self.ended.set)

    @property
    def is_cancelled(self) -> bool:
        """Return whether the request has ended or was cancelled."""
        return not self._context.is_active()

    def remaining_ms(self) -> float | None:
        """Return the time left until the caller's deadline, if it has one."""
        remaining_s: float | None = self._context.time_remaining()
        return None if remaining_s is None else remaining_s * 1000

    def on_end(self, callback: Callable[[], None]) -> None:
        """Run a function when the request ends or is cancelled.

        :param callback: called once, in a thread of the server; runs at once
            in the calling thread if the request has ended already.
        """
        if not self._context.add_callback(callback):
            callback()


class Handlers(Protocol):
    """Handlers of an entry process for the messages of its peers."""

    def heartbeat(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Record a peer's state and return the state of this member."""

    def probe(self, probe: messages.Probe) -> bool:
        """Return whether the probed member answers this process."""

    def forward(
        self, request: messages.ForwardRequest, context: ForwardContext
    ) -> Iterator[messages.ForwardChunk]:
        """Run a request as owner and yield its response as it is produced."""

    def transfer_partition(
        self, transfer: messages.Transfer
    ) -> messages.TransferResult:
        """Make a partition durable; called once for each message."""

    def get_configuration(
        self, at_least_revision: int
    ) -> messages.Configuration:
        """Return the document in force."""

    def get_map(self) -> messages.MapDocument:
        """Return the partition map that was read last."""


class PeerServer:
    """Serves the messages of peers.

    :param address: ``host:port`` to listen on; port 0 selects a free one.
    :param handlers: handlers of the messages.
    :param blocked_links: links blocked by fault injection.
    :param max_forwards: largest number of forwarded requests in progress;
        further ones are refused before they run.
    :raises BalsamloomError: if the process cannot listen on the address.
    """

    def __init__(
        self,
        address: str,
        handlers: Handlers,
        blocked_links: links.BlockedLinks | None = None,
        max_forwards: int = MAX_FORWARDS,
    ) -> None:
        self._handlers = handlers
        self._links = blocked_links or links.BlockedLinks()
        self._damage = _checks.DamageCounter()
        self._sequences = _checks.SequenceTable()
        self._forward_slots = threading.BoundedSemaphore(max_forwards)
        executor = concurrent.futures.ThreadPoolExecutor(
            max_forwards + CONTROL_THREADS, thread_name_prefix="peer"
        )
        self._executor = executor
        self._server = grpc.server(executor, options=_OPTIONS)
        self._server.add_generic_rpc_handlers((self._methods(),))
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise errors.BalsamloomError(
                results.ResultCode.SETTINGS_INVALID,
                f"peer_address: cannot listen on {address!r}",
            ) from error
        host = address.rpartition(":")[0]
        self.address = f"{host}:{port}"

    @property
    def damaged_messages(self) -> int:
        """Return how many messages failed their checks."""
        return self._damage.count

    def start(self) -> None:
        """Start to accept messages."""
        self._server.start()

    def stop(self, timeout_ms: float) -> None:
        """Refuse new calls, finish those in progress and stop.

        :param timeout_ms: time after which calls in progress are cancelled.
        """
        self._server.stop(timeout_ms / 1000).wait()
        self._executor.shutdown(wait=False)

    def _methods(self) -> Any:
        unary = grpc.unary_unary_rpc_method_handler
        streamed = grpc.unary_stream_rpc_method_handler
        table = {
            "Heartbeat": (unary, self._heartbeat, peer_pb2.HeartbeatRequest),
            "Probe": (unary, self._probe, peer_pb2.ProbeRequest),
            "Forward": (streamed, self._forward, peer_pb2.ForwardRequest),
            "TransferPartition": (
                unary,
                self._transfer,
                peer_pb2.TransferRequest,
            ),
            "GetConfiguration": (
                unary,
                self._configuration,
                peer_pb2.ConfigurationRequest,
            ),
            "GetMap": (unary, self._map, peer_pb2.MapRequest),
        }
        handlers = {
            name: make_handler(method, _checks.parser(request), _serialize)
            for name, (make_handler, method, request) in table.items()
        }
        return grpc.method_handlers_generic_handler(_SERVICE, handlers)

    def _heartbeat(self, request: Any, context: Any) -> Any:
        self._check_link(context)
        self._check(context, "Heartbeat", request.member_id, request)
        reply = self._handlers.heartbeat(
            _convert.heartbeat_from_protobuf(request)
        )
        return _checks.add_checksum(
            _convert.heartbeat_to_protobuf(
                peer_pb2.HeartbeatReply, reply, request.sequence
            )
        )

    def _probe(self, request: Any, context: Any) -> Any:
        self._check_link(context)
        probe = messages.Probe(
            request.peer_address, request.member_id, request.is_confirmed
        )
        return peer_pb2.ProbeReply(is_reachable=self._handlers.probe(probe))

    def _transfer(self, request: Any, context: Any) -> Any:
        self._check_link(context)
        sender = request.sender_member_id
        self._check(context, "TransferPartition", sender, request)
        result = self._handlers.transfer_partition(
            messages.Transfer(
                sender,
                request.partition,
                request.epoch,
                request.compressed_batch,
            )
        )
        return _checks.add_checksum(
            peer_pb2.TransferReply(
                is_accepted=result.is_accepted,
                message=result.message,
                sequence=request.sequence,
            )
        )

    def _configuration(self, request: Any, context: Any) -> Any:
        self._check_link(context)
        current = self._handlers.get_configuration(request.at_least_revision)
        return _checks.add_checksum(
            peer_pb2.ConfigurationReply(
                revision=current.revision,
                document_json=current.document_json,
                sequence=request.sequence,
            )
        )

    def _map(self, request: Any, context: Any) -> Any:
        self._check_link(context)
        current = self._handlers.get_map()
        return _checks.add_checksum(
            peer_pb2.MapReply(
                version=current.version,
                map_json=current.map_json,
                sequence=request.sequence,
            )
        )

    def _forward(self, request: Any, context: Any) -> Iterator[Any]:
        self._check_link(context)
        if not self._forward_slots.acquire(blocking=False):
            context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED, FORWARD_LIMIT_REACHED
            )
        try:
            yield from self._forward_chunks(request, context)
        finally:
            self._forward_slots.release()

    def _forward_chunks(self, request: Any, context: Any) -> Iterator[Any]:
        forward_request = messages.ForwardRequest(
            request.method,
            request.path,
            request.query,
            _convert.headers_from_protobuf(request.headers),
            request.body,
            request.origin_member_id,
        )
        chunks = self._handlers.forward(
            forward_request, ForwardContext(context)
        )
        try:
            for chunk in chunks:
                if not context.is_active():
                    return
                self._check_link(context)
                yield peer_pb2.ForwardChunk(
                    status=chunk.status,
                    headers=_convert.headers_to_protobuf(chunk.headers),
                    body=chunk.body,
                )
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def _check(
        self, context: Any, method: str, sender: str, request: Any
    ) -> None:
        reason = ""
        if not _checks.is_intact(request):
            reason = "length or checksum does not hold"
        elif not self._sequences.is_new(
            f"{method}/{sender}", request.sequence
        ):
            reason = f"sequence {request.sequence} was seen before"
        if reason:
            self._damage.add(method, sender or context.peer(), reason)
            context.abort(grpc.StatusCode.DATA_LOSS, reason)

    def _check_link(self, context: Any) -> None:
        metadata = dict(context.invocation_metadata())
        member_id = metadata.get(MEMBER_METADATA, "")
        address = metadata.get(ADDRESS_METADATA, "")
        if self._links.blocks_incoming(member_id, address):
            context.abort(grpc.StatusCode.UNAVAILABLE, LINK_BLOCKED)


def _serialize(message: Any) -> bytes:
    raw: bytes = message.SerializeToString()
    return raw
