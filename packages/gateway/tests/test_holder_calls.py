"""Tests of the calls to holders of budgets."""

import unittest

import builders

from balsamloom_gateway import holder_calls, peers


class RestartedHolder:
    """Holder that does not answer its first call, and all later ones."""

    def __init__(self):
        self.is_up = False

    def call(self, address, path, body, timeout_ms):
        if not self.is_up:
            raise peers.PeerUnreachableError(address)
        return {}


class HolderCallsTest(unittest.TestCase):
    """Guards against turns sent to a holder that does not serve them yet."""

    def setUp(self):
        self.client = RestartedHolder()
        self.calls = holder_calls.HolderCalls(
            self.client, builders.manual_clock()
        )
        self.holder = builders.member("m1")
        with self.assertRaises(peers.PeerUnreachableError):
            self.calls.call(self.holder, peers.RESERVE_PATH, {})
        self.client.is_up = True

    def test_settlement_does_not_bring_a_lost_holder_back(self):
        self.calls.call(self.holder, peers.SETTLE_PATH, {})
        self.assertTrue(self.calls.breaker.is_open("m1"))

    def test_answered_reservation_brings_a_lost_holder_back(self):
        self.calls.call(self.holder, peers.RESERVE_PATH, {})
        self.assertFalse(self.calls.breaker.is_open("m1"))


if __name__ == "__main__":
    unittest.main()
