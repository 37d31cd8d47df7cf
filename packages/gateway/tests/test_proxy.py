"""Tests of the request path from a caller to a server and back."""

import http.client
import json
import random
import socket
import threading
import time
import unittest

import gateway_case
import scripted

from balsamloom_gateway import event_counter, interfaces


class ProxyTest(gateway_case.GatewayCase):
    """Guards against wrong responses, repeated runs and false 503s."""

    def test_response_is_relayed_unchanged(self):
        self.start(self.answering(scripted.answer(b"hello")))
        response, body = self.request("/idempotent/x?y=%20z")
        self.assertEqual((response.status, body), (200, b"hello"))
        self.assertEqual(response.headers["Signed"], "1")
        line = self.servers[0].received[0].split(b"\r\n")[0]
        self.assertEqual(line, b"GET /idempotent/x?y=%20z HTTP/1.1")

    def test_chunked_body_is_relayed_with_a_length(self):
        self.start(self.answering(scripted.answer()))
        self.request("/once/x", body=iter([b"abc", b"def"]))
        self.assertTrue(self.servers[0].received[0].endswith(b"\r\nabcdef"))

    def test_leaving_server_is_reported_before_its_response_ends(self):
        reported = threading.Event()
        head = scripted.chunked_head(fields="Leaving: 1\r\n")

        def script(connection, _):
            self.owner(connection).read_request(connection)
            connection.sendall(head + b"6\r\nfirst\n\r\n")
            reported.wait(5)
            connection.sendall(b"0\r\n\r\n")

        gateway = self.start(script)
        seen = []

        def record_leaving(server_id):
            seen.append(server_id)
            reported.set()

        gateway.dispatcher.on_server_leaving = record_leaving
        self.assertEqual(self.request("/stream/", body=b"x")[0].status, 200)
        self.assertEqual(seen, ["s0"])

    def test_engine_is_told_the_time_that_the_program_has_left(self):
        """Guards against a nearly late program behind one with time."""
        gateway = self.start(self.answering(scripted.answer()))
        for is_on, left_ms in ((False, 1), (True, 1), (True, 60_000)):
            gateway.dispatcher.orders_by_program_time = is_on
            headers = {"Program": "p3", "Program-Ms": str(left_ms)}
            self.request("/stream/", headers, b"x")
        found = [
            line
            for request in self.servers[0].received
            for line in request.split(b"\r\n")
            if line.startswith(b"Priority")
        ]
        self.assertEqual(
            found, [b"Priority: 0", b"Priority: 9", b"Priority: 2"]
        )

    def test_unknown_path_is_not_found(self):
        self.start(self.answering(scripted.answer()))
        self.assertEqual(self.request("/other/")[0].status, 404)

    def test_request_waits_for_a_configuration_that_is_being_read(self):
        """Guards against refusals in the first 60 ms of a process."""
        gateway = self.start(self.answering(scripted.answer()))
        gateway.fleet._active_configuration = None

        def read():
            gateway.configure()
            return True

        gateway.await_records = read
        self.assertEqual(self.request()[0].status, 200)

    def test_unknown_configuration_is_503_not_404(self):
        gateway = self.start(self.answering(scripted.answer()))
        gateway.fleet._active_configuration = None
        response, _ = self.request()
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_call_refused_by_a_full_server_goes_to_another(self):
        full = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")
        for path in ("/idempotent/", "/once/", "/stream/"):
            with self.subTest(path):
                self.start(
                    self.answering(full), self.answering(scripted.answer())
                )
                statuses = {self.request(path)[0].status for _ in range(6)}
                self.assertEqual(statuses, {200})

    def test_all_servers_full_is_503_with_retry_after(self):
        full = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")
        self.start(self.answering(full), self.answering(full))
        response, _ = self.request("/once/", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertNotIn("Signed", response.headers)

    def test_non_idempotent_call_is_not_retried_after_a_lost_response(self):
        reset = self.answering(then=socket.socket.close)
        self.start(reset, reset)
        response, _ = self.request("/once/", body=b"x")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.runs(), 1)

    def test_silent_server_leaves_time_for_a_retry(self):
        # A server may run a call and lose its response.
        def silent(connection, _):
            self.owner(connection).read_request(connection)
            connection.recv(1)

        for path in ("/idempotent/", "/resumable/"):
            with self.subTest(path):
                self.start(silent, silent, self.answering(scripted.answer()))
                deadline = {"Deadline": "1900"}
                statuses = [
                    self.request(path, deadline)[0].status for _ in range(3)
                ]
                self.assertIn(200, statuses)
                self.assertLessEqual(self.runs(), 6)

    def test_non_idempotent_call_waits_for_a_silent_server(self):
        def slow(connection, _):
            self.owner(connection).read_request(connection)
            time.sleep(1.2)
            connection.sendall(scripted.answer())

        self.start(slow, slow)
        response, _ = self.request("/once/", {"Deadline": "1900"}, b"x")
        self.assertEqual((response.status, self.runs()), (200, 1))

    def test_idempotent_call_is_retried_once_after_a_lost_response(self):
        reset = self.answering(then=socket.socket.close)
        self.start(reset, reset, reset)
        response, _ = self.request("/idempotent/")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.runs(), 2)

    def dropping(self, connection, count):
        """Respond to the first request of a connection, then close it."""
        owner = self.owner(connection)
        owner.read_request(connection)
        connection.sendall(scripted.answer())
        owner.read_request(connection)
        connection.close()

    def test_closed_reused_connection_does_not_count_as_an_attempt(self):
        # Servers may close idle connections without notice.
        for path in ("/idempotent/", "/resumable/"):
            with self.subTest(path):
                self.start(self.dropping)
                statuses = []
                for _ in range(4):
                    statuses.append(self.request(path)[0].status)
                    self.gateway.wait_for_kept_connection()
                self.assertEqual(statuses, [200] * 4)

    def test_refused_resend_does_not_hide_that_the_call_may_have_run(self):
        # Without a trace of the first send, each server may run the call.
        is_faulty = threading.Event()
        ran_on = set()
        full = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")

        def script(connection, count):
            owner = self.owner(connection)
            while owner.read_request(connection):
                if is_faulty.is_set() and count == 0:
                    ran_on.add(owner)
                    connection.close()
                    return
                is_full = is_faulty.is_set()
                connection.sendall(full if is_full else scripted.answer())

        gateway = self.start(script, script, script)
        servers = {
            f"s{number}": server.address
            for number, server in enumerate(self.servers)
        }
        for name, address in servers.items():
            gateway.set_servers({name: address})
            self.request("/idempotent/")
            gateway.wait_for_kept_connection()
        gateway.set_servers(servers)
        is_faulty.set()
        response, _ = self.request("/idempotent/")
        self.assertEqual(len(ran_on), 2)
        self.assertEqual(response.status, 502)

    def test_unrepeatable_call_is_not_resent_after_a_closed_connection(self):
        for path in ("/once/", "/stream/"):
            with self.subTest(path):
                self.start(self.dropping)
                first = self.request(path, body=b"x")[0].status
                # The response is sent before the connection is pooled.
                self.gateway.wait_for_kept_connection()
                second = self.request(path, body=b"x")[0].status
                self.assertEqual([first, second], [200, 502])
                self.assertEqual(self.runs(), 2)

    def test_503_without_the_not_executed_header_is_not_relayed(self):
        self.start(self.answering(scripted.answer(status="503 Busy")))
        response, _ = self.request("/once/", body=b"x")
        self.assertEqual(response.status, 502)

    def test_success_without_signature_is_not_relayed(self):
        unsigned = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        self.start(self.answering(unsigned))
        self.assertEqual(self.request("/once/", body=b"x")[0].status, 502)

    def test_call_goes_to_another_server_if_one_refuses_connections(self):
        gateway = self.start(self.answering(scripted.answer()))
        closed = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        closed.close()
        gateway.set_servers({"gone": address, "s0": self.servers[0].address})
        statuses = {
            self.request("/once/", body=b"x")[0].status for _ in range(4)
        }
        self.assertEqual(statuses, {200})

    def test_remaining_time_is_sent_to_the_server(self):
        self.start(self.answering(scripted.answer()))
        self.request(headers={"Deadline": "700"})
        sent = self.servers[0].received[0]
        left_ms = int(sent.split(b"Deadline: ")[1].split(b"\r\n")[0])
        self.assertLessEqual(left_ms, 700)
        self.assertGreater(left_ms, 400)

    def test_call_ends_at_its_deadline(self):
        def silent(connection, _):
            self.owner(connection).read_request(connection)
            connection.recv(1)

        self.start(silent)
        started_s = time.monotonic()
        response, _ = self.request("/once/", {"Deadline": "200"}, b"x")
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_caller_disconnect_closes_the_connection_to_the_server(self):
        ended = threading.Event()

        def slow(connection, _):
            self.owner(connection).read_request(connection)
            if connection.recv(1) == b"":
                ended.set()

        self.start(slow)
        host, port = self.gateway.listener.address.split(":")
        caller = socket.create_connection((host, int(port)))
        caller.sendall(
            b"GET /idempotent/ HTTP/1.1\r\nHost: h.example\r\n"
            b"Request-Id: r1\r\n\r\n"
        )
        while not self.runs():
            time.sleep(0.01)
        caller.close()
        self.assertTrue(ended.wait(0.5))

    def test_truncated_stream_does_not_look_complete(self):
        head = scripted.chunked_head()
        event = b"id: 1\ndata: a\n\n"
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        self.start(self.answering(head, chunk, then=socket.socket.close))
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.request("/stream/", body=b"x")
        self.assertEqual(caught.exception.partial, event)

    UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSigned: 1\r\n\r\n"

    def close_after(self, stream):
        """Start a server that ends a stream by closing the connection."""
        self.start(
            self.answering(self.UNFRAMED, stream, then=socket.socket.close)
        )

    def test_stream_that_closes_after_an_event_is_whole(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        self.close_after(stream)
        response, body = self.request("/stream/", body=b"x")
        self.assertEqual((response.status, body), (200, stream))

    def test_stream_that_closes_inside_an_event_is_not_complete(self):
        first, last = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
        for cut in range(1, len(last)):
            with self.subTest(cut):
                self.close_after(first + last[:cut])
                with self.assertRaises(http.client.IncompleteRead) as caught:
                    self.request("/stream/", body=b"x")
                self.assertEqual(caught.exception.partial, first + last[:cut])

    def test_stream_that_closes_before_its_first_event_failed(self):
        self.close_after(b"")
        self.assertEqual(self.request("/stream/", body=b"x")[0].status, 502)
        self.assertEqual(self.runs(), 1)

    def test_plain_response_that_ends_by_a_close_is_whole(self):
        self.close_after(b"all of it")
        response, body = self.request("/once/", body=b"x")
        self.assertEqual((response.status, body), (200, b"all of it"))

    def test_truncated_response_without_length_is_reset(self):
        # To an HTTP/1.0 caller, a closed connection is the end of the
        # response.
        head = scripted.chunked_head()
        self.start(
            self.answering(head, b"5\r\ndata:\r\n", then=socket.socket.close)
        )
        host, port = self.gateway.listener.address.split(":")
        caller = socket.create_connection((host, int(port)), 5)
        self.addCleanup(caller.close)
        caller.sendall(
            b"POST /stream/ HTTP/1.0\r\nHost: h.example\r\n"
            b"Request-Id: r1\r\nContent-Length: 1\r\n\r\nx"
        )
        with self.assertRaises(ConnectionResetError):
            while caller.recv(4_096):
                pass

    def test_endless_body_is_cut_off_at_the_deadline(self):
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSigned: 1\r\n\r\n"

        def script(connection, _):
            self.owner(connection).read_request(connection)
            connection.sendall(head)
            while True:
                connection.sendall(b"x" * 4_096)
                time.sleep(0.002)

        self.start(script)
        for path in ("/once/", "/stream/"):
            started_s = time.monotonic()
            with self.assertRaises(http.client.HTTPException):
                response, _ = self.request(path, {"Deadline": "400"}, b"x")
                self.assertEqual(response.status, 504)
                raise http.client.HTTPException
            self.assertLess(time.monotonic() - started_s, 1.5)

    def test_slow_stream_is_cut_off_only_at_the_deadline(self):
        head = scripted.chunked_head()

        def stream_slowly(connection, count):
            self.owner(connection).read_request(connection)
            connection.sendall(head)
            for _ in range(count):
                time.sleep(0.15)
                connection.sendall(b"1\r\nx\r\n")
            connection.sendall(b"0\r\n\r\n")

        self.start(lambda connection, _: stream_slowly(connection, 4))
        response, body = self.request("/stream/", {"Deadline": "1500"}, b"x")
        self.assertEqual((response.status, body), (200, b"xxxx"))
        self.start(lambda connection, _: stream_slowly(connection, 100))
        started_s = time.monotonic()
        with self.assertRaises(http.client.IncompleteRead):
            self.request("/stream/", {"Deadline": "500"}, b"x")
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_stream_is_relayed_as_it_arrives(self):
        more = threading.Event()
        head = scripted.chunked_head()

        def script(connection, _):
            self.owner(connection).read_request(connection)
            connection.sendall(head + b"6\r\nfirst\n\r\n")
            more.wait(5)
            connection.sendall(b"5\r\nlast\n\r\n0\r\n\r\n")

        self.start(script)
        connection = http.client.HTTPConnection(
            self.gateway.listener.address, timeout=5
        )
        self.addCleanup(connection.close)
        connection.request(
            "POST", "/stream/", b"x", {"Host": "h.example", "Request-Id": "r1"}
        )
        response = connection.getresponse()
        self.assertEqual(response.read1(100), b"first\n")
        more.set()
        self.assertEqual(response.read(), b"last\n")

    def test_exhausted_budget_is_402_and_reaches_no_server(self):
        gateway = self.start(self.answering(scripted.answer()))
        gateway.store.put(
            "ledger/p", json.dumps({"tokens": 130, "block": "x"}).encode()
        )
        gateway.book.start_caution_period("test")
        headers = {"Program": "p", "Budget": "100"}
        response, _ = self.request("/stream/", headers, b"x")
        self.assertEqual(response.status, 402)
        self.assertEqual(self.runs(), 0)

    def test_budget_that_cannot_be_recorded_is_503(self):
        gateway = self.start(self.answering(scripted.answer()))
        gateway.book.start_caution_period("test")
        gateway.store.error = interfaces.StoreUnavailableError("down")
        headers = {"Program": "p", "Budget": "100"}
        response, _ = self.request("/stream/", headers, b"x")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.runs(), 0)


