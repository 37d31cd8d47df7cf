"""Tests of turns that come while the store is tried again."""

import threading
import time
import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_ledger,
    interfaces,
    ledger_recorder,
    outage_policy,
)

TURN_TOKENS = 100
BUDGET_TOKENS = 400
# A turn waits for news, for the end of the call's time and for its own.
MAX_WAITS = 4
# A turn that comes first may see the call begin after it.
MARGIN_MS = 40.0
TIMEOUT_S = 5.0


class HangingStore(stores.Store):
    """Store that hangs in all transactions after the first failures."""

    def __init__(self, failures):
        super().__init__()
        self.failures = failures
        self.hangs = threading.Event()
        self.is_released = threading.Event()

    def transact(self, conditions, writes, deletes=()):
        if self.failures:
            self.failures -= 1
            raise interfaces.StoreUnavailableError("down")
        self.hangs.set()
        self.is_released.wait(TIMEOUT_S)
        return super().transact(conditions, writes, deletes)


class CountingClock(clocks.Clock):
    """Clock that counts the waits of each thread."""

    def __init__(self):
        super().__init__()
        self.waits = {}

    def wait_condition(self, condition, timeout_ms):
        name = threading.current_thread().name
        self.waits[name] = self.waits.get(name, 0) + 1
        return super().wait_condition(condition, timeout_ms)


class StoreRetryTest(unittest.TestCase):
    """Guards against turns that use the processor while the store hangs."""

    def start_holder(self, failures):
        self.store = HangingStore(failures)
        self.clock = CountingClock()
        self.holder = budget_ledger.BudgetLedger(
            self.store, builders.Records(), self.clock
        )
        thread = threading.Thread(target=self.holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.holder.stop)
        self.addCleanup(self.store.is_released.set)

    def reserve(self, program_id):
        """Ask for a turn; return its duration."""
        started_ms = self.clock.now_ms()
        self.holder.reserve(
            program_id,
            TURN_TOKENS,
            BUDGET_TOKENS,
            outage_policy.OutagePolicy.NONE,
        )
        return self.clock.now_ms() - started_ms

    def test_turn_sleeps_while_the_store_hangs_when_tried_again(self):
        self.start_holder(failures=1)
        self.reserve("p1")
        self.assertTrue(self.store.hangs.wait(TIMEOUT_S))
        time.sleep(ledger_recorder.RECORD_TIMEOUT_MS / 1_000)
        self.clock.waits.clear()
        self.reserve("p2")
        found = self.clock.waits.get(threading.current_thread().name, 0)
        self.assertLessEqual(found, MAX_WAITS)

    def test_first_turn_learns_of_an_outage_as_soon_as_later_ones(self):
        self.start_holder(failures=0)
        duration_ms = self.reserve("p1")
        self.assertLess(
            duration_ms, ledger_recorder.RECORD_TIMEOUT_MS + MARGIN_MS
        )


if __name__ == "__main__":
    unittest.main()
