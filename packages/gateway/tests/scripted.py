"""Server whose responses a test writes byte by byte."""

from __future__ import annotations

import contextlib
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
