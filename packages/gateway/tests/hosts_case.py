"""Test case with edge processes whose paths to servers can be cut."""

import http.client
import json
import time
import unittest

import builders
import gateway_case
import scripted
import stores

TIMEOUT_S = 5.0
# Long enough for a stream that outlasts most of a planned stop.
TIMEOUT_MS = 8_000.0
NAMES = ("m1", "m2", "m3")


class LinkedRecords(builders.Records):
    """Records of one process, which reaches servers over links of its own."""

    workspaces = None

    def __init__(self):
        self.links = {}

    def configuration(self, value):
        """Return a configuration with the routes of all kinds."""
        routes = gateway_case.routes_of_all_kinds()
        found = builders.configuration(
            int(value),
            tuple(one._replace(timeout_ms=TIMEOUT_MS) for one in routes),
        )
        return found._replace(workspaces=self.workspaces)

    def server(self, server_id, value):
        """Decode a server's record; its address is that of a link."""
        found = super().server(server_id, value)
        if server_id not in self.links:
            self.links[server_id] = scripted.Link(found.address)
        return found._replace(address=self.links[server_id].address)

    def cut(self):
        """Cut the process off from all servers.

        No connection breaks while another server can still be reached: that
        would look like a crash.
        """
        for link in self.links.values():
            link.refuse()
        for link in self.links.values():
            link.cut()

    def restore(self):
        """Let the process reach all servers again."""
        for link in self.links.values():
            link.restore()


class HostsCase(unittest.TestCase):
    """Test case with three edge processes and three servers."""

    # What servers do with a connection instead of answering a request.
    work = None
    QUOTA_BOUNDS = None

    def setUp(self):
        self.store = stores.Store()
        self.store.put("config", b"1")
        self.servers = [scripted.ScriptedServer(self.answer) for _ in range(3)]
        for number, server in enumerate(self.servers):
            self.addCleanup(server.close)
            record = {"is_draining": False, "address": server.address}
            self.store.put(f"server/s{number}", json.dumps(record).encode())
        self.records = {name: LinkedRecords() for name in NAMES}
        self.addresses = {
            name: (scripted.free_address(), scripted.free_address())
            for name in NAMES
        }
        self.hosts = {
            name: builders.edge_process(
                name,
                self.store,
                self.records[name],
                self.addresses[name],
                self.QUOTA_BOUNDS,
            )
            for name in NAMES
        }
        for name, host in self.hosts.items():
            host.start()
            self.addCleanup(self.stop, host)
            self.addCleanup(self.records[name].cut)
        self.wait_until(
            lambda: all(
                len(host.fleet.members()) == len(NAMES) and host.is_ready
                for host in self.hosts.values()
            )
        )

    def answer(self, connection, _):
        """Answer each request on a connection, or do other work with it."""
        server = self.owner(connection)
        while request := server.read_request(connection):
            if self.work is not None:
                self.work(connection)
                return
            name = request.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            connection.sendall(scripted.answer(b"ok", name.decode()))

    def owner(self, connection):
        """Return the server of a connection."""
        address = "{}:{}".format(*connection.getsockname())
        return next(one for one in self.servers if one.address == address)

    def stop(self, host):
        """Stop the threads of a process without a planned stop."""
        for part in (host._book, host._heartbeats, host._follower):
            part.stop()
        for listener in (host._ingress, *host._other_listeners):
            listener.stop_accepting()

    def connect(self, host):
        """Return a connection to a process."""
        connection = http.client.HTTPConnection(
            self.addresses[host][0], timeout=TIMEOUT_S
        )
        self.addCleanup(connection.close)
        return connection

    def fields(self, request_id, **others):
        """Return the header fields of a request."""
        return {"Host": "h.example", "Request-Id": request_id, **others}

    def send(self, host, request_id, path="/idempotent/x", **headers):
        """Send a request to a process and return its open response."""
        connection = self.connect(host)
        fields = self.fields(request_id, **headers)
        connection.request("POST", path, b"body", fields)
        return connection.getresponse()

    def request(self, host, request_id, path="/idempotent/x", **headers):
        """Send a request to a process; return its status and body."""
        response = self.send(host, request_id, path, **headers)
        return response.status, response.read()

    def runs(self, request_id):
        """Return how often servers got a request."""
        field = f"Request-Id: {request_id}\r\n".encode()
        return sum(
            field in request
            for server in self.servers
            for request in server.received
        )

    def wait_until(self, condition, timeout_s=TIMEOUT_S):
        """Wait until a condition holds."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.01)
