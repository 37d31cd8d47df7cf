"""Tests of the scheduler facade, part by part."""

import logging
import threading
import unittest

import builders

import balsamloom_policy as policy
from balsamloom_core import clock, results
from balsamloom_core import settings as core_settings
from balsamloom_policy import settings

logging.getLogger("balsamloom").addHandler(logging.NullHandler())
Code = results.ResultCode


class QueueTest(unittest.TestCase):
    def test_waiting_thread_wakes_when_a_slot_is_freed(self):
        """Guards against a freed slot that no waiting thread takes."""
        built = policy.Scheduler(clock.Clock(), policy.PolicySettings(), 1)
        built.update_servers(builders.POOL, builders.servers(1, 1))
        first = built.submit(builders.profile())
        second = built.submit(builders.profile())
        self.assertIsInstance(second.wait(0), policy.WaitStatus)
        answers = []
        waiter = threading.Thread(
            target=lambda: answers.append(second.wait(20000))
        )
        waiter.start()
        builders.finish(first)
        waiter.join(10)
        self.assertIsInstance(answers[0], policy.Assignment)

    def test_least_attained_service_goes_first(self):
        """Guards against short programs behind long ones."""
        built, manual = builders.scheduler(1, 1)
        running = built.submit(builders.profile())
        long = built.submit(builders.profile(attained_ms=20000))
        short = built.submit(builders.profile(attained_ms=0))
        manual.advance(10)
        builders.finish(running)
        self.assertIsInstance(long.wait(0), policy.WaitStatus)
        self.assertIsInstance(short.wait(0), policy.Assignment)

    def test_ageing_ends_stragglers(self):
        """Guards against a straggler that newer short calls starve."""
        built, manual = builders.scheduler(1, 1, admission="none")
        running = built.submit(builders.profile())
        long = built.submit(builders.profile(attained_ms=20000))
        for _ in range(40):
            waiting = built.submit(builders.profile())
            manual.advance(1000)
            builders.finish(running)
            if isinstance(long.wait(0), policy.Assignment):
                return
            running = waiting
        self.fail("the straggler got no slot in 40 s")

    def test_urgent_priority_is_lowest_number(self):
        """Guards against engines that serve urgent calls late."""
        built, _ = builders.scheduler(1, 4)
        urgent = built.submit(builders.profile(is_urgent=True)).wait(0)
        plain = built.submit(builders.profile()).wait(0)
        late = built.submit(builders.profile(attained_ms=9000)).wait(0)
        self.assertLess(urgent.priority, plain.priority)
        self.assertLess(plain.priority, late.priority)

    def test_urgent_share_is_bounded(self):
        """Guards against urgent calls that shut out all others."""
        built, manual = builders.scheduler(1, 4, urgent_extra_slots=0)
        urgent = [
            built.submit(builders.profile(is_urgent=True)) for _ in range(8)
        ]
        plain = built.submit(builders.profile())
        manual.advance(10)
        builders.finish(urgent[0])
        self.assertIsInstance(plain.wait(0), policy.Assignment)

    def test_cancelled_call_leaves_queue_and_slot(self):
        """Guards against slots held for callers that are gone."""
        built, _ = builders.scheduler(1, 1)
        running = built.submit(builders.profile())
        gone = built.submit(builders.profile())
        last = built.submit(builders.profile())
        gone.cancel()
        running.cancel()
        self.assertIsInstance(last.wait(0), policy.Assignment)
        last.cancel()
        self.assertEqual([share.in_flight for share in built.shares()], [0])

    def test_ordering_changes_while_calls_wait(self):
        """Guards against waiting calls that are lost with new settings."""
        built, _ = builders.scheduler(1, 1, ordering="fifo")
        running = built.submit(builders.profile())
        long = built.submit(builders.profile(attained_ms=20000))
        urgent = built.submit(builders.profile(is_urgent=True))
        built.update_settings(policy.PolicySettings(urgent_extra_slots=0))
        builders.finish(running)
        self.assertIsInstance(urgent.wait(0), policy.Assignment)
        builders.finish(urgent)
        self.assertIsInstance(long.wait(0), policy.Assignment)