class SmugglingTest(unittest.TestCase):
    """Guards against requests that two parsers read differently."""

    AMBIGUOUS = {
        "length and chunks": (
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        ),
        "two lengths": b"Content-Length: 4\r\nContent-Length: 60\r\n",
        "length with a sign": b"Content-Length: +4\r\n",
        "space before the colon": b"Transfer-Encoding : chunked\r\n",
        "folded line": b"Transfer-Encoding:\r\n chunked\r\n",
        "unknown coding": b"Transfer-Encoding: chunked, identity\r\n",
    }
    INNER = (
        b"GET /idempotent/inner HTTP/1.1\r\nHost: h.example\r\n"
        b"Request-Id: inner\r\n\r\n"
    )

    def test_ambiguous_request_is_rejected_and_its_connection_closed(self):
        server = scripted.ScriptedServer(
            lambda connection, _: server.read_request(connection)
        )
        self.addCleanup(server.close)
        gateway = gateway_case.Gateway({"s0": server.address})
        gateway.configure()
        self.addCleanup(gateway.close)
        host, port = gateway.listener.address.split(":")
        for name, fields in self.AMBIGUOUS.items():
            with self.subTest(name):
                caller = socket.create_connection((host, int(port)), 5)
                self.addCleanup(caller.close)
                caller.sendall(
                    b"POST /idempotent/ HTTP/1.1\r\nHost: h.example\r\n"
                    b"Request-Id: r1\r\n" + fields + b"\r\n"
                    b"0\r\n\r\n" + self.INNER
                )
                answer = b""
                while chunk := caller.recv(4_096):
                    answer += chunk
                self.assertIn(answer[9:12], (b"400", b"501"))
                self.assertEqual(server.received, [])


