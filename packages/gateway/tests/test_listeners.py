"""Tests of listeners: planned stops, and requests that are not read."""

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
    """Guards against requests that were read and get no answer."""

    def setUp(self):
        self.begun = set()
        self.answered = set()
        self.lock = threading.Lock()
        self.is_over = False
        self.listener = listeners.Listener("127.0.0.1:0", self.work, LIMITS)
        self.listener.start()
        self.address = self.listener.address

    def work(self, request, reply):
        """Take some time for a request and echo its name."""
        name = request.headers[b"Name"]
        with self.lock:
            self.begun.add(name)
        request.read_body()
        time.sleep(WORK_S)
        reply.send(200, (), name)

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

    def test_what_was_read_is_answered(self):
        callers = [
            threading.Thread(target=self.call, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(LOAD_S)
        self.listener.set_leaving()
        time.sleep(LOAD_S)
        self.listener.stop_accepting()
        while not self.listener.is_idle:
            time.sleep(0.01)
        self.is_over = True
        for caller in callers:
            caller.join(5)
        self.assertGreater(len(self.begun), CALLERS)
        self.assertEqual(self.begun - self.answered, set())

    def test_request_on_a_kept_connection_is_the_last_one(self):
        self.listener.set_leaving()
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
    """Guards against a refused request's body that is taken for a request.

    Callers of a process that had just started got 400 with the request after
    one that was refused without being read.
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

    def refuse(self, request, reply):
        """Answer at once, without looking at the body."""
        self.paths.append(request.path)
        reply.send(503, ())

    def status(self, path, body, **options):
        """Send a request and return the answer's status."""
        self.connection.request("POST", path, body, **options)
        answer = self.connection.getresponse()
        answer.read()
        return answer.status

    def test_next_request_is_found_behind_the_body(self):
        body = b"POST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        for path in ("/1", "/2", "/3"):
            self.assertEqual(self.status(path, body), 503)
        self.assertEqual(self.paths, ["/1", "/2", "/3"])

    def test_next_request_is_found_behind_chunks(self):
        for path in ("/1", "/2"):
            parts = iter([b"a" * 3_000, b"b" * 3_000])
            found = self.status(path, parts, encode_chunked=True)
            self.assertEqual(found, 503)
        self.assertEqual(self.paths, ["/1", "/2"])

    def test_caller_that_never_sends_the_body_loses_its_connection(self):
        with socket.create_connection(
            self.listener.address.split(":"), timeout=3
        ) as caller:
            caller.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
            )
            answer = caller.recv(1_000)
            self.assertIn(b"503", answer)
            self.assertEqual(caller.recv(1_000), b"")


if __name__ == "__main__":
    unittest.main()
