"""Tests of streams that go on at the software version that began them."""

import http.client
import json
import socket
import threading
import time
import unittest

import builders
import gateway_case
import scripted
import storage_nodes

from balsamloom_conversations import replicas
from balsamloom_gateway import (
    interfaces,
    registration_records,
    stream_registry,
)

EVENT = b"id: 1\ndata: %s\n\n"
REFUSAL = scripted.answer(b"", status="503 x", fields="Not-Executed: 1\r\n")
TIMEOUT_S = 5.0


class ResumedStreamTest(gateway_case.GatewayCase):
    """Guards against streams with events of two software versions."""

    def setUp(self):
        self.cluster = storage_nodes.StorageCluster("a1 b1 c1", True)
        self.addCleanup(self.cluster.close)
        # Version whose servers refuse new streams.
        self.refusing_version = ""
        self.refusal = REFUSAL

    def breaking(self, connection, _):
        """Send one event of a stream; break off if it is a new one."""
        owner = self.owner(connection)
        while request := owner.read_request(connection):
            version = self.versions[owner]
            if b"broken" in request and version == self.refusing_version:
                connection.sendall(self.refusal)
                if self.refusal == REFUSAL:
                    continue
                connection.close()
                return
            event = EVENT % version.encode()
            connection.sendall(scripted.chunked_head())
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if b"broken" in request:
                connection.close()
                return
            connection.sendall(b"0\r\n\r\n")

    def start(self, *versions):
        gateway = super().start(*[self.breaking] * len(versions))
        self.versions = dict(zip(self.servers, versions, strict=True))
        self.register(gateway)
        return gateway

    def register(self, gateway, versions=("v1", "v2")):
        """Let a process know the storage hosts and the servers."""
        hosts = {host.name: host for host in self.cluster.hosts()}
        gateway.fleet._storage_hosts = hosts
        gateway.fleet.on_servers_changed = (gateway.balancer.set_servers,)
        changes = []
        for number, server in enumerate(self.servers):
            if self.versions[server] in versions:
                fields = builders.server(version=self.versions[server])
                fields = fields._replace(address=server.address)._asdict()
                value = json.dumps(fields).encode()
                key = f"server/s{number}"
                changes.append(interfaces.Item(key, value, number + 1))
        gateway.fleet.on_changes = (gateway.history.apply,)
        gateway.fleet.apply(changes)
        gateway.fleet.apply(list(gateway.store.items.values()))
        gateway.history.write_due()
        gateway.streams.record_earlier()

    def restart(self, versions=("v1", "v2")):
        """Replace the process by one that knows what the store has."""
        self.gateway.close()
        restarted = gateway_case.Gateway({}, self.gateway.store)
        restarted.configure()
        self.addCleanup(restarted.close)
        self.register(restarted, versions)
        self.gateway = restarted

    def begin(self, request_id):
        """Begin a stream that breaks off and return its version."""
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.send(request_id, b"broken")
        return self.version_in(caught.exception.partial)

    def resume(self, stream_id):
        """Resume a stream; return the status and the version."""
        fields = {"Last-Event-Id": "1", "Resumes": stream_id}
        response, body = self.send("r1", b"x", fields)
        return response.status, self.version_in(body)

    def send(self, request_id, body, fields=None):
        headers = {"Request-Id": request_id, **(fields or {})}
        return self.request("/resumable/x", headers, body)

    def version_in(self, data):
        return data.partition(b"data: ")[2].strip().decode()

    def test_stream_goes_on_at_its_version_at_the_same_process(self):
        self.start("v1", "v2", "v2", "v1")
        for _ in range(12):
            self.assertEqual(self.resume_after_begin(), [])

    def resume_after_begin(self):
        version = self.begin("r1")
        answers = [self.resume("r1") for _ in range(3)]
        return [found for found in answers if found != (200, version)]

    def test_stream_goes_on_at_its_version_after_a_restart(self):
        self.start("v1", "v2", "v2", "v1")
        for _ in range(6):
            version = self.begin("r1")
            self.restart()
            self.assertEqual(self.resume("r1"), (200, version))
            # Each attempt of a caller has an identifier of its own.
            self.forget_streams(is_whole=True)

    def forget_streams(self, is_whole=False):
        """Let storage hosts forget where streams began."""
        for node in self.cluster.nodes:
            node.service._streams = stream_registry.StreamRegistry(
                self.gateway.clock, is_whole
            )

    def test_stream_is_not_joined_when_a_retry_began_it(self):
        self.check_stream_that_a_retry_began()

    def test_stream_is_not_joined_when_a_server_sent_its_head_only(self):
        self.refusal = scripted.chunked_head()
        self.check_stream_that_a_retry_began()

    def check_stream_that_a_retry_began(self):
        self.start("v1", "v2")
        self.refusing_version = "v1"
        self.delay_records("v1")
        while not self.servers[0].received:
            self.assertEqual(self.begin("r1"), "v2")
        self.deliver_records()
        self.assertEqual(set(self.known_versions()), {"v2"})

    def test_stream_is_not_joined_when_hosts_were_called_in_vain(self):
        self.start("v1", "v2")
        self.refusing_version = "v1"
        self.gateway.streams._processes.post = lambda *_: None
        self.assertEqual(self.begin("r1"), "v2")
        self.assertEqual(set(self.known_versions()), {"v2"})

    def test_stream_that_nobody_can_record_is_not_sent(self):
        self.start("v1", "v2")
        self.refusing_version = "v1"
        for node in self.cluster.nodes:
            node.stop()
        response, _ = self.send("r1", b"broken")
        self.assertEqual(response.status, 502)

    def test_stream_whose_record_was_given_up_begins_at_no_other_version(self):
        # The record arrived later, and the stream went on as it said
        # (review/6).
        self.start("v1", "v2")
        self.delay_records("v2")
        self.delay_repeated_records()
        self.place_first_at("v2")
        response, _ = self.send("r1", b"x")
        self.assertEqual(response.status, 502)
        self.deliver_records()
        self.assertEqual(self.resume("r1"), (200, "v2"))

    def test_stream_of_another_member_too_begins_only_if_it_is_recorded(self):
        # A member that did not answer in time may still record it.
        self.start("v1", "v2")
        for node in self.cluster.nodes:
            node.stop()
        server = builders.server(version="v1")
        self.assertTrue(self.gateway.streams.begin("r1", server))
        begins = self.gateway.streams.begin("r2", server, is_first=False)
        self.assertFalse(begins)

    def test_stream_that_two_versions_recorded_goes_on_at_neither(self):
        # Which of two records arrived last says nothing.
        self.start("v1", "v2")
        for stream_id, versions in (("r2", "121"), ("r3", "211")):
            for node, number in zip(self.cluster.nodes, versions, strict=True):
                start = stream_registry.StreamStart(stream_id, f"v{number}")
                node.service._streams.record([start])
            self.assertEqual(self.resume(stream_id)[0], 503)

    def place_first_at(self, version):
        """Place the first attempt at a server of a version."""
        choose = self.gateway.balancer.choose
        versions = [version]

        def choose_first(service, profile, avoided):
            if versions:
                profile = profile._replace(version=versions.pop())
            return choose(service, profile, avoided)

        self.gateway.balancer.choose = choose_first

    def delay_records(self, version):
        """Hold back what storage hosts are told of a version."""
        self.may_deliver = threading.Event()
        self.addCleanup(self.may_deliver.set)
        processes = self.gateway.streams._processes
        processes.post = self.delayed(
            processes.post, lambda body: version.encode() in body
        )

    def delay_repeated_records(self):
        """Hold back the calls that are made when the first got no answer."""
        clients = self.gateway.streams._clients
        clients.post = self.delayed(clients.post, lambda _: True)

    def delayed(self, post, is_delayed):
        def delayed_post(receiver, path, body, timeout_ms):
            if is_delayed(body):
                self.may_deliver.wait(TIMEOUT_S)
            return post(receiver, path, body, timeout_ms)

        return delayed_post

    def deliver_records(self):
        self.may_deliver.set()
        self.gateway.streams._calls.shutdown(wait=True)

    def test_stream_of_unknown_version_is_refused_after_a_restart(self):
        self.start("v1", "v2")
        self.begin("r1")
        for node in self.cluster.nodes:
            node.stop()
        self.restart()
        status, _ = self.resume("r1")
        self.assertEqual(status, 503)

    def test_stream_is_not_joined_when_its_version_has_left(self):
        self.start("v1", "v2")
        while self.begin("r1") != "v1":
            pass
        self.restart(versions=("v2",))
        self.assertEqual(self.resume("r1")[0], 503)
        self.assertEqual(self.resume("unknown")[0], 503)

    def test_stream_that_began_before_the_second_version_came_goes_on(self):
        self.start("v1")
        self.begin("r1")
        self.begin_second_version()
        self.restart()
        self.assertEqual(self.resume("r1"), (200, "v1"))

    def begin_second_version(self):
        self.add_second_version()
        until_s = time.monotonic() + TIMEOUT_S
        while not any(self.known_versions()):
            self.assertLess(time.monotonic(), until_s, "not recorded")
            time.sleep(0.005)

    def add_second_version(self):
        server = scripted.ScriptedServer(
            lambda connection, count: self.breaking(connection, count)
        )
        self.addCleanup(server.close)
        self.servers.append(server)
        self.versions[server] = "v2"
        self.register(self.gateway)

    def known_versions(self):
        return [
            found.version
            for node in self.cluster.nodes
            if isinstance(
                found := node.service._streams.find("r1"),
                stream_registry.Recorded,
            )
        ]

    def test_stream_that_nobody_recorded_goes_on_at_the_elder_version(self):
        # It began at a process that was killed before it knew of the second
        # version; such streams were joined from two versions or refused by
        # all processes (review/4).
        self.start("v1")
        self.begin("r1")
        self.begin_second_version()
        self.assertEqual(self.resume("unknown"), (200, "v1"))
        node = self.cluster.nodes[0]
        node.service._streams = stream_registry.StreamRegistry(
            self.gateway.clock
        )
        self.assertEqual(self.resume("unknown")[0], 503)

    def test_streams_begin_at_the_elder_version_unless_they_are_recorded(self):
        for is_restarted in (False, True):
            with self.subTest(is_restarted=is_restarted):
                self.start("v1")
                self.begin("r1")
                self.begin_second_version()
                if is_restarted:
                    self.restart()
                self.assertIsNone(self.required_version())
                self.gateway.fleet._storage_hosts = {}
                self.assertEqual(self.required_version(), "v1")
                self.check_that_streams_begin_at("v1")

    def required_version(self):
        return self.gateway.streams.required_version(builders.SERVICE)

    def check_that_streams_begin_at(self, version):
        self.assertEqual({self.begin("r1") for _ in range(8)}, {version})

    def test_streams_begin_at_the_elder_version_while_hosts_are_silent(self):
        self.start("v1", "v2")
        for node in self.cluster.nodes:
            node.stop()
        self.begin("r1")
        self.check_that_streams_begin_at("v1")

    def test_all_processes_agree_on_the_elder_version(self):
        # A process that had started beside both versions knew no elder one,
        # began streams anywhere, and others took them for the older one.
        self.start("v1")
        self.begin("r1")
        self.begin_second_version()
        for _ in range(2):
            self.restart()
            self.assertEqual(
                self.gateway.history.elder(builders.SERVICE), "v1"
            )
            self.assertEqual(self.resume("unknown"), (200, "v1"))

    def test_version_that_only_storage_hosts_know_of_is_not_joined(self):
        # The second version has come; this process has not read it yet.
        self.start("v1")
        start = stream_registry.StreamStart("r0", "v2")
        for node in self.cluster.nodes:
            node.service._streams.record([start])
        self.assertEqual(self.resume("r0")[0], 503)
        self.assertEqual(self.resume("unknown"), (200, "v1"))

    def test_stream_that_only_unknown_storage_hosts_recorded_is_not_joined(
        self,
    ):
        # The hosts were just added; this process has not read them yet.
        self.start("v1", "v2")
        hosts = self.gateway.fleet._storage_hosts
        added = {}
        start = stream_registry.StreamStart("r0", "v2")
        for host in replicas.rank("r0", hosts.values())[:2]:
            self.cluster.node(host.name).service._streams.record([start])
            added[host.name] = hosts.pop(host.name)

        def read_records():
            hosts.update(added)
            return True

        self.gateway.await_records = lambda: False
        self.assertEqual(self.resume("r0")[0], 503)
        self.gateway.await_records = read_records
        self.assertEqual(self.resume("r0"), (200, "v2"))

    def test_process_whose_view_lags_does_not_join_versions(self):
        self.start("v1")
        self.forget_streams()
        self.assertEqual(self.resume("unknown"), (200, "v1"))
        self.gateway.await_records = lambda: False
        self.assertEqual(self.resume("unknown")[0], 503)
        self.gateway.await_records = self.read_second_version
        self.assertEqual(self.resume("unknown")[0], 503)

    def read_second_version(self):
        self.add_second_version()
        return True

    def test_one_silent_storage_host_does_not_keep_a_stream_unknown(self):
        self.start("v1", "v2")
        hosts = self.gateway.fleet._storage_hosts
        first = replicas.rank("r1", hosts.values())[0]
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        port = silent.getsockname()[1]
        address = f"127.0.0.1:{port}"
        hosts[first.name] = first._replace(address=address)
        version = self.begin("r1")
        self.assertIn(version, self.known_versions())

    def test_process_that_is_cut_off_does_not_join_versions(self):
        self.start("v1")
        self.gateway.is_current = False
        self.assertEqual(self.resume("unknown")[0], 503)
        self.begin("r1")
        self.assertEqual(self.resume("r1"), (200, "v1"))

    def test_stale_process_learns_the_versions_from_a_member(self):
        self.start("v1")
        self.gateway.is_current = False
        versions = ["v1"]
        for name in ("m1", "m2"):
            encoded = registration_records.encode_member(builders.member(name))
            item = interfaces.Item(f"member/{name}", encoded, 1)
            self.gateway.fleet.apply([item])
        members = self.gateway.streams._processes
        members.call = lambda *_: {"versions": versions}
        self.assertEqual(self.resume("unknown"), (200, "v1"))
        versions.append("v2")
        self.assertEqual(self.resume("unknown")[0], 503)

    def test_stream_waits_for_a_route_that_was_just_added(self):
        # Another process, which knew the route, began the stream.
        gateway = self.start("v1")
        version = self.begin("r1")
        builders.activate_configuration(gateway.fleet, ())

        def read_records():
            gateway.configure()
            return True

        gateway.await_records = read_records
        self.assertEqual(self.resume("r1"), (200, version))

    def test_stream_is_refused_while_its_route_may_exist(self):
        gateway = self.start("v1")
        builders.activate_configuration(gateway.fleet, ())
        self.assertEqual(self.resume("r1")[0], 404)
        gateway.await_records = lambda: False
        self.assertEqual(self.resume("r1")[0], 503)
        self.assertEqual(self.resume("")[0], 503)
        self.assertEqual(self.send("r2", b"x")[0].status, 404)

    def test_any_stream_goes_on_with_one_version(self):
        self.start("v1", "v1")
        self.assertEqual(self.resume("unknown"), (200, "v1"))
        for node in self.cluster.nodes:
            node.stop()
        self.restart()
        self.assertEqual(self.resume("unknown"), (200, "v1"))


if __name__ == "__main__":
    unittest.main()
