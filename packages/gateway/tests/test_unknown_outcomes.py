"""Tests of turns after a write whose answer was lost."""

import unittest

from balsamloom_gateway import ledger

TURN_TOKENS = 280
BUDGET_TOKENS = 840


class UnknownOutcomeTest(unittest.TestCase):
    """Guards against turns that wait for a record that nobody writes."""

    def test_turn_after_a_return_of_unknown_outcome_needs_a_record(self):
        account = ledger.Account("p", BUDGET_TOKENS)
        account.max_turn_tokens = TURN_TOKENS
        account.is_standby = True
        account.reserve(TURN_TOKENS, 0, "r1")
        account.apply_written(account.next_record("w1"), 1)
        self.assertEqual(
            account.reserve(TURN_TOKENS, 0, "r1"), ledger.Reservation()
        )
        account.settle(TURN_TOKENS, 0, "r1")
        account.next_record("w2")
        account.handle_failed_write(is_unknown=True)
        result = account.reserve(TURN_TOKENS, 0, "r2")
        self.assertIsInstance(result, ledger.RequiredAllocation)
        self.assertTrue(account.needs_record())


if __name__ == "__main__":
    unittest.main()
