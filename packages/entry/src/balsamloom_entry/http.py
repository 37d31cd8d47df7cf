"""HTTP interface for callers, served by CherryPy."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import cherrypy
from cheroot import wsgi
from cheroot.workers import threadpool

from balsamloom_core import errors, results
from balsamloom_entry import connections, requests

BACKLOG = 512
MAX_KEEP_ALIVE_CONNECTIONS = 2_000
INITIAL_THREADS = 16
MIN_IDLE_THREADS = 2
THREADS_PER_GROWTH = 8
REFUSAL_THREADS = 8
REQUEST_TIMEOUT_S = 30


class CallerInterface:
    """CherryPy handler that passes every request to the router.

    :param router: request handler.
    :param max_body_bytes: maximum size of a body.
    """

    def __init__(self, router: requests.Handler, max_body_bytes: int) -> None:
        self._router = router
        self._max_body_bytes = max_body_bytes

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Iterable[bytes]:
        """Handle one request."""
        try:
            response = self._router(self._request(path, query))
        except errors.BalsamloomError as error:
            response = requests.error_response(error)
        cherrypy.response.status = response.status
        cherrypy.response.headers.update(response.headers)
        return response.chunks

    # CherryPy must not parse bodies, which the router decodes as JSON, nor
    # buffer streamed responses.
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
    """Thread pool that starts threads on demand.

    The server's own pool starts all threads at once. A fleet of test processes
    with several hundred threads each exhausted the host's 32,768 process ids.
    """

    def put(self, obj: Any) -> None:
        """Queue a connection and start threads if too few are idle.

        :param obj: connection with a request.
        """
        super().put(obj)
        # Idle threads may not have taken the queued connections yet.
        if obj is not None and self.idle - self.qsize < MIN_IDLE_THREADS:
            self.grow(THREADS_PER_GROWTH)


class Server(wsgi.Server):
    """Server whose planned stop cuts no request.

    :param address: host and port.
    """

    ConnectionClass = connections.CallerConnection
    _connections: connections.ConnectionWatch

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(
            address,
            None,
            request_queue_size=BACKLOG,
            timeout=REQUEST_TIMEOUT_S,
        )
        self.open_connections: set[connections.CallerConnection] = set()
        self._is_draining = False

    def prepare(self) -> None:
        """Bind the server to its address and start its threads."""
        super().prepare()
        self._connections.close()
        self._connections = connections.ConnectionWatch(self)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection is kept after its next response."""
        return not self._is_draining and super().can_add_keepalive_connection

    @property
    def is_ended(self) -> bool:
        """Return whether no request can arrive or is in progress."""
        return self.socket is None and not self.open_connections

    def set_draining(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def end_accepting(self) -> None:
        """Serve the requests that have begun to arrive, and no more."""
        self._connections.end()

    def add_refusal_threads(self) -> None:
        """Start threads for requests that wait behind long ones."""
        self.requests.max += REFUSAL_THREADS
        self.requests.grow(REFUSAL_THREADS)


def make_server(address: str, max_threads: int) -> Server:
    """Return a server that is bound to its address but not yet serving.

    :param address: ``host:port``; port 0 selects a free one.
    :param max_threads: maximum number of concurrent requests.
    """
    host, _, port = address.rpartition(":")
    server = Server((host, int(port)))
    server.requests = GrowingThreadPool(
        server, min=min(INITIAL_THREADS, max_threads), max=max_threads
    )
    # The default of 10 would close most connections after each request.
    server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
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
    """Return the ``host:port`` that a server listens on.

    :param server: bound server.
    """
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"