class AdmissionTest(unittest.TestCase):
    def _busy(self, **settings_values):
        built, manual = builders.scheduler(1, 1, **settings_values)
        for _ in range(5):
            builders.run_call(built, manual, 1000)
        running = built.submit(builders.profile())
        return built, manual, running

    def test_empty_pool_refuses(self):
        """Guards against calls that wait for servers that do not exist."""
        built, _ = builders.scheduler(0)
        refused = built.submit(builders.profile())
        self.assertEqual(refused.code, Code.NO_BACKEND_SERVER)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_new_programs_are_refused_before_programs_under_way(self):
        """Guards against new programs that stop those under way."""
        built, _, _ = self._busy()
        built.submit(builders.profile())
        new = built.submit(builders.profile(is_new_program=True))
        self.assertEqual(new.code, Code.OVERLOADED)
        under_way = built.submit(builders.profile())
        self.assertIsInstance(under_way, policy.Ticket)

    def test_retry_after_grows_with_the_queue(self):
        """Guards against a stated time that ignores the drain rate."""
        built, _, _ = self._busy()
        stated = []
        for _ in range(3):
            built.submit(builders.profile())
            refused = built.submit(builders.profile(is_new_program=True))
            stated.append(refused.retry_after_ms)
        self.assertLess(stated[0], stated[2])

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        """Guards against work whose answer nobody waits for any more."""
        built, manual, _ = self._busy()
        refused = built.submit(
            builders.profile(deadline_ms=manual.now_ms() + 100)
        )
        self.assertEqual(refused.code, Code.DEADLINE_CANNOT_BE_MET)

    def test_waiting_call_is_refused_before_its_deadline_passes(self):
        """Guards against calls held until the caller's deadline."""
        built, manual, _ = self._busy()
        deadline_ms = manual.now_ms() + 2500
        ticket = built.submit(builders.profile(deadline_ms=deadline_ms))
        self.assertIsInstance(ticket.wait(0), policy.WaitStatus)
        while isinstance(ticket.wait(0), policy.WaitStatus):
            manual.advance(100)
        self.assertEqual(ticket.wait(0).code, Code.DEADLINE_CANNOT_BE_MET)
        self.assertLess(manual.now_ms(), deadline_ms)

    def test_customer_above_its_share_is_refused_first(self):
        """Guards against one customer that takes the whole pool."""
        built, _, _ = self._busy(queue_target_ms=4000)
        for _ in range(3):
            built.submit(builders.profile(customer="indus"))
        built.submit(builders.profile(customer="wasserreigen"))
        refused = built.submit(
            builders.profile(customer="indus", is_new_program=True)
        )
        self.assertEqual(refused.code, Code.FAIR_SHARE_EXCEEDED)
        taken = built.submit(
            builders.profile(customer="wasserreigen", is_new_program=True)
        )
        self.assertIsInstance(taken, policy.Ticket)


