"""Tests of budgets that several members hold, under faults."""

import json
import queue
import random
import threading
import time
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    budget_ledger,
    budgets,
    fleet,
    interfaces,
    ledger,
    membership,
    peer_service,
    peers,
    planner,
    registration_records,
    standbys,
)

BUDGET = 600
TURN = 60
NAMES = ("m1", "m2", "m3", "m4")


class Network:
    """In-process replacement of the calls between members."""

    def __init__(self):
        self.services = {}
        self.cut = set()
        self.timeout_ms = None

    def call(self, address, path, body, timeout_ms):
        name = address.partition(":")[0]
        if name in self.cut or name not in self.services:
            raise peers.PeerUnavailableError(address)
        call = self.services[name].calls[path]
        if self.timeout_ms is None:
            return dict(call(body) or {})
        answers = queue.Queue()
        threading.Thread(
            target=lambda: answers.put(dict(call(body) or {})), daemon=True
        ).start()
        try:
            return answers.get(timeout=self.timeout_ms / 1_000)
        except queue.Empty:
            raise peers.PeerUnavailableError(f"{address}: slow") from None


class SlowStandbys(standbys.NoStandbys):
    """Standbys that answer late."""

    def __init__(self, clock):
        self.clock = clock

    def known_usage(self, program_id):
        self.clock.sleep(150.0)
        return super().known_usage(program_id)


