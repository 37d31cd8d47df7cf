"""Tests of keys and workspaces, from a caller to a server and back."""

import http.client
import socket
import time
import unittest
from unittest import mock

import builders
import gateway_case
import hosts_case
import scripted
import storage_nodes

from balsamloom_gateway import handover_messages, stream_versions
from balsamloom_workspaces import credentials, key_tables, revocation

KEY = "key-of-first"
SPARE_KEY = "spare-key-of-first"
OTHER_KEY = "key-of-second"
FIRST = builders.workspace("first", KEY, SPARE_KEY, priority=2)
SECOND = builders.workspace("second", OTHER_KEY)


def bearer(key):
    """Return the header field that carries a key."""
    return {"Authorization": f"Bearer {key}"}


class WorkspaceCase(gateway_case.GatewayCase):
    """Test case with a gateway whose callers need keys."""

    def start(self, *scripts):
        gateway = super().start(*scripts or (self.engine,))
        self.follows_records = True
        gateway.proxy.router.follows_records = lambda: self.follows_records
        self.configure(FIRST, SECOND)
        return gateway

    def engine(self, connection, _):
        """Answer each request with one event."""
        owner = self.owner(connection)
        while request := owner.read_request(connection):
            name = request.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            connection.sendall(scripted.chunked_head(name.decode()))
            event = b"id: 1\ndata: %s\n\n" % name
            connection.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))

    def configure(self, *workspaces, public=()):
        routes = tuple(
            one._replace(is_public=one.path_prefix in public)
            for one in gateway_case.routes_of_all_kinds()
        )
        builders.activate_configuration(
            self.gateway.fleet, routes, workspaces or None
        )

    def status(self, headers=None, path="/once/x", body=b"x"):
        return self.request(path, headers, body)[0].status

    def wait_for_line(self, logs, name):
        """Wait for a line that is written after the caller has its answer."""
        until_s = time.monotonic() + 2
        while all(one.name_of_event != name for one in list(logs.records)):
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.005)

    def received(self):
        return [one for each in self.servers for one in each.received]


class IdentityTest(WorkspaceCase):
    """Guards against requests that run without a key, or leak it."""

    def test_server_gets_the_workspace_and_nobody_the_key(self):
        self.start()
        fields = {**bearer(KEY), "Workspace": "second"}
        with self.assertLogs("balsamloom", "INFO") as logs:
            self.assertEqual(self.status(fields), 200)
            self.wait_for_line(logs, "request_ended")
        (request,) = self.received()
        self.assertIn(b"Workspace: first\r\n", request)
        self.assertNotIn(KEY.encode(), request)
        ended = {
            record.name_of_event: record.workspace
            for record in logs.records
            if hasattr(record, "workspace")
        }
        self.assertEqual(
            ended, {"request_placed": "first", "request_ended": "first"}
        )
        self.assertNotIn(KEY, str([one.__dict__ for one in logs.records]))

    def test_request_without_a_known_key_is_unauthorized(self):
        self.start()
        connection = http.client.HTTPConnection(
            self.gateway.listener.address, timeout=5
        )
        self.addCleanup(connection.close)
        presented = (
            {},
            bearer("unknown"),
            bearer(""),
            {"Authorization": KEY},
            {"Authorization": f"Basic {KEY}"},
        )
        with self.assertLogs("balsamloom") as logs:
            for fields in presented:
                common = {"Host": "h.example", "Request-Id": "r1"}
                connection.request("POST", "/once/x", b"x", common | fields)
                response = connection.getresponse()
                self.assertEqual(response.read(), b"")
                self.assertEqual(response.status, 401, fields)
                self.assertEqual(
                    response.headers["WWW-Authenticate"], "Bearer"
                )
                self.assertFalse(response.will_close)
        self.assertEqual(self.runs(), 0)
        self.assertNotIn(KEY, str([one.__dict__ for one in logs.records]))

    def test_doubled_key_is_a_bad_request(self):
        self.start()
        caller = socket.create_connection(
            self.gateway.listener.address.split(":"), 5
        )
        self.addCleanup(caller.close)
        field = f"Authorization: Bearer {KEY}\r\n"
        caller.sendall(
            b"GET /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
            + 2 * field.encode()
            + b"\r\n"
        )
        self.assertIn(b" 400 ", caller.recv(4_096).split(b"\r\n")[0])
        self.assertEqual(self.runs(), 0)

    def test_public_route_belongs_to_no_workspace(self):
        self.start()
        self.configure(FIRST, public=("/once/",))
        for fields in ({}, bearer(KEY), bearer("unknown")):
            self.assertEqual(self.status(fields), 200)
        for request in self.received():
            self.assertNotIn(b"Workspace", request)
            self.assertNotIn(b"Authorization", request)

    def test_configuration_without_workspaces_is_served_as_before(self):
        self.start()
        self.configure()
        self.assertEqual(self.status(bearer("any")), 200)
        self.assertIn(b"Authorization: Bearer any", self.received()[0])
        self.assertNotIn(b"Workspace", self.received()[0])

    def test_host_that_cannot_know_a_key_does_not_deny_it(self):
        gateway = self.start()
        self.follows_records = False
        self.assertEqual(self.status(bearer("unknown")), 503)
        self.assertEqual(self.status(), 401)
        self.assertEqual(self.status(bearer(KEY)), 200)
        self.follows_records = True
        self.assertEqual(self.status(bearer("unknown")), 401)
        gateway.fleet._active_configuration = None
        self.assertEqual(self.status(bearer(KEY)), 503)

    def test_strict_host_accepts_no_key_while_it_may_lack_revocations(self):
        gateway = self.start()
        gateway.proxy.router.may_lack_revocations = lambda: True
        self.assertEqual(self.status(bearer(KEY)), 503)
        self.assertEqual(self.status(bearer("unknown")), 503)
        self.configure(FIRST, public=("/once/",))
        self.assertEqual(self.status(), 200)

    def test_open_connection_follows_the_configuration_in_force(self):
        self.start()
        connection = http.client.HTTPConnection(
            self.gateway.listener.address, timeout=5
        )
        self.addCleanup(connection.close)

        def ask():
            fields = {"Host": "h.example", "Request-Id": "r1"}
            connection.request("POST", "/once/x", b"x", fields | bearer(KEY))
            response = connection.getresponse()
            response.read()
            return response.status

        self.assertEqual(ask(), 200)
        self.configure(SECOND)
        self.assertEqual(ask(), 401)
        self.configure(SECOND._replace(key_digests=FIRST.key_digests))
        self.assertEqual(ask(), 200)
        self.assertIn(b"Workspace: second", self.received()[-1])

    def test_workspace_and_its_priority_are_kept_over_a_retry(self):
        full = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")
        self.start(self.answering(full), self.answering(full))
        self.assertEqual(self.status(bearer(KEY)), 503)
        self.assertEqual(len(self.received()), 2)
        for request in self.received():
            self.assertIn(b"Workspace: first", request)
            self.assertIn(b"Priority: 2\r\n", request)
            self.assertNotIn(KEY.encode(), request)


