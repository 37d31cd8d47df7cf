"""Test case with a listener and callers that keep connections to it."""

import socket
import time
import unittest

from balsamloom_gateway import listeners

LIMITS = listeners.Limits(8, 4_096, 100_000, 1_500.0, 5_000.0)
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"


class ListenerCase(unittest.TestCase):
    """Test case with a listener that answers after ``work_s``."""

    def setUp(self):
        self.work_s = 0.0
        self.listener = listeners.Listener("127.0.0.1:0", self.work, LIMITS)
        self.address = self.listener.address
        self.addCleanup(self.listener.stop_accepting)

    def work(self, request, response):
        """Read the body and answer."""
        request.read_body()
        time.sleep(self.work_s)
        response.send(200, ())

    def connect(self):
        """Open a connection."""
        host, _, port = self.address.rpartition(":")
        connection = socket.create_connection((host, int(port)), 2)
        self.addCleanup(connection.close)
        return connection

    def wait_for(self, state, count=1):
        """Wait until so many connections are in a state."""
        until_s = time.monotonic() + 2
        while self.listener.connection_counts()[state] != count:
            self.assertLess(time.monotonic(), until_s, f"none is {state}")
            time.sleep(0.002)

    def wait_until_idle(self):
        """Wait until no connection is open."""
        until_s = time.monotonic() + 2
        while not self.listener.is_idle:
            self.assertLess(time.monotonic(), until_s, "not idle")
            time.sleep(0.002)