class HoldersCase(unittest.TestCase):
    """Test case with members that hold budgets for each other."""

    NAMES = NAMES

    def setUp(self):
        self.program_id = "p"
        self.clock = clocks.Clock()
        self.records = builders.Records()
        self.network = Network()
        # Members share these records, but each can lose its own store.
        self.store = builders.Store()
        self.members = {}
        self.planned = {}
        for name in self.NAMES:
            self.start(name)

    def start(self, name, is_restart=False, has_read=True):
        store = builders.Store()
        store.items = self.store.items
        store.transact = self.with_own_failures(store)
        local_ledger = budget_ledger.BudgetLedger(
            store, self.records, self.clock, is_restart
        )
        view = fleet.Fleet(self.records, self.clock)
        if has_read:
            self.read_members(view)
        local_ledger.standbys = standbys.PeerStandbys(
            name, str(is_restart), self.network, view, self.clock
        )
        servers = balancer.Balancer(self.clock, "a", random.Random(1))
        servers.set_servers([builders.server()])
        self.planned[name] = servers
        permits = builders.permits(name, view, self.clock, self.network)
        turn_planner = planner.TurnPlanner(
            name, servers, view, permits, self.clock
        )
        accounts = budgets.Budgets(
            name, local_ledger, turn_planner, self.network, view, self.clock
        )
        view.on_member_lost = accounts.handle_member_loss
        view.on_member_added = accounts.handle_member_arrival
        self.network.services[name] = peer_service.PeerService(
            accounts, local_ledger, None, None, permits, None, None
        )
        thread = threading.Thread(target=local_ledger.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(local_ledger.stop)
        self.members[name] = (store, local_ledger, view, accounts)

    def read_members(self, view):
        """Let a view read the members' registrations."""
        for member in self.NAMES:
            encoded = registration_records.encode_member(
                builders.member(member)
            )
            view.apply([interfaces.Item(f"member/{member}", encoded, 1)])
        view.update_age(0.0)

    def with_own_failures(self, store):
        def transact(conditions, writes, deletes=()):
            if store.error is not None:
                raise store.error
            return self.store.transact(conditions, writes, deletes)

        return transact

    def turn(self, name):
        """Run one turn with maximum use; return its tokens, 0 if refused."""
        accounts = self.members[name][3]
        grant = self.reserve(name)
        if isinstance(grant, budgets.Grant):
            accounts.settle(grant, TURN, builders.turn_report())
            return TURN
        self.last = grant
        return 0

    def cut_off_store(self, *names):
        for name in names:
            self.members[name][0].error = interfaces.StoreUnavailableError(
                "refused"
            )

    def end_outage(self, *names):
        """Let the store answer some members or all, and callers notice it."""
        for name in names or self.members:
            self.members[name][0].error = None
        self.clock.sleep(budgets.OUTAGE_PAUSE_MS)

    def reserve(self, name):
        call = builders.turn_call(BUDGET, TURN)
        call = call._replace(program_id=self.program_id)
        return self.members[name][3].reserve(call, builders.turn_request())


class HoldersTest(HoldersCase):
    """Guards against holders that do not know each other's usage."""

    def test_budget_is_shared_by_all_members(self):
        spent = sum(self.turn(NAMES[n % 4]) for n in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)
        self.assertIsInstance(self.last, ledger.Exhaustion)

    def test_only_one_holder_grants_unrecorded_tokens(self):
        self.cut_off_store(*NAMES)
        spent = sum(self.turn(NAMES[n % 4]) for n in range(40))
        self.assertGreater(spent, TURN)
        self.assertLessEqual(spent, BUDGET // 2)

    def test_holder_lost_in_an_outage_causes_no_overspending(self):
        spent = sum(self.turn("m3") for _ in range(2))
        self.cut_off_store(*NAMES)
        spent += sum(self.turn("m3") for _ in range(3))
        self.network.cut.add("m1")
        spent += sum(self.turn("m3") for _ in range(6))
        for store, *_ in self.members.values():
            store.error = None
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_standby_records_if_the_store_refuses_the_primary(self):
        self.cut_off_store("m1")
        spent = sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)

    def test_last_standby_records_if_the_store_refuses_the_others(self):
        # A store that serves only one of the holders must cause no refusal.
        self.cut_off_store("m1", "m2", "m3")
        spent = sum(self.turn(NAMES[n % 4]) for n in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)

    def test_holders_that_time_out_waste_few_tokens(self):
        # Each of them may have recorded an allocation for the turn.
        for name in NAMES[:3]:
            self.members[name][1].standbys = SlowStandbys(self.clock)
            self.members[name][1].start_caution_period("test")
        self.network.timeout_ms = 50.0
        self.assertEqual(self.turn("m4"), TURN)
        time.sleep(1.0)
        record = json.loads(self.store.items["ledger/p"].value)
        self.assertLessEqual(record["tokens"], 5 * TURN)

    def test_slow_holders_do_not_exhaust_a_small_budget(self):
        # Two holders recorded an allocation each for the first turn of a
        # program with 500 tokens and answered too late. The program was then
        # refused as exhausted (cpt-loom, scale-1, after the final fault).
        for name in NAMES[:3]:
            self.members[name][1].standbys = SlowStandbys(self.clock)
            self.members[name][1].start_caution_period("test")
        self.network.timeout_ms = 50.0
        call = builders.turn_call(100, TURN)
        accounts = self.members["m4"][3]
        first = accounts.reserve(call, builders.turn_request())
        self.assertNotIsInstance(first, ledger.Exhaustion)
        if isinstance(first, budgets.Grant):
            accounts.settle(first, TURN // 2, builders.turn_report())
        self.network.timeout_ms = None
        until_s = time.monotonic() + 5
        retried = None
        while not isinstance(retried, budgets.Grant):
            self.assertLess(time.monotonic(), until_s, retried)
            time.sleep(0.05)
            retried = accounts.reserve(call, builders.turn_request())
            self.assertNotIsInstance(retried, ledger.Exhaustion)

    def test_restarted_holder_queries_its_standbys(self):
        self.cut_off_store(*NAMES)
        spent = sum(self.turn("m3") for _ in range(4))
        self.start("m1", is_restart=True)
        self.cut_off_store("m1")
        spent += sum(self.turn("m3") for _ in range(20))
        for store, *_ in self.members.values():
            store.error = None
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_holder_that_restarts_in_an_outage_queries_its_standbys(self):
        # It served before it had read who the members are, found nobody to
        # ask and never asked again: 8,280 of 7,320 tokens (review/2).
        self.cut_off_store(*NAMES)
        spent = sum(self.turn("m3") for _ in range(4))
        self.start("m1", is_restart=True, has_read=False)
        self.cut_off_store("m1")
        spent += sum(self.turn("m3") for _ in range(4))
        self.read_members(self.members["m1"][2])
        self.end_outage()
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertGreater(spent, 4 * TURN)
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_holder_that_starts_after_an_outage_waits_for_its_standbys(self):
        # Their registrations had lapsed, so it found nobody to ask: 837 of
        # 660 tokens (soak, seed 703).
        self.cut_off_store(*NAMES)
        spent = sum(self.turn("m3") for _ in range(4))
        self.start("m1", is_restart=True, has_read=False)
        view = self.members["m1"][2]
        own = registration_records.encode_member(builders.member("m1"))
        view.apply([interfaces.Item("member/m1", own, 1)])
        view.update_age(0.0)
        self.end_outage()
        self.assertIsInstance(
            self.reserve("m1"), budget_ledger.RecordingFailure
        )
        self.read_members(view)
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertGreater(spent, 4 * TURN)
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_standbys_that_do_not_answer_are_asked_again(self):
        self.cut_off_store(*NAMES)
        spent = sum(self.turn("m3") for _ in range(4))
        self.network.cut.update(("m2", "m3", "m4"))
        self.start("m1", is_restart=True)
        self.cut_off_store("m1")
        self.reserve("m1")
        self.network.cut.clear()
        self.clock.sleep(standbys.BREAKER_BACKOFF.max_ms)
        for store, *_ in self.members.values():
            store.error = None
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_new_holder_queries_members_that_only_lost_the_store(self):
        self.cut_off_store("m1", "m2")
        spent = 0
        for _ in range(3):
            spent += self.turn("m1")
        # The registrations of m1 and m2 expire for m3 and m4.
        for name in ("m3", "m4"):
            view, local_ledger = self.members[name][2], self.members[name][1]
            for lost in ("m1", "m2"):
                view.apply([interfaces.Deletion(f"member/{lost}", 9)])
            local_ledger.start_caution_period("m1 ended")
        spent += sum(self.turn("m4") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_unrecorded_tokens_of_a_lost_holder_are_recorded(self):
        # Only a standby knew of them, so they were lost when all processes
        # ended later (grown Restwell, hunt-39df-3: 63 tokens too many).
        self.cut_off_store("m1", "m2", "m3", "m4")
        spent = self.turn("m3")
        self.assertEqual(spent, TURN)
        for store, *_ in self.members.values():
            store.error = None
        self.cut_off_store("m1")
        self.network.cut.add("m1")
        for name in ("m2", "m3", "m4"):
            local_ledger, view = self.members[name][1], self.members[name][2]
            view.on_member_lost = local_ledger.handle_lost_holder
            view.apply([interfaces.Deletion("member/m1", 9)])
        until_s = time.monotonic() + 5
        while "ledger/p" not in self.store.items:
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.02)
        record = json.loads(self.store.items["ledger/p"].value)
        self.assertGreaterEqual(record["tokens"], TURN)

    def test_few_lost_members_are_queried_for_usage(self):
        # With 27 of 77 members cut off, a holder queried each of them with a
        # timeout of 60 ms, while the caller's process tried the next holder:
        # 86 of 1,569 programs were refused too early (grown Restwell,
        # scale-2).
        view = self.members["m1"][2]
        lost = [f"x{number:02}" for number in range(20)]
        for name in lost:
            encoded = registration_records.encode_member(builders.member(name))
            view.apply([interfaces.Item(f"member/{name}", encoded, 2)])
        view.apply([interfaces.Deletion(f"member/{name}", 9) for name in lost])
        self.assertEqual(len(view.lost_members()), 20)
        queried = []
        peer_standbys = standbys.PeerStandbys(
            "m1", "1", self.network, view, self.clock
        )
        peer_standbys._calls.call = lambda member, *_: queried.append(
            member.name
        )
        peer_standbys.known_usage("p")
        self.assertLessEqual(len(queried), 2 * membership.MAX_HOLDERS)
        self.assertEqual(set(queried) & {"m2", "m3", "m4"}, {"m2", "m3", "m4"})

    def test_turns_of_a_program_are_planned_at_its_holder(self):
        # Otherwise each process would plan with its own few calls only.
        first = self.reserve("m3")
        second = self.reserve("m4")
        self.assertIsNotNone(first.plan)
        self.assertNotEqual(first.plan, second.plan)
        self.assertEqual(self.planned_calls("m1"), 2)
        self.members["m3"][3].settle(first, 0, builders.turn_report())
        self.members["m4"][3].settle(second, 0, builders.turn_report())
        self.assertEqual(self.planned_calls("m1"), 0)

    def planned_calls(self, name):
        (state,) = self.planned[name].describe()
        return state["in_flight"]


class SuccessorTest(HoldersCase):
    """Guards against successors that do not know the lost holder's usage."""

    NAMES = tuple(f"m{number:02}" for number in range(1, 34))

    LOST = "m03"

    def lose(self, informed):
        """End the primary holder; only some members learn of it."""
        self.network.cut.add(self.LOST)
        for name in informed:
            view = self.members[name][2]
            view.apply([interfaces.Deletion(f"member/{self.LOST}", 9)])

    def spend_around_a_loss(self, informed):
        """Return the tokens of turns before and after the primary's loss.

        The store does not answer some turns before the loss.
        """
        members = [builders.member(name) for name in self.NAMES]
        rest = [one for one in members if one.name != self.LOST]
        self.program_id = next(
            program_id
            for program_id in map(str, range(1_000))
            if _primary(program_id, members) == self.LOST
            and _primary(program_id, rest) < self.LOST
        )
        spent = sum(self.turn("m18") for _ in range(2))
        for store, *_ in self.members.values():
            store.error = interfaces.StoreUnavailableError("refused")
        unrecorded = sum(self.turn("m18") for _ in range(3))
        self.assertGreater(unrecorded, 0)
        self.lose(informed)
        for store, *_ in self.members.values():
            store.error = None
        return spent + unrecorded + sum(self.turn("m17") for _ in range(30))

    def test_successor_before_the_lost_holder_counts_unrecorded_tokens(self):
        # With several primary holders, the successor may precede the lost
        # one in the order of names (grown Restwell, fresh-fc2e).
        informed = [name for name in self.NAMES if name != self.LOST]
        spent = self.spend_around_a_loss(informed)
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)

    def test_successor_that_learns_late_of_a_loss_counts_them_too(self):
        spent = self.spend_around_a_loss(["m17"])
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)


