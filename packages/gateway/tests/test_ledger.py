"""Tests of budget accounts."""

import random
import unittest

from balsamloom_gateway import ledger


class AccountTest(unittest.TestCase):
    """Guards against programs that exceed their budget or lose it."""

    def setUp(self):
        self.account = ledger.Account("p", 900)

    def test_first_turn_needs_no_record_within_the_allowance(self):
        self.assertEqual(self.account.reserve(135, 135), ledger.Reservation())
        self.assertEqual(self.account.unrecorded_tokens, 135)

    def test_second_turn_needs_a_record(self):
        self.account.reserve(135, 135)
        result = self.account.reserve(135, 135)
        self.assertIsInstance(result, ledger.RequiredAllocation)

    def test_block_covers_what_is_exposed(self):
        self.account.reserve(135, 135)
        self.account.apply_record(225, 1, 225)
        self.assertEqual(self.account.unrecorded_tokens, 0)
        self.assertEqual(self.account.left_tokens, 90)

    def test_unused_tokens_serve_the_next_turn(self):
        self.account.apply_record(135, 1, 135)
        self.account.reserve(135, 0)
        self.account.settle(135, 30)
        self.assertEqual(self.account.left_tokens, 105)

    def test_first_block_covers_two_turns(self):
        # Each record costs a call of the store.
        self.account.max_turn_tokens = 135
        self.assertEqual(
            self.account.reserve(135, 0), ledger.RequiredAllocation(270)
        )
        self.account.apply_record(270, 1, 270)
        self.account.reserve(135, 0)
        self.assertEqual(self.account.next_allocation(135), 0)

    def test_budget_that_does_not_hold_a_turn_is_exhausted(self):
        self.account.apply_record(800, 1, 0)
        self.assertEqual(
            self.account.reserve(135, 135), ledger.ExhaustedBudget(800, 0)
        )

    def test_unknown_blocks_count_as_spent(self):
        # After a crash the holder knows only what the store holds.
        self.account.apply_record(900, 3, 0)
        self.assertIsInstance(
            self.account.reserve(1, 10_000), ledger.ExhaustedBudget
        )

    def test_block_of_another_holder_that_no_turn_used_costs_no_refusal(self):
        # A standby recorded a turn's block, and the turn then went to the
        # first holder. Seen after a power loss of all hosts: a program of
        # 500 tokens was told with its first turn that they are spent.
        account = ledger.Account("p", 500)
        account.max_turn_tokens = 280
        account.merge_state("m2", ledger.AccountState("p", 500, 280, 0))
        self.assertIsInstance(
            account.reserve(280, 0), ledger.RequiredAllocation
        )
        account.apply_record(780, 2, 500)
        self.assertEqual(account.reserve(280, 0), ledger.Reservation())
        # All blocks together exceed the budget by one turn at most.
        account.settle(280, 280)
        self.assertEqual(
            account.reserve(280, 0), ledger.ExhaustedBudget(780, 220)
        )

    def test_slack_is_not_handed_out_before_it_is_recorded(self):
        account = ledger.Account("p", 500)
        account.max_turn_tokens = 280
        account.merge_state("m2", ledger.AccountState("p", 500, 280, 0))
        self.assertIsInstance(
            account.reserve(280, 10_000), ledger.RequiredAllocation
        )

    def test_own_blocks_give_no_slack(self):
        account = ledger.Account("p", 500)
        account.max_turn_tokens = 280
        account.apply_record(500, 1, 500)
        account.reserve(280, 0)
        account.settle(280, 280)
        self.assertIsInstance(account.reserve(280, 0), ledger.ExhaustedBudget)

    def test_claims_of_other_holders_count_once(self):
        state = ledger.AccountState("p", 900, 300, 200)
        for _ in range(3):
            self.account.merge_state("m2", state)
        known = self.account.known_state()
        self.assertEqual(
            (known.recorded_tokens, known.unrecorded_tokens), (300, 200)
        )
        self.account.merge_state("m2", state._replace(unrecorded_tokens=0))
        self.assertEqual(self.account.known_state().unrecorded_tokens, 0)


class CrashTest(unittest.TestCase):
    """Guards against overspending when holders lose their memory."""

    BUDGET = 900
    TURN = 135

    def test_one_loss_costs_at_most_one_turn_beyond_the_budget(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self.assertLessEqual(self._play(seed), self.BUDGET + self.TURN)

    def _new_account(self):
        account = ledger.Account("p", self.BUDGET)
        account.max_turn_tokens = self.TURN
        return account

    def _play(self, seed):
        """Return the tokens that a looping program gets over one crash."""
        generator = random.Random(seed)
        crash_at = generator.randrange(1, 30)
        recorded, revision, spent = 0, 0, 0
        account = self._new_account()
        for step in range(200):
            if step == crash_at:
                account = self._new_account()
            match account.reserve(self.TURN, self.TURN):
                case ledger.Reservation():
                    used = generator.randrange(self.TURN + 1)
                    spent += used
                    account.settle(self.TURN, used)
                case ledger.ExhaustedBudget():
                    if account.revision == revision:
                        return spent
                case ledger.RequiredAllocation():
                    pass
            # The record is written now and then, as the store allows.
            if generator.random() < 0.4:
                if account.revision != revision:
                    account.apply_record(recorded, revision, 0)
                allocation = account.next_allocation(self.TURN)
                if allocation:
                    recorded += allocation
                    revision += 1
                    account.apply_record(recorded, revision, allocation)
        return spent


class RecentServersTest(unittest.TestCase):
    """Guards against an unbounded or wrongly ordered list."""

    def test_latest_server_is_first_and_the_list_is_bounded(self):
        servers = ()
        for server_id in ("a", "b", "a", "c", "d"):
            servers = ledger.add_recent_server(servers, server_id)
        self.assertEqual(servers, ("d", "c", "a"))


if __name__ == "__main__":
    unittest.main()
