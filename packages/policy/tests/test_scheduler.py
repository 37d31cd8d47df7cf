"""Tests of the scheduler facade, grouped by policy."""

import logging
import threading
import unittest

import builders

from balsamloom_core import clock, results
from balsamloom_core import settings as core_settings
from balsamloom_policy import calls, settings, tickets
from balsamloom_policy import scheduler as schedulers

logging.getLogger("balsamloom").addHandler(logging.NullHandler())
Code = results.ResultCode


class QueueTest(unittest.TestCase):
    def test_waiting_thread_wakes_when_a_slot_is_freed(self):
        """Guards against a freed slot that wakes no waiting thread."""
        scheduler = schedulers.Scheduler(
            clock.Clock(), settings.PolicySettings(), 1
        )
        scheduler.update_servers(builders.POOL, builders.servers(1, 1))
        first = scheduler.submit(builders.profile())
        second = scheduler.submit(builders.profile())
        self.assertIsInstance(second.wait(0), calls.WaitStatus)
        answers = []
        waiter = threading.Thread(
            target=lambda: answers.append(second.wait(20000))
        )
        waiter.start()
        builders.finish(first)
        waiter.join(10)
        self.assertIsInstance(answers[0], calls.Assignment)

    def test_least_attained_service_goes_first(self):
        """Guards against short programs that wait behind long ones."""
        scheduler, manual = builders.new_scheduler(1, 1)
        running = scheduler.submit(builders.profile())
        long = scheduler.submit(builders.profile(attained_ms=20000))
        short = scheduler.submit(builders.profile(attained_ms=0))
        manual.advance(10)
        builders.finish(running)
        self.assertIsInstance(long.wait(0), calls.WaitStatus)
        self.assertIsInstance(short.wait(0), calls.Assignment)

    def test_ageing_serves_stragglers(self):
        """Guards against a straggler starved by newer short calls."""
        scheduler, manual = builders.new_scheduler(1, 1, admission="none")
        running = scheduler.submit(builders.profile())
        long = scheduler.submit(builders.profile(attained_ms=20000))
        for _ in range(40):
            waiting = scheduler.submit(builders.profile())
            manual.advance(1000)
            builders.finish(running)
            if isinstance(long.wait(0), calls.Assignment):
                return
            running = waiting
        self.fail("the straggler got no slot in 40 s")

    def test_urgent_priority_is_lowest_number(self):
        """Guards against engines that serve urgent calls after others."""
        scheduler, _ = builders.new_scheduler(1, 4)
        urgent = scheduler.submit(builders.profile(is_urgent=True)).wait(0)
        plain = scheduler.submit(builders.profile()).wait(0)
        late = scheduler.submit(builders.profile(attained_ms=9000)).wait(0)
        self.assertLess(urgent.priority, plain.priority)
        self.assertLess(plain.priority, late.priority)

    def test_urgent_share_is_bounded(self):
        """Guards against urgent calls that starve all others."""
        scheduler, manual = builders.new_scheduler(1, 4, urgent_extra_slots=0)
        urgent = [
            scheduler.submit(builders.profile(is_urgent=True))
            for _ in range(8)
        ]
        plain = scheduler.submit(builders.profile())
        manual.advance(10)
        builders.finish(urgent[0])
        self.assertIsInstance(plain.wait(0), calls.Assignment)

    def test_cancelled_call_leaves_queue_and_slot(self):
        """Guards against slots held for callers that have cancelled."""
        scheduler, _ = builders.new_scheduler(1, 1)
        running = scheduler.submit(builders.profile())
        cancelled = scheduler.submit(builders.profile())
        last = scheduler.submit(builders.profile())
        cancelled.cancel()
        running.cancel()
        self.assertIsInstance(last.wait(0), calls.Assignment)
        last.cancel()
        self.assertEqual(
            [share.in_flight for share in scheduler.shares()], [0]
        )

    def test_ordering_changes_while_calls_wait(self):
        """Guards against waiting calls that are lost with new settings."""
        scheduler, _ = builders.new_scheduler(1, 1, ordering="fifo")
        running = scheduler.submit(builders.profile())
        long = scheduler.submit(builders.profile(attained_ms=20000))
        urgent = scheduler.submit(builders.profile(is_urgent=True))
        scheduler.update_settings(
            settings.PolicySettings(urgent_extra_slots=0)
        )
        builders.finish(running)
        self.assertIsInstance(urgent.wait(0), calls.Assignment)
        builders.finish(urgent)
        self.assertIsInstance(long.wait(0), calls.Assignment)


