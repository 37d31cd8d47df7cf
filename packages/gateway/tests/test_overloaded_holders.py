"""Tests of budgets while the store or a holder is slow and nothing is lost."""

import threading
import time

import builders
import holders_case
import ledger_case
import stores

from balsamloom_gateway import (
    budgets,
    ledger,
    peers,
    planner,
    standbys,
)

BUDGET = 840
TURN = 280
USED = 20
# Within the 60 ms in which a write of an available store succeeds.
WRITE_MS = 50.0
SHORT_WRITE_MS = 20.0
# Longer than callers wait for a holder.
LATE_ANSWER_MS = 400.0
# From 1,000 ms after its end on a turn may count only what it used.
SETTLED_S = 1.1
LATE_ARRIVAL_MS = 1_500.0
WATCH_S = 5.0
TIMEOUT_S = 10.0
SETTLING_S = 0.05


class SteppedStore(stores.Store):
    """Store whose transactions end when the test lets them."""

    def __init__(self):
        super().__init__()
        self.is_called = threading.Event()
        self.steps = threading.Semaphore(0)

    def transact(self, conditions, writes, deletes=()):
        """Apply a transaction at the next step."""
        self.is_called.set()
        self.steps.acquire(timeout=TIMEOUT_S)
        return super().transact(conditions, writes, deletes)


class SlowStoreTest(ledger_case.LedgerCase):
    """Guards against refusals beside a store whose writes all succeed.

    Time passes only while a transaction is under way.
    """

    TURN_TOKENS = TURN
    BUDGET_TOKENS = BUDGET

    def setUp(self):
        super().setUp()
        self.store = SteppedStore()
        self.start_holder(self.store)
        self.addCleanup(self.store.steps.release, 100)

    def end_write(self):
        """Let the transaction under way take its time and end."""
        self.assertTrue(self.store.is_called.wait(TIMEOUT_S))
        self.store.is_called.clear()
        self.clock.advance(WRITE_MS)
        self.store.steps.release()

    def check_programs(self, count):
        """Start turns of programs while the first is written; end all."""
        programs = [f"p{number}" for number in range(count)]
        threads = [self.start_turn(programs[0])]
        self.assertTrue(self.store.is_called.wait(TIMEOUT_S))
        threads += [self.start_turn(program) for program in programs[1:]]
        until_s = time.monotonic() + TIMEOUT_S
        while any(one.is_alive() for one in threads):
            self.assertLess(time.monotonic(), until_s)
            if self.store.is_called.wait(SETTLING_S):
                self.end_write()
        self.assert_granted(programs)

    def test_turn_that_comes_during_a_write_gets_its_tokens(self):
        self.check_programs(2)

    def test_eight_programs_that_come_at_once_get_their_tokens(self):
        self.check_programs(8)

    def test_programs_beyond_one_transaction_get_their_tokens(self):
        self.check_programs(32)


class LateHolderTest(holders_case.HoldersCase):
    """Guards against a holder that is slow being handled as lost."""

    def setUp(self):
        super().setUp()
        self.store = stores.SlowStore(0.0)
        self.network.has_call_timeouts = True

    def start(self, name, is_restart=False, has_read=True):
        super().start(name, is_restart, has_read)
        self.members[name][1]._holder_id = standbys.holder_id(
            name, builders.member(name).incarnation
        )

    def reserve(self, name, program="p"):
        call = builders.turn_call(BUDGET, TURN, program)
        return self.members[name][3].reserve(call, builders.turn_request())

    def settle(self, name, grant):
        self.members[name][3].settle(grant, USED, builders.turn_report())

    def run_turn(self, name, program):
        """Run one turn; return its refusal, if any."""
        grant = self.reserve(name, program)
        if not isinstance(grant, budgets.Grant):
            return grant
        self.settle(name, grant)
        return None

    def test_late_answers_of_the_primary_refuse_no_turn(self):
        self.store.write_ms = SHORT_WRITE_MS
        self.network.answer_ms["m1"] = LATE_ANSWER_MS
        for count in (2, 8, 32):
            with self.subTest(programs=count):
                refusals = self.run_programs(count)
                self.assertEqual(len(refusals), 0, refusals[:3])

    def run_programs(self, count, turns=4):
        """Run turns of each program, one by one; return the refusals."""
        results = []

        def run(program):
            for _ in range(turns):
                results.append(self.run_turn("m4", program))

        threads = [
            threading.Thread(target=run, args=(f"{count}.{number}",))
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(results), count * turns)
        return [one for one in results if one is not None]

    def test_tries_whose_withdrawal_does_not_arrive_count_nothing(self):
        # They are answered late, and no turn reaches a server.
        self.network.answer_ms["m1"] = LATE_ANSWER_MS
        self.network.lost_calls.add(("m1", peers.WITHDRAW_PATH))
        for name in ("m2", "m3", "m4"):
            grant = self.reserve(name)
            if isinstance(grant, budgets.Grant):
                self.members[name][3].settle(grant, 0, planner.NOT_RUN)
        self.network.answer_ms.clear()
        self.network.lost_calls.clear()
        self.assert_served_or_retried("m1")

    def test_ends_that_arrive_late_at_the_primary_end_no_program(self):
        grants = [self.reserve("m4") for _ in range(BUDGET // TURN)]
        self.assertTrue(all(one.holder.name == "m1" for one in grants), grants)
        self.network.arrival_ms["m1", peers.SETTLE_PATH] = LATE_ARRIVAL_MS
        for grant in grants:
            ending = threading.Thread(target=self.settle, args=("m4", grant))
            ending.start()
            self.addCleanup(ending.join)
        time.sleep(SETTLED_S)
        self.assertNotIsInstance(self.reserve("m1"), ledger.Exhaustion)

    def assert_served_or_retried(self, name):
        """Ask for a turn for a while; none may be refused for good."""
        until_s = time.monotonic() + WATCH_S
        while time.monotonic() < until_s:
            time.sleep(SETTLED_S)
            result = self.reserve(name)
            self.assertNotIsInstance(result, ledger.Exhaustion)
            if isinstance(result, budgets.Grant):
                return
        self.fail(result)
