"""Tests of the server's thread pool."""

import threading
import unittest

import urllib3

from balsamloom_entry import http

REQUESTS = 60
TIMEOUT_S = 20


class GrowingThreadPoolTest(unittest.TestCase):
    def test_each_of_many_long_requests_has_a_thread(self):
        """Guards against requests that wait for the end of long streams.

        With idle threads counted before they had taken the connections
        queued for them, 400 streams at a time ran a few dozen at a time.
        """
        server = http.make_server("127.0.0.1:0", 2 * REQUESTS)
        all_there = threading.Barrier(REQUESTS)
        self.addCleanup(all_there.abort)

        def answer(environ, start_response):
            all_there.wait(TIMEOUT_S)
            start_response("200 OK", [("Content-Length", "0")])
            return []

        server.wsgi_app = answer
        self.addCleanup(server.stop)
        threading.Thread(target=server.serve, daemon=True).start()
        url = f"http://{http.bound_address(server)}/"
        pool = urllib3.PoolManager(maxsize=REQUESTS, retries=False)
        found = []

        def ask():
            found.append(pool.request("GET", url, timeout=TIMEOUT_S).status)

        threads = [threading.Thread(target=ask) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(found, [200] * REQUESTS)