class AdmissionTest(unittest.TestCase):
    def _busy(self, **settings_values):
        scheduler, manual = builders.new_scheduler(1, 1, **settings_values)
        for _ in range(5):
            builders.run_call(scheduler, manual, 1000)
        running = scheduler.submit(builders.profile())
        return scheduler, manual, running

    def test_empty_pool_refuses(self):
        """Guards against calls that wait for servers that do not exist."""
        scheduler, _ = builders.new_scheduler(0)
        refused = scheduler.submit(builders.profile())
        self.assertEqual(refused.code, Code.NO_BACKEND_SERVER)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_new_programs_are_refused_before_programs_under_way(self):
        """Guards against new programs that displace running ones."""
        scheduler, _, _ = self._busy()
        scheduler.submit(builders.profile())
        new = scheduler.submit(builders.profile(is_new_program=True))
        self.assertEqual(new.code, Code.OVERLOADED)
        under_way = scheduler.submit(builders.profile())
        self.assertIsInstance(under_way, tickets.Ticket)

    def test_retry_after_grows_with_the_queue(self):
        """Guards against a retry time that ignores the drain rate."""
        scheduler, _, _ = self._busy()
        stated = []
        for _ in range(3):
            scheduler.submit(builders.profile())
            refused = scheduler.submit(builders.profile(is_new_program=True))
            stated.append(refused.retry_after_ms)
        self.assertLess(stated[0], stated[2])

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        """Guards against calls whose answer would come too late."""
        scheduler, manual, _ = self._busy()
        refused = scheduler.submit(
            builders.profile(deadline_ms=manual.now_ms() + 100)
        )
        self.assertEqual(refused.code, Code.DEADLINE_CANNOT_BE_MET)

    def test_waiting_call_is_refused_before_its_deadline_passes(self):
        """Guards against calls that wait although they cannot end in time."""
        scheduler, manual, _ = self._busy()
        deadline_ms = manual.now_ms() + 2500
        ticket = scheduler.submit(builders.profile(deadline_ms=deadline_ms))
        self.assertIsInstance(ticket.wait(0), calls.WaitStatus)
        while isinstance(ticket.wait(0), calls.WaitStatus):
            manual.advance(100)
        self.assertEqual(ticket.wait(0).code, Code.DEADLINE_CANNOT_BE_MET)
        self.assertLess(manual.now_ms(), deadline_ms)

    def test_customer_above_its_share_is_refused_first(self):
        """Guards against one customer that uses the whole pool."""
        scheduler, _, _ = self._busy(queue_target_ms=4000)
        for _ in range(3):
            scheduler.submit(builders.profile(customer="indus"))
        scheduler.submit(builders.profile(customer="wasserreigen"))
        refused = scheduler.submit(
            builders.profile(customer="indus", is_new_program=True)
        )
        self.assertEqual(refused.code, Code.FAIR_SHARE_EXCEEDED)
        accepted = scheduler.submit(
            builders.profile(customer="wasserreigen", is_new_program=True)
        )
        self.assertIsInstance(accepted, tickets.Ticket)