class OutsideSuccessorTest(HoldersCase):
    """Guards against unrecorded tokens that nobody records after a loss."""

    # The successor of 1a is no standby of it: those are in other domains.
    NAMES = ("1a", "2a", "3b", "4c", "5d")

    def covered_tokens(self):
        """Return the recorded tokens that the successor cannot hand out."""
        account = self.members["2a"][1]._accounts["p"]
        return account.recorded_tokens - account.left_tokens

    def test_successor_records_what_a_lost_holder_handed_out(self):
        # All processes ended later, and the tokens were granted once more
        # (Wasserreigen, trouble-3 --seed 851957432888: 441 of 270 and 135).
        for store, *_ in self.members.values():
            store.error = interfaces.StoreUnavailableError("refused")
        unrecorded = sum(self.turn("3b") for _ in range(2))
        self.assertEqual(unrecorded, 2 * TURN)
        self.network.cut.add("1a")
        for name in self.NAMES[1:]:
            store, _, view, _ = self.members[name]
            view.apply([interfaces.Deletion("member/1a", 9)])
            store.error = None
        # A report of another holder says nothing of the lost one.
        reported = ledger.Usage("p", BUDGET, 0, 0)
        self.members["2a"][1].merge_usages(
            "3b/False", [ledger.UsageReport(reported, {})], False
        )
        # Turns of one moment query at once, and count the tokens once.
        callers = [
            threading.Thread(target=self.reserve, args=("4c",))
            for _ in range(4)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        spent = unrecorded + 4 * TURN
        until_s = time.monotonic() + 5
        while self.covered_tokens() < spent:
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.02)
        spent += sum(self.turn("4c") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)

    def test_successor_that_learns_late_of_a_loss_records_them_too(self):
        for store, *_ in self.members.values():
            store.error = interfaces.StoreUnavailableError("refused")
        spent = sum(self.turn("3b") for _ in range(2))
        self.network.cut.add("1a")
        deletion = interfaces.Deletion("member/1a", 9)
        self.members["4c"][2].apply([deletion])
        for name in self.NAMES[1:]:
            self.members[name][0].error = None
        spent += self.turn("4c")
        for name in ("2a", "3b", "5d"):
            self.members[name][2].apply([deletion])
        until_s = time.monotonic() + 5
        while self.covered_tokens() < spent:
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.02)


