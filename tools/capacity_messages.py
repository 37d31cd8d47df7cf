"""Measure slopes of heartbeats and of load reports on a connection."""

from __future__ import annotations

import random
import socket
import threading

import capacity_fit
import urllib3

from balsamloom_peers import client as peer_clients
from balsamloom_peers import links, messages, server
from balsamloom_platform import engine_client
from balsamloom_standins import fleet

fit = capacity_fit.fit
cpu_us = capacity_fit.cpu_us

HEARTBEAT_COUNT = 200


class CountingProxy:
    """TCP proxy that counts the bytes of both directions.

    :param target: ``host:port`` to which connections are forwarded.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                inner, _ = self._listener.accept()
            except OSError:
                return
            outer = socket.create_connection(self._target)
            for pair in ((inner, outer), (outer, inner)):
                threading.Thread(
                    target=self._copy, args=pair, daemon=True
                ).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while raw := source.recv(65_536):
                self.count += len(raw)
                target.sendall(raw)
        except OSError:
            return
        finally:
            target.close()


class EchoHandlers:
    """Handlers that answer a heartbeat with one of the same size."""

    def heartbeat(self, content: messages.Heartbeat) -> messages.Heartbeat:
        """Return the content with the member identifier replaced."""
        return content._replace(member_id="host-0002-a1b2c3d4")


def heartbeat_slopes() -> list[capacity_fit.Slope]:
    """Measure bytes and CPU of a heartbeat and its response."""
    sizes, cpu = [], []
    running = server.PeerServer(
        "127.0.0.1:0",
        EchoHandlers(),  # type: ignore[arg-type]
        links.BlockedLinks(),
    )
    running.start()
    proxy = CountingProxy(running.address)
    pool = peer_clients.PeerPool(
        "host-0001-a1b2c3d4", "127.0.0.1:1", links.BlockedLinks()
    )
    peer = pool.client(proxy.address)
    source = random.Random(1)
    for entries in (0, 4, 8, 16):
        content = messages.Heartbeat(
            "host-0001-a1b2c3d4",
            100_000,
            50_000,
            60,
            tuple(
                messages.ServerState(
                    f"model-{source.randrange(26)}-{number}", 100, False, 2
                )
                for number in range(entries)
            ),
        )

        def send_heartbeats(content: messages.Heartbeat = content) -> None:
            for _ in range(HEARTBEAT_COUNT):
                peer.heartbeat(content, 5_000, "host-0002-a1b2c3d4")

        send_heartbeats()
        before = proxy.count
        send_heartbeats()
        sizes.append((entries, (proxy.count - before) / HEARTBEAT_COUNT))
        cpu.append((entries, cpu_us(send_heartbeats) / HEARTBEAT_COUNT))
    pool.close()
    running.stop(0)
    proxy.close()
    return [
        fit("heartbeat_bytes", "entries each way", "bytes both ways", sizes),
        fit("heartbeat_cpu", "entries each way", "us, both ends", cpu),
    ]


def report_slopes() -> list[capacity_fit.Slope]:
    """Measure bytes and CPU of reading load reports."""
    sizes, cpu = [], []
    with fleet.Fleet() as running:
        proxy = CountingProxy(running.standin("engine").address)
        engine = engine_client.Engine(proxy.address, urllib3.PoolManager())
        engine.load(2_000)
        for count in (50, 100, 200):
            before = proxy.count
            cpu.append((count, cpu_us(_read_loads, engine, count)))
            reads = count * capacity_fit.REPEATS
            sizes.append((count, (proxy.count - before) * count / reads))
        proxy.close()
    return [
        fit("report_cpu", "load reports read", "us of CPU", cpu),
        fit("report_bytes", "load reports read", "bytes both ways", sizes),
    ]


def _read_loads(engine: engine_client.Engine, count: int) -> None:
    for _ in range(count):
        engine.load(2_000)
