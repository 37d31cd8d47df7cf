"""Test case with a gateway process in front of scripted servers."""

import http.client
import random
import threading
import time
import unittest

import builders
import scripted
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    budget_ledger,
    budgets,
    conversations,
    crash_detection,
    crash_reports,
    dispatch,
    draining,
    fleet,
    handover,
    listeners,
    metrics,
    peers,
    planner,
    proxy,
    responses,
    server_paths,
    storage_calls,
    stream_versions,
    traffic,
    version_history,
)

ROUTE_KINDS = {
    "/idempotent/": traffic.RouteKind.IDEMPOTENT,
    "/once/": traffic.RouteKind.NON_IDEMPOTENT,
    "/stream/": traffic.RouteKind.STREAMING,
    "/resumable/": traffic.RouteKind.STREAMING,
    "/kept/": traffic.RouteKind.STREAMING,
}
COPIES = 2
LIMITS = listeners.Limits(32, 4_096, 100_000, 500.0, 5_000.0)


def routes_of_all_kinds():
    """Build the routes of ``ROUTE_KINDS``."""
    return tuple(
        builders.route(kind, prefix=prefix, max_attempts=2)._replace(
            is_resumable="resumable" in prefix,
            is_stateful="kept" in prefix,
        )
        for prefix, kind in ROUTE_KINDS.items()
    )


class Gateway:
    """Listener, proxy and store of one process.

    :param servers: addresses of backend servers by identifier.
    :param store: platform's store; a new one by default.
    """

    def __init__(self, servers, store=None):
        clock = clocks.Clock()
        self.clock = clock
        records = builders.Records()
        self.store = store or stores.Store()
        self.fleet = fleet.Fleet(records, clock)
        self.balancer = balancer.Balancer(clock, "a", random.Random(1))
        self.book = budget_ledger.BudgetLedger(self.store, records, clock)
        self.permits = builders.permits("m1", self.fleet, clock)
        self.planned = balancer.Balancer(clock, "a", random.Random(2))
        accounts = budgets.Budgets(
            "m1",
            self.book,
            planner.TurnPlanner(
                "m1", self.planned, self.fleet, self.permits, clock
            ),
            peers.PeerClients(clock),
            self.fleet,
            clock,
        )
        self.storage_hosts = []
        self.is_current = True
        self.drain = draining.Drain(clock)
        # Lets the process read the latest records; whether it could.
        self.await_records = lambda: True
        codec = builders.Codec()
        responder = responses.Responder(codec, clock, metrics.Metrics())
        self.crashes = crash_reports.CrashReports(
            self.store, records, lambda: 0, clock
        )
        self.history = version_history.VersionHistory(
            self.store, records, self.fleet, lambda: 0, clock
        )
        self.streams = stream_versions.StreamVersions(
            "m1",
            self.history,
            self.fleet,
            peers.PeerClients(clock),
            lambda: self.is_current,
            clock,
        )
        self.detector = crash_detection.CrashDetector(self.crashes, clock)
        self.paths = server_paths.ServerPaths(clock)
        self.dispatcher = dispatch.Dispatcher(
            self.balancer,
            responder,
            self.permits,
            self.detector,
            self.streams,
            self.paths,
            codec,
            clock,
        )
        self.proxy = proxy.Proxy(
            self.fleet,
            self.dispatcher,
            accounts,
            conversations.ConversationStore(
                lambda: self.storage_hosts,
                storage_calls.StorageCalls(peers.PeerClients(clock), clock),
                clock,
                "a",
                COPIES,
                lambda since_ms, until_ms: True,
            ),
            self.detector,
            self.streams,
            responder,
            codec,
            clock,
            lambda since_ms, until_ms: self.await_records(),
            self.drain,
            handover.Handovers(
                "m1",
                self.fleet,
                self.paths,
                responder,
                codec,
                clock,
            ),
        )
        self.listener = listeners.Listener(
            "127.0.0.1:0", self.proxy.handle, LIMITS
        )
        self.set_servers(servers)
        self.listener.start()
        threading.Thread(target=self.book.run, daemon=True).start()
        threading.Thread(target=self.crashes.run, daemon=True).start()

    def configure(self):
        """Apply a configuration with the routes of ``ROUTE_KINDS``."""
        builders.activate_configuration(self.fleet, routes_of_all_kinds())

    def set_servers(self, servers):
        """Set the backend servers: addresses by identifier."""
        found = [
            builders.server(name)._replace(address=address)
            for name, address in servers.items()
        ]
        self.paths.set_servers(found)
        self.balancer.set_servers(found)
        self.planned.set_servers(found)

    def wait_for_kept_connection(self):
        """Wait until a connection to a server is back in its pool."""
        until_s = time.monotonic() + 5
        while not any(pool._idle for pool in self.dispatcher.pools.all()):
            assert time.monotonic() < until_s, "no connection in a pool"
            time.sleep(0.005)

    def close(self):
        """Stop serving."""
        self.book.stop()
        self.listener.stop_accepting()


class GatewayCase(unittest.TestCase):
    """Test case with a gateway and scripted backend servers."""

    def start(self, *scripts):
        self.servers = []
        addresses = {}
        for number, script in enumerate(scripts):
            server = scripted.ScriptedServer(
                lambda connection, count, script=script: script(
                    connection, count
                )
            )
            self.addCleanup(server.close)
            self.servers.append(server)
            addresses[f"s{number}"] = server.address
        gateway = Gateway(addresses)
        gateway.configure()
        self.addCleanup(gateway.close)
        self.gateway = gateway
        return gateway

    def answering(self, *answers, then=None):
        """Return a script that sends ``answers`` to each request."""

        def script(connection, _):
            owner = self.owner(connection)
            while owner.read_request(connection):
                for data in answers:
                    connection.sendall(data)
                if then is not None:
                    then(connection)
                    return

        return script

    def owner(self, connection):
        port = connection.getsockname()[1]
        return next(
            server
            for server in self.servers
            if server.address.endswith(f":{port}")
        )

    def request(self, path="/idempotent/x", headers=None, body=None):
        connection = http.client.HTTPConnection(
            self.gateway.listener.address, timeout=5
        )
        self.addCleanup(connection.close)
        fields = {"Host": "h.example", "Request-Id": "r1", **(headers or {})}
        method = "POST" if body is not None else "GET"
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        return response, response.read()

    def runs(self):
        return sum(len(server.received) for server in self.servers)
