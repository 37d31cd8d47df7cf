"""Tests of planned stops: late requests and the end of a process."""

import socket
import threading
import time
import unittest
from unittest import mock

import builders
import gateway_case
import listener_case
import scripted

from balsamloom_gateway import draining, exchanges


class DeadlineTest(listener_case.ListenerCase):
    """Guards against requests that end with the process unanswered."""

    def setUp(self):
        super().setUp()
        self.step = threading.Event()
        self.ended = threading.Event()
        self.outcome = ""

    def work(self, request, response):
        """Wait, and then pass the request on or answer it."""
        try:
            request.read_body()
            if self.outcome == "passed on":
                request.pass_on()
            self.step.wait(2)
            if self.outcome == "to pass on":
                request.pass_on()
            response.send(200, ())
        except exchanges.RequestEndedError:
            self.outcome = "ended"
            raise
        finally:
            self.ended.set()

    def end(self, data, state, outcome=""):
        """Send data, end the exchanges, and let the worker go on."""
        self.outcome = outcome
        self.listener.start()
        caller = self.connect()
        caller.sendall(data)
        self.wait_for(state)
        self.listener.stop_accepting()
        while outcome == "passed on" and not self.is_passed_on():
            time.sleep(0.002)
        refused = self.listener.end_exchanges(
            lambda _: [(b"Retry-After", b"0.1")]
        )
        self.step.set()
        return len(refused), caller.recv(1_000)

    def is_passed_on(self):
        """Return whether the request in progress was passed on."""
        return any(each.is_passed_on for each in self.listener.unfinished())

    def test_request_that_waits_to_be_passed_on_is_refused_and_never_runs(
        self,
    ):
        refused, answer = self.end(
            listener_case.REQUEST, "in_progress", "to pass on"
        )
        self.assertEqual(refused, 1)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"\r\nRetry-After: 0.1\r\n", answer)
        self.assertTrue(self.ended.wait(2))
        self.assertEqual(self.outcome, "ended")
        self.wait_until_idle()

    def test_request_that_has_no_answer_yet_gets_one_only(self):
        refused, answer = self.end(listener_case.REQUEST, "in_progress")
        self.assertEqual((refused, answer.count(b"HTTP/1.1")), (1, 1))
        self.wait_until_idle()

    def test_request_that_is_still_being_read_is_refused(self):
        refused, answer = self.end(listener_case.REQUEST[:20], "reading")
        self.assertEqual((refused, answer[9:12]), (1, b"503"))
        self.wait_until_idle()

    def test_request_that_was_passed_on_is_not_refused(self):
        refused, answer = self.end(
            listener_case.REQUEST, "in_progress", "passed on"
        )
        self.assertEqual((refused, answer[9:12]), (0, b"200"))
        self.wait_until_idle()


class ScheduleTest(unittest.TestCase):
    """Guards against a stop that takes requests it cannot finish."""

    GRACE_MS = 8_000.0

    def test_late_request_is_refused_before_the_process_refuses_connections(
        self,
    ):
        times = draining.schedule(1_000.0, self.GRACE_MS)
        self.assertTrue(draining.may_pass_on(None, 9_000.0))
        self.assertTrue(draining.may_pass_on(times, 3_799.0))
        self.assertFalse(draining.may_pass_on(times, 3_800.0))
        self.assertLess(times.pass_on_until_ms, times.accept_until_ms)
        self.assertLess(times.accept_until_ms, times.close_waiting_ms)
        self.assertLess(times.close_waiting_ms, times.deadline_ms)

    def test_requests_are_cut_only_in_the_last_sixth_of_the_grace_period(self):
        for grace_ms in (self.GRACE_MS, 1_500.0, 30_000.0):
            times = draining.schedule(0.0, grace_ms)
            self.assertGreater(times.deadline_ms, grace_ms * 5 / 6)
            self.assertLess(times.deadline_ms, grace_ms)

    def test_short_grace_period_keeps_the_order_of_the_times(self):
        for grace_ms in (0.0, 100.0, 1_500.0, 3_300.0):
            times = draining.schedule(0.0, grace_ms)
            self.assertEqual(list(times), sorted(times))
            self.assertLessEqual(times.deadline_ms, grace_ms)


