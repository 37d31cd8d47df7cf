"""Tests of turns that wait for the records of their programs."""

import threading
import time
import unittest

import ledger_case
import stores

TRANSACTION_S = 0.02
# At arrival, after the write under way, and after the turn's own record.
MAX_JUDGEMENTS = 3
# Time in which a thread that was woken by mistake would judge its turn.
SETTLING_S = 0.05
TIMEOUT_S = 10.0


class SlowStore(stores.Store):
    """Store whose transactions take a fixed time."""

    def transact(self, conditions, writes, deletes=()):
        time.sleep(TRANSACTION_S)
        return super().transact(conditions, writes, deletes)


class HungStore(stores.Store):
    """Store whose transactions wait until they are released."""

    def __init__(self):
        super().__init__()
        self.is_called = threading.Event()
        self.is_released = threading.Event()

    def transact(self, conditions, writes, deletes=()):
        self.is_called.set()
        self.is_released.wait(TIMEOUT_S)
        return super().transact(conditions, writes, deletes)


class WaitingTurnsTest(ledger_case.LedgerCase):
    """Guards against waiting turns that keep one another busy.

    The clock stands still, so no turn is judged because its time is over.
    """

    BUDGET_TOKENS = 400

    def check_judgements(self, turns):
        """Serve turns of as many programs at once; check their judgements."""
        self.start_holder(SlowStore())
        programs = [f"p{number}" for number in range(turns)]
        threads = [self.start_turn(program) for program in programs]
        for thread in threads:
            thread.join(TIMEOUT_S)
        self.assert_granted(programs)
        judgements = sorted(self.judgements[program] for program in programs)
        self.assertLessEqual(
            judgements[-1],
            MAX_JUDGEMENTS,
            f"{sum(judgements) / turns:.1f} judgements a turn: {judgements}",
        )

    def test_single_turn_is_not_judged_over_and_over(self):
        self.check_judgements(1)

    def test_two_turns_are_not_judged_over_and_over(self):
        self.check_judgements(2)

    def test_eight_turns_are_not_judged_over_and_over(self):
        self.check_judgements(8)

    def test_turns_beyond_one_transaction_are_not_judged_over_and_over(self):
        self.check_judgements(32)

    def test_waiting_turn_is_not_woken_by_a_turn_of_another_program(self):
        store = HungStore()
        self.addCleanup(store.is_released.set)
        self.start_holder(store)
        first = self.start_turn("p1")
        self.assertTrue(store.is_called.wait(TIMEOUT_S))
        judged_before = self.judgements["p1"]
        second = self.start_turn("p2")
        time.sleep(SETTLING_S)
        judged = dict(self.judgements)
        store.is_released.set()
        first.join(TIMEOUT_S)
        second.join(TIMEOUT_S)
        self.assertEqual(judged, {"p1": judged_before, "p2": 1})


if __name__ == "__main__":
    unittest.main()
