"""Test data and fixtures of the package peers."""

import concurrent.futures
import contextlib
import queue
import threading

import grpc

from balsamloom_peers import client, links, messages, server


def heartbeat(member_id="a-1", **changes):
    return messages.Heartbeat(member_id, **changes)


def transfer(**changes):
    fields = {
        "sender_member_id": "a-1",
        "partition": 7,
        "epoch": 3,
        "compressed_batch": b"batch",
    }
    return messages.Transfer(**{**fields, **changes})


class RecordingHandlers:
    """Handlers that record messages and yield forward chunks from a queue."""

    def __init__(self, member_id="b-1"):
        self.member_id = member_id
        self.heartbeats = []
        self.transfers = []
        self.chunks = queue.Queue()
        self.started = queue.Queue()
        self.forward_closed = threading.Event()

    def heartbeat(self, content):
        self.heartbeats.append(content)
        return messages.Heartbeat(self.member_id, map_version=9)

    def probe(self, probe):
        return probe.member_id == "alive"

    def forward(self, request, context):
        context.on_end(lambda: self.chunks.put(None))
        self.started.put(request)
        try:
            while (chunk := self.chunks.get(timeout=20)) is not None:
                if chunk.body == b"END":
                    return
                yield chunk
        finally:
            self.forward_closed.set()

    def transfer_partition(self, transfer):
        self.transfers.append(transfer)
        return messages.TransferResult(True)

    def get_configuration(self, at_least_revision):
        return messages.Configuration(at_least_revision + 1, b"{}")

    def get_map(self):
        return messages.MapDocument(4, b"[]")


class Pair(contextlib.ExitStack):
    """A running server and a client of it."""

    def __init__(
        self, blocked_at_server=None, blocked_at_client=None, **limits
    ):
        super().__init__()
        self.handlers = RecordingHandlers()
        self.server = server.PeerServer(
            "127.0.0.1:0", self.handlers, blocked_at_server, **limits
        )
        self.server.start()
        self.callback(self.server.stop, 0)
        self.pool = client.PeerPool(
            "a-1", "127.0.0.1:1", blocked_at_client or links.BlockedLinks()
        )
        self.callback(self.pool.close)
        self.client = self.pool.client(self.server.address)
        self.callback(self.handlers.chunks.put, None)

    def send_raw(self, method, raw):
        """Send unchecked bytes and return the status code."""
        with grpc.insecure_channel(self.server.address) as channel:
            call = channel.unary_unary(f"/balsamloom.peers.Peer/{method}")
            try:
                call(raw, timeout=5)
            except grpc.RpcError as error:
                return error.code()
        return grpc.StatusCode.OK


@contextlib.contextmanager
def raw_server(replies):
    """Serve replies of unchecked bytes.

    :param replies: function from request to reply bytes, by method.
    """
    executor = concurrent.futures.ThreadPoolExecutor(2)
    running = grpc.server(executor)
    handlers = {
        name: grpc.unary_unary_rpc_method_handler(
            lambda request, context, reply=reply: reply(request)
        )
        for name, reply in replies.items()
    }
    running.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                "balsamloom.peers.Peer", handlers
            ),
        )
    )
    port = running.add_insecure_port("127.0.0.1:0")
    running.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        running.stop(0).wait()