class LateRequestTest(gateway_case.GatewayCase):
    """Guards against passing a request on that a stop would cut."""

    def test_request_read_too_late_in_a_stop_is_refused_and_not_run(self):
        gateway = self.start(self.answering(scripted.answer()))
        self.assertEqual(self.request()[0].status, 200)
        gateway.drain.start(0.0)
        for path in ("/once/x", "/idempotent/x", "/stream/x"):
            response, _ = self.request(path, body=b"x")
            self.assertEqual(response.status, 503)
            self.assertTrue(response.headers["Retry-After"])
        self.assertEqual(self.runs(), 1)

    def test_turn_that_a_stop_refuses_gives_its_tokens_back(self):
        self.start(self.answering(scripted.answer()))
        self.end_before_attempt(1)
        headers = {"Program": "p", "Budget": "30"}
        self.assertEqual(
            self.request("/stream/", headers, b"x")[0].status, 503
        )
        self.assertEqual(self.runs(), 0)
        self.wait_until_ended()
        self.assertEqual(
            self.request("/stream/", headers, b"x")[0].status, 200
        )

    def test_request_is_refused_between_attempts_only_if_none_may_have_run(
        self,
    ):
        refusal = scripted.answer(
            status="503 Full", fields="Not-Executed: 1\r\n"
        )

        def close(connection, _):
            self.owner(connection).read_request(connection)
            connection.close()

        for script, refused in ((self.answering(refusal), 1), (close, 0)):
            with self.subTest(refused=refused):
                self.start(script, script)
                self.end_before_attempt(2)
                self.request(body=b"x")
                self.wait_until_ended()
                self.assertEqual(self.refused, refused)
                self.assertEqual(self.runs(), 2 - refused)

    def end_before_attempt(self, number):
        """End the exchanges before an attempt; keep how many are refused."""
        dispatcher, listener = self.gateway.dispatcher, self.gateway.listener
        place = dispatcher._place
        self.attempts = 0

        def end(*arguments):
            self.attempts += 1
            if self.attempts == number:
                self.refused = len(listener.end_exchanges(lambda _: []))
            return place(*arguments)

        dispatcher._place = end

    def wait_until_ended(self):
        """Wait until no request is in progress."""
        until_s = time.monotonic() + 2
        while self.gateway.listener.has_requests:
            self.assertLess(time.monotonic(), until_s, "a request goes on")
            time.sleep(0.002)


