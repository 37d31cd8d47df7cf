"""Tests of transactions that another holder's records refuse."""

import threading
import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_ledger,
    ledger,
    ledger_records,
    outage_policy,
)

TURN_TOKENS = 100
BUDGET_TOKENS = 4_000
# In one that is refused, and in one without the contested program.
MAX_TRANSACTIONS = 2
TIMEOUT_S = 5.0
CONTESTED = "contested"
OTHER = "other"


class ContestedStore(stores.Store):
    """Store in which another holder writes a program before each write."""

    def __init__(self):
        super().__init__()
        self.is_contested = True
        self.is_called = threading.Event()
        self.may_answer = threading.Event()
        self.conditions = []

    def transact(self, conditions, writes, deletes=()):
        keys = [condition.key for condition in conditions]
        self.conditions.append(keys)
        self.is_called.set()
        self.may_answer.wait(TIMEOUT_S)
        key = builders.Records().ledger_key(CONTESTED)
        if self.is_contested and key in keys:
            share = ledger_records.Share(TURN_TOKENS, TURN_TOKENS)
            record = ledger_records.Record({"other/1": share}, "other.1")
            self.put(key, ledger_records.encode(record))
        return super().transact(conditions, writes, deletes)


class ConflictingRecordsTest(unittest.TestCase):
    """Guards against turns that wait because of another program."""

    def setUp(self):
        self.store = ContestedStore()
        # The clock stands still, so no turn ends because its time is over.
        self.holder = budget_ledger.BudgetLedger(
            self.store, builders.Records(), clocks.ManualClock()
        )
        thread = threading.Thread(target=self.holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.holder.stop)
        self.addCleanup(setattr, self.store, "is_contested", False)

    def start_turn(self, program_id):
        results = []

        def run():
            result, _ = self.holder.reserve(
                program_id,
                TURN_TOKENS,
                BUDGET_TOKENS,
                outage_policy.OutagePolicy.NONE,
            )
            results.append(result)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread, results

    def test_turn_is_recorded_beside_a_program_that_another_holder_writes(
        self,
    ):
        self.start_turn(CONTESTED)
        self.assertTrue(self.store.is_called.wait(TIMEOUT_S))
        thread, results = self.start_turn(OTHER)
        self.store.may_answer.set()
        thread.join(TIMEOUT_S)
        key = builders.Records().ledger_key(OTHER)
        transactions = [one for one in self.store.conditions if key in one]
        self.assertLessEqual(len(transactions), MAX_TRANSACTIONS)
        self.assertEqual(results, [ledger.Reservation()])


if __name__ == "__main__":
    unittest.main()
