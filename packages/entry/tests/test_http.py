"""Tests of the server's thread pool."""

import threading
import unittest

import urllib3

from balsamloom_entry import http

REQUESTS = 60
TIMEOUT_S = 20


class GrowingThreadPoolTest(unittest.TestCase):
    def test_each_of_many_long_requests_gets_a_thread(self):
        """Guards against requests queued behind long streams."""
        server = http.make_server("127.0.0.1:0", 2 * REQUESTS)
        all_arrived = threading.Barrier(REQUESTS)
        self.addCleanup(all_arrived.abort)

        def answer(environ, start_response):
            all_arrived.wait(TIMEOUT_S)
            start_response("200 OK", [("Content-Length", "0")])
            return []

        server.wsgi_app = answer
        self.addCleanup(server.stop)
        threading.Thread(target=server.serve, daemon=True).start()
        url = f"http://{http.bound_address(server)}/"
        pool = urllib3.PoolManager(maxsize=REQUESTS, retries=False)
        codes = []

        def fetch():
            codes.append(pool.request("GET", url, timeout=TIMEOUT_S).status)

        threads = [threading.Thread(target=fetch) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(codes, [200] * REQUESTS)
