"""Tests of requests that are forwarded to a program's owner."""

import unittest

from balsamloom_core import errors, results
from balsamloom_entry import forwarding, requests
from balsamloom_peers import messages
from balsamloom_platform import metrics
from balsamloom_state import partitions

OWNER = partitions.Member("e2", "127.0.0.1:1", "127.0.0.1:2", "a")


class Peers:
    """Channels to peers that all send the same response."""

    def __init__(self, *chunks):
        self.chunks = chunks
        self.is_cancelled = False

    def client(self, address):
        return self

    def forward(self, request, timeout_ms, member_id):
        try:
            yield from self.chunks
        finally:
            self.is_cancelled = True


class StatusTest(unittest.TestCase):
    """Guards against damaged responses that callers get as answers."""

    def forward(self, *chunks):
        self.peers = Peers(*chunks)
        forwarder = forwarding.Forwarder(
            self.peers, "e1", metrics.NullMetrics()
        )
        request = requests.Request("GET", ("v1", "programs"), {}, {}, b"")
        return forwarder.forward(request, OWNER)

    def test_response_with_a_status_that_http_lacks_is_not_passed_on(self):
        for status in (0, 99, 100, 600, 777):
            with self.subTest(status):
                with self.assertRaises(errors.BalsamloomError) as caught:
                    self.forward(messages.ForwardChunk(status, (), b"{}"))
                code = results.ResultCode.DAMAGED_MESSAGE
                self.assertEqual(caught.exception.code, code)
                self.assertTrue(self.peers.is_cancelled)

    def test_response_with_a_final_status_is_passed_on(self):
        found = self.forward(messages.ForwardChunk(503, (), b"{}"))
        self.assertEqual((found.status, list(found.chunks)), (503, [b"{}"]))


if __name__ == "__main__":
    unittest.main()
