"""Links to the storage machines, which can be cut between some of them.

The store stand-in names the address of a link in place of that of a storage
machine. A link forwards to the machine. It finds out which process of the
test has connected to it, so that storage machines can be cut off from each
other while edge machines reach them all.
"""

from __future__ import annotations

import base64
import json
import os
import pathlib
import select
import socket
import threading
from collections.abc import Callable
from typing import Any

from balsamloom_testbed import store

PREFIX = "balsamloom/members/storage/"
# Calls that only storage machines send to each other here.
OWN_CALLS = (b"POST /turns/list", b"POST /turns/read", b"POST /usage/list")


class Links:
    """Links to all storage machines.

    :param pids: returns the process of each storage machine by its name.
    """

    def __init__(self, pids: Callable[[], dict[str, int]]) -> None:
        self.pids = pids
        self.cut: set[str] = set()
        # Machines that nobody reaches.
        self.isolated: set[str] = set()
        self._lock = threading.Lock()
        self._links: dict[str, tuple[socket.socket, str]] = {}
        self._open: list[tuple[str, str, socket.socket, socket.socket]] = []

    def address_of(self, name: str, target: str) -> str:
        """Return the address of the link to a machine, and make it."""
        with self._lock:
            if name not in self._links:
                listener = socket.create_server(("127.0.0.1", 0))
                self._links[name] = (listener, target)
                threading.Thread(
                    target=self._accept, args=(name, listener), daemon=True
                ).start()
            host, port = self._links[name][0].getsockname()
            return f"{host}:{port}"

    def set_cut(
        self, names: set[str], isolated: frozenset[str] = frozenset()
    ) -> None:
        """Cut machines off from the other storage machines, with resets.

        :param isolated: those that are cut off from all machines.
        """
        with self._lock:
            self.cut = names
            self.isolated = set(isolated)
            broken = [one for one in self._open if self._is_cut(*one[:2])]
        for _, _, client, server in broken:
            for sock in (client, server):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self) -> None:
        """Stop accepting."""
        for listener, _ in self._links.values():
            listener.close()

    def _is_cut(self, source: str, target: str) -> bool:
        if target in self.isolated or source in self.isolated:
            return True
        if not source or source == target:
            return False
        return source in self.cut or target in self.cut

    def _accept(self, name: str, listener: socket.socket) -> None:
        while True:
            try:
                client, peer = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(name, client, peer[1]), daemon=True
            ).start()

    def _serve(self, name: str, client: socket.socket, port: int) -> None:
        source = ""
        try:
            if client.recv(32, socket.MSG_PEEK).startswith(OWN_CALLS):
                source = self._source(port, client.getsockname()[1])
        except OSError:
            client.close()
            return
        host, _, target_port = self._links[name][1].rpartition(":")
        if self._is_cut(source, name):
            client.close()
            return
        try:
            server = socket.create_connection((host, int(target_port)), 1.0)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        entry = (source, name, client, server)
        with self._lock:
            self._open.append(entry)
        poll = select.poll()
        poll.register(client, select.POLLIN)
        poll.register(server, select.POLLIN)
        try:
            while not self._is_cut(source, name):
                for descriptor, _ in poll.poll(200):
                    is_request = descriptor == client.fileno()
                    read, write = (client, server) if is_request else (server, client)
                    data = read.recv(65_536)
                    if not data:
                        return
                    write.sendall(data)
        except OSError:
            pass
        finally:
            with self._lock:
                self._open.remove(entry)
            client.close()
            server.close()

    def _source(self, port: int, own_port: int) -> str:
        """Return the storage machine that has connected, empty if none."""
        wanted = f":{port:04X} ", f":{own_port:04X} "
        inode = ""
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines():
            fields = line.split()
            if len(fields) < 10:
                continue
            local, remote = fields[1] + " ", fields[2] + " "
            if local.endswith(wanted[0]) and remote.endswith(wanted[1]):
                inode = f"socket:[{fields[9]}]"
        for name, pid in self.pids().items():
            folder = f"/proc/{pid}/fd"
            try:
                for entry in os.listdir(folder):
                    try:
                        if os.readlink(f"{folder}/{entry}") == inode:
                            return name
                    except OSError:
                        continue
            except OSError:
                continue
        return ""


class LinkedStore(store.StoreStandin):
    """Store stand-in that names links in place of storage machines."""

    links: Links | None = None

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for write in body["writes"]:
            if write["key"].startswith(PREFIX) and self.links is not None:
                name = write["key"].removeprefix(PREFIX)
                record = json.loads(base64.b64decode(write["value"]))
                record["address"] = self.links.address_of(name, record["address"])
                write["value"] = base64.b64encode(json.dumps(record).encode()).decode()
        return super()._transact(body)
