"""Tests of exchanges with misbehaving servers."""

import errno
import socket
import threading
import unittest
from unittest import mock

import scripted

from balsamloom_core import clock as clocks
from balsamloom_gateway import connection_pool, server_connections

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
IDENTIFIER = (b"request-id", b"r1")
UPGRADE_FIELDS = "Connection: Upgrade\r\nUpgrade: other\r\n"


class ExchangeTest(unittest.TestCase):
    """Guards against responses that are mixed up, merged or truncated."""

    def setUp(self):
        self.clock = clocks.Clock()

    def serve(self, script):
        server = scripted.ScriptedServer(script)
        self.addCleanup(server.close)
        return server

    def exchange(self, server, caller_fd=None, pool=None):
        pool = pool or connection_pool.ConnectionPool(
            server.address, self.clock, 10_000.0
        )
        connection, _ = pool.acquire(1_000.0)
        self.addCleanup(connection.close)
        return connection, server_connections.Exchange(
            connection, self.clock, caller_fd, IDENTIFIER
        )

    def read_all(self, exchange, timeout_ms=2_000.0):
        until_ms = self.clock.now_ms() + timeout_ms
        parts = []
        while not parts or not isinstance(
            parts[-1], server_connections.ResponseEnd
        ):
            parts.extend(exchange.receive(until_ms))
        return parts

    def body(self, parts):
        return b"".join(
            part.data
            for part in parts
            if isinstance(part, server_connections.ResponseData)
        )

    def run_once(self, *sent):
        """Return connection and body of an exchange with a scripted server."""

        def script(sock, _):
            server.read_request(sock)
            for data in sent:
                sock.sendall(data)
            sock.recv(1)

        server = self.serve(script)
        connection, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        return connection, self.body(self.read_all(exchange))

    def test_complete_response_leaves_the_connection_reusable(self):
        connection, body = self.run_once(scripted.answer())
        self.assertEqual(body, b"ok")
        self.assertTrue(connection.is_reusable)

    def test_late_response_to_an_earlier_request_is_skipped(self):
        late = scripted.answer(b"other", "r0")
        _, body = self.run_once(late, scripted.answer())
        self.assertEqual(body, b"ok")

    def test_unidentified_response_on_a_reused_connection_is_rejected(self):
        # It may be a late duplicate of the previous response.
        unidentified = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
        first = scripted.answer(b"ok")
        connection, body = self.run_once(unidentified)
        self.assertEqual(body, b"no")

        def script(sock, _):
            for data in (first, unidentified):
                server.read_request(sock)
                sock.sendall(data)
            sock.recv(1)

        server = self.serve(script)
        pool = connection_pool.ConnectionPool(
            server.address, self.clock, 10_000.0
        )
        until_ms = self.clock.now_ms() + 2_000.0
        connection, exchange = self.exchange(server, pool=pool)
        exchange.send(REQUEST, until_ms)
        self.assertEqual(self.body(self.read_all(exchange)), b"ok")
        pool.release(connection)
        again, exchange = self.exchange(server, pool=pool)
        self.assertIs(again, connection)
        exchange.send(REQUEST, until_ms)
        with self.assertRaises(server_connections.InvalidResponseError):
            self.read_all(exchange)
        self.assertFalse(again.is_reusable)

    def send_endless(self, start, more):
        """Return the number of bytes sent before the client closed."""
        sent = 0

        def script(sock, _):
            nonlocal sent
            server.read_request(sock)
            sock.sendall(start)
            try:
                while sent < 64_000_000:
                    sent += sock.send(more)
            except OSError:
                return

        server = self.serve(script)
        connection, exchange = self.exchange(server)
        until_ms = self.clock.now_ms() + 5_000.0
        exchange.send(REQUEST, until_ms)
        with self.assertRaises(server_connections.InvalidResponseError):
            self.read_all(exchange, 5_000.0)
        connection.close()
        return sent

    def test_endless_bytes_without_a_response_are_rejected_early(self):
        late = scripted.answer(b"x" * 1_000, request_id="r0")
        chunked = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        cases = {
            "one field": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4_096),
            "many fields": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 500),
            "reason": (b"HTTP/1.1 200 ", b"x" * 4_096),
            "interim responses": (b"", b"HTTP/1.1 100 Go on\r\n\r\n" * 200),
            "other responses": (b"", late * 4),
            "chunk extension": (chunked + b"5;", b"x" * 4_096),
            "trailers": (chunked + b"0\r\n", b"A: b\r\n" * 500),
        }
        for name, (start, more) in cases.items():
            with self.subTest(name):
                self.assertLess(self.send_endless(start, more), 16_000_000)

    def test_bytes_after_the_response_close_the_connection(self):
        connection, body = self.run_once(scripted.answer() + b"garbage")
        self.assertEqual(body, b"ok")
        self.assertFalse(connection.is_reusable)

    def test_second_response_closes_the_connection(self):
        connection, _ = self.run_once(scripted.answer() + scripted.answer())
        self.assertFalse(connection.is_reusable)

    def test_connection_close_header_closes_the_connection(self):
        connection, _ = self.run_once(
            scripted.answer(fields="Connection: close\r\n")
        )
        self.assertFalse(connection.is_reusable)

    def test_garbage_is_rejected(self):
        with self.assertRaises(server_connections.InvalidResponseError):
            self.run_once(b"NOT HTTP AT ALL\r\n\r\n")

    def test_status_that_no_final_answer_has_ends_the_exchange(self):
        for status in ("000", "099", "600", "777", "999"):
            with self.subTest(status):
                self.reject(scripted.answer(status=f"{status} Odd"))

    def test_switch_of_protocols_ends_the_exchange(self):
        for fields in ("", UPGRADE_FIELDS):
            with self.subTest(fields):
                self.reject(scripted.answer(b"", "r1", "101 Other", fields))

    def reject(self, sent):
        """Check that an answer ends the exchange, whatever follows it."""

        def script(sock, _):
            server.read_request(sock)
            sock.sendall(sent + scripted.answer())
            sock.recv(1)

        server = self.serve(script)
        connection, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        with self.assertRaises(server_connections.InvalidResponseError):
            self.read_all(exchange, timeout_ms=500.0)
        self.assertFalse(connection.is_reusable)

    def test_final_answer_follows_interim_ones(self):
        for status in ("100", "102", "103", "199"):
            interim = f"HTTP/1.1 {status} Wait\r\n\r\n".encode()
            with self.subTest(status):
                connection, body = self.run_once(interim, scripted.answer())
                self.assertEqual(body, b"ok")
                self.assertTrue(connection.is_reusable)

    def test_truncated_response_with_a_length_is_an_error(self):
        def script(sock, _):
            server.read_request(sock)
            sock.sendall(scripted.answer(b"0123456789")[:-3])
            sock.close()

        server = self.serve(script)
        _, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        with self.assertRaises(server_connections.ConnectionLostError):
            self.read_all(exchange)

    def test_response_without_length_ends_with_the_connection(self):
        def script(sock, _):
            server.read_request(sock)
            sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it")
            sock.close()

        server = self.serve(script)
        connection, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        self.assertEqual(self.body(self.read_all(exchange)), b"all of it")
        self.assertFalse(connection.is_reusable)

    def test_reset_response_without_length_is_an_error(self):
        def script(sock, _):
            server.read_request(sock)
            sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart")
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()

        server = self.serve(script)
        _, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        with self.assertRaises(server_connections.ConnectionLostError):
            self.read_all(exchange)

    def test_early_response_to_a_long_body_closes_the_connection(self):
        # The rest of the body was not sent, so the server would read the next
        # request as part of it.
        def script(sock, _):
            sock.recv(100)
            sock.sendall(scripted.answer(status="413 Too Large"))
            done.wait(5)

        done = threading.Event()
        server = self.serve(script)
        connection, exchange = self.exchange(server)
        head = b"POST / HTTP/1.1\r\nContent-Length: 50000000\r\n\r\n"
        exchange.send(head + bytes(50_000_000), self.clock.now_ms() + 5_000)
        self.read_all(exchange)
        done.set()
        self.assertFalse(connection.is_reusable)

    def test_caller_disconnect_ends_the_exchange(self):
        def script(sock, _):
            server.read_request(sock)
            sock.recv(1)

        server = self.serve(script)
        caller, ours = socket.socketpair()
        self.addCleanup(ours.close)
        _, exchange = self.exchange(server, ours.fileno())
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        caller.close()
        with self.assertRaises(server_connections.CallerDisconnectedError):
            self.read_all(exchange)

    def test_exchange_with_a_silent_server_times_out(self):
        def script(sock, _):
            server.read_request(sock)
            sock.recv(1)

        server = self.serve(script)
        _, exchange = self.exchange(server)
        exchange.send(REQUEST, self.clock.now_ms() + 1_000)
        with self.assertRaises(server_connections.ExchangeTimeoutError):
            self.read_all(exchange, timeout_ms=50.0)