class HealthTest(unittest.TestCase):
    def _teach(self, built, manual, count=60):
        for _ in range(count):
            builders.run_call(built, manual, 100, is_idempotent=True)

    def _ejected(self, built):
        described = built.describe()["pools"][builders.POOL]["servers"]
        return {k for k, v in described.items() if v["is_ejected"]}

    def _slow_down(self, built, manual, slow, count=60):
        for _ in range(count):
            ticket = built.submit(builders.profile(is_idempotent=True))
            is_slow = ticket.wait(0).server_id in slow
            manual.advance(1000 if is_slow else 100)
            builders.finish(ticket)

    def test_slowed_server_is_ejected_and_returns(self):
        """Guards against a slowed server that keeps or never gets calls."""
        built, manual = builders.scheduler(6, 4, routing="round_robin")
        self._teach(built, manual)
        self._slow_down(built, manual, {"s1"})
        self.assertEqual(self._ejected(built), {"s1"})
        self._teach(built, manual, 40)
        self.assertEqual(self._ejected(built), set())

    def _tell(self, built, members, server_id="s1"):
        told = [policy.ServerShare(server_id, 0, 4, is_ejected=True)]
        for member in members:
            built.update_peer_shares(member, told)

    def test_server_that_two_peers_ejected_is_ejected(self):
        """Guards against a process that is the last to leave a slow server.

        A process that sends few calls to a server does not see that it was
        slowed; on real processes 2 or 3 of 8 noticed within a slowdown.
        """
        built, manual = builders.scheduler(6, 4, routing="round_robin")
        self._teach(built, manual)
        self._tell(built, ["m1"])
        self._teach(built, manual, 2)
        self.assertEqual(self._ejected(built), set())
        self._tell(built, ["m1", "m2"])
        self._teach(built, manual, 2)
        self.assertEqual(self._ejected(built), {"s1"})
        # Words about words would keep a server out for ever.
        told = {share.server_id: share for share in built.shares()}
        self.assertFalse(told["s1"].is_ejected)

    def test_own_trials_outweigh_what_peers_still_say(self):
        """Guards against a server that recovered and is ejected again."""
        built, manual = builders.scheduler(6, 4, routing="round_robin")
        self._teach(built, manual)
        self._tell(built, ["m1", "m2"])
        self._teach(built, manual, 10)
        self.assertEqual(self._ejected(built), set())
        self._tell(built, ["m1", "m2"])
        self._teach(built, manual, 2)
        self.assertEqual(self._ejected(built), set())

    def test_own_ejection_is_told_to_peers(self):
        """Guards against peers that each find a slow server by themselves."""
        built, manual = builders.scheduler(6, 4, routing="round_robin")
        self._teach(built, manual)
        self._slow_down(built, manual, {"s1"})
        told = {
            share.server_id for share in built.shares() if share.is_ejected
        }
        self.assertEqual(told, {"s1"})

    def test_calls_in_flight_are_evidence_before_they_end(self):
        """Guards against a hung server that is noticed by its timeouts."""
        built, manual = builders.scheduler(6, 4, routing="round_robin")
        self._teach(built, manual)
        held = []
        for _ in range(12):
            ticket = built.submit(builders.profile())
            if ticket.wait(0).server_id == "s2":
                held.append(ticket)
            else:
                manual.advance(100)
                builders.finish(ticket)
        built.submit(builders.profile())
        self.assertEqual(self._ejected(built), {"s2"})

    def test_at_most_a_third_is_ejected(self):
        """Guards against an ejection that overloads the rest."""
        built, manual = builders.scheduler(7, 4, routing="round_robin")
        self._teach(built, manual, 70)
        self._slow_down(built, manual, {"s0", "s1", "s2"}, 200)
        self.assertEqual(len(self._ejected(built)), 2)

    def test_faults_eject_and_pool_of_one_keeps_working(self):
        """Guards against a pool that ejects its last server."""
        for count, expected in ((1, 0), (3, 1)):
            built, manual = builders.scheduler(count, 4, routing="round_robin")
            for _ in range(30):
                ticket = built.submit(builders.profile())
                is_fault = ticket.wait(0).server_id == "s0"
                manual.advance(60)
                builders.finish(ticket, not is_fault, is_fault)
            self.assertEqual(len(self._ejected(built)), expected)
            self.assertIsInstance(
                built.submit(builders.profile()).wait(0), policy.Assignment
            )

    def test_leaving_server_gets_no_call(self):
        """Guards against work sent to a server that stops (R8)."""
        built, manual = builders.scheduler(2, 2)
        gone, stays = builders.servers(2, 2)
        gone = gone._replace(is_leaving=True)
        built.update_servers(builders.POOL, [gone, stays])
        for _ in range(10):
            used = builders.run_call(built, manual, 10)
            self.assertEqual(used, stays.server_id)


