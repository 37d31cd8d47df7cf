"""Tests of turns that wait for the records of their programs."""

import collections
import threading
import time
import unittest
from unittest import mock

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import budget_ledger, ledger, outage_policy

TRANSACTION_S = 0.02
TURN_TOKENS = 100
BUDGET_TOKENS = 400
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


class WaitingTurnsTest(unittest.TestCase):
    """Guards against waiting turns that keep one another busy.

    The clock stands still, so no turn is judged because its time is over.
    """

    def setUp(self):
        self.judgements = collections.Counter()
        self.judged = threading.Condition()
        reserve = ledger.Account.reserve

        def count(account, *args):
            with self.judged:
                self.judgements[account.program_id] += 1
                self.judged.notify_all()
            return reserve(account, *args)

        patch = mock.patch.object(ledger.Account, "reserve", count)
        patch.start()
        self.addCleanup(patch.stop)

    def start_holder(self, store):
        holder = budget_ledger.BudgetLedger(
            store, builders.Records(), clocks.ManualClock()
        )
        thread = threading.Thread(target=holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(holder.stop)
        return holder

    def start_turn(self, holder, program_id):
        """Start a turn; return its thread and the list of its result."""
        results = []

        def run():
            result, _ = holder.reserve(
                program_id,
                TURN_TOKENS,
                BUDGET_TOKENS,
                outage_policy.OutagePolicy.NONE,
            )
            results.append(result)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread, results

    def check_judgements(self, turns):
        """Serve turns of as many programs at once; check their judgements."""
        holder = self.start_holder(SlowStore())
        started = [
            self.start_turn(holder, f"p{number}") for number in range(turns)
        ]
        for thread, results in started:
            thread.join(TIMEOUT_S)
            self.assertEqual(results, [ledger.Reservation()])
        judgements = sorted(self.judgements.values())
        self.assertEqual(len(judgements), turns)
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
        holder = self.start_holder(store)
        first, _ = self.start_turn(holder, "p1")
        self.assertTrue(store.is_called.wait(TIMEOUT_S))
        judged_before = self.judgements["p1"]
        second, _ = self.start_turn(holder, "p2")
        with self.judged:
            self.judged.wait_for(lambda: self.judgements["p2"], TIMEOUT_S)
        time.sleep(SETTLING_S)
        judged = dict(self.judgements)
        store.is_released.set()
        first.join(TIMEOUT_S)
        second.join(TIMEOUT_S)
        self.assertEqual(judged, {"p1": judged_before, "p2": 1})


if __name__ == "__main__":
    unittest.main()
