"""Case of a ledger whose turns ask for tokens in threads of their own."""

import collections
import threading
import unittest
from unittest import mock

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import budget_ledger, ledger, outage_policy

TIMEOUT_S = 10.0


class LedgerCase(unittest.TestCase):
    """Counts the judgements of turns; the clock stands still by itself."""

    TURN_TOKENS = 100
    BUDGET_TOKENS = 4_000

    def setUp(self):
        self.clock = clocks.ManualClock()
        # Results and numbers of judgements by program.
        self.results = {}
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
        self.holder = budget_ledger.BudgetLedger(
            store, builders.Records(), self.clock
        )
        thread = threading.Thread(target=self.holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.holder.stop)

    def start_turn(self, program):
        """Start a turn; return its thread once it has asked for tokens."""

        def run():
            self.results[program], _ = self.holder.reserve(
                program,
                self.TURN_TOKENS,
                self.BUDGET_TOKENS,
                outage_policy.OutagePolicy.NONE,
            )

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        with self.judged:
            is_judged = self.judged.wait_for(
                lambda: self.judgements[program], TIMEOUT_S
            )
        self.assertTrue(is_judged, program)
        return thread

    def assert_granted(self, programs):
        """Check that the turns of programs, and no others, got tokens."""
        granted = dict.fromkeys(programs, ledger.Reservation())
        self.assertEqual(self.results, granted)