class ArrivalTest(HoldersCase):
    """Guards against programs that a new primary takes for new ones."""

    NAMES = tuple(f"m{number:02}" for number in range(1, 65))
    NEW = "m99"

    def test_primary_by_an_arrival_counts_unrecorded_tokens(self):
        # The primary before it cannot reach the store, so it has not recorded
        # what it handed out.
        members = [builders.member(name) for name in self.NAMES]
        grown = [*members, builders.member(self.NEW)]
        self.program_id = next(
            program_id
            for program_id in map(str, range(1_000))
            if _primary(program_id, grown) not in _holders(program_id, members)
        )
        spent = sum(self.turn("m18") for _ in range(2))
        for store, *_ in self.members.values():
            store.error = interfaces.StoreUnavailableError("refused")
        unrecorded = sum(self.turn("m18") for _ in range(3))
        self.assertGreater(unrecorded, 0)
        encoded = registration_records.encode_member(builders.member(self.NEW))
        former = _primary(self.program_id, members)
        for name, (store, _, view, accounts) in self.members.items():
            # The other members have been there for long.
            accounts._started_ms -= budgets.START_PERIOD_MS
            view._arrived_ms.clear()
            view.apply([interfaces.Item(f"member/{self.NEW}", encoded, 9)])
            if name != former:
                store.error = None
        spent += unrecorded + sum(self.turn("m17") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)


def _primary(program_id, members):
    return _holders(program_id, members)[0]


def _holders(program_id, members):
    found = membership.budget_holders(program_id, members)
    return [member.name for member in found]


if __name__ == "__main__":
    unittest.main()