class HealthTest(unittest.TestCase):
    def _warm_up(self, scheduler, manual, count=60):
        for _ in range(count):
            builders.run_call(scheduler, manual, 100, is_idempotent=True)

    def _ejected(self, scheduler):
        described = scheduler.describe()["pools"][builders.POOL]["servers"]
        return {k for k, v in described.items() if v["is_ejected"]}

    def _slow_down(self, scheduler, manual, slow, count=60):
        for _ in range(count):
            ticket = scheduler.submit(builders.profile(is_idempotent=True))
            is_slow = ticket.wait(0).server_id in slow
            manual.advance(1000 if is_slow else 100)
            builders.finish(ticket)

    def test_slowed_server_is_ejected_and_returns(self):
        """Guards against a slow server never ejected or never returned."""
        scheduler, manual = builders.new_scheduler(6, 4, routing="round_robin")
        self._warm_up(scheduler, manual)
        self._slow_down(scheduler, manual, {"s1"})
        self.assertEqual(self._ejected(scheduler), {"s1"})
        self._warm_up(scheduler, manual, 40)
        self.assertEqual(self._ejected(scheduler), set())

    def _report_ejection(self, scheduler, members, server_id="s1"):
        reported = [calls.ServerShare(server_id, 0, 4, is_ejected=True)]
        for member in members:
            scheduler.update_peer_shares(member, reported)

    def test_server_that_two_peers_ejected_is_ejected(self):
        """Guards against processes that keep using a slow server.

        A process that sends a server few calls does not detect its slowdown:
        of 8 real processes, 2 or 3 detected it before it ended.
        """
        scheduler, manual = builders.new_scheduler(6, 4, routing="round_robin")
        self._warm_up(scheduler, manual)
        self._report_ejection(scheduler, ["m1"])
        self._warm_up(scheduler, manual, 2)
        self.assertEqual(self._ejected(scheduler), set())
        self._report_ejection(scheduler, ["m1", "m2"])
        self._warm_up(scheduler, manual, 2)
        self.assertEqual(self._ejected(scheduler), {"s1"})
        # Relayed ejections would keep a server ejected for ever.
        reported = {share.server_id: share for share in scheduler.shares()}
        self.assertFalse(reported["s1"].is_ejected)

    def test_own_trials_override_reports_of_peers(self):
        """Guards against a recovered server ejected on old peer reports."""
        scheduler, manual = builders.new_scheduler(6, 4, routing="round_robin")
        self._warm_up(scheduler, manual)
        self._report_ejection(scheduler, ["m1", "m2"])
        self._warm_up(scheduler, manual, 10)
        self.assertEqual(self._ejected(scheduler), set())
        self._report_ejection(scheduler, ["m1", "m2"])
        self._warm_up(scheduler, manual, 2)
        self.assertEqual(self._ejected(scheduler), set())

    def test_own_ejection_is_reported_to_peers(self):
        """Guards against peers that must each detect a slow server."""
        scheduler, manual = builders.new_scheduler(6, 4, routing="round_robin")
        self._warm_up(scheduler, manual)
        self._slow_down(scheduler, manual, {"s1"})
        reported = {
            share.server_id for share in scheduler.shares() if share.is_ejected
        }
        self.assertEqual(reported, {"s1"})

    def test_calls_in_flight_are_evidence_before_they_end(self):
        """Guards against a hung server detected only by call timeouts."""
        scheduler, manual = builders.new_scheduler(6, 4, routing="round_robin")
        self._warm_up(scheduler, manual)
        hung = []
        for _ in range(12):
            ticket = scheduler.submit(builders.profile())
            if ticket.wait(0).server_id == "s2":
                hung.append(ticket)
            else:
                manual.advance(100)
                builders.finish(ticket)
        scheduler.submit(builders.profile())
        self.assertEqual(self._ejected(scheduler), {"s2"})

    def test_at_most_a_third_is_ejected(self):
        """Guards against ejections that overload the remaining servers."""
        scheduler, manual = builders.new_scheduler(7, 4, routing="round_robin")
        self._warm_up(scheduler, manual, 70)
        self._slow_down(scheduler, manual, {"s0", "s1", "s2"}, 200)
        self.assertEqual(len(self._ejected(scheduler)), 2)

    def test_faults_eject_and_pool_of_one_keeps_working(self):
        """Guards against a pool that ejects its last server."""
        for count, expected in ((1, 0), (3, 1)):
            scheduler, manual = builders.new_scheduler(
                count, 4, routing="round_robin"
            )
            for _ in range(30):
                ticket = scheduler.submit(builders.profile())
                is_fault = ticket.wait(0).server_id == "s0"
                manual.advance(60)
                builders.finish(ticket, not is_fault, is_fault)
            self.assertEqual(len(self._ejected(scheduler)), expected)
            self.assertIsInstance(
                scheduler.submit(builders.profile()).wait(0), calls.Assignment
            )

    def test_leaving_server_gets_no_call(self):
        """Guards against calls sent to a server that is leaving (R8)."""
        scheduler, manual = builders.new_scheduler(2, 2)
        cancelled, stays = builders.servers(2, 2)
        cancelled = cancelled._replace(is_leaving=True)
        scheduler.update_servers(builders.POOL, [cancelled, stays])
        for _ in range(10):
            used = builders.run_call(scheduler, manual, 10)
            self.assertEqual(used, stays.server_id)


