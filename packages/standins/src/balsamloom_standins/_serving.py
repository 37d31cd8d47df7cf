"""HTTP serving shared by the stand-ins."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from typing import Any

import cherrypy
from cheroot import wsgi

DEFAULT_THREADS = 64

JsonHandler = Callable[[dict[str, Any]], Any]


def read_json() -> dict[str, Any]:
    """Return the decoded JSON body of the current request."""
    raw = cherrypy.request.body.read()
    document: dict[str, Any] = json.loads(raw) if raw else {}
    return document


def write_json(document: Any, status: int = 200) -> bytes:
    """Return a JSON answer for the current request.

    :param document: JSON-compatible value.
    :param status: HTTP status.
    """
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(document).encode()


def serve(
    root: object, address: str, threads: int = DEFAULT_THREADS
) -> wsgi.Server:
    """Start a server in a thread of its own and return it.

    :param root: object with CherryPy handlers.
    :param address: ``host:port``; port 0 takes a free one.
    :param threads: size of the thread pool.
    """
    host, _, port = address.rpartition(":")
    application = cherrypy.Application(root, "")
    application.log.screen = False
    application.log.access_file = ""
    server = wsgi.Server(
        (host, int(port)), application, numthreads=threads, timeout=60
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def bound_address(server: wsgi.Server) -> str:
    """Return ``host:port`` that a server listens on.

    :param server: running server.
    """
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def run_until_signal(server: wsgi.Server) -> None:
    """Print the address, then wait for SIGTERM or SIGINT and stop the server.

    :param server: running server.
    """
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    print(json.dumps({"address": bound_address(server)}), flush=True)
    ended.wait()
    server.stop()
