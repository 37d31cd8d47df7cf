"""Test data and servers whose responses are scripted bytes."""

import socket
import threading

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + (
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def response(status, body, *headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(raw):
    return f"{len(raw):x}\r\n".encode() + raw + b"\r\n"


def event(text):
    data = f'{{"choices":[{{"delta":{{"content":"{text}"}}}}]}}'
    return b"data: " + data.encode() + b"\n\n"


class ScriptedServer:
    """Server that runs one script for each accepted connection.

    :param test: test case that closes the server when it ends.
    :param scripts: functions that get the connected socket, in the order of
        the connections.
    """

    def __init__(self, test, *scripts):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._scripts = scripts
        self.accepted = 0
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        test.addCleanup(self._listener.close)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        for script in self._scripts:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            with connection:
                script(connection)


def read_request(connection):
    raw = b""
    while b"\r\n\r\n" not in raw:
        raw += connection.recv(65536)
    head, _, body = raw.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            while len(body) < int(value):
                body += connection.recv(65536)
    return head, body


def reply_with(raw):
    def script(connection):
        read_request(connection)
        connection.sendall(raw)

    return script


def unused_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