class ViewAgeTest(unittest.TestCase):
    """Guards against keys judged by a view that is too old for it."""

    def setUp(self):
        self.host = builders.edge_process()
        for listener in (self.host._ingress, *self.host._other_listeners):
            self.addCleanup(listener.stop_accepting)
        self.host._settings = self.host._settings._replace(
            view_bound_ms=1_000.0,
            revocation=revocation.RevocationPolicy(True, 5_000.0),
        )

    def judge(self, age_ms):
        with mock.patch.object(self.host._feed, "age_ms", return_value=age_ms):
            return (
                self.host._proxy.router.follows_records(),
                self.host._proxy.router.may_lack_revocations(),
            )

    def test_view_is_judged_by_its_age(self):
        self.assertEqual(self.judge(None), (False, True))
        self.assertEqual(self.judge(1_000.0), (True, False))
        self.assertEqual(self.judge(1_001.0), (False, False))
        self.assertEqual(self.judge(5_001.0), (False, True))

    def test_lenient_host_goes_on_with_what_it_knows(self):
        self.host._settings = self.host._settings._replace(
            revocation=revocation.LENIENT
        )
        self.assertEqual(self.judge(1e9), (False, False))

    def test_hundred_versions_build_no_table_that_nobody_needs(self):
        view = builders.fleet_view()
        versions = [
            builders.configuration(number)._replace(
                workspaces=(builders.workspace(f"w{number}", f"k{number}"),)
            )
            for number in range(1, 101)
        ]
        with mock.patch.object(
            key_tables.KeyTable, "_build", autospec=True
        ) as build:
            for number, version in enumerate(versions):
                view._apply_configuration(version, number)
        self.assertEqual(build.call_count, 0)
        digest = credentials.digest_key(b"k100")
        found = view.active_configuration.keys.find(digest)
        self.assertEqual(found.name, "w100")


