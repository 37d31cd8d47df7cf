"""Tests of load balancing over servers."""

import collections
import random
import unittest

import builders

from balsamloom_gateway import (
    balancer,
    candidates,
    estimates,
    health,
    traffic,
)

PROMPT = (
    traffic.PromptPart("shared", 2_560),
    traffic.PromptPart("turn1", 1_030),
    traffic.PromptPart("turn2", 200),
)
TOKENS = sum(part.tokens for part in PROMPT)


class BalancerTest(unittest.TestCase):
    """Guards against repeated prefills and calls to slow servers."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.balancer = balancer.Balancer(self.clock, "a", random.Random(7))

    def use(self, count=4, **changes):
        self.balancer.set_servers(
            builders.server(f"s{number}", **changes) for number in range(count)
        )

    def place(self, prompt=(), recent=(), output=30, avoid=()):
        tokens = sum(part.tokens for part in prompt)
        profile = estimates.CallProfile(prompt, tokens, output, recent)
        return self.balancer.place(builders.SERVICE, profile, frozenset(avoid))

    def run_call(self, placement, step_ms=6.0, total_ms=None, load=None):
        self.balancer.record_load(placement, load)
        self.balancer.release(
            placement,
            health.Outcome.SUCCEEDED,
            estimates.Observation(
                first_event_ms=placement.missing_tokens * 0.035 + 5,
                step_ms_per_token=step_ms,
                total_ms=total_ms,
            ),
        )

    def test_server_that_has_cached_the_prompt_is_chosen(self):
        self.use()
        first = self.place(PROMPT[:2])
        self.run_call(first)
        second = self.place(PROMPT)
        self.assertEqual(second.missing_tokens, 200)
        self.run_call(second)
        for _ in range(10):
            later = self.place(PROMPT)
            self.assertEqual(later.server, first.server)
            self.assertEqual(later.missing_tokens, 0)
            self.run_call(later)

    def test_server_of_the_programs_last_turn_is_chosen(self):
        # Another process relayed that turn; the holder reports its server.
        self.use()
        placement = self.place(PROMPT, recent=("s2",))
        self.assertEqual(placement.server.server_id, "s2")
        self.assertEqual(placement.missing_tokens, 200)

    def test_parts_count_only_after_cached_parts(self):
        self.use(1)
        first = self.place(PROMPT[1:])
        self.run_call(first)
        self.assertEqual(self.place(PROMPT).missing_tokens, TOKENS)

    def test_restarted_server_has_an_empty_cache(self):
        self.use(1)
        self.run_call(self.place(PROMPT))
        self.use(1, incarnation=2)
        self.assertEqual(self.place(PROMPT).missing_tokens, TOKENS)

    def test_slow_engine_gets_fewer_turns(self):
        self.use(2)
        counts = collections.Counter()
        for number in range(60):
            part = (traffic.PromptPart(f"p{number}", 100),)
            placement = self.place(part)
            name = placement.server.server_id
            counts[name] += 1
            self.run_call(placement, 20.0 if name == "s0" else 5.0)
            self.clock.advance(50.0)
        self.assertLess(counts["s0"], 15)

    def test_slow_engine_is_tried_again_later(self):
        self.use(2)
        for _ in range(20):
            placement = self.place(PROMPT)
            is_slow = placement.server.server_id == "s0"
            self.run_call(placement, 20.0 if is_slow else 5.0)
        self.clock.advance(60_000.0)
        chosen = {self.place().server.server_id for _ in range(20)}
        self.assertEqual(chosen, {"s0", "s1"})

    def test_full_plain_server_is_not_chosen(self):
        self.use(2, slots=6)
        full = traffic.ServerLoad(6, 10, 6, 1.0)
        for name in ("s0", "s1"):
            placement = self.place(avoid={"s0", "s1"} - {name})
            load = full if name == "s0" else None
            self.run_call(placement, total_ms=50.0, load=load)
        chosen = [self.place().server.server_id for _ in range(4)]
        self.assertEqual(chosen, ["s1"] * 4)

    def test_server_with_overdue_calls_is_avoided(self):
        # Otherwise a hang is noticed only when callers disconnect.
        self.use(2)
        overdue = self.place(avoid={"s1"})
        self.clock.advance(overdue.due_ms - self.clock.now_ms())
        for _ in range(4):
            placement = self.place()
            self.assertEqual(placement.server.server_id, "s1")
            self.run_call(placement, total_ms=50.0)

    def test_non_repeatable_calls_avoid_servers_that_failed(self):
        # Their failure ends the program. The failure of a repeatable call
        # costs less, and its success shows that the server has recovered.
        self.use(2)
        for name, outcome in (
            ("s0", health.Outcome.FAILED),
            ("s1", health.Outcome.SUCCEEDED),
        ):
            placement = self.place(avoid={"s0", "s1"} - {name})
            self.balancer.release(
                placement, outcome, estimates.Observation(total_ms=50.0)
            )
        self.clock.advance(15_000.0)
        counts = collections.Counter()
        for failure_cost_ms in (
            estimates.FINAL_FAILURE_COST_MS,
            estimates.REPEATABLE_FAILURE_COST_MS,
        ):
            profile = estimates.CallProfile(failure_cost_ms=failure_cost_ms)
            for _ in range(12):
                found = self.balancer.place(builders.SERVICE, profile)
                counts[failure_cost_ms, found.server.server_id] += 1
        self.assertEqual(counts[estimates.FINAL_FAILURE_COST_MS, "s0"], 0)
        self.assertGreater(
            counts[estimates.REPEATABLE_FAILURE_COST_MS, "s0"], 0
        )

    def test_caller_disconnect_counts_as_a_failure_if_overdue(self):
        for is_overdue in (False, True):
            with self.subTest(is_overdue):
                self.setUp()
                self.use(4)
                for _ in range(2):
                    placement = self.place(avoid={"s1", "s2", "s3"})
                    wait_ms = placement.due_ms - self.clock.now_ms()
                    self.clock.advance(wait_ms - (0 if is_overdue else 1))
                    self.balancer.release(
                        placement,
                        health.Outcome.ABANDONED,
                        estimates.Observation(),
                    )
                states = {
                    state["server_id"]: state["is_ejected"]
                    for state in self.balancer.describe()
                }
                self.assertEqual(states["s0"], is_overdue)

    def test_calls_are_distributed_over_equal_servers(self):
        self.use(4)
        counts = collections.Counter(
            self.place().server.server_id for _ in range(32)
        )
        self.assertEqual(set(counts.values()), {8})

    def test_avoided_servers_are_not_chosen(self):
        self.use(2)
        placement = self.place(avoid={"s0"})
        self.assertEqual(placement.server.server_id, "s1")
        self.assertIsInstance(
            self.place(avoid={"s0", "s1"}), candidates.NoServer
        )

    def test_unknown_service_has_no_server(self):
        found = self.balancer.place("other", estimates.CallProfile())
        self.assertIsInstance(found, candidates.NoServer)

    def test_server_in_the_own_failure_domain_wins_among_equals(self):
        self.balancer.set_servers(
            [
                builders.server("far", failure_domain="b"),
                builders.server("near", failure_domain="a"),
            ]
        )
        self.assertEqual(self.place().server.server_id, "near")


if __name__ == "__main__":
    unittest.main()