class EventCounterTest(unittest.TestCase):
    """Guards against tokens that are missed when chunks split events."""

    def test_events_are_counted_wherever_they_are_split(self):
        stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(50))
        generator = random.Random(3)
        for _ in range(200):
            counter = event_counter.EventCounter()
            rest = stream
            while rest:
                size = generator.randrange(1, 9)
                counter.add(rest[:size])
                rest = rest[size:]
            self.assertEqual(counter.events, 50)
            self.assertEqual(counter.events_started, 50)

    def test_incomplete_event_counts_as_started(self):
        counter = event_counter.EventCounter()
        counter.add(b"id: 1\n\nid: 2\nda")
        self.assertEqual((counter.events, counter.events_started), (1, 2))

    def test_events_may_end_in_any_kind_of_line_end(self):
        for end in (b"\n", b"\r\n", b"\r"):
            stream = (b"id: 1" + end + b"data: a" + end + end) * 2
            for cut in range(len(stream) + 1):
                with self.subTest(end=end, cut=cut):
                    counter = event_counter.EventCounter()
                    counter.add(stream[:cut])
                    is_whole = cut in (len(stream) // 2, len(stream))
                    # A CR LF may still follow a whole event that ends in CR.
                    if end != b"\r\n" or stream[cut - 1 : cut] != b"\r":
                        self.assertEqual(counter.is_after_event, is_whole)
                    counter.add(stream[cut:])
                    self.assertTrue(counter.is_after_event)
                    self.assertEqual(counter.events_started, 2)


if __name__ == "__main__":
    unittest.main()
