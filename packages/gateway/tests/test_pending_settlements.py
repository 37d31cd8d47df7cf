"""Tests of ends of turns that their holders learn late."""

import unittest

import builders

from balsamloom_gateway import peer_messages, pending_settlements

SETTLED = pending_settlements.Outcome.SETTLED
UNANSWERED = pending_settlements.Outcome.UNANSWERED
AWAITED = pending_settlements.Outcome.AWAITED


class PendingSettlementsTest(unittest.TestCase):
    """Guards against holders that count ended turns at their most for good."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.outcomes = {}
        self.tried = []
        self.pending = pending_settlements.PendingSettlements(
            self.settle, self.clock
        )

    def settle(self, turn):
        name = turn.settlement.reservation_id
        self.tried.append(name)
        outcome = self.outcomes.get(name, SETTLED)
        turn.is_successor_told |= outcome is AWAITED
        return outcome

    def add(self, name, holder="m1"):
        settlement = peer_messages.Settlement(
            "p", 60, 10, None, builders.turn_report(), name
        )
        self.pending.add(builders.member(holder), 600, settlement)

    def pass_time(self, duration_ms):
        """Let time pass in steps of a second."""
        for _ in range(int(duration_ms / 1_000)):
            self.clock.advance(1_000)
            self.pending.retry_due()

    def test_holder_that_is_back_after_minutes_hears_of_the_end(self):
        self.outcomes["r1"] = UNANSWERED
        self.add("r1")
        self.pass_time(300_000)
        del self.outcomes["r1"]
        self.pass_time(3_000)
        self.assertEqual(len(self.pending), 0)

    def test_silent_holder_is_called_once_for_all_its_turns(self):
        self.outcomes = {"r1": UNANSWERED, "r2": UNANSWERED}
        for name in ("r1", "r2"):
            self.add(name)
        self.pass_time(1_000)
        self.assertEqual(self.tried, ["r1"])

    def test_silent_successor_does_not_hold_up_other_programs(self):
        self.outcomes["r1"] = UNANSWERED
        for name in ("r1", "r2"):
            self.add(name)
        self.pass_time(3_000)
        self.assertEqual(len(self.pending), 1)

    def test_silent_holder_does_not_delay_others(self):
        self.outcomes["r1"] = UNANSWERED
        self.add("r1")
        self.add("r2", "m2")
        self.pass_time(1_000)
        self.assertEqual(len(self.pending), 1)

    def test_turn_of_an_absent_holder_does_not_delay_those_after_it(self):
        self.outcomes["r1"] = AWAITED
        self.add("r1")
        self.add("r2")
        self.pass_time(1_000)
        self.assertEqual(len(self.pending), 1)

    def test_turns_that_wait_for_an_absent_holder_cost_one_check(self):
        for name in ("r1", "r2", "r3"):
            self.outcomes[name] = AWAITED
            self.add(name)
        self.pass_time(1_000)
        self.assertEqual(self.tried, ["r1", "r2", "r3"])
        self.tried.clear()
        self.pass_time(3_000)
        self.assertLessEqual(len(self.tried), 2)

    def test_calls_to_a_silent_holder_become_rare(self):
        self.outcomes["r1"] = UNANSWERED
        self.add("r1")
        self.pass_time(60_000)
        self.assertLessEqual(len(self.tried), 33)

    def test_turn_is_given_up_when_its_holder_has_forgotten_the_program(self):
        self.outcomes["r1"] = UNANSWERED
        self.add("r1")
        self.pass_time(pending_settlements.RETENTION_MS + 3_000)
        self.assertEqual(len(self.pending), 0)

    def test_turns_are_tried_once_more_at_a_planned_stop(self):
        self.outcomes["r1"] = UNANSWERED
        self.add("r1")
        self.add("r2", "m2")
        self.pending.stop()
        self.pending.run()
        self.assertEqual(self.tried, ["r1", "r2"])
        self.assertEqual(len(self.pending), 1)

    def test_memory_is_bounded(self):
        for number in range(pending_settlements.MAX_TURNS + 5):
            self.add(f"r{number}")
        self.assertEqual(len(self.pending), pending_settlements.MAX_TURNS)


if __name__ == "__main__":
    unittest.main()
