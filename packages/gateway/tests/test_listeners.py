"""Tests of listeners that stop while callers press on them."""

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


if __name__ == "__main__":
    unittest.main()