class RetryTest(unittest.TestCase):
    def test_retry_avoids_the_failed_server_and_keeps_the_deadline(self):
        """Guards against a retry that meets the same fault again."""
        built, manual = builders.scheduler(2, 2)
        first = built.submit(
            builders.profile(is_idempotent=True, deadline_ms=5000)
        )
        failed_id = first.wait(0).server_id
        builders.finish(first, False, True)
        again = built.retry(first, "connection refused")
        manual.advance(100)
        self.assertNotEqual(again.wait(0).server_id, failed_id)
        self.assertEqual(again.profile.deadline_ms, 5000)

    def test_non_idempotent_call_is_not_retried_or_hedged(self):
        """Guards against a second run of a dispatch or a charge (R7)."""
        built, _ = builders.scheduler(2, 2)
        first = built.submit(builders.profile())
        self.assertIsNone(built.hedge_delay_ms(first))
        self.assertIsNone(built.hedge(first))
        builders.finish(first, False, True)
        refused = built.retry(first, "connection reset")
        self.assertIsInstance(refused, policy.Refusal)
        self.assertFalse(results.info(refused.code).not_run)

    def test_budget_bounds_retries_to_a_tenth(self):
        """Guards against retries that multiply an overload."""
        built, manual = builders.scheduler(3, 100)
        retried = 0
        for _ in range(500):
            ticket = built.submit(builders.profile(is_idempotent=True))
            builders.finish(ticket, False)
            again = built.retry(ticket, "status 500")
            if isinstance(again, policy.Ticket):
                retried += 1
                manual.advance(100)
                again.wait(0)
                builders.finish(again)
        burst = policy.PolicySettings().retry_burst
        self.assertLessEqual(retried, 500 * 0.1 + burst)
        self.assertGreater(retried, 40)

    def test_hedge_goes_to_another_server(self):
        """Guards against a hedge that waits behind the first request."""
        built, manual = builders.scheduler(2, 4)
        for _ in range(40):
            builders.run_call(built, manual, 100)
        first = built.submit(builders.profile(is_idempotent=True))
        delay_ms = built.hedge_delay_ms(first)
        self.assertGreater(delay_ms, 100)
        manual.advance(delay_ms)
        self.assertEqual(built.hedge_delay_ms(first), 0)
        second = built.hedge(first)
        self.assertNotEqual(second.wait(0).server_id, first.wait(0).server_id)


class LimitTest(unittest.TestCase):
    def test_share_follows_members_and_peers(self):
        """Guards against processes that each fill a shared server."""
        built, _ = builders.scheduler(1, 16)
        built.set_member_count(8)
        self.assertEqual(built.shares()[0].limit, 2)
        for _ in range(8):
            built.submit(builders.profile())
        for in_flight, expected in ((14, 2), (6, 8)):
            built.update_peer_shares(
                "m1", [policy.ServerShare("s0", in_flight, 7)]
            )
            self.assertEqual(built.shares()[0].in_flight, expected)

    def test_limit_falls_while_latency_rises(self):
        """Guards against a limit that keeps an overloaded server full."""
        built, manual = builders.scheduler(1, 0, health="none")
        for _ in range(30):
            builders.run_call(built, manual, 50)
        before = built.shares()[0].limit
        for _ in range(30):
            builders.run_call(built, manual, 400)
        self.assertLess(built.shares()[0].limit, before / 2)


class PrefixTest(unittest.TestCase):
    def test_program_returns_to_the_server_of_its_prefix(self):
        """Guards against prompts computed again at another server."""
        built, manual = builders.scheduler(8, 4)
        used = {
            builders.run_call(
                built, manual, 100, prefix_hashes=tuple(range(1, turn + 2))
            )
            for turn in range(6)
        }
        self.assertEqual(len(used), 1)

    def test_affinity_ends_at_the_load_bound(self):
        """Guards against one shared prefix that loads one server only."""
        built, _ = builders.scheduler(8, 32)
        for _ in range(64):
            built.submit(builders.profile(prefix_hashes=(7,)))
        self.assertLessEqual(
            max(share.in_flight for share in built.shares()), 16
        )

    def test_index_is_bounded(self):
        """Guards against memory that grows with programs."""
        built, manual = builders.scheduler(2, 4, prefix_entries=50)
        for number in range(200):
            builders.run_call(built, manual, 1, prefix_hashes=(number,))
        pool = built.describe()["pools"][builders.POOL]
        self.assertEqual(pool["prefixes"], 50)


class SettingsTest(unittest.TestCase):
    def test_bad_value_names_the_setting(self):
        """Guards against an edit that takes force with a wrong value."""
        with self.assertRaises(core_settings.SettingsError) as caught:
            settings.from_document({"ejected_share": 0.9})
        self.assertEqual(caught.exception.path, "ejected_share")
        self.assertEqual(
            settings.from_document({"retry_max": 1}),
            policy.PolicySettings(retry_max=1),
        )
