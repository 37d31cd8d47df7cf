"""gRPC clients of an entry process, one channel for each peer."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import grpc

from balsamloom_core import errors, results
from balsamloom_peers import (
    _checks,
    _convert,
    links,
    messages,
    peer_pb2,
    server,
)

# Reconnects are quick, since a restarted peer listens on the same address and
# a refused connection shows that the peer's process has ended.
_OPTIONS = (
    ("grpc.max_receive_message_length", server.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", server.MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 400),
    # Detects within 2 s a peer that vanishes in the middle of a stream.
    # Pings are sent only while calls are in progress; heartbeats detect the
    # loss of an idle peer.
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    # Bandwidth estimation would add a ping to every heartbeat.
    ("grpc.http2.bdp_probe", 0),
    # A retry inside the library would hide whether a request was sent.
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
_UNARY: tuple[tuple[str, Any, Any], ...] = (
    ("Heartbeat", peer_pb2.HeartbeatRequest, peer_pb2.HeartbeatReply),
    ("Probe", peer_pb2.ProbeRequest, peer_pb2.ProbeReply),
    ("TransferPartition", peer_pb2.TransferRequest, peer_pb2.TransferReply),
    (
        "GetConfiguration",
        peer_pb2.ConfigurationRequest,
        peer_pb2.ConfigurationReply,
    ),
    ("GetMap", peer_pb2.MapRequest, peer_pb2.MapReply),
)
_CONNECT_FAILED = "failed to connect to all addresses"
_CONNECTION_REFUSED = "Connection refused"
_PARSE_FAILED = "Exception deserializing"


class PeerUnreachable(errors.BalsamloomError):
    """A peer could not be reached or did not reply in time.

    :param message: cause.
    :param was_sent: whether the request may have reached the peer.
    :param was_refused: whether the peer's host refused the connection.
    """

    def __init__(
        self, message: str, was_sent: bool, was_refused: bool = False
    ) -> None:
        super().__init__(results.ResultCode.OWNER_UNREACHABLE, message)
        self.was_sent = was_sent
        self.was_refused = was_refused


class PeerMessageDamaged(errors.BalsamloomError):
    """A message to or from a peer was damaged or replayed and was dropped.

    :param message: cause.
    """

    def __init__(self, message: str) -> None:
        super().__init__(results.ResultCode.DAMAGED_MESSAGE, message)


class ForwardStream:
    """Iterable of the chunks of the owner's response to a forwarded request.

    :param call: gRPC call.
    :param check_link: raises if the link is blocked.
    """

    def __init__(self, call: Any, check_link: Callable[[], None]) -> None:
        self._call = call
        self._check_link = check_link
        self._has_received = False

    def __iter__(self) -> Iterator[messages.ForwardChunk]:
        """Yield chunks as they arrive.

        Leaving the iteration early cancels the request at the owner.

        :raises PeerUnreachable: if the stream breaks.
        """
        try:
            for chunk in self._call:
                self._check_link()
                self._has_received = True
                yield messages.ForwardChunk(
                    chunk.status,
                    _convert.headers_from_protobuf(chunk.headers),
                    chunk.body,
                )
        except grpc.RpcError as error:
            raise _to_error(error, self._has_received) from error
        finally:
            self._call.cancel()

    def cancel(self) -> None:
        """Cancel the request at the owner; may be called from any thread."""
        self._call.cancel()


class PeerClient:
    """Client of one peer.

    :param address: ``host:port`` of the peer.
    :param self_id: own member id, sent to the peer.
    :param self_address: own peer address, sent to the peer.
    :param blocked_links: links blocked by fault injection.
    """

    def __init__(
        self,
        address: str,
        self_id: str = "",
        self_address: str = "",
        blocked_links: links.BlockedLinks | None = None,
    ) -> None:
        self.address = address
        self._links = blocked_links or links.BlockedLinks()
        self._metadata = (
            (server.MEMBER_METADATA, self_id),
            (server.ADDRESS_METADATA, self_address),
        )
        self._damage = _checks.DamageCounter()
        self._channel = grpc.insecure_channel(address, options=_OPTIONS)
        self._unary = {
            name: self._channel.unary_unary(
                f"/balsamloom.peers.Peer/{name}",
                request_serializer=request.SerializeToString,
                response_deserializer=_checks.parser(reply),
            )
            for name, request, reply in _UNARY
        }
        self._forward = self._channel.unary_stream(
            "/balsamloom.peers.Peer/Forward",
            request_serializer=peer_pb2.ForwardRequest.SerializeToString,
            response_deserializer=peer_pb2.ForwardChunk.FromString,
        )

    @property
    def damaged_messages(self) -> int:
        """Return how many replies failed their checks."""
        return self._damage.count

    def heartbeat(
        self,
        content: messages.Heartbeat,
        timeout_ms: float,
        member_id: str = "",
    ) -> messages.Heartbeat:
        """Send this member's state and return the peer's.

        :param content: own state.
        :param timeout_ms: longest wait.
        :param member_id: member expected there, for blocked links only.
        :raises PeerUnreachable: if no reply comes in time.
        :raises PeerMessageDamaged: if the message or its reply was damaged.
        """
        request = _convert.heartbeat_to_protobuf(
            peer_pb2.HeartbeatRequest, content, _checks.next_sequence()
        )
        reply = self._call(
            "Heartbeat",
            _checks.add_checksum(request),
            timeout_ms,
            member_id,
        )
        self._check("Heartbeat", request, reply)
        return _convert.heartbeat_from_protobuf(reply)

    def probe(self, probe: messages.Probe, timeout_ms: float) -> bool:
        """Ask the peer whether another member answers it.

        :param probe: member to check.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no reply comes in time.
        """
        request = peer_pb2.ProbeRequest(**probe._asdict())
        reply = self._call("Probe", request, timeout_ms)
        return bool(reply.is_reachable)

    def transfer_partition(
        self, transfer: messages.Transfer, timeout_ms: float
    ) -> messages.TransferResult:
        """Send the programs of a partition to its new owner.

        A retry has a new sequence number, so the receiver must accept the
        same partition and epoch twice; its records carry versions.

        :param transfer: snapshots of the partition.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no reply comes in time.
        :raises PeerMessageDamaged: if the message or its reply was damaged.
        """
        request = peer_pb2.TransferRequest(
            **transfer._asdict(), sequence=_checks.next_sequence()
        )
        reply = self._call(
            "TransferPartition",
            _checks.add_checksum(request),
            timeout_ms,
        )
        self._check("TransferPartition", request, reply)
        return messages.TransferResult(reply.is_accepted, reply.message)

    def get_configuration(
        self, at_least_revision: int, timeout_ms: float
    ) -> messages.Configuration:
        """Fetch the configuration document in force at the peer.

        :param at_least_revision: revision held here, zero for none.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no reply comes in time.
        :raises PeerMessageDamaged: if the reply was damaged.
        """
        request = peer_pb2.ConfigurationRequest(
            at_least_revision=at_least_revision,
            sequence=_checks.next_sequence(),
        )
        reply = self._call(
            "GetConfiguration",
            request,
            timeout_ms,
        )
        self._check("GetConfiguration", request, reply)
        return messages.Configuration(reply.revision, reply.document_json)

    def get_map(self, timeout_ms: float) -> messages.MapDocument:
        """Fetch the partition map that the peer last read.

        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no reply comes in time.
        :raises PeerMessageDamaged: if the reply was damaged.
        """
        request = peer_pb2.MapRequest(sequence=_checks.next_sequence())
        reply = self._call("GetMap", request, timeout_ms)
        self._check("GetMap", request, reply)
        return messages.MapDocument(reply.version, reply.map_json)

    def forward(
        self,
        request: messages.ForwardRequest,
        timeout_ms: float,
        member_id: str = "",
    ) -> ForwardStream:
        """Forward a caller's request to the owner of its program.

        Only a blocked link raises at once. All other errors are raised by the
        iteration over the response.

        :param request: the caller's request.
        :param timeout_ms: time left until the caller's deadline.
        :param member_id: member expected there, for blocked links only.
        :raises PeerUnreachable: if the link is blocked.
        """

        def check_link() -> None:
            self._check_link(member_id, was_sent=True)

        self._check_link(member_id, was_sent=False)
        message = peer_pb2.ForwardRequest(
            method=request.method,
            path=request.path,
            query=request.query,
            headers=_convert.headers_to_protobuf(request.headers),
            body=request.body,
            origin_member_id=request.origin_member_id,
        )
        call = self._forward(
            message,
            timeout=max(timeout_ms, 0) / 1000,
            metadata=self._metadata,
        )
        return ForwardStream(call, check_link)

    def close(self) -> None:
        """Close the channel, which cancels calls in progress."""
        self._channel.close()

    def _call(
        self,
        name: str,
        request: Any,
        timeout_ms: float,
        member_id: str = "",
    ) -> Any:
        self._check_link(member_id, was_sent=False)
        try:
            return self._unary[name](
                request,
                timeout=max(timeout_ms, 0) / 1000,
                metadata=self._metadata,
            )
        except grpc.RpcError as error:
            raise _to_error(error, False) from error

    def _check(self, method: str, request: Any, reply: Any) -> None:
        reason = ""
        if not _checks.is_intact(reply):
            reason = "length or checksum of the reply does not match"
        elif reply.sequence != request.sequence:
            reason = f"reply belongs to request {reply.sequence}"
        if reason:
            self._damage.add(method, self.address, reason)
            raise PeerMessageDamaged(f"{method} at {self.address}: {reason}")

    def _check_link(self, member_id: str, was_sent: bool) -> None:
        names = [self.address]
        if member_id:
            names.append(member_id)
        if self._links.blocks_outgoing(*names):
            raise PeerUnreachable(server.LINK_BLOCKED, was_sent)


class PeerPool:
    """Clients of all peers, one channel each.

    :param self_id: own member id.
    :param self_address: own peer address.
    :param blocked_links: links blocked by fault injection.
    """

    def __init__(
        self,
        self_id: str,
        self_address: str = "",
        blocked_links: links.BlockedLinks | None = None,
    ) -> None:
        self._self_id = self_id
        self._self_address = self_address
        self._links = blocked_links or links.BlockedLinks()
        self._lock = threading.Lock()
        self._clients: dict[str, PeerClient] = {}

    def client(self, address: str) -> PeerClient:
        """Return the client of a peer.

        :param address: ``host:port`` of the peer.
        """
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = PeerClient(
                    address, self._self_id, self._self_address, self._links
                )
                self._clients[address] = client
            return client

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the channels of all other peers.

        :param addresses: peers that are still members.
        """
        kept = set(addresses)
        with self._lock:
            removed = [
                self._clients.pop(address)
                for address in list(self._clients)
                if address not in kept
            ]
        for client in removed:
            client.close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(())


def _to_error(error: Any, has_received: bool) -> errors.BalsamloomError:
    code = error.code()
    details = error.details() or ""
    if code is grpc.StatusCode.DATA_LOSS or _PARSE_FAILED in details:
        return PeerMessageDamaged(details)
    not_sent = not has_received and (
        (
            code is grpc.StatusCode.UNAVAILABLE
            and details.startswith(_CONNECT_FAILED)
        )
        or (
            code is grpc.StatusCode.RESOURCE_EXHAUSTED
            and details == server.FORWARD_LIMIT_REACHED
        )
    )
    return PeerUnreachable(
        f"{code.name.lower()}: {details}",
        was_sent=not not_sent,
        was_refused=not_sent and _CONNECTION_REFUSED in details,
    )
