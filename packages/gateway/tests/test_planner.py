"""Tests of the placement of turns by budget holders."""

import random
import unittest

import builders

from balsamloom_gateway import (
    balancer,
    estimates,
    fleet,
    health,
    interfaces,
    membership,
    peer_messages,
    planner,
    registration_records,
    traffic,
)

SHARED = traffic.PromptPart("shared", 3_000)


class PlannerTest(unittest.TestCase):
    """Guards against holders that miscount their servers' requests."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.fleet = fleet.Fleet(builders.Records(), self.clock)
        self.balancer = balancer.Balancer(self.clock, "a", random.Random(3))
        self.fleet.on_servers_changed = (self.balancer.set_servers,)
        self.planner = planner.TurnPlanner(
            "m01",
            self.balancer,
            self.fleet,
            builders.permits("m01", self.fleet, self.clock),
            self.clock,
        )

    def use(self, servers, members=1):
        changes = [
            interfaces.Item(f"server/s{number}", b'{"is_draining":false}', 1)
            for number in range(servers)
        ]
        for number in range(1, members + 1):
            encoded = registration_records.encode_member(
                builders.member(f"m{number:02}")
            )
            changes.append(interfaces.Item(f"member/m{number:02}", encoded, 1))
        self.fleet.apply(changes)

    def plan(self, *parts, recent=(), left_ms=5_000.0):
        prompt = parts or (traffic.PromptPart("own", 500),)
        return self.planner.plan(
            builders.turn_request(prompt, left_ms), recent
        )

    def in_flight(self):
        return sum(state["in_flight"] for state in self.balancer.describe())

    def test_report_releases_the_placement(self):
        self.use(2)
        plan = self.plan()
        self.assertEqual(self.in_flight(), 1)
        self.planner.finish(plan.plan_id, builders.turn_report(plan.server_id))
        self.assertEqual(self.in_flight(), 0)

    def test_placement_of_a_lost_report_is_released(self):
        # The process that relayed the turn was killed.
        self.use(2)
        self.plan(left_ms=2_000.0)
        self.clock.advance(2_000.0 + planner.REPORT_GRACE_MS)
        self.plan()
        self.assertEqual(self.in_flight(), 1)

    def test_second_report_of_a_turn_is_ignored(self):
        self.use(1)
        plan = self.plan()
        report = builders.turn_report(plan.server_id)
        self.planner.finish(plan.plan_id, report)
        self.planner.finish(plan.plan_id, report)
        self.assertEqual(self.in_flight(), 0)

    def test_server_that_failed_turns_is_not_chosen(self):
        self.use(4)
        failing = self.plan().server_id
        report = builders.turn_report(failing, health.Outcome.UNREACHABLE)
        self.planner.finish(1, report)
        chosen = {self.plan().server_id for _ in range(12)}
        self.assertNotIn(failing, chosen)

    def test_no_plan_without_a_server(self):
        self.assertIsNone(self.plan())

    def test_turns_of_a_program_stay_where_their_prompt_is_cached(self):
        # A prefill on another engine delays all streams of that engine.
        self.use(6)
        first = self.plan(SHARED)
        self.planner.finish(
            first.plan_id, builders.turn_report(first.server_id)
        )
        for number in range(5):
            part = traffic.PromptPart(f"turn{number}", 200)
            plan = self.plan(SHARED, part, recent=(first.server_id,))
            self.assertEqual(plan.server_id, first.server_id)
            self.planner.finish(
                plan.plan_id, builders.turn_report(plan.server_id)
            )

    def test_holder_uses_the_servers_of_its_group(self):
        self.use(40, members=33)
        members = self.fleet.members()
        own = membership.preferred_servers(
            "m01", members, self.fleet.servers()
        )
        self.assertIn(len(own), range(12, 15))
        chosen = {
            self.plan(traffic.PromptPart(f"own{number}", 500)).server_id
            for number in range(len(own))
        }
        self.assertEqual(chosen, own)


class GroupTest(unittest.TestCase):
    """Guards against holders that overload a server unaware of each other."""

    def setUp(self):
        self.members = [builders.member(f"m{n:02}") for n in range(48)]
        self.servers = [builders.server(f"s{n}") for n in range(31)]

    def own(self, name, servers=None):
        return membership.preferred_servers(
            name, self.members, self.servers if servers is None else servers
        )

    def test_each_server_is_in_one_group(self):
        groups = [self.own(f"m{n:02}") for n in range(3)]
        self.assertEqual(sum(len(group) for group in groups), 31)
        self.assertEqual(len(frozenset().union(*groups)), 31)
        self.assertLessEqual(max(len(group) for group in groups), 11)

    def test_member_that_is_no_holder_has_no_group(self):
        self.assertIsNone(self.own("m03"))
        self.assertIsNone(self.own("unknown"))

    def test_few_servers_are_not_split(self):
        few = self.servers[:5]
        for name in ("m00", "m01", "m02"):
            self.assertEqual(len(self.own(name, few)), 5)

    def test_lost_server_moves_few_others(self):
        before = self.own("m00")
        lost = sorted(before)[0]
        rest = [one for one in self.servers if one.server_id != lost]
        after = self.own("m00", rest)
        self.assertGreaterEqual(len(before & after), len(before) - 3)

    def test_standbys_are_in_other_failure_domains(self):
        # A partitioned failure domain must not contain all copies.
        members = sorted(
            traffic.Member(f"{domain}{n:02}", "a:1", "a:2", domain, "1")
            for domain in "abc"
            for n in range(10)
        )
        for number in range(50):
            holders = membership.budget_holders(f"p{number}", members)
            self.assertEqual(len(set(holders)), membership.MAX_HOLDERS)
            domains = {holder.failure_domain for holder in holders[:3]}
            self.assertEqual(domains, {"a", "b", "c"})


class MessagesTest(unittest.TestCase):
    """Guards against messages that another member cannot decode."""

    def test_messages_survive_encoding(self):
        turn = builders.turn_request()
        reservation = peer_messages.ReservationRequest(
            "p",
            60,
            600,
            peer_messages.outage_policy.OutagePolicy.OUTAGE,
            turn,
        )
        self.assertEqual(
            peer_messages.decode_reservation(
                builders.as_json(peer_messages.encode_reservation(reservation))
            ),
            reservation,
        )
        settlement = peer_messages.Settlement(
            "p", 60, 20, 7, builders.turn_report(step_ms=5.0)
        )
        self.assertEqual(
            peer_messages.decode_settlement(
                builders.as_json(peer_messages.encode_settlement(settlement))
            ),
            settlement,
        )
        for result in (
            peer_messages.ledger.Reservation(),
            peer_messages.ledger.Exhaustion(5, 6),
            peer_messages.budget_ledger.RecordingFailure("slow"),
        ):
            is_reserved = result == peer_messages.ledger.Reservation()
            plan = planner.Plan(3, "s1", 150.5) if is_reserved else None
            answer = peer_messages.ReservationReply(result, (), plan)
            encoded = builders.as_json(peer_messages.encode_reply(answer))
            self.assertEqual(peer_messages.decode_reply(encoded), answer)

    def test_malformed_messages_are_rejected(self):
        decoders = (
            peer_messages.decode_reservation,
            peer_messages.decode_settlement,
            peer_messages.decode_reply,
        )
        bodies = (
            {},
            {"turn": [], "plan_id": "x", "result": "other"},
            {"turn": [1, 2], "observation": 5, "result": None},
        )
        for decode in decoders:
            for body in bodies:
                with self.assertRaises(peer_messages.InvalidMessageError):
                    decode(body)


class EstimateTest(unittest.TestCase):
    """Guards against mistaking an engine's load for its speed."""

    def test_prefill_samples_exclude_waiting_time(self):
        samples = estimates.PrefillSamples()
        for number in range(20):
            waited_ms = 0.0 if number % 3 == 0 else 300.0
            samples.add(1_000 * 0.04 + waited_ms, 1_000, 5.0)
        self.assertAlmostEqual(samples.prefill_ratio(), 0.008)

    def test_prefix_cache_is_bounded(self):
        cache = estimates.PrefixCache(250)
        for name in "abc":
            cache.add((traffic.PromptPart(name, 100),))
        self.assertEqual(
            [
                cache.prefix_tokens((traffic.PromptPart(name, 100),))
                for name in "abc"
            ],
            [0, 100, 100],
        )

    def test_number_of_parts_without_tokens_is_bounded(self):
        cache = estimates.PrefixCache(250)
        for number in range(estimates.MAX_PARTS + 10):
            cache.add((traffic.PromptPart(str(number), 0),))
        self.assertEqual(len(cache._parts), estimates.MAX_PARTS)

    def test_prefill_costs_more_where_others_run(self):
        busy = estimates.ServerState(builders.server("busy"))
        idle = estimates.ServerState(builders.server("idle"))
        busy.in_flight = 5
        baseline = estimates.Baseline(
            [busy, idle], estimates.DEFAULT_PREFILL_RATIO
        )
        profile = estimates.CallProfile((SHARED,), 3_000, 30)
        cached = profile._replace(recent_servers=("busy",), prompt_tokens=0)
        costs = [
            estimates.cost(state, profile, baseline, "a", 0.0)
            for state in (busy, idle)
        ]
        added_ms = costs[0].total_ms - costs[1].total_ms
        self.assertGreater(added_ms, 5 * costs[1].prefill_ms)
        self.assertLess(
            estimates.cost(busy, cached, baseline, "a", 0.0).total_ms,
            costs[1].total_ms,
        )


if __name__ == "__main__":
    unittest.main()
