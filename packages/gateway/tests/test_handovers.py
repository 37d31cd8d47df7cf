"""Tests of requests at hosts that are cut off from all backend servers."""

import threading
import time
import unittest
from unittest import mock

import builders
import hosts_case
import scripted

from balsamloom_gateway import (
    attempts,
    draining,
    handover_messages,
    interfaces,
    server_connections,
)


class CutOffHostTest(hosts_case.HostsCase):
    """Guards against callers who share the fate of the host they chose."""

    def cut(self, *names):
        """Cut hosts off, and let the first of them notice it."""
        for name in names:
            self.records[name].cut()
        self.request(names[0], "first")
        self.assertTrue(self.hosts[names[0]]._paths.are_lost)

    def test_callers_of_a_host_without_a_path_are_served_through_a_member(
        self,
    ):
        self.records["m1"].cut()
        for number, kind in enumerate(("idempotent", "once", "stream") * 3):
            answer = self.request("m1", f"r{number}", f"/{kind}/x")
            self.assertEqual(answer, (200, b"ok"), (number, kind))
            self.assertEqual(self.runs(f"r{number}"), 1)

    def test_member_that_is_cut_off_too_passes_the_request_back(self):
        self.records["m2"].cut()
        self.cut("m1")
        for number in range(8):
            answer = self.request("m1", f"r{number}", "/once/x")
            self.assertEqual(answer, (200, b"ok"))

    def test_requests_are_refused_when_nobody_reaches_a_server(self):
        for records in self.records.values():
            records.cut()
        for number in range(6):
            status, _ = self.request("m1", f"r{number}", "/once/x")
            self.assertEqual(status, 503)
        for records in self.records.values():
            records.restore()
        self.wait_until(lambda: not self.hosts["m1"]._paths.are_lost)
        self.assertEqual(self.request("m1", "last"), (200, b"ok"))

    def test_host_serves_by_itself_once_its_paths_are_back(self):
        self.cut("m1")
        self.records["m1"].restore()
        self.wait_until(lambda: not self.hosts["m1"]._paths.are_lost)
        for name in ("m2", "m3"):
            self.records[name].cut()
        self.assertEqual(self.request("m1", "r", "/once/x"), (200, b"ok"))

    def test_budget_counts_a_turn_once(self):
        self.cut("m1")
        fields = {"Program": "p", "Budget": "60"}
        found = [
            self.request("m1", f"r{number}", "/stream/x", **fields)[0]
            for number in range(2)
        ]
        self.assertEqual(found, [200, 200])

    def test_shutdown_notice_counts_while_the_sender_lacks_the_server(self):
        view = self.hosts["m1"].fleet
        registered = {one.server_id for one in view.servers()}
        self.cut("m1")
        self.work = lambda connection: connection.sendall(
            scripted.answer(b"ok", "r", fields="Leaving: 1\r\n")
        )
        revision = self.store.revision + 1
        view.apply(
            [
                interfaces.Deletion(f"server/{name}", revision)
                for name in registered
            ]
        )
        self.assertEqual(self.request("m1", "r"), (200, b"ok"))
        view.apply(
            [
                self.store.items[f"server/{name}"]._replace(
                    revision=revision + 1
                )
                for name in registered
            ]
        )
        self.assertEqual(len(view.servers()), len(registered) - 1)

    def test_request_that_may_have_run_is_not_handed_over_again(self):
        self.cut("m1")
        self.work = lambda connection: connection.close()
        self.assertEqual(self.request("m1", "r", "/once/x")[0], 502)
        self.assertEqual(self.runs("r"), 1)

    def test_member_of_a_former_release_relays_a_status_that_http_lacks(self):
        fields = handover_messages.answer_fields(
            b"r", handover_messages.Outcome.ANSWERED, "s1"
        )
        lines = b"".join(b"%s: %s\r\n" % field for field in fields).decode()

        def relay(connection, _):
            former.read_request(connection)
            connection.sendall(
                scripted.answer(b"ok", "r", "777 Odd", lines) * 2
            )
            connection.recv(1)

        former = scripted.ScriptedServer(relay)
        self.addCleanup(former.close)
        view = self.hosts["m1"].fleet
        members = [
            one._replace(peer_address=former.address)
            for one in view.members()
            if one.name != "m1"
        ]
        self.cut("m1")
        with mock.patch.object(view, "members", return_value=members):
            self.assertEqual(self.request("m1", "r", "/once/x")[0], 502)
        self.assertEqual(len(former.received), 1)

    def test_refusals_of_members_promise_callers_nothing(self):
        def cut_all(_):
            for records in self.records.values():
                records.cut()

        self.work = cut_all
        with self.assertLogs("balsamloom") as logs:
            self.assertEqual(self.request("m1", "r")[0], 502)
        passed_back = [
            record
            for record in logs.records
            if record.name_of_event == "handover_failed"
        ]
        self.assertTrue(passed_back)

    def test_cut_that_breaks_a_request_is_no_crash_of_its_server(self):
        has_request, crashes = threading.Event(), []

        def wait_for_close(connection):
            has_request.set()
            connection.recv(1)

        self.work = wait_for_close
        self.hosts["m1"]._crash_reports.on_crash = crashes.append
        caller = self.connect("m1")
        caller.request("GET", "/once/x", headers=self.fields("r"))
        self.assertTrue(has_request.wait(2))
        self.records["m1"].cut()
        self.assertEqual(caller.getresponse().status, 502)
        self.assertEqual(crashes, [])

    def test_server_notices_that_the_caller_has_gone(self):
        self.cut("m1")
        has_request, is_closed = threading.Event(), threading.Event()

        def wait_for_close(connection):
            has_request.set()
            connection.recv(1)
            is_closed.set()

        self.work = wait_for_close
        caller = self.connect("m1")
        caller.request("GET", "/stream/x", headers=self.fields("r"))
        self.assertTrue(has_request.wait(2))
        caller.close()
        self.assertTrue(is_closed.wait(1))

    def test_stream_arrives_event_by_event_and_outlives_a_planned_stop(self):
        self.cut("m1")
        go_on = threading.Event()

        def stream(connection):
            connection.sendall(scripted.chunked_head("r"))
            connection.sendall(b"3\r\na\n\n\r\n")
            go_on.wait(5)
            connection.sendall(b"3\r\nb\n\n\r\n0\r\n\r\n")

        self.work = stream
        response = self.send("m1", "r", "/stream/x")
        self.assertEqual(response.read(3), b"a\n\n")
        helper = next(
            host
            for name, host in self.hosts.items()
            if name != "m1" and not host._guests.is_idle
        )
        helper._settings = helper._settings._replace(grace_ms=6_000.0)
        stop = threading.Thread(target=helper.leave)
        stop.start()
        time.sleep(draining.CLOSE_WAITING_MS / 1_000 + 0.9)
        self.assertTrue(stop.is_alive())
        go_on.set()
        self.assertEqual(response.read(), b"b\n\n")
        stop.join(5)

    def test_stopping_member_takes_no_requests_of_others(self):
        self.cut("m1")
        self.hosts["m2"]._drain.start(4_000.0)
        for number in range(8):
            answer = self.request("m1", f"r{number}", "/once/x")
            self.assertEqual(answer, (200, b"ok"))

    def test_full_member_takes_no_requests_of_others(self):
        self.cut("m1")
        self.hosts["m2"]._guests._max_requests = 0
        for number in range(8):
            answer = self.request("m1", f"r{number}", "/once/x")
            self.assertEqual(answer, (200, b"ok"))

    def test_callers_cannot_hand_over(self):
        for host in ("m1", "m2"):
            fields = {"Balsamloom-Handover": "9,9"}
            answer = self.request(host, host, "/once/x", **fields)
            self.assertEqual(answer, (200, b"ok"))
            forged = "/requests/serve/once/x"
            self.assertEqual(self.request(host, host, forged)[0], 404)


