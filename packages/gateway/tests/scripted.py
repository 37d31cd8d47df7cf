"""Server whose responses a test writes byte by byte."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable

TIMEOUT_S = 5.0


class ScriptedServer:
    """Server that runs a script for each connection.

    :param script: function of the connection and its number, from 0.
    """

    def __init__(self, script: Callable[[socket.socket, int], None]) -> None:
        self._script = script
        self._listening = socket.create_server(("127.0.0.1", 0))
        host, port = self._listening.getsockname()
        # Stays known when the server is closed.
        self.address = f"{host}:{port}"
        self._connections: list[socket.socket] = []
        self.received: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def read_request(self, connection: socket.socket) -> bytes:
        """Read one request with its body and return it."""
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = connection.recv(65_536)
            if not chunk:
                return data
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += connection.recv(65_536)
        self.received.append(head + b"\r\n\r\n" + body)
        return self.received[-1]

    def close(self) -> None:
        """Close the listening socket and all connections."""
        with contextlib.suppress(OSError):
            # Otherwise the pending accept keeps the address in use.
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        for connection in self._connections:
            connection.close()

    def _accept(self) -> None:
        number = 0
        while True:
            try:
                connection, _ = self._listening.accept()
            except OSError:
                return
            connection.settimeout(TIMEOUT_S)
            self._connections.append(connection)
            threading.Thread(
                target=self._run, args=(connection, number), daemon=True
            ).start()
            number += 1

    def _run(self, connection: socket.socket, number: int) -> None:
        try:
            self._script(connection, number)
        except OSError:
            # Some tests close the connection at the other end.
            return


class Link:
    """Path to a server that can be cut off.

    :param target: address of the server.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._sockets: list[socket.socket] = []
        self.address = free_address()
        self.restore()

    def restore(self) -> None:
        """Accept connections and pass their data on."""
        host, port = self.address.split(":")
        listening = socket.create_server((host, int(port)))
        self._sockets = [listening]
        threading.Thread(
            target=self._accept, args=(listening,), daemon=True
        ).start()

    def refuse(self) -> None:
        """Refuse new connections."""
        self._close(self._sockets[:1])

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        self._close(self._sockets)

    def _close(self, sockets: list[socket.socket]) -> None:
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                near, _ = listening.accept()
                host, port = self._target.split(":")
                far = socket.create_connection((host, int(port)))
            except OSError:
                return
            self._sockets += [near, far]
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._copy, args=pair, daemon=True
                ).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_RDWR)


def free_address() -> str:
    """Return an address that nothing uses.

    Its port is below the ephemeral ones, which any connection may take.
    """
    while True:
        address = ("127.0.0.1", random.randrange(20_000, 32_000))
        try:
            with socket.create_server(address):
                return "{}:{}".format(*address)
        except OSError:
            continue


def answer(
    body: bytes = b"ok",
    request_id: str = "r1",
    status: str = "200 OK",
    fields: str = "",
) -> bytes:
    """Build a response with ``Content-Length``."""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nSigned: 1\r\n"
        f"{fields}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def chunked_head(request_id: str = "r1", fields: str = "") -> bytes:
    """Build the head of a response with a chunked body."""
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nSigned: 1\r\n"
        f"{fields}Transfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode()