class IsolationTest(WorkspaceCase):
    """Guards against workspaces that reach what belongs to others."""

    def setUp(self):
        self.cluster = storage_nodes.StorageCluster("a1 b1 c1", True)
        self.addCleanup(self.cluster.close)

    def start(self, *scripts):
        gateway = super().start(*scripts)
        gateway.storage_hosts = self.cluster.hosts()
        return gateway

    def turn(self, key, name, previous=""):
        fields = {"Request-Id": name, "Program": "p", **bearer(key)}
        if previous:
            fields["Previous"] = previous
        response, body = self.request(
            "/kept/", fields, b"in-%s " % name.encode()
        )
        return response.status, body

    def test_turn_of_another_workspace_does_not_exist(self):
        self.start()
        self.assertEqual(self.turn(KEY, "r1")[0], 200)
        unknown = self.turn(OTHER_KEY, "r2", "unknown")
        self.assertEqual(unknown[0], 404)
        for name in ("r1", "first/r1", "../first/r1"):
            self.assertEqual(self.turn(OTHER_KEY, "r3", name), unknown)
        self.assertEqual(self.turn(SPARE_KEY, "r4", "r1")[0], 200)
        body = self.received()[-1].partition(b"\r\n\r\n")[2]
        self.assertEqual(body, b"in-r1 r1\nin-r4 ")

    def test_public_route_reaches_no_turn_of_a_workspace(self):
        self.start()
        self.turn(KEY, "r1")
        self.configure(FIRST, public=("/kept/",))
        for name in ("r1", "first/r1"):
            self.assertEqual(self.turn(KEY, "r2", name)[0], 404)

    def test_turn_waits_for_a_key_that_was_just_added(self):
        gateway = self.start()
        self.turn(KEY, "r1")
        self.configure(SECOND)
        gateway.await_records = lambda: False
        self.assertEqual(self.turn(KEY, "r2", "r1")[0], 503)

        def read_records():
            self.configure(FIRST, SECOND)
            return True

        gateway.await_records = read_records
        self.assertEqual(self.turn(KEY, "r3", "r1")[0], 200)

    def test_budget_of_a_program_belongs_to_its_workspace(self):
        self.start()

        def spend(key):
            fields = {"Program": "p", "Budget": "30", **bearer(key)}
            return self.status(fields, "/stream/x")

        self.assertEqual(
            [spend(key) for key in (KEY, SPARE_KEY, OTHER_KEY)],
            [200, 402, 200],
        )

    def crashing(self, connection, _):
        """Answer requests; crash when one belongs to the first workspace."""
        owner = self.owner(connection)
        while request := owner.read_request(connection):
            if b"Workspace: first" in request:
                owner.close()
                return
            connection.sendall(scripted.answer())

    def test_crashes_of_a_request_belong_to_its_workspace(self):
        # What was served to another one with the same path and body cleared
        # them, so the request was never refused (review/8).
        gateway = self.start(*[self.crashing] * 8)
        path = "/once/t"
        found = []
        for count in range(1, 6):
            found.append(self.status(bearer(KEY), path))
            self.wait_until(
                lambda count=count: len(gateway.store.items) >= min(count, 3)
            )
            self.wait_until(
                lambda: self.status(bearer(OTHER_KEY), path) == 200
            )
        self.assertEqual(found, [502, 502, 502, 503, 503])

    def wait_until(self, is_done):
        until_s = time.monotonic() + 5
        while not is_done():
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.005)

    def test_stream_belongs_to_its_workspace(self):
        gateway = self.start()
        streams = gateway.streams
        unknown = stream_versions.Unknown("unknown")
        with (
            mock.patch.object(streams, "begin", return_value=True) as begin,
            mock.patch.object(
                streams, "origin", return_value=unknown
            ) as origin,
        ):
            self.status(bearer(KEY), "/resumable/x")
            resumed = {"Last-Event-Id": "1", "Resumes": "r1"}
            for key in (KEY, OTHER_KEY):
                self.status(resumed | bearer(key), "/resumable/x")
        began = begin.call_args.args[0]
        asked = [call.args[0] for call in origin.call_args_list]
        self.assertEqual(asked[0], began)
        self.assertNotEqual(asked[1], began)


class HandoverTest(hosts_case.HostsCase):
    """Guards against keys that leave their host with a request."""

    def setUp(self):
        patch = mock.patch.object(
            hosts_case.LinkedRecords, "workspaces", (FIRST, SECOND)
        )
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
        self.records["m1"].cut()
        self.request("m1", "first", **bearer(KEY))
        self.assertTrue(self.hosts["m1"]._paths.are_lost)

    def received(self):
        return [one for each in self.servers for one in each.received]

    def test_member_serves_the_workspace_without_its_key(self):
        with mock.patch.object(
            handover_messages,
            "encode_request",
            wraps=handover_messages.encode_request,
        ) as encode:
            fields = {**bearer(KEY), "Balsamloom-Handover-Key": "00" * 32}
            answer = self.request("m1", "r", "/once/x", **fields)
        self.assertEqual(answer, (200, b"ok"))
        self.assertIn(b"Workspace: first", self.received()[-1])
        for sent in (str(encode.call_args), str(self.received())):
            self.assertNotIn(KEY, sent)
            self.assertNotIn("Authorization", sent)

    def test_member_judges_the_key_by_its_own_configuration(self):
        for name in ("m2", "m3"):
            view = self.hosts[name].fleet
            builders.activate_configuration(
                view,
                view.active_configuration.configuration.routes,
                (SECOND,),
            )
        self.assertEqual(self.request("m1", "r", **bearer(KEY))[0], 401)

    def test_earlier_build_never_serves_a_keyed_request(self):
        former = scripted.ScriptedServer(
            lambda connection, _: (
                former.read_request(connection),
                connection.sendall(
                    b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                ),
            )
        )
        self.addCleanup(former.close)
        view = self.hosts["m1"].fleet
        members = [
            one._replace(peer_address=former.address)
            for one in view.members()
            if one.name != "m1"
        ]
        with mock.patch.object(view, "members", return_value=members):
            status, _ = self.request("m1", "r", "/once/x", **bearer(KEY))
        self.assertEqual(status, 503)
        self.assertTrue(former.received)
        for request in former.received:
            self.assertTrue(request.startswith(b"POST /requests/keyed/once/x"))


if __name__ == "__main__":
    unittest.main()