class ConnectionPoolTest(unittest.TestCase):
    """Guards against reusing connections that the server closed."""

    def setUp(self):
        self.clock = manual_clock()

    def new_pool(self, address):
        return connection_pool.ConnectionPool(address, self.clock, 10_000.0)

    def test_closed_idle_connection_is_not_reused(self):
        closed = threading.Event()

        def script(sock, number):
            if number == 0:
                sock.close()
                closed.set()
            else:
                sock.recv(1)

        server = scripted.ScriptedServer(script)
        self.addCleanup(server.close)
        pool = self.new_pool(server.address)
        first, _ = pool.acquire(1_000.0)
        pool.release(first)
        closed.wait(5)
        while first.is_open_and_idle():
            pass
        second, is_used = pool.acquire(1_000.0)
        self.addCleanup(second.close)
        self.assertFalse(is_used)
        self.assertIsNot(second, first)

    def test_connection_idle_for_too_long_is_not_reused(self):
        server = scripted.ScriptedServer(lambda sock, _: None)
        self.addCleanup(server.close)
        pool = self.new_pool(server.address)
        first, _ = pool.acquire(1_000.0)
        pool.release(first)
        self.clock.advance(5_000.0)
        second, is_used = pool.acquire(1_000.0, idle_timeout_ms=3_000.0)
        self.addCleanup(second.close)
        self.assertFalse(is_used)

    def test_process_without_descriptors_has_sent_nothing(self):
        # The error left the loops that follow the store, send heartbeats and
        # record budgets, and cut off callers' requests.
        error = OSError(errno.EMFILE, "Too many open files")
        pool = self.new_pool("127.0.0.1:1")
        with (
            mock.patch.object(socket, "socket", side_effect=error),
            self.assertRaises(server_connections.ConnectError),
        ):
            pool.acquire(1_000.0)

    def test_address_that_cannot_be_used_is_a_connect_error(self):
        for address in ("127.0.0.1:65536", "127.0.0.1:x", "\0:1", "x", ""):
            with (
                self.subTest(address),
                self.assertRaises(server_connections.ConnectError),
            ):
                self.new_pool(address).acquire(1_000.0)

    def test_refused_connection_is_a_connect_error(self):
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        listening.close()
        pool = connection_pool.ConnectionPool(
            f"127.0.0.1:{port}", self.clock, 1.0
        )
        with self.assertRaises(server_connections.ConnectError):
            pool.acquire(1_000.0)


def manual_clock():
    """Build a clock that advances only on request."""
    return clocks.ManualClock(1_000.0)


if __name__ == "__main__":
    unittest.main()
