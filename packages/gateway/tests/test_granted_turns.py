"""Tests of turns whose ends are under way when a budget is refused."""

import threading

import builders
import holders_case

from balsamloom_gateway import budgets, ledger, other_shares, peers

TURN = 200
LATE_MS = 3_000.0
USED = 10


class LateEndsTest(holders_case.HoldersCase):
    """Guards against refusals for good while ends of turns are under way."""

    def setUp(self):
        super().setUp()
        self.network.has_call_timeouts = True
        count = holders_case.BUDGET // TURN
        self.grants = [self.reserve("m4") for _ in range(count)]
        self.network.arrival_ms["m1", peers.SETTLE_PATH] = LATE_MS

    def reserve(self, name):
        call = builders.turn_call(holders_case.BUDGET, TURN)
        return self.members[name][3].reserve(call, builders.turn_request())

    def end(self, grant):
        """End a turn; its holder hears of it later."""
        accounts = self.members["m4"][3]
        settling = threading.Thread(
            target=accounts.settle, args=(grant, USED, builders.turn_report())
        )
        settling.start()
        self.addCleanup(settling.join)

    def await_grace(self):
        self.clock.sleep(other_shares.RUNNING_TURN_GRACE_MS + 100.0)

    def used_tokens(self):
        return self.members["m1"][1]._accounts["p"].used_tokens

    def test_ended_turn_counts_what_it_used(self):
        self.end(self.grants[0])
        self.await_grace()
        self.assertIsInstance(self.reserve("m4"), budgets.Grant)
        self.clock.sleep(LATE_MS)
        self.assertEqual(self.used_tokens(), USED)

    def test_running_turns_count_at_their_most(self):
        self.await_grace()
        self.assertIsInstance(self.reserve("m4"), ledger.Exhaustion)
        self.assertEqual(self.used_tokens(), 0)

    def test_refusal_stands_if_the_caller_does_not_answer(self):
        del self.network.services["m4"]
        self.end(self.grants[0])
        self.await_grace()
        self.assertIsInstance(self.reserve("m1"), ledger.Exhaustion)

    def test_settled_turns_are_forgotten(self):
        self.network.arrival_ms.clear()
        for grant in self.grants:
            self.members["m4"][3].settle(grant, USED, builders.turn_report())
        granted = self.members["m1"][3]._granted_turns
        self.assertEqual(granted._turns, {})
