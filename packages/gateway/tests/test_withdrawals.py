"""Tests of withdrawn reservations."""

import unittest

import builders
import holders_case

from balsamloom_gateway import (
    interfaces,
    outage_policy,
    peer_messages,
    peers,
    planner,
    withdrawals,
)

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


class WithdrawalCallsTest(holders_case.HoldersCase):
    """Guards against withdrawn tries that count at their most for good."""

    def setUp(self):
        super().setUp()
        request = peer_messages.ReservationRequest(
            "p",
            holders_case.TURN,
            holders_case.BUDGET,
            outage_policy.OutagePolicy.NONE,
            builders.turn_request(),
            reservation_id="r",
        )
        self.members["m1"][3].reserve_local(request)
        self.account = self.members["m1"][1]._accounts["p"]
        self.assertEqual(self.account.in_flight_tokens, holders_case.TURN)
        self.withdrawal = peer_messages.Withdrawal("p", "r")

    def withdraw(self, body):
        self.network.call("m1:1", peers.WITHDRAW_PATH, body, 1_000.0)

    def test_withdrawal_that_arrives_after_minutes_returns_the_tokens(self):
        # The holder has forgotten which reservations may be withdrawn.
        accounts = self.members["m1"][3]
        accounts._withdrawals = withdrawals.ReservationWithdrawals(self.clock)
        for _ in range(2):
            self.withdraw(peer_messages.encode_withdrawal(self.withdrawal))
            self.assertEqual(self.account.in_flight_tokens, 0)

    def test_withdrawal_of_the_release_before_returns_the_tokens(self):
        self.withdraw({"reservation_id": "r"})
        self.assertEqual(self.account.in_flight_tokens, 0)

    def test_withdrawal_that_arrives_late_returns_the_tokens(self):
        self.network.cut.add("m1")
        accounts = self.members["m4"][3]
        accounts._settlements.settle(
            builders.member("m1"), holders_case.BUDGET, self.withdrawal
        )
        self.assertEqual(len(accounts.pending_settlements), 1)
        self.network.cut.clear()
        self.clock.sleep(1_500.0)
        self.assertEqual(len(accounts.pending_settlements), 0)
        self.assertEqual(self.account.in_flight_tokens, 0)

    def test_withdrawal_at_a_lost_holder_is_told_its_successor(self):
        self.network.cut.add("m1")
        for name in self.NAMES[1:]:
            self.members[name][2].apply([interfaces.Deletion("member/m1", 9)])
        accounts = self.members["m4"][3]
        accounts._settlements.settle(
            builders.member("m1"), holders_case.BUDGET, self.withdrawal
        )
        self.clock.sleep(1_500.0)
        successor = self.members["m2"][1]._accounts["p"]
        self.assertEqual(successor.others._settlements, {"r": 0})


if __name__ == "__main__":
    unittest.main()
