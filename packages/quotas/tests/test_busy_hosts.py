"""Tests of hosts whose answers come late, or that all start at once."""

import logging
import threading
import time
import unittest

import world

from balsamloom_core import clock as clocks
from balsamloom_quotas import (
    evidence,
    limits,
    messages,
    pools,
    service,
    stocks,
    timing,
)

LARGE = limits.RateLimit(200.0, 200.0)
SMALL = limits.RateLimit(5.0, 5.0)
LIMITS = {"large": LARGE, "small": SMALL}
HOSTS = tuple(f"h{number:02}" for number in range(51))
# More than a request waits for one granter.
LATE_MS = service.MAX_GRANTER_WAIT_MS + 10.0
# The hold, the first tokens, and half a second to read the members.
ALL_STARTED_MS = timing.HOLD_MS + 2_500.0
# A burst is over, and the granters have all their tokens again.
SOON_MS = 5_000.0


class BusyHostsTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("balsamloom")
        logger.setLevel(logging.CRITICAL)
        self.addCleanup(logger.setLevel, logging.NOTSET)

    def calm(self):
        played = world.World(HOSTS, LIMITS)
        played.run(timing.HOLD_MS + 3_000.0)
        return played

    def served(self, played, workspace, duration_ms):
        """Return the part of the requests of a time that ran."""
        ran = len(played.admitted_ms[workspace])
        asked = played.asked[workspace]
        played.run(duration_ms)
        ran = len(played.admitted_ms[workspace]) - ran
        return ran / (played.asked[workspace] - asked)

    def test_a_host_with_late_answers_still_gets_tokens(self):
        played = self.calm()
        played.hosts["h20"].answer_delay_ms = LATE_MS
        played.spread("large", 60.0, ("h20",))
        played.run(3_000.0)
        self.assertGreaterEqual(self.served(played, "large", 10_000.0), 0.95)

    def test_busy_hosts_that_all_start_at_once_serve_after_the_hold(self):
        for delay_ms in (0.0, LATE_MS):
            with self.subTest(delay_ms=delay_ms):
                played = self.calm()
                played.spread("large", LARGE.rate_per_s / 1.6, HOSTS)
                played.run(2_000.0)
                for host in played.hosts.values():
                    host.is_up = False
                played.run(2_000.0)
                for host in played.hosts.values():
                    host.answer_delay_ms = delay_ms
                    host.start()
                played.run(ALL_STARTED_MS)
                served = self.served(played, "large", 5_000.0)
                self.assertGreaterEqual(served, 0.95)
                self.assertLessEqual(played.excess("large"), 0)

    def restart(self, played, names, pause_ms=0.0):
        for name in names:
            played.hosts[name].is_up = False
        played.run(pause_ms)
        for name in names:
            played.hosts[name].start()

    def test_hosts_that_all_lost_power_serve_as_soon_as_all_have_asked(self):
        # All limited workspaces got 429 for 2.3 s after the hosts were back:
        # granters waited for leases of which no holder lived (issue 73).
        for pause_ms in (0.0, 1_000.0):
            played = self.calm()
            played.spread("large", LARGE.rate_per_s / 1.6, HOSTS)
            played.run(2_000.0)
            self.restart(played, HOSTS, pause_ms)
            played.run(1_250.0)
            served = self.served(played, "large", 1_000.0)
            self.assertGreaterEqual(served, 0.9)
            self.assertLessEqual(played.excess("large"), 0)

    def test_granters_wait_for_leases_of_a_host_that_lives(self):
        played = self.calm()
        played.spread("large", LARGE.rate_per_s / 1.6, HOSTS)
        played.run(2_000.0)
        self.restart(played, HOSTS[:-1])
        played.run(timing.LEASE_MS - 250.0)
        granters = [played.hosts[name].quotas for name in HOSTS[:3]]
        self.assertFalse(any(one.states()["is_granter"] for one in granters))
        played.run(1_500.0)
        self.assertTrue(all(one.states()["is_granter"] for one in granters))

    def test_a_small_workspace_is_served_soon_after_a_burst(self):
        played = self.calm()
        played.spread("small", 7.0 * SMALL.rate_per_s / 1.6, HOSTS)
        played.run(6_000.0)
        for host in played.hosts.values():
            decision = host.quotas.admit("small")
            if isinstance(decision, service.Refused):
                self.assertLessEqual(decision.retry_after_ms, SOON_MS)
        played.spread("small", SMALL.rate_per_s / 1.6, HOSTS)
        played.run(SOON_MS)
        self.assertGreaterEqual(self.served(played, "small", 10_000.0), 0.95)
        self.assertLessEqual(played.excess("small"), 0)

    def test_second_runs_are_paid_without_refusing_the_next_request(self):
        played = self.calm()
        quotas = played.hosts["h20"].quotas
        admitted = quotas.admit("small")
        quotas.charge(admitted, 3)
        self.assertIsInstance(quotas.admit("small"), service.Admitted)

    def test_second_runs_are_paid_without_another_request(self):
        held = stocks.Stocks("h", world.BOUNDS.window_ms)
        held.set_granters(("g",), timing.MIN_INTERVAL_MS)
        held.charge("w", 2)
        (entry,) = held.entries("g", 1_000.0)
        self.assertEqual(entry.wanted, 2)

    def test_a_lowered_limit_grants_again_once_old_leases_have_ended(self):
        pool = pools.Pool(pools.Share(100.0, 100.0), 0.0)
        pool.advance(2_000.0)
        self.assertEqual(pool.grant("h", 80, True, 2_000.0), 80)
        pool.set_share(pools.Share(1.0, 8.0), 2_000.0)
        pool.advance(2_500.0)
        pool.renew("h", 0, 0, 2_500.0)
        self.assertEqual(pool.grant("h", 1, True, 2_500.0), 0)
        pool.advance(2_000.0 + timing.LEASE_MS)
        now_ms = 2_000.0 + timing.LEASE_MS + 2_000.0
        pool.advance(now_ms)
        self.assertEqual(pool.grant("h", 8, True, now_ms), 2)

    def test_requests_that_wait_together_ask_a_granter_without_tokens_once(
        self,
    ):
        asked = []
        threads = []
        calm = messages.encode_answer(messages.Answer(True, {}, {"w": 5e3}))

        def send(name, body, _):
            asked.append(name)
            if len(asked) == 1:
                for _ in range(8):
                    thread = threading.Thread(target=quotas.admit, args="w")
                    threads.append(thread)
                    thread.start()
                # So that they wait for this answer.
                time.sleep(0.01)
            return calm

        quotas = service.Quotas(
            "h", "h.1", world.BOUNDS, clocks.ManualClock(1_000.0), send
        )
        members = frozenset({"g", "h"})
        view = evidence.View(members, ("g",), 1_000.0)
        quotas.read_view = lambda: view
        quotas.read_limits = lambda: {"w": SMALL}
        quotas.admit("w")
        for thread in threads:
            thread.join()
        self.assertEqual(len(asked), 1)


if __name__ == "__main__":
    unittest.main()
