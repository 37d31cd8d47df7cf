"""Tests of listeners: planned stops, unread bodies and slow callers."""

import http.client
import socket
import threading
import time
import unittest

from balsamloom_gateway import listeners

LIMITS = listeners.Limits(32, 4_096, 100_000, 500.0, 5_000.0)
CALLERS = 12
WORK_S = 0.03
LOAD_S = 0.4


class PlannedStopTest(unittest.TestCase):
    """Guards against requests that are read but get no response."""

    def setUp(self):
        self.begun = set()
        self.answered = set()
        self.lock = threading.Lock()
        self.is_over = False
        self.listener = listeners.Listener("127.0.0.1:0", self.work, LIMITS)
        self.listener.start()
        self.address = self.listener.address

    def work(self, request, response):
        """Work on a request for a while and echo its name."""
        name = request.headers[b"Name"]
        with self.lock:
            self.begun.add(name)
        request.read_body()
        time.sleep(WORK_S)
        response.send(200, (), name)

    def call(self, number):
        """Send requests until the listener refuses connections."""
        connection = None
        for count in range(1_000):
            name = f"{number}-{count}".encode()
            try:
                if connection is None or count % 3 == 0:
                    connection = http.client.HTTPConnection(
                        self.address, timeout=2
                    )
                connection.request("POST", "/", b"x" * 500, {"Name": name})
                if connection.getresponse().read() == name:
                    with self.lock:
                        self.answered.add(name)
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                connection = None
            if self.is_over:
                return

    def test_requests_that_were_read_get_a_response(self):
        callers = [
            threading.Thread(target=self.call, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(LOAD_S)
        self.listener.set_draining()
        time.sleep(LOAD_S)
        self.listener.stop_accepting()
        while not self.listener.is_idle:
            time.sleep(0.01)
        self.is_over = True
        for caller in callers:
            caller.join(5)
        self.assertGreater(len(self.begun), CALLERS)
        self.assertEqual(self.begun - self.answered, set())

    def test_connection_closes_after_one_response_while_draining(self):
        self.listener.set_draining()
        connection = http.client.HTTPConnection(self.address, timeout=2)
        self.addCleanup(connection.close)
        connection.request("POST", "/", b"x", {"Name": "a"})
        response = connection.getresponse()
        self.assertEqual(response.headers["Connection"], "close")
        response.read()
        self.listener.stop_accepting()
        with self.assertRaises(OSError):
            host, _, port = self.address.rpartition(":")
            socket.create_connection((host, int(port)), 1)


class UnreadBodyTest(unittest.TestCase):
    """Guards against parsing an unread body as the next request.

    A request was refused before its body was read, as by a process that has
    just started, and the next one on the connection got a 400.
    """

    def setUp(self):
        self.paths = []
        self.listener = listeners.Listener("127.0.0.1:0", self.refuse, LIMITS)
        self.addCleanup(self.listener.stop_accepting)
        self.listener.start()
        self.connection = http.client.HTTPConnection(
            self.listener.address, timeout=2
        )
        self.addCleanup(self.connection.close)

    def refuse(self, request, response):
        """Respond at once without reading the body."""
        self.paths.append(request.path)
        response.send(503, ())

    def status(self, path, body, **options):
        """Send a request and return the response's status."""
        self.connection.request("POST", path, body, **options)
        answer = self.connection.getresponse()
        answer.read()
        return answer.status

    def test_next_request_is_read_after_an_unread_body(self):
        body = b"POST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        for path in ("/1", "/2", "/3"):
            self.assertEqual(self.status(path, body), 503)
        self.assertEqual(self.paths, ["/1", "/2", "/3"])

    def test_next_request_is_read_after_an_unread_chunked_body(self):
        for path in ("/1", "/2"):
            parts = iter([b"a" * 3_000, b"b" * 3_000])
            found = self.status(path, parts, encode_chunked=True)
            self.assertEqual(found, 503)
        self.assertEqual(self.paths, ["/1", "/2"])

    def test_response_that_closes_the_connection_is_not_lost_to_a_reset(self):
        def send_slowly():
            yield b"a" * 3_000
            time.sleep(0.1)
            yield b"b" * 3_000
            time.sleep(0.1)
            yield b"c" * 3_000

        fields = {"Content-Length": "9000", "Connection": "close"}
        self.assertEqual(self.status("/1", send_slowly(), headers=fields), 503)
        self.listener.set_draining()
        del fields["Connection"]
        self.assertEqual(self.status("/2", send_slowly(), headers=fields), 503)

    def test_connection_of_a_caller_that_never_sends_the_body_is_closed(self):
        with socket.create_connection(
            self.listener.address.split(":"), timeout=3
        ) as caller:
            caller.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
            )
            answer = caller.recv(1_000)
            self.assertIn(b"503", answer)
            self.assertEqual(caller.recv(1_000), b"")


class SlowCallerTest(unittest.TestCase):
    """Guards against callers that hold a thread by sending single bytes."""

    HEADER_TIMEOUT_MS = 400.0
    IDLE_TIMEOUT_MS = 900.0

    def setUp(self):
        self.errors = []
        self.listener = listeners.Listener(
            "127.0.0.1:0",
            self.work,
            LIMITS._replace(
                header_timeout_ms=self.HEADER_TIMEOUT_MS,
                idle_timeout_ms=self.IDLE_TIMEOUT_MS,
            ),
        )
        self.addCleanup(self.listener.stop_accepting)
        self.listener.start()

    def work(self, request, response):
        """Read the whole body."""
        try:
            request.read_body()
        except listeners.MalformedBodyError as error:
            self.errors.append(str(error))
            response.close_connection_after()
            response.send(400, ())
            return
        response.send(200, ())

    def send_slowly(self, data, pause_s):
        """Send bytes one by one; return the response and the time taken."""
        address = self.listener.address.split(":")
        started_s = time.monotonic()
        with socket.create_connection(address, timeout=pause_s) as caller:
            for position in range(len(data)):
                caller.sendall(data[position : position + 1])
                try:
                    return caller.recv(100), time.monotonic() - started_s
                except TimeoutError:
                    continue
        return b"", time.monotonic() - started_s

    def test_slow_head_is_ended_by_the_timeout(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 60
        answer, taken_s = self.send_slowly(head, 0.05)
        self.assertIn(b"408", answer)
        self.assertLess(taken_s, 2 * self.HEADER_TIMEOUT_MS / 1_000)

    def test_slow_body_is_ended_by_the_timeout(self):
        address = self.listener.address.split(":")
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n"
        started_s = time.monotonic()
        with socket.create_connection(address, timeout=0.05) as caller:
            caller.sendall(head)
            while not self.errors and time.monotonic() < started_s + 4:
                caller.sendall(b"a")
                time.sleep(0.05)
        self.assertTrue(self.errors)
        self.assertLess(
            time.monotonic() - started_s, 2 * self.IDLE_TIMEOUT_MS / 1_000
        )

    def test_slow_head_within_the_timeout_is_served(self):
        head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        answer, _ = self.send_slowly(head, 0.005)
        self.assertIn(b"200", answer)


if __name__ == "__main__":
    unittest.main()
