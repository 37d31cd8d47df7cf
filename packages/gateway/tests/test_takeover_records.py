"""Tests of records that a new holder finds in the store."""

import threading
import time
import unittest

import builders
import ledger_case
import stores

from balsamloom_gateway import ledger, ledger_records

TURN_TOKENS = 100
# As many as one transaction takes.
PROGRAMS = 16
# The one under way, one that is refused as the records are not known, one that
# writes them all, and one for what the granted turns leave to be recorded.
MAX_TRANSACTIONS = 4
TIMEOUT_S = 5.0
FIRST = "first"


class TakeoverStore(stores.Store):
    """Store that counts transactions; the first one waits for the test.

    With ``keeps_contesting``, another holder writes one of the programs again
    before each write: the one that is written first by itself.
    """

    def __init__(self):
        super().__init__()
        self.count = 0
        self.is_called = threading.Event()
        self.may_answer = threading.Event()
        self.keeps_contesting = False
        self.contested = None

    def write_as_other(self, key):
        share = ledger_records.Share(TURN_TOKENS, TURN_TOKENS)
        record = ledger_records.Record({"lost/1": share}, "lost.1")
        self.put(key, ledger_records.encode(record))

    def transact(self, conditions, writes, deletes=()):
        self.count += 1
        self.is_called.set()
        self.may_answer.wait(TIMEOUT_S)
        keys = [condition.key for condition in conditions]
        if self.keeps_contesting and self.contested is None and self.count > 2:
            self.contested = keys[0]
        if self.keeps_contesting and self.contested in keys:
            time.sleep(0.001)
            self.write_as_other(self.contested)
        return super().transact(conditions, writes, deletes)


class TakeoverRecordsTest(ledger_case.LedgerCase):
    """Guards against programs that wait for one another after a takeover.

    The clock stands still, so no turn ends because its time is over.
    """

    def setUp(self):
        super().setUp()
        self.store = TakeoverStore()
        self.programs = [f"p{number}" for number in range(PROGRAMS)]
        for program in self.programs:
            self.store.write_as_other(builders.Records().ledger_key(program))
        self.start_holder(self.store)
        self.addCleanup(setattr, self.store, "keeps_contesting", False)
        self.addCleanup(self.store.may_answer.set)

    def start_turns(self):
        """Start a turn of each program while another one is written."""
        self.start_turn(FIRST)
        self.assertTrue(self.store.is_called.wait(TIMEOUT_S))
        threads = [self.start_turn(program) for program in self.programs]
        self.store.may_answer.set()
        return threads

    def test_records_of_a_lost_holder_are_written_together(self):
        for thread in self.start_turns():
            thread.join(TIMEOUT_S)
        for program in self.programs:
            self.assertEqual(self.results.get(program), ledger.Reservation())
        self.assertLessEqual(self.store.count, MAX_TRANSACTIONS)

    def test_program_that_another_holder_keeps_writing_holds_up_no_other(self):
        self.store.keeps_contesting = True
        threads = self.start_turns()
        until_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < until_s:
            if sum(one.is_alive() for one in threads) <= 1:
                break
            time.sleep(0.01)
        waiting = [one for one in self.programs if one not in self.results]
        self.assertLessEqual(
            len(waiting), 1, f"{self.store.count} transactions: {waiting}"
        )


if __name__ == "__main__":
    unittest.main()