class RetryTest(unittest.TestCase):
    def test_retry_avoids_the_failed_server_and_keeps_the_deadline(self):
        """Guards against a retry that is sent to the failed server."""
        scheduler, manual = builders.new_scheduler(2, 2)
        first = scheduler.submit(
            builders.profile(is_idempotent=True, deadline_ms=5000)
        )
        failed_id = first.wait(0).server_id
        builders.finish(first, False, True)
        again = scheduler.retry(first, "connection refused")
        manual.advance(100)
        self.assertNotEqual(again.wait(0).server_id, failed_id)
        self.assertEqual(again.profile.deadline_ms, 5000)

    def test_non_idempotent_call_is_not_retried_or_hedged(self):
        """Guards against a dispatch or a charge that runs twice (R7)."""
        scheduler, _ = builders.new_scheduler(2, 2)
        first = scheduler.submit(builders.profile())
        self.assertIsNone(scheduler.hedge_delay_ms(first))
        self.assertIsNone(scheduler.hedge(first))
        builders.finish(first, False, True)
        refused = scheduler.retry(first, "connection reset")
        self.assertIsInstance(refused, calls.Refusal)
        self.assertFalse(results.info(refused.code).not_run)

    def test_budget_bounds_retries_to_a_tenth(self):
        """Guards against retries that amplify an overload."""
        scheduler, manual = builders.new_scheduler(3, 100)
        retried = 0
        for _ in range(500):
            ticket = scheduler.submit(builders.profile(is_idempotent=True))
            builders.finish(ticket, False)
            again = scheduler.retry(ticket, "status 500")
            if isinstance(again, tickets.Ticket):
                retried += 1
                manual.advance(100)
                again.wait(0)
                builders.finish(again)
        burst = settings.PolicySettings().retry_burst
        self.assertLessEqual(retried, 500 * 0.1 + burst)
        self.assertGreater(retried, 40)

    def test_hedge_goes_to_another_server(self):
        """Guards against a hedge sent to the server of the first request."""
        scheduler, manual = builders.new_scheduler(2, 4)
        for _ in range(40):
            builders.run_call(scheduler, manual, 100)
        first = scheduler.submit(builders.profile(is_idempotent=True))
        delay_ms = scheduler.hedge_delay_ms(first)
        self.assertGreater(delay_ms, 100)
        manual.advance(delay_ms)
        self.assertEqual(scheduler.hedge_delay_ms(first), 0)
        second = scheduler.hedge(first)
        self.assertNotEqual(second.wait(0).server_id, first.wait(0).server_id)


class LimitTest(unittest.TestCase):
    def test_share_follows_members_and_peers(self):
        """Guards against processes that together overload a shared server."""
        scheduler, _ = builders.new_scheduler(1, 16)
        scheduler.set_member_count(8)
        self.assertEqual(scheduler.shares()[0].limit, 2)
        for _ in range(8):
            scheduler.submit(builders.profile())
        for in_flight, expected in ((14, 2), (6, 8)):
            scheduler.update_peer_shares(
                "m1", [calls.ServerShare("s0", in_flight, 7)]
            )
            self.assertEqual(scheduler.shares()[0].in_flight, expected)

    def test_limit_falls_while_latency_rises(self):
        """Guards against a limit that keeps a server overloaded."""
        scheduler, manual = builders.new_scheduler(1, 0, health="none")
        for _ in range(30):
            builders.run_call(scheduler, manual, 50)
        before = scheduler.shares()[0].limit
        for _ in range(30):
            builders.run_call(scheduler, manual, 400)
        self.assertLess(scheduler.shares()[0].limit, before / 2)


class PrefixTest(unittest.TestCase):
    def test_program_returns_to_the_server_of_its_prefix(self):
        """Guards against prefixes recomputed at another server."""
        scheduler, manual = builders.new_scheduler(8, 4)
        used = {
            builders.run_call(
                scheduler,
                manual,
                100,
                prefix_hashes=tuple(range(1, turn + 2)),
            )
            for turn in range(6)
        }
        self.assertEqual(len(used), 1)

    def test_affinity_ends_at_the_load_bound(self):
        """Guards against a shared prefix that overloads one server."""
        scheduler, _ = builders.new_scheduler(8, 32)
        for _ in range(64):
            scheduler.submit(builders.profile(prefix_hashes=(7,)))
        self.assertLessEqual(
            max(share.in_flight for share in scheduler.shares()), 16
        )

    def test_index_is_bounded(self):
        """Guards against memory that grows with the number of programs."""
        scheduler, manual = builders.new_scheduler(2, 4, prefix_entries=50)
        for number in range(200):
            builders.run_call(scheduler, manual, 1, prefix_hashes=(number,))
        pool = scheduler.describe()["pools"][builders.POOL]
        self.assertEqual(pool["prefixes"], 50)


class SettingsTest(unittest.TestCase):
    def test_bad_value_names_the_setting(self):
        """Guards against settings that are applied with an invalid value."""
        with self.assertRaises(core_settings.SettingsError) as caught:
            settings.from_document({"ejected_share": 0.9})
        self.assertEqual(caught.exception.path, "ejected_share")
        self.assertEqual(
            settings.from_document({"retry_max": 1}),
            settings.PolicySettings(retry_max=1),
        )
