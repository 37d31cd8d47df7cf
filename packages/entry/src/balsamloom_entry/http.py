"""HTTP interface for callers: CherryPy in front of the router."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import cherrypy
from cheroot import wsgi
from cheroot.workers import threadpool

from balsamloom_core import errors, results
from balsamloom_entry import requests

BACKLOG = 512
KEPT_CONNECTIONS = 2_000
FIRST_THREADS = 16
SPARE_THREADS = 2
GROWTH_THREADS = 8
REQUEST_TIMEOUT_S = 30


class CallerInterface:
    """CherryPy handler that passes every request to the router.

    :param router: handler of requests.
    :param max_body_bytes: largest body accepted.
    """

    def __init__(self, router: requests.Handler, max_body_bytes: int) -> None:
        self._router = router
        self._max_body_bytes = max_body_bytes

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Iterable[bytes]:
        """Answer one request."""
        try:
            response = self._router(self._request(path, query))
        except errors.BalsamloomError as error:
            response = requests.error_response(error)
        cherrypy.response.status = response.status
        cherrypy.response.headers.update(response.headers)
        return response.chunks

    # The body is JSON and is decoded by the router, so CherryPy must neither
    # parse it nor hold streamed answers back.
    default._cp_config = {
        "response.stream": True,
        "request.body.processors": {},
        "tools.trailing_slash.on": False,
    }

    def _request(
        self, path: tuple[str, ...], query: dict[str, str]
    ) -> requests.Request:
        headers = {
            str(name).lower(): str(value)
            for name, value in cherrypy.request.headers.items()
        }
        return requests.Request(
            str(cherrypy.request.method), path, query, headers, self._body()
        )

    def _body(self) -> bytes:
        if cherrypy.request.body is None or not _has_body():
            return b""
        limit_bytes = self._max_body_bytes
        raw: bytes = cherrypy.request.body.read(limit_bytes + 1)
        if len(raw) > limit_bytes:
            raise errors.BalsamloomError(
                results.ResultCode.BODY_TOO_LARGE,
                f"body has more than {limit_bytes} bytes",
            )
        return raw


def _has_body() -> bool:
    return str(cherrypy.request.method) in ("POST", "PUT", "PATCH")


class GrowingThreadPool(threadpool.ThreadPool):
    """Thread pool that starts threads when they are needed.

    The server's own pool starts all its threads at once: a fleet of test
    processes with several hundred threads each used up the host's 32,768
    process numbers.
    """

    def put(self, obj: Any) -> None:
        """Queue a connection and start threads if none is idle.

        :param obj: connection with a request.
        """
        super().put(obj)
        # Idle threads may not have taken earlier connections yet.
        if obj is not None and self.idle - self.qsize < SPARE_THREADS:
            self.grow(GROWTH_THREADS)


def make_server(address: str, threads: int) -> wsgi.Server:
    """Return a server that is bound to its address but not serving yet.

    :param address: ``host:port``; port 0 takes a free one.
    :param threads: most requests served at a time.
    """
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host, int(port)),
        None,
        request_queue_size=BACKLOG,
        timeout=REQUEST_TIMEOUT_S,
    )
    server.requests = GrowingThreadPool(
        server, min=min(FIRST_THREADS, threads), max=threads
    )
    # The server's default of 10 would close most callers' connections after
    # each request.
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.prepare()
    return server


def mount(server: wsgi.Server, interface: CallerInterface) -> None:
    """Serve the interface from a server.

    :param server: bound server.
    :param interface: handler of all paths.
    """
    application: Any = cherrypy.Application(interface, "")
    application.log.screen = False
    application.log.access_log.propagate = False
    application.log.error_log.propagate = False
    server.wsgi_app = application


def bound_address(server: wsgi.Server) -> str:
    """Return ``host:port`` that a server listens on.

    :param server: bound server.
    """
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"