class EdgeStopTest(unittest.TestCase):
    """Guards against an edge process that ends beside a call in progress."""

    TIMES_MS = {
        "PASS_ON_MS": 40.0,
        "ACCEPT_MS": 50.0,
        "CLOSE_WAITING_MS": 60.0,
    }

    def setUp(self):
        self.edge = builders.edge_process()
        self.edge.start()
        self.peers = self.edge._other_listeners[0]
        self.peer_address = address_of(self.peers)
        self.caller_address = address_of(self.edge._ingress)
        self.seen = []
        self.edge._book.release = self.release

    def release(self):
        """Record who can still reach the process."""
        self.seen.append(not self.edge._ingress.has_requests)
        try:
            self.connect(self.peer_address)
        except ConnectionRefusedError:
            self.seen.append("refused")

    def connect(self, address):
        """Open a connection."""
        connection = socket.create_connection(address, 2)
        self.addCleanup(connection.close)
        return connection

    def start_leaving(self):
        """Stop the process in the background, in a short time."""
        times = mock.patch.multiple(draining, **self.TIMES_MS)
        times.start()
        self.addCleanup(times.stop)
        leaving = threading.Thread(target=self.edge.leave)
        leaving.start()
        self.addCleanup(leaving.join)
        return leaving

    def test_budgets_are_released_after_the_last_request_was_answered(self):
        caller = self.connect(self.caller_address)
        caller.sendall(listener_case.REQUEST[:20])
        leaving = self.start_leaving()
        time.sleep(0.2)
        self.assertEqual(self.seen, [])
        caller.sendall(listener_case.REQUEST[20:])
        self.assertIn(b"HTTP/1.1", caller.recv(1_000))
        leaving.join(2)
        self.assertEqual(self.seen, [True, "refused"])

    def test_request_that_arrives_while_budgets_are_released_is_refused(self):
        caller = self.connect(self.caller_address)
        answers = []

        def release():
            caller.sendall(listener_case.REQUEST)
            answers.append(caller.recv(1_000))

        self.edge._book.release = release
        self.start_leaving().join(2)
        self.assertIn(b"HTTP/1.1", answers[0])
        self.assertTrue(self.edge._ingress.is_idle)

    def test_call_of_another_process_is_answered_before_the_end(self):
        begun, step = threading.Event(), threading.Event()

        def handle(request, response):
            begun.set()
            step.wait(2)
            response.send(200, ())

        self.peers.handler = handle
        caller = self.connect(self.peer_address)
        caller.sendall(listener_case.REQUEST)
        self.assertTrue(begun.wait(2))
        leaving = self.start_leaving()
        time.sleep(0.15)
        self.assertEqual(self.seen, [])
        step.set()
        leaving.join(2)
        self.assertEqual(self.seen, [True, "refused"])
        self.assertIn(b"200", caller.recv(1_000))

    def test_open_connection_gets_a_refusal_while_another_has_a_request(self):
        busy = self.connect(self.caller_address)
        busy.sendall(listener_case.REQUEST[:20])
        late = self.connect(self.caller_address)
        leaving = self.start_leaving()
        time.sleep(0.2)
        late.sendall(listener_case.REQUEST)
        self.assertIn(b"HTTP/1.1 ", late.recv(1_000))
        busy.sendall(listener_case.REQUEST[20:])
        self.assertIn(b"HTTP/1.1 ", busy.recv(1_000))
        leaving.join(2)
        self.assertEqual(self.seen, [True, "refused"])

    def test_calls_are_answered_though_no_thread_can_be_started(self):
        caller = self.connect(self.caller_address)
        caller.sendall(listener_case.REQUEST)
        error = RuntimeError("can't start new thread")
        with (
            mock.patch.multiple(draining, **self.TIMES_MS),
            mock.patch("threading.Thread", side_effect=error),
        ):
            self.edge.leave()
        self.assertEqual(self.seen, [True, "refused"])
        self.assertIn(b"HTTP/1.1 ", caller.recv(1_000))

    def test_store_that_hangs_does_not_hold_a_process_beyond_its_grace(self):
        answer = threading.Event()
        self.addCleanup(answer.set)
        self.edge._book.release = lambda: answer.wait(10)
        self.edge._settings = self.edge._settings._replace(grace_ms=400.0)
        with self.assertLogs("balsamloom") as logs:
            leaving = self.start_leaving()
            leaving.join(5)
        self.assertFalse(leaving.is_alive())
        found = {line.name_of_event: line for line in logs.records}
        self.assertLess(found["process_stopped"].duration_ms, 5_000)

    def test_stop_logs_each_request_that_it_refuses_or_cuts(self):
        begun, step = threading.Semaphore(0), threading.Event()
        self.addCleanup(step.set)

        def handle(request, response):
            if request.path == "/sent":
                request.pass_on()
            begun.release()
            step.wait(2)
            response.send(200, ())

        self.edge._ingress.handler = handle
        self.edge._settings = self.edge._settings._replace(grace_ms=500.0)
        head = "GET {0} HTTP/1.1\r\nHost: h\r\nRequest-Id: {0}\r\n\r\n"
        callers = []
        for path in ("/sent", "/unsent"):
            caller = self.connect(self.caller_address)
            caller.sendall(head.format(path).encode())
            self.assertTrue(begun.acquire(timeout=2))
            callers.append(caller)
        with self.assertLogs("balsamloom") as logs:
            self.start_leaving().join(2)
        found = {line.name_of_event: line for line in logs.records}
        self.assertEqual(found["request_cut"].request_id, "/sent")
        self.assertTrue(found["request_cut"].is_passed_on)
        self.assertLess(found["request_cut"].read_after_stop_ms, 0)
        self.assertEqual(found["request_refused"].request_id, "/unsent")
        stopped = found["process_stopped"]
        self.assertEqual((stopped.refused, stopped.cut), (1, 1))
        self.assertEqual(found["accepting_ended"].in_progress, 2)
        self.assertIn(b" 503 ", callers[1].recv(1_000))

    def test_idle_process_ends_soon_after_it_refuses_connections(self):
        self.connect(self.caller_address)
        started_s = time.monotonic()
        self.start_leaving().join(2)
        self.assertEqual(self.seen, [True, "refused"])
        self.assertLess(time.monotonic() - started_s, 0.5)


def address_of(listener):
    """Return the host and port of a listener."""
    host, _, port = listener.address.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    unittest.main()
