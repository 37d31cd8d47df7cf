"""Tests of programs whose primary answers others and is late for them."""

import json
import threading

import builders
import holders_case

from balsamloom_gateway import (
    budget_ledger,
    budgets,
    holder_calls,
    ledger,
    peers,
)

BUDGET = 840
TURN = 280
USED = 20
# Longer than callers of a holder wait.
DELAY_MS = 500.0
RETRY_DELAY_MS = 500.0
PAUSE_MS = 20.0
# A turn that ended counts at its use after this time.
SETTLED_MS = 1_100.0
PROGRAM = "p"


class BusyNetwork(holders_case.Network):
    """Calls between members, which count those for one program.

    :param clock: time source.
    """

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.is_busy = False
        self.is_frozen = False
        self.calls = []

    def call(self, address, path, body, timeout_ms):
        name = address.partition(":")[0]
        is_own = isinstance(body, dict) and body.get("program_id") == PROGRAM
        if is_own:
            self.calls.append((name, path))
        if name == "m1" and self.is_frozen:
            self.clock.sleep(timeout_ms)
            raise peers.PeerTimeoutError(address)
        is_late = is_own and self.is_busy and path == peers.RESERVE_PATH
        if name != "m1" or not is_late:
            return super().call(address, path, body, timeout_ms)
        threading.Thread(
            target=self._execute_late,
            args=(address, path, body, timeout_ms),
            daemon=True,
        ).start()
        self.clock.sleep(timeout_ms)
        raise peers.PeerTimeoutError(address)

    def _execute_late(self, address, path, body, timeout_ms):
        self.clock.sleep(DELAY_MS)
        super().call(address, path, body, timeout_ms)


class BusyHolderTest(holders_case.HoldersCase):
    """Guards against a second holder of programs whose holder is slow."""

    def setUp(self):
        super().setUp()
        busy = BusyNetwork(self.clock)
        busy.services = self.network.services
        for _, local_ledger, _, accounts in self.members.values():
            accounts._calls._clients = busy
            local_ledger.standbys._calls._clients = busy
        self.network = busy
        self.assertIsNone(self.run_turn(PROGRAM))
        self.others_refused = []
        self.is_over = threading.Event()
        others = threading.Thread(target=self.run_others)
        others.start()
        self.addCleanup(others.join)
        self.addCleanup(self.is_over.set)

    def run_turn(self, program):
        """Run a turn from m4; return its refusal, if any."""
        accounts = self.members["m4"][3]
        call = builders.turn_call(BUDGET, TURN, program)
        grant = accounts.reserve(call, builders.turn_request())
        if not isinstance(grant, budgets.Grant):
            return grant
        accounts.settle(grant, USED, builders.turn_report())
        return None

    def run_others(self):
        """Run a turn of one other program after the other."""
        number = 0
        while not self.is_over.is_set():
            number += 1
            refusal = self.run_turn(f"other{number}")
            if refusal is not None:
                self.others_refused.append(refusal)
            self.clock.sleep(PAUSE_MS)

    def test_busy_primary_stays_the_only_holder(self):
        self.network.calls.clear()
        self.network.is_busy = True
        refusals = []
        for _ in range(4):
            refusals.append(self.run_turn(PROGRAM))
            self.clock.sleep(RETRY_DELAY_MS)
        self.network.is_busy = False
        for refusal in refusals:
            self.assertIsInstance(refusal, budget_ledger.RecordingFailure)
            self.assertTrue(refusal.is_decided, refusal)
        asked = {
            name
            for name, path in self.network.calls
            if path in (peers.RESERVE_PATH, peers.READ_STATE_PATH)
        }
        self.assertEqual(asked, {"m1"})
        record = json.loads(self.store.items["ledger/p"].value)
        self.assertEqual(len(record["shares"]), 1, record)
        self.assertEqual(self.others_refused, [])
        self.clock.sleep(SETTLED_MS)
        self.assertIsNone(self.run_turn(PROGRAM))

    def test_refused_turns_of_a_busy_primary_use_no_budget(self):
        self.network.is_busy = True
        for _ in range(2 * BUDGET // TURN):
            refusal = self.run_turn(PROGRAM)
            self.assertNotIsInstance(refusal, ledger.Exhaustion)
        self.network.is_busy = False
        self.clock.sleep(SETTLED_MS)
        self.assertIsNone(self.run_turn(PROGRAM))

    def test_frozen_primary_is_replaced_at_once(self):
        self.network.is_frozen = True
        started_ms = self.clock.now_ms()
        refusal = self.run_turn(PROGRAM)
        self.assertFalse(
            isinstance(refusal, budget_ledger.RecordingFailure)
            and refusal.is_decided,
            refusal,
        )
        passed_ms = self.clock.now_ms() - started_ms
        self.assertLess(passed_ms, 2 * holder_calls.TIMEOUT_MS)
        self.assertIn(("m2", peers.RESERVE_PATH), self.network.calls)
