"""Tests of programs whose primary budget holder is slow, but not lost."""

import threading

import builders
import holders_case

from balsamloom_gateway import budgets, membership, peers

BUDGET = 855
TURN = 285
USED = 71
# Longer than callers of a holder wait, and shorter than any lease.
DELAY_MS = 500.0
RETRY_DELAY_MS = 250.0
STORE_MS = 4.0
# A turn that ended counts at its use after this time.
SETTLE_MS = 1_000.0
TURN_MS = 200.0
# Spans in which a holder is slow, and those between them.
SLOW_SPAN_MS = 700.0
FIRST_FAST_MS = 100.0
PROGRAMS = 60
# The budget holds so many turns, one after the other.
MAX_TURNS = (BUDGET - TURN) // USED + 1
# A program fails with a turn that fails this often.
MAX_TRIES = 3


class SlowNetwork(holders_case.Network):
    """Calls between members, one of which answers late.

    :param clock: time source.
    """

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.slow = ""
        self.is_slow_at_times = False
        self.slow_from_ms = 0.0

    def call(self, address, path, body, timeout_ms):
        if address.partition(":")[0] != self.slow or self._is_fast():
            return super().call(address, path, body, timeout_ms)
        threading.Thread(
            target=self._answer_late,
            args=(address, path, body, timeout_ms),
            daemon=True,
        ).start()
        self.clock.sleep(min(timeout_ms, DELAY_MS))
        raise peers.PeerTimeoutError(address)

    def _is_fast(self):
        if not self.is_slow_at_times:
            return False
        passed_ms = self.clock.now_ms() - self.slow_from_ms
        return int(passed_ms // SLOW_SPAN_MS) % 2 == 1

    def _answer_late(self, address, path, body, timeout_ms):
        self.clock.sleep(DELAY_MS)
        super().call(address, path, body, timeout_ms)


class SlowHolderTest(holders_case.HoldersCase):
    """Guards against slow holders that are taken for lost ones."""

    def setUp(self):
        super().setUp()
        slow = SlowNetwork(self.clock)
        slow.services = self.network.services
        for _, local_ledger, _, accounts in self.members.values():
            accounts._calls._clients = slow
            local_ledger.standbys._calls._clients = slow
        self.network = slow
        members = [builders.member(name) for name in self.NAMES]
        holders = membership.budget_holders(self.program_id, members)
        self.primary, self.caller = holders[0].name, holders[-1].name

    def reserve(self, name, program_id="p"):
        call = builders.turn_call(BUDGET, TURN, program_id)
        return self.members[name][3].reserve(call, builders.turn_request())

    def try_turn(self, program_id="p"):
        """Run one turn in a few tries; return the refusals if none ran."""
        refusals = []
        for _ in range(MAX_TRIES):
            grant = self.reserve(self.caller, program_id)
            if isinstance(grant, budgets.Grant):
                accounts = self.members[self.caller][3]
                accounts.settle(grant, USED, builders.turn_report())
                return []
            refusals.append(grant)
            self.clock.sleep(RETRY_DELAY_MS)
        return refusals

    def test_turns_within_the_budget_outlast_a_slow_primary_holder(self):
        self.assertEqual(self.try_turn(), [])
        self.network.slow = self.primary
        used = USED
        while used + TURN <= BUDGET:
            self.clock.sleep(1_000.0)
            self.assertEqual(self.try_turn(), [], f"{used} used")
            used += USED

    def test_holder_that_is_slow_now_and_then_fails_no_turns(self):
        # Turns of many programs were refused with "the store is slow".
        self.delay_store()
        self.network.is_slow_at_times = True
        self.network.slow_from_ms = self.clock.now_ms() + FIRST_FAST_MS
        self.network.slow = self.primary
        self.assertEqual(self.run_programs(), [])

    def test_many_programs_are_served_by_holders_that_answer(self):
        self.delay_store()
        self.assertEqual(self.run_programs(), [])

    def delay_store(self):
        """Let each transaction take as long as one of a sound store."""
        transact = self.store.transact

        def delayed(conditions, writes, deletes=()):
            self.clock.sleep(STORE_MS)
            return transact(conditions, writes, deletes)

        self.store.transact = delayed

    def run_programs(self):
        """Run many programs at once; return the turns that failed."""
        members = [builders.member(name) for name in self.NAMES]
        failed = []
        threads = [
            threading.Thread(target=self.run_program, args=(name, failed))
            for name in map("p{}".format, range(PROGRAMS))
            if membership.budget_holders(name, members)[0].name == self.primary
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return failed

    def run_program(self, program_id, failed):
        """Run turns until the budget may not hold one more."""
        ended_ms = []
        refusals = []
        while len(ended_ms) < MAX_TURNS and len(refusals) < MAX_TRIES:
            holds_turn = self.holds_turn(ended_ms)
            grant = self.reserve(self.caller, program_id)
            if isinstance(grant, budgets.Grant):
                self.clock.sleep(TURN_MS)
                accounts = self.members[self.caller][3]
                accounts.settle(grant, USED, builders.turn_report())
                ended_ms.append(self.clock.now_ms())
                refusals = []
                continue
            if holds_turn:
                refusals.append(grant)
            self.clock.sleep(RETRY_DELAY_MS)
        if refusals:
            failed.append((program_id, len(ended_ms), refusals))

    def holds_turn(self, ended_ms):
        """Return whether the budget holds a turn, by the rule for a 402."""
        settled_ms = self.clock.now_ms() - SETTLE_MS
        counted = sum(USED if end <= settled_ms else TURN for end in ended_ms)
        return counted + TURN <= BUDGET
