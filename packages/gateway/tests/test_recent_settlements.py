"""Tests of settled turns that a lost holder may not have recorded."""

import unittest

import builders

from balsamloom_gateway import peer_messages, recent_settlements


class RecentSettlementsTest(unittest.TestCase):
    """Guards against ends of turns that are lost with their holder."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.recent = recent_settlements.RecentSettlements(self.clock)

    def add(self, name, holder="m1"):
        settlement = peer_messages.Settlement(
            "p", 60, 10, None, builders.turn_report(), name
        )
        self.recent.add(builders.member(holder), 600, settlement)

    def take(self, holder):
        return [
            turn.settlement.reservation_id for turn in self.recent.take(holder)
        ]

    def test_turns_of_a_lost_holder_are_returned_once(self):
        for name, holder in (("r1", "m1"), ("r2", "m2"), ("r3", "m1")):
            self.add(name, holder)
        self.assertEqual(self.take("m1"), ["r1", "r3"])
        self.assertEqual(self.take("m1"), [])
        self.assertEqual(self.take("m2"), ["r2"])

    def test_turns_that_must_be_recorded_by_now_are_forgotten(self):
        self.add("r1")
        self.clock.advance(recent_settlements.RETENTION_MS)
        self.add("r2")
        self.clock.advance(1)
        self.assertEqual(self.take("m1"), ["r2"])

    def test_memory_is_bounded(self):
        for number in range(recent_settlements.MAX_TURNS + 5):
            self.add(f"r{number}")
        self.assertEqual(len(self.take("m1")), recent_settlements.MAX_TURNS)


if __name__ == "__main__":
    unittest.main()
