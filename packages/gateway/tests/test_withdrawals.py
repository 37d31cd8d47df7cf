"""Tests of withdrawn reservations."""

import unittest

import builders

from balsamloom_gateway import peer_messages, planner, withdrawals

UNUSED = peer_messages.Settlement("p", 60, 0, None, planner.NOT_RUN)


class WithdrawalsTest(unittest.TestCase):
    """Guards against tokens that stay reserved after the caller timed out."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.withdrawals = withdrawals.ReservationWithdrawals(self.clock)

    def test_withdrawal_after_the_reservation_returns_it_once(self):
        self.assertTrue(self.withdrawals.record_reservation("r", UNUSED))
        self.assertEqual(self.withdrawals.withdraw("r"), UNUSED)
        self.assertIsNone(self.withdrawals.withdraw("r"))

    def test_withdrawal_before_the_reservation_prevents_it(self):
        self.assertIsNone(self.withdrawals.withdraw("r"))
        self.assertFalse(self.withdrawals.record_reservation("r", UNUSED))

    def test_old_entries_are_removed(self):
        self.withdrawals.record_reservation("r1", UNUSED)
        self.withdrawals.withdraw("r2")
        self.clock.advance(
            withdrawals.MAX_ENTRY_AGE_MS + withdrawals.SWEEP_INTERVAL_MS
        )
        self.assertTrue(self.withdrawals.record_reservation("r3", UNUSED))
        self.assertIsNone(self.withdrawals.withdraw("r1"))
        self.assertTrue(self.withdrawals.record_reservation("r2", UNUSED))


if __name__ == "__main__":
    unittest.main()
