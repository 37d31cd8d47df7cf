"""Tests of transactions that another holder's records refuse."""

import threading
import unittest

import builders
import ledger_case
import stores

from balsamloom_gateway import ledger, ledger_records

TURN_TOKENS = 100
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


class ConflictingRecordsTest(ledger_case.LedgerCase):
    """Guards against turns that wait because of another program."""

    def setUp(self):
        super().setUp()
        self.store = ContestedStore()
        self.start_holder(self.store)
        self.addCleanup(setattr, self.store, "is_contested", False)

    def test_turn_is_recorded_beside_a_program_that_another_holder_writes(
        self,
    ):
        self.start_turn(CONTESTED)
        self.assertTrue(self.store.is_called.wait(TIMEOUT_S))
        thread = self.start_turn(OTHER)
        self.store.may_answer.set()
        thread.join(TIMEOUT_S)
        key = builders.Records().ledger_key(OTHER)
        transactions = [one for one in self.store.conditions if key in one]
        self.assertLessEqual(len(transactions), MAX_TRANSACTIONS)
        self.assertEqual(self.results.get(OTHER), ledger.Reservation())


if __name__ == "__main__":
    unittest.main()
