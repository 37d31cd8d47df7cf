"""Tests of budgets whose holders come, go and lose messages."""

import json
import random
import threading
import time
import unittest
from unittest import mock

import builders
import holders_case
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_ledger,
    budgets,
    idle_accounts,
    interfaces,
    ledger,
    ledger_records,
    outage_policy,
    record_queue,
    standbys,
)

NONE = outage_policy.OutagePolicy.NONE
OUTAGE = outage_policy.OutagePolicy.OUTAGE
BUDGET = 1_300
TURN = 280
USED = 20
BATCH_S = 2 * record_queue.BATCH_DELAY_MS / 1_000


class LinkedStandbys(standbys.NoStandbys):
    """Standbys that are other ledgers in this process."""

    def __init__(self, own, others, is_primary):
        self.own = own
        self.others = others
        self.has_primary_role = is_primary
        self.living = set()

    def of(self, program_id):
        return tuple(self.others)

    def is_primary(self, program_id):
        return self.has_primary_role

    def report(self, standby, reports, is_complete):
        self.others[standby].merge_usages(self.own, reports, is_complete)
        return True

    def is_registered(self, holder):
        return True

    def may_live(self, holder):
        return holder in self.living


class BudgetCase(unittest.TestCase):
    """Test case with holders that share one store."""

    def setUp(self):
        self.store = stores.Store()
        self.journal = builders.Journal()

    def start_holder(self, is_restart=True, holder_id="", store=None):
        holder = budget_ledger.BudgetLedger(
            store or self.store,
            builders.Records(),
            clocks.Clock(),
            is_restart,
            holder_id,
        )
        holder.journal = self.journal
        thread = threading.Thread(target=holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(holder.stop)
        return holder

    def reserve(
        self,
        holder,
        program="p",
        policy=NONE,
        tokens=TURN,
        budget=BUDGET,
        is_standby=False,
    ):
        return holder.reserve(program, tokens, budget, policy, is_standby)[0]

    def spend(self, holder, used, limit=100, **options):
        """Run turns until a refusal; return their tokens and the refusal."""
        spent = 0
        for _ in range(limit):
            result = self.reserve(holder, **options)
            if result != ledger.Reservation():
                return spent, result
            spent += used
            tokens = options.get("tokens", TURN)
            holder.settle(options.get("program", "p"), tokens, used, "s1")
        return spent, None

    def shares(self, program="p"):
        item = self.store.items.get(f"ledger/{program}")
        shares = json.loads(item.value)["shares"] if item else {}
        return {holder: share[:2] for holder, share in shares.items()}


class CallersSideTest(BudgetCase):
    """Guards against 402 for turns that the budget holds."""

    def test_settlement_for_the_process_before_keeps_the_record_readable(self):
        first = self.start_holder(holder_id="m1/1")
        self.assertEqual(self.reserve(first), ledger.Reservation())
        time.sleep(BATCH_S)
        first.stop()
        # The member starts again at the same address while the turn runs.
        second = self.start_holder(holder_id="m1/2")
        self.assertEqual(self.reserve(second), ledger.Reservation())
        second.settle("p", TURN, USED, "s1")
        second.settle("p", TURN, USED, "s1")
        time.sleep(BATCH_S)
        item = self.store.items["ledger/p"]
        self.assertIsNotNone(ledger_records.decode(item), item.value)
        third = self.start_holder(holder_id="m2/1")
        self.assertEqual(self.reserve(third), ledger.Reservation())

    def test_new_program_after_a_start_in_an_outage_gets_its_budget(self):
        self.store.error = interfaces.StoreUnavailableError("down")
        holder = self.start_holder()
        holder.handle_outage_at_start()
        self.store.error = None
        spent, refusal = self.spend(holder, used=100, program="new")
        self.assertGreater(spent, BUDGET - TURN, refusal)

    def test_turns_ended_before_a_loss_in_an_outage_count_what_they_used(self):
        budget = 4 * TURN
        first = self.start_holder(holder_id="m1/1")
        second = self.start_holder(holder_id="m2/1", is_restart=False)
        first.standbys = LinkedStandbys("m1/1", {"m2/1": second}, True)
        second.standbys = LinkedStandbys("m2/1", {}, False)
        result = self.reserve(first, budget=budget)
        self.assertEqual(result, ledger.Reservation())
        first.settle("p", TURN, 0, "")
        time.sleep(BATCH_S)
        self.store.error = interfaces.StoreUnavailableError("down")
        for _ in range(2):
            result = self.reserve(first, policy=OUTAGE, budget=budget)
            self.assertEqual(result, ledger.Reservation())
        for _ in range(2):
            first.settle("p", TURN, USED, "s1")
        # Over settle-ms after both turns have ended whole.
        time.sleep(1.5)
        first.stop()
        second.standbys.has_primary_role = True
        second.handle_lost_holder("m1")
        time.sleep(BATCH_S)
        self.store.error = None
        time.sleep(0.5)
        spent, refusal = self.spend(second, used=USED, budget=budget)
        self.assertGreater(
            2 * USED + spent, budget - TURN, (refusal, self.shares())
        )

    def test_recorded_tokens_are_not_counted_at_a_standby_once_more(self):
        first = self.start_holder(holder_id="m1/1", is_restart=False)
        second = self.start_holder(holder_id="m2/1", is_restart=False)
        first.standbys = LinkedStandbys("m1/1", {"m2/1": second}, True)
        second.standbys = LinkedStandbys("m2/1", {}, False)
        self.store.error = interfaces.StoreUnavailableError("down")
        result = self.reserve(first, policy=OUTAGE)
        self.assertEqual(result, ledger.Reservation())
        time.sleep(2)
        self.store.error = None
        time.sleep(1.5)
        self.assertGreaterEqual(self.shares()["m1/1"][0], 2 * TURN)
        known = second.known_usage("p").report
        self.assertEqual(known.usage.unrecorded_tokens, 0, self.shares())

    def test_tokens_of_a_queried_holder_count_once_after_it_recorded_them(
        self,
    ):
        account = ledger.Account("p", 2 * TURN, "m2/1")
        account.max_turn_tokens = TURN
        # m1 lives and had 280 tokens in flight when it was asked.
        account.merge_report(
            builders.usage_report("m1/1", unrecorded=TURN, budget=2 * TURN)
        )
        # Its turn used 20; it has recorded and reported that.
        account.merge_report(
            builders.usage_report(
                "m1/1", recorded=USED, budget=2 * TURN, sequence=2
            )
        )
        share = ledger_records.Share(USED, USED)
        account.apply_record(ledger_records.Record({"m1/1": share}), 1)
        self.assertIsInstance(
            account.reserve(TURN, 0), ledger.RequiredAllocation
        )

    def test_holder_that_was_only_cut_off_is_not_counted_twice(self):
        first = self.start_holder(holder_id="m1/1", is_restart=False)
        second = self.start_holder(holder_id="m2/1", is_restart=False)
        first.standbys = LinkedStandbys("m1/1", {"m2/1": second}, True)
        second.standbys = LinkedStandbys("m2/1", {}, True)
        self.store.error = interfaces.StoreUnavailableError("down")
        for _ in range(2):
            result = self.reserve(first, policy=OUTAGE, budget=10 * TURN)
            self.assertEqual(result, ledger.Reservation())
        time.sleep(BATCH_S)
        second.handle_lost_holder("m1")
        time.sleep(BATCH_S)
        # The first holder comes back and records what it handed out.
        self.store.error = None
        time.sleep(1)
        for _ in range(2):
            first.settle("p", TURN, USED, "s1")
        time.sleep(BATCH_S)
        self.reserve(second, tokens=1, budget=10 * TURN)
        time.sleep(BATCH_S)
        total = sum(share[0] for share in self.shares().values())
        self.assertLessEqual(total, 2 * TURN + TURN + 2, self.shares())

    def test_conflict_of_one_program_does_not_stop_the_release_of_others(self):
        holder = self.start_holder(holder_id="m1/1", is_restart=False)
        other = self.start_holder(holder_id="m2/1")
        for program in ("a", "b"):
            self.reserve(holder, program)
            holder.settle(program, TURN, USED, "s1")
        time.sleep(BATCH_S)
        self.reserve(other, "a", is_standby=True)
        other.settle("a", TURN, USED, "s1")
        time.sleep(BATCH_S)
        holder.stop()
        holder.release()
        self.assertEqual(self.shares("b")["m1/1"], [USED, USED])

    def run_programs_with_a_lost_holder(self, count):
        """Run 20 turns of each program; return the refusals and calls."""
        transact = self.store.transact
        calls, failures = [], []

        def slow_transact(conditions, writes, deletes=()):
            calls.append(len(writes))
            time.sleep(0.01)
            return transact(conditions, writes, deletes)

        def run(program):
            for _ in range(20):
                result = self.reserve(holder, program)
                if result == ledger.Reservation():
                    holder.settle(program, TURN, 1, "s1")
                else:
                    failures.append(result)

        programs = [f"p{number}" for number in range(count)]
        shares = {"m9/1": ledger_records.Share(TURN, 0)}
        record = ledger_records.Record(shares, "x.1")
        for one in programs:
            self.store.put(f"ledger/{one}", ledger_records.encode(record))
        holder = self.start_holder(holder_id="m1/1", is_restart=False)
        self.store.transact = slow_transact
        threads = [
            threading.Thread(target=run, args=(one,)) for one in programs
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return failures, len(calls)

    def test_two_programs_that_lost_a_holder_get_their_turns(self):
        failures, calls = self.run_programs_with_a_lost_holder(2)
        self.assertEqual(len(failures), 0, (calls, failures[:1]))

    def test_waiting_turns_get_their_tokens_when_many_programs_are_due(self):
        failures, calls = self.run_programs_with_a_lost_holder(16)
        self.assertEqual(len(failures), 0, (calls, failures[:1]))

    def test_stale_report_does_not_outlive_the_confirmed_record(self):
        account = ledger.Account("p", BUDGET, "m1/1")
        account.max_turn_tokens = TURN
        shares = {"m1/1": ledger_records.Share(USED, USED)}
        account.apply_record(ledger_records.Record(shares), 7)
        # From a process of the release before, or one without a revision.
        account.merge_report(
            builders.usage_report("m2/1", recorded=1_500, budget=BUDGET)
        )
        account.confirm_record(1.0)
        self.assertIsInstance(
            account.reserve(TURN, 0), ledger.RequiredAllocation
        )


class SettlementTest(holders_case.HoldersCase):
    """Guards against holders that count what no turn will use."""

    def start(self, name, is_restart=False, has_read=True):
        super().start(name, is_restart, has_read)
        self.members[name][1]._holder_id = standbys.holder_id(
            name, builders.member(name).incarnation
        )

    def spend(self, name, used):
        accounts = self.members[name][3]
        spent = 0
        while True:
            grant = self.reserve(name)
            if not isinstance(grant, budgets.Grant):
                return spent, grant
            accounts.settle(grant, used, builders.turn_report())
            spent += used

    def lose_settlements(self, holder, count):
        """Run turns whose settlements do not reach their holder."""
        accounts = self.members["m4"][3]
        for _ in range(count):
            grant = self.reserve("m4")
            self.assertEqual(grant.holder and grant.holder.name, holder)
            self.network.cut.add(holder)
            accounts.settle(grant, 1, builders.turn_report())
            self.network.cut.discard(holder)
            accounts._calls.breaker.record_success(holder)

    def test_settlement_that_did_not_arrive_is_settled_later(self):
        self.lose_settlements("m1", 5)
        # Over settle-ms after the turns have ended whole.
        time.sleep(1.5)
        spent, refusal = self.spend("m4", 5)
        self.assertGreater(
            5 + spent, holders_case.BUDGET - holders_case.TURN, refusal
        )

    def test_turns_that_outlived_their_holder_cost_what_they_used(self):
        accounts = self.members["m4"][3]
        grants = [self.reserve("m4") for _ in range(8)]
        self.assertTrue(all(one.holder.name == "m1" for one in grants))
        time.sleep(1)
        self.network.cut.add("m1")
        for name in ("m2", "m3", "m4"):
            view = self.members[name][2]
            view._first_read_ms = -1e9
            view.apply([interfaces.Deletion("member/m1", 9)])
        for grant in grants:
            accounts.settle(grant, 1, builders.turn_report())
        # Over settle-ms after the turns have ended whole.
        time.sleep(1.5)
        spent, refusal = self.spend("m4", 5)
        self.assertGreater(
            8 + spent, holders_case.BUDGET - 2 * holders_case.TURN, refusal
        )
        record = ledger_records.decode(self.store.items["ledger/p"])
        self.assertEqual(len(record.settlements), 8)

    def test_settlement_lost_at_a_living_standby_causes_no_endless_503(self):
        self.network.cut.add("m1")
        self.lose_settlements("m2", 6)
        self.network.cut.discard("m1")
        self.members["m4"][3]._calls.breaker.record_success("m1")
        time.sleep(1.5)
        spent, refusal = self.spend("m4", 5)
        until_s = time.monotonic() + 5
        while time.monotonic() < until_s:
            time.sleep(0.2)
            more, refusal = self.spend("m4", 5)
            spent += more
        self.assertGreater(
            6 + spent, holders_case.BUDGET - holders_case.TURN, refusal
        )

    def test_refusal_knows_of_turns_that_ended_settle_ms_before(self):
        # m1 has lost its registration only; its turns used 10 of 600 tokens.
        running = [self.reserve("m1") for _ in range(10)]
        self.assertIsInstance(running[-1], budgets.Grant)
        time.sleep(1)
        self.network.cut.update({"m1", "m2", "m3"})
        view = self.members["m4"][2]
        for name in ("m1", "m2", "m3"):
            view.apply([interfaces.Deletion(f"member/{name}", 9)])
        view._first_read_ms = -1e9
        # The margin, and a refusal that counts running turns at their most.
        self.assertIsInstance(self.reserve("m4"), budgets.Grant)
        self.assertIsInstance(self.reserve("m4"), ledger.Exhaustion)
        time.sleep(1)
        for grant in running:
            self.members["m1"][3].settle(grant, 1, builders.turn_report())
        settled_s = time.monotonic()
        time.sleep(0.05)
        # This one reads the record before m1 has returned its tokens.
        self.reserve("m4")
        time.sleep(0.97)
        result = self.reserve("m4")
        self.assertNotIsInstance(
            result, ledger.Exhaustion, time.monotonic() - settled_s
        )

    def test_running_turns_do_not_use_up_the_margin_of_a_loss(self):
        grants = []
        for _ in range(14):
            grant = self.reserve("m1")
            if isinstance(grant, budgets.Grant):
                grants.append(grant)
        total = len(grants) * holders_case.TURN
        self.assertLessEqual(total, holders_case.BUDGET)

    def test_refused_turn_makes_few_store_calls(self):
        grants = [self.reserve("m1") for _ in range(10)]
        self.assertIsInstance(grants[-1], budgets.Grant)
        time.sleep(1)
        writes = []
        transact = self.store.transact

        def counted(conditions, written, deletes=()):
            writes.append(time.monotonic())
            return transact(conditions, written, deletes)

        self.store.transact = counted
        until_s = time.monotonic() + 5
        results = []
        while time.monotonic() < until_s:
            started_s = time.monotonic()
            result = self.reserve("m4")
            results.append(
                (type(result).__name__, time.monotonic() - started_s)
            )
            time.sleep(0.1)
        kinds = {kind for kind, _ in results}
        slowest_s = max(s for _, s in results)
        self.assertLessEqual(
            len(writes) / 5, 1, (kinds, len(results), slowest_s)
        )


class PowerLossTest(holders_case.HoldersCase):
    """Guards against a standby that survives its primary and the next one."""

    def test_two_holders_lost_at_once_in_an_outage(self):
        spent = self.turn("m3")
        time.sleep(1)
        self.cut_off_store(*holders_case.NAMES)
        # The reports to the other standbys come up to 400 ms later.
        self.network.cut.update({"m3", "m4"})
        spent += sum(self.turn("m1") for _ in range(10))
        self.network.cut = {"m1", "m2"}
        for name in ("m3", "m4"):
            view = self.members[name][2]
            view._first_read_ms = -1e9
            for lost in ("m1", "m2"):
                view.apply([interfaces.Deletion(f"member/{lost}", 9)])
        spent += sum(self.turn("m4") for _ in range(10))
        self.end_outage()
        before = spent
        for _ in range(30):
            spent += self.turn("m4")
            time.sleep(0.01)
        self.assertGreater(before, 0)
        self.assertLessEqual(
            spent, holders_case.BUDGET + holders_case.TURN, self.last
        )


class StrictSideTest(BudgetCase):
    """Guards against more tokens than the budget and one turn."""

    def test_account_made_again_does_not_hand_out_its_used_tokens(self):
        holder = self.start_holder(holder_id="m1/1", is_restart=False)
        spent, _ = self.spend(holder, used=100, limit=8)
        time.sleep(BATCH_S)
        # Another holder's write keeps the record from the sweep.
        other = self.start_holder(holder_id="m2/1")
        self.reserve(other, is_standby=True)
        other.settle("p", TURN, 100, "s1")
        spent += 100
        time.sleep(BATCH_S)
        with mock.patch.object(idle_accounts, "ACCOUNT_IDLE_TIMEOUT_MS", -1.0):
            holder._last_sweep_ms = -1e9
            holder._sweep()
        self.assertIn("ledger/p", self.store.items)
        more, _ = self.spend(holder, used=100)
        self.assertLessEqual(spent + more, BUDGET + TURN, self.shares())

    def test_late_write_after_a_refused_transaction(self):
        account = ledger.Account("p", BUDGET, "m1/1")
        account.max_turn_tokens = TURN
        shares = {"m1/1": ledger_records.Share(2 * TURN, 0)}
        account.apply_record(ledger_records.Record(shares), 7)
        account.reserve(TURN, 0)
        account.settle(TURN, USED)
        account.is_standby = True
        # The call gets no response; it is executed seconds later.
        late = account.next_record("x.1")
        account.handle_failed_write(is_unknown=True)
        # Another program's record refuses the next transaction.
        account.next_record("x.2")
        account.confirm_record(1.0)
        handed_out = USED
        while account.reserve(TURN, 0) == ledger.Reservation():
            handed_out += TURN
        # The late write takes effect, as the revision is still 7.
        self.assertGreaterEqual(late.allocated_tokens, handed_out)

    def test_process_of_the_release_before_writes_after_a_lost_answer(self):
        account = ledger.Account("p", BUDGET, "m1/1")
        account.max_turn_tokens = TURN
        shares = {"m1/1": ledger_records.Share(2 * TURN, 0)}
        account.apply_record(ledger_records.Record(shares), 7)
        account.reserve(TURN, 0)
        account.settle(TURN, USED)
        account.is_standby = True
        # The return of 540 tokens takes effect, its answer is lost.
        written = account.next_record("x.1")
        account.handle_failed_write(is_unknown=True)
        old_total = written.allocated_tokens + TURN
        value = json.dumps({"tokens": old_total, "block": "y.1"}).encode()
        item = interfaces.Item("ledger/p", value, 9)
        account.apply_record(ledger_records.decode(item), 9)
        # The other process's 280 tokens are handed out.
        self.assertGreaterEqual(account.recorded_tokens - USED, TURN)
        self.assertEqual(account.left_tokens, 0)

    def test_successor_that_is_not_told_of_an_outage(self):
        # test_ledger's CrashTest as it was, on records with shares: one turn
        # without a record, and a successor that has read record and journal.
        budget, turn = 900, 135
        for seed in range(300):
            with self.subTest(seed=seed):
                self.journal = builders.Journal()
                spent = self.run_over_a_crash(seed, budget, turn)
                self.assertLessEqual(spent, budget + turn)

    def run_over_a_crash(self, seed, budget, turn):
        generator = random.Random(seed)
        crash_at = generator.randrange(1, 30)
        stored, revision, spent = ledger_records.Record({}), 0, 0
        account = ledger.Account("p", budget, "h1")
        account.max_turn_tokens = turn
        for step in range(200):
            if step == crash_at:
                account = ledger.Account("p", budget, "h2")
                account.max_turn_tokens = turn
                account.merge_journal(self.journal.read("p"))
            limit = turn if step < crash_at or account.revision else 0
            match account.reserve(turn, limit):
                case ledger.Reservation():
                    builders.prove(account, self.journal)
                    used = generator.randrange(turn + 1)
                    spent += used
                    account.settle(turn, used)
                case ledger.Exhaustion() | ledger.Unconfirmed():
                    if account.revision == revision:
                        return spent
            if generator.random() < 0.4:
                if account.revision != revision:
                    account.apply_record(stored, revision)
                if account.needs_record():
                    stored = account.next_record("x")
                    revision += 1
                    account.apply_written(stored, revision)
        return spent

    def test_tokens_lost_in_two_outages(self):
        spent = 0
        stored, revision = ledger_records.Record({}), 0
        for number in range(3):
            account = ledger.Account("p", BUDGET, f"m1/{number}")
            account.max_turn_tokens = TURN
            account.merge_journal(self.journal.read("p"))
            # The store is back for a moment, then away again.
            account.apply_record(stored, revision)
            revision += 1
            stored = account.next_record(f"x.{number}")
            account.apply_record(stored, revision)
            if number == 2:
                break
            limit = account.max_outage_tokens(TURN)
            while account.reserve(TURN, limit) == ledger.Reservation():
                builders.prove(account, self.journal)
                account.settle(TURN, TURN)
                spent += TURN
        while True:
            match account.reserve(TURN, 0):
                case ledger.Reservation():
                    builders.prove(account, self.journal)
                    account.settle(TURN, TURN)
                    spent += TURN
                case ledger.RequiredAllocation():
                    revision += 1
                    stored = account.next_record("y")
                    account.apply_record(stored, revision)
                case _:
                    break
        self.assertLessEqual(spent, BUDGET + TURN)


if __name__ == "__main__":
    unittest.main()
