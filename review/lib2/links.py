"""Links to the store machines, which can be cut for one other machine.

Each store machine is reached through a proxy, and its registration names the
proxy's address, as behind a port forward. A cut holds what is on the way, as a
partition does: bytes on channels that were open arrive when it heals, and
channels that are opened meanwhile never come about.
"""

from __future__ import annotations

import base64
import os
import pathlib
import socket
import threading

STORAGE_PREFIX = "balsamloom/members/storage/"


class Link:
    """Proxy in front of one store machine."""

    def __init__(self, port: int) -> None:
        self._target = ("127.0.0.1", port)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self._listener.getsockname()[1]
        self._cut_pid: int | None = None
        self._open_at_cut: frozenset[int] = frozenset()
        self._healed = threading.Event()
        self._healed.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, pid: int) -> None:
        """Cut the link for a process, whose channels are noted."""
        self._cut_pid = pid
        self._open_at_cut = _ports_to(self.port, pid)
        self._healed.clear()

    def heal(self) -> None:
        """End the cut."""
        self._healed.set()

    def close(self) -> None:
        """Accept no more channels."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                accepted, address = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._open, args=(accepted, address[1]), daemon=True
            ).start()

    def _open(self, accepted: socket.socket, peer_port: int) -> None:
        pid = self._cut_pid
        if not self._healed.is_set() and pid is not None:
            if peer_port in _ports_to(self.port, pid):
                # No channel comes about; what it would carry is not sent.
                self._healed.wait()
                accepted.close()
                return
        try:
            server = socket.create_connection(self._target, 1.0)
        except OSError:
            accepted.close()
            return
        server.settimeout(None)
        for each in (accepted, server):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink in ((accepted, server), (server, accepted)):
            threading.Thread(
                target=self._pass_on,
                args=(source, sink, peer_port),
                daemon=True,
            ).start()

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, peer_port: int
    ) -> None:
        try:
            while True:
                data = source.recv(65536)
                if peer_port in self._open_at_cut:
                    # Both ways; what is held arrives when the cut heals.
                    self._healed.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            for each in (source, sink):
                each.close()


def _ports_to(port: int, pid: int) -> frozenset[int]:
    """Return the local ports of a process's channels to a port."""
    sockets = _sockets(pid)
    found = set()
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        fields = line.split()
        if int(fields[2].split(":")[1], 16) == port and fields[9] in sockets:
            found.add(int(fields[1].split(":")[1], 16))
    return frozenset(found)


def _sockets(pid: int) -> frozenset[str]:
    """Return the inodes of the sockets of a process."""
    found = set()
    folder = pathlib.Path(f"/proc/{pid}/fd")
    for entry in os.listdir(folder):
        try:
            target = os.readlink(folder / entry)
        except OSError:
            continue
        if target.startswith("socket:["):
            found.add(target[8:-1])
    return frozenset(found)


def put_before(deployment: object) -> dict[str, Link]:
    """Put a link before each store machine of a deployment."""
    found = {}
    addresses = {}
    for host in deployment.storage:  # type: ignore[attr-defined]
        link = Link(host.ports["peer"])
        found[host.name] = link
        addresses[f"127.0.0.1:{host.ports['peer']}"] = f"127.0.0.1:{link.port}"
    platform = deployment.store  # type: ignore[attr-defined]
    transact = platform._transact

    def forward(body):  # type: ignore[no-untyped-def]
        for write in body["writes"]:
            if write["key"].startswith(STORAGE_PREFIX):
                value = base64.b64decode(write["value"]).decode()
                for direct, forwarded in addresses.items():
                    value = value.replace(direct, forwarded)
                write["value"] = base64.b64encode(value.encode()).decode()
        return transact(body)

    platform._transact = forward
    return found
