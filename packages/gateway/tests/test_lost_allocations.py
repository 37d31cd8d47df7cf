"""Tests of programs whose budget holders are lost or replaced."""

import json
import threading
import time
import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_ledger,
    interfaces,
    ledger,
    outage_policy,
    record_queue,
)

NONE = outage_policy.OutagePolicy.NONE
BUDGET = 1_300
TURN = 280
USED = 20


class LostAllocationsTest(unittest.TestCase):
    """Guards against 402 for turns that the budget holds."""

    def setUp(self):
        self.store = stores.Store()

    def start_holder(self, is_restart=True):
        holder = budget_ledger.BudgetLedger(
            self.store, builders.Records(), clocks.Clock(), is_restart
        )
        # It is registered, and no other holder is.
        holder.held_lease_id = lambda: 1
        thread = threading.Thread(target=holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(holder.stop)
        return holder

    def reserve(self, holder, is_standby=False):
        return holder.reserve("p", TURN, BUDGET, NONE, is_standby)[0]

    def lose(self, holder):
        """End a holder without a planned stop, after its last record."""
        time.sleep(2 * record_queue.BATCH_DELAY_MS / 1_000)
        holder.stop()

    def recorded_tokens(self):
        item = self.store.items.get("ledger/p")
        return json.loads(item.value)["tokens"] if item else 0

    def wait_for_record(self, tokens):
        until_s = time.monotonic() + 3
        while self.recorded_tokens() != tokens:
            self.assertLess(time.monotonic(), until_s, self.recorded_tokens())
            time.sleep(0.02)

    def test_program_within_its_budget_outlives_several_holders(self):
        for number in range(6):
            holder = self.start_holder()
            result = self.reserve(holder)
            self.assertEqual(result, ledger.Reservation(), number)
            holder.settle("p", TURN, USED, "s1")
            self.lose(holder)

    def test_turns_broken_off_by_losses_count_at_their_most(self):
        # The budget and one turn hold five turns.
        spent = 0
        for _ in range(8):
            holder = self.start_holder()
            if self.reserve(holder) == ledger.Reservation():
                spent += TURN
            self.lose(holder)
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreater(spent, BUDGET - 2 * TURN)

    def test_allocation_of_a_try_that_never_ran_is_given_back(self):
        primary = self.start_holder()
        self.assertEqual(self.reserve(primary), ledger.Reservation())
        primary.settle("p", TURN, USED, "s1")
        standbys = [self.start_holder() for _ in range(4)]
        for standby in standbys:
            result = self.reserve(standby, is_standby=True)
            if result == ledger.Reservation():
                standby.settle("p", TURN, 0, "")
        time.sleep(2 * record_queue.BATCH_DELAY_MS / 1_000)
        self.assertLessEqual(self.recorded_tokens(), USED + 2 * TURN)

    def test_budget_outlives_slow_stores_and_tries_that_never_ran(self):
        transact = self.store.transact

        def slow_transact(conditions, writes, deletes=()):
            time.sleep(0.1)
            return transact(conditions, writes, deletes)

        primary = self.start_holder()
        self.assertEqual(self.reserve(primary), ledger.Reservation())
        primary.settle("p", TURN, USED, "s1")
        standbys = [self.start_holder() for _ in range(4)]
        self.store.transact = slow_transact
        for standby in standbys:
            self.reserve(standby, is_standby=True)
        self.store.transact = transact
        time.sleep(2 * record_queue.BATCH_DELAY_MS / 1_000)
        for number in range(4):
            result = self.reserve(primary)
            self.assertEqual(result, ledger.Reservation(), number)
            primary.settle("p", TURN, USED, "s1")

    def test_answer_of_the_store_that_is_lost_costs_no_tokens(self):
        holder = self.start_holder()
        self.store.loses_answers = True
        self.reserve(holder)
        self.store.loses_answers = False
        time.sleep(2 * record_queue.BATCH_DELAY_MS / 1_000)
        for number in range(20):
            result = self.reserve(holder)
            self.assertEqual(result, ledger.Reservation(), number)
            holder.settle("p", TURN, USED, "s1")

    def test_holder_with_tokens_left_does_not_refuse(self):
        # Reports of other holders and the record exceeded the budget.
        self.store.error = None
        holder = self.start_holder()
        self.assertEqual(self.reserve(holder), ledger.Reservation())
        holder.settle("p", TURN, USED, "s1")
        report = builders.usage_report(unrecorded=BUDGET, budget=BUDGET)
        holder.merge_usages("m2/1", [report], is_complete=False)
        self.assertEqual(self.reserve(holder), ledger.Reservation())

    def test_refusal_in_an_outage_proves_nothing(self):
        # The record may have changed since it was read.
        self.store.put(
            "ledger/p", json.dumps({"tokens": 1_500, "block": "x.1"}).encode()
        )
        holder = self.start_holder()
        report = builders.usage_report(recorded=BUDGET + TURN, budget=BUDGET)
        holder.merge_usages("m2/1", [report], is_complete=False)
        self.store.error = interfaces.StoreUnavailableError("down")
        self.assertIsInstance(
            self.reserve(holder), budget_ledger.RecordingFailure
        )


if __name__ == "__main__":
    unittest.main()