class HandoverMessageTest(unittest.TestCase):
    """Guards against answers that are taken for what they are not."""

    def decode(self, status, *fields):
        codec = handover_messages.MemberAnswerCodec(builders.Codec())
        return codec.decode_response(status, fields)

    def answered(self, outcome):
        return handover_messages.answer_fields(b"r", outcome, "s1")

    def test_former_release_has_not_run_the_request(self):
        self.assertTrue(self.decode(404).is_not_executed)

    def test_answer_of_no_member_may_have_run(self):
        for status in (200, 503):
            with self.assertRaises(server_connections.InvalidResponseError):
                self.decode(status, (b"Signed", b"1"))

    def test_only_refusals_promise_that_nothing_ran(self):
        outcomes = handover_messages.Outcome
        found = [
            self.decode(status, *self.answered(outcome)).is_not_executed
            for status, outcome in (
                (503, outcomes.ANSWERED),
                (503, outcomes.REFUSED),
                (502, outcomes.ANSWERED),
                (402, outcomes.ANSWERED),
            )
        ]
        self.assertEqual(found, [True, True, False, False])

    def test_member_counts_the_attempts_of_the_sender(self):
        route = builders.route(max_attempts=2)
        history = attempts.AttemptHistory(route, possible_runs=1)
        decision = history.decide(attempts.MayHaveRun("lost"), 1_000.0)
        self.assertEqual(decision, attempts.FinalFailure(False, "lost"))
