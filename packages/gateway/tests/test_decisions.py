"""Tests of routes, retries, server health and the order of members."""

import unittest

import builders

from balsamloom_gateway import (
    attempts,
    health,
    membership,
    routes,
    traffic,
)


class RouteTest(unittest.TestCase):
    """Guards against requests that reach the wrong service."""

    def test_longest_prefix_of_the_host_wins(self):
        table = routes.RouteTable(
            [builders.route(prefix="/a/"), builders.route(prefix="/a/b/")]
        )
        self.assertEqual(
            table.find("h.example", "/a/b/c").path_prefix, "/a/b/"
        )
        self.assertEqual(table.find("h.example", "/a/x").path_prefix, "/a/")

    def test_other_host_or_path_has_no_route(self):
        table = routes.RouteTable([builders.route(prefix="/a/")])
        self.assertIsNone(table.find("other.example", "/a/"))
        self.assertIsNone(table.find("h.example", "/ab/"))

    def test_host_is_found_with_a_port_and_in_any_case(self):
        table = routes.RouteTable([builders.route(prefix="/a/")])
        self.assertIsNotNone(table.find("H.Example:8080", "/a/"))

    def test_calls_of_one_program_get_one_service(self):
        route = builders.route(shares=(("x", 90), ("y", 10)))
        chosen = {routes.choose_service(route, "p") for _ in range(20)}
        self.assertEqual(len(chosen), 1)

    def test_shares_follow_their_weights(self):
        route = builders.route(shares=(("x", 90), ("y", 10)))
        chosen = [routes.choose_service(route, f"p{n}") for n in range(2_000)]
        self.assertAlmostEqual(chosen.count("y") / 2_000, 0.1, delta=0.03)

    def test_service_without_weight_gets_nothing(self):
        route = builders.route(shares=(("x", 100), ("y", 0)))
        chosen = {routes.choose_service(route, f"p{n}") for n in range(500)}
        self.assertEqual(chosen, {"x"})


class AttemptsTest(unittest.TestCase):
    """Guards against unsafe retries and false claims that no server ran."""

    def history(self, kind, max_attempts=2):
        return attempts.AttemptHistory(builders.route(kind, max_attempts))

    def test_refused_call_goes_to_another_server(self):
        for kind in traffic.RouteKind:
            history = self.history(kind, 1)
            decision = history.decide(attempts.NotRun("full"), 100.0)
            self.assertEqual(decision, attempts.Retry())

    def test_lost_answer_is_retried_only_if_idempotent(self):
        lost = attempts.MayHaveRun("reset")
        for kind in traffic.RouteKind:
            decision = self.history(kind).decide(lost, 100.0)
            if kind is traffic.RouteKind.IDEMPOTENT:
                self.assertEqual(decision, attempts.Retry())
            else:
                self.assertEqual(
                    decision, attempts.FinalFailure(False, "reset")
                )

    def test_resumable_stream_may_run_again(self):
        route = builders.route(
            traffic.RouteKind.STREAMING, max_attempts=2
        )._replace(is_resumable=True)
        history = attempts.AttemptHistory(route)
        decision = history.decide(attempts.MayHaveRun("reset"), 100.0)
        self.assertEqual(decision, attempts.Retry())

    def test_number_of_runs_is_bounded_by_the_route(self):
        history = self.history(traffic.RouteKind.IDEMPOTENT, 2)
        lost = attempts.MayHaveRun("reset")
        history.decide(lost, 100.0)
        decision = history.decide(lost, 100.0)
        self.assertEqual(decision, attempts.FinalFailure(False, "reset"))

    def test_refusal_after_a_lost_answer_does_not_say_not_run(self):
        history = self.history(traffic.RouteKind.IDEMPOTENT, 2)
        history.decide(attempts.MayHaveRun("reset"), 100.0)
        decision = history.decide(attempts.NotRun("full"), 0.0)
        self.assertEqual(decision, attempts.FinalFailure(False, "full"))
        self.assertFalse(history.fail_without_server("none").is_not_run)

    def test_refusals_are_bounded(self):
        history = self.history(traffic.RouteKind.NON_IDEMPOTENT)
        refused = attempts.NotRun("full")
        decisions = [
            history.decide(refused, 100.0)
            for _ in range(attempts.MAX_REFUSALS)
        ]
        self.assertEqual(decisions[-1], attempts.FinalFailure(True, "full"))

    def test_attempt_is_abandoned_early_only_if_a_retry_has_time(self):
        # A service loses some answers; waiting for one until the deadline
        # would leave no time for a retry.
        idempotent = attempts.AttemptHistory(builders.route())
        once = attempts.AttemptHistory(
            builders.route(traffic.RouteKind.NON_IDEMPOTENT)
        )
        cases = (
            (idempotent, 600.0, 30.0, 600.0),
            (idempotent, 1_190.0, 30.0, 1_200.0),
            (once, 600.0, 30.0, 1_200.0),
        )
        for history, due_ms, estimate_ms, expected in cases:
            found = history.first_byte_deadline_ms(
                1_200.0, due_ms, estimate_ms
            )
            self.assertEqual(found, expected)
        idempotent.decide(attempts.MayHaveRun("lost"), 600.0)
        self.assertEqual(
            idempotent.first_byte_deadline_ms(1_200.0, 600.0, 30.0), 1_200.0
        )

    def test_no_retry_after_the_deadline(self):
        history = self.history(traffic.RouteKind.IDEMPOTENT)
        decision = history.decide(attempts.NotRun("full"), 0.0)
        self.assertEqual(decision, attempts.FinalFailure(True, "full"))


class HealthTest(unittest.TestCase):
    """Guards against calls to failing servers and ejection of all servers."""

    def test_failing_server_is_ejected_and_returns(self):
        server = health.ServerHealth()
        for _ in range(3):
            server.record(health.Outcome.FAILED, 0.0)
        self.assertTrue(server.is_ejected(1.0))
        self.assertFalse(server.is_ejected(health.MIN_EJECTION_MS + 1.0))

    def test_single_failure_does_not_eject(self):
        server = health.ServerHealth()
        server.record(health.Outcome.FAILED, 0.0)
        self.assertFalse(server.is_ejected(1.0))

    def test_unreachable_server_is_ejected_at_once(self):
        server = health.ServerHealth()
        server.record(health.Outcome.UNREACHABLE, 0.0)
        self.assertTrue(server.is_ejected(1.0))

    def test_server_that_stays_unreachable_is_tried_less_often(self):
        # Each try delays a call by a connection attempt.
        server = health.ServerHealth()
        now_ms, tries = 0.0, 0
        while now_ms < 10_000.0:
            if not server.is_ejected(now_ms):
                server.record(health.Outcome.UNREACHABLE, now_ms)
                tries += 1
            now_ms += 100.0
        self.assertLessEqual(tries, 5)
        server.record(health.Outcome.SUCCEEDED, 60_000.0)
        server.record(health.Outcome.UNREACHABLE, 60_000.0)
        self.assertFalse(
            server.is_ejected(60_000.0 + health.MIN_EJECTION_MS + 1.0)
        )

    def test_all_servers_are_used_if_all_are_ejected(self):
        servers = [(name, health.ServerHealth()) for name in "abcd"]
        for _, state in servers:
            state.record(health.Outcome.UNREACHABLE, 0.0)
        self.assertEqual(health.usable(servers, 1.0), list("abcd"))

    def test_healthy_half_is_used(self):
        servers = [(name, health.ServerHealth()) for name in "abcd"]
        for _, state in servers[:2]:
            state.record(health.Outcome.UNREACHABLE, 0.0)
        self.assertEqual(health.usable(servers, 1.0), list("cd"))


class MembershipTest(unittest.TestCase):
    """Guards against members without a source and cycles of sources."""

    def setUp(self):
        self.members = [builders.member(f"m{n:03}") for n in range(200)]

    def test_each_member_follows_one_before_it(self):
        self.assertIsNone(membership.source_of("m000", self.members))
        for member in self.members[1:]:
            source = membership.source_of(member.name, self.members)
            self.assertLess(source.name, member.name)

    def test_no_member_has_too_many_followers(self):
        sources = [
            membership.source_of(member.name, self.members).name
            for member in self.members[1:]
        ]
        max_followers = max(sources.count(name) for name in set(sources))
        self.assertLessEqual(max_followers, membership.MAX_FOLLOWERS)

    def test_level_counts_the_sources_up_to_the_store(self):
        for member in self.members:
            expected, name = 0, member.name
            while source := membership.source_of(name, self.members):
                expected, name = expected + 1, source.name
            found = membership.level_of(member.name, self.members)
            self.assertEqual(found, expected)

    def test_unregistered_member_has_a_source(self):
        source = membership.source_of("zzz", self.members)
        self.assertIn(source, self.members)

    def test_storage_hosts_do_not_all_read_from_one_member(self):
        hosts = [f"storage-{number}" for number in range(24)]
        sources = [
            membership.source_of(host, self.members).name for host in hosts
        ]
        most = max(sources.count(name) for name in set(sources))
        self.assertLessEqual(most, membership.MAX_FOLLOWERS // 2)

    def test_first_member_by_name_reads_the_store_before_it_is_registered(
        self,
    ):
        self.assertIsNone(membership.source_of("a", self.members))
        self.assertEqual(membership.level_of("a", self.members), 0)

    def test_few_members_are_holders_and_each_has_standbys(self):
        firsts = set()
        for number in range(500):
            holders = membership.budget_holders(f"p{number}", self.members)
            self.assertEqual(len(set(holders)), membership.MAX_HOLDERS)
            firsts.add(holders[0])
        self.assertLessEqual(len(firsts), 13)

    def test_each_successor_of_a_primary_may_inherit_its_programs(self):
        # A successor that takes a program for new does not ask who knows it.
        for size in (2, 16, 17, 33, 78):
            members = self.members[:size]
            for lost in members[: membership.holder_count(members) + 1]:
                rest = [one for one in members if one != lost]
                for number in range(100):
                    before = membership.budget_holders(f"{number}", members)[0]
                    after = membership.budget_holders(f"{number}", rest)[0]
                    if before == after:
                        continue
                    found = membership.may_inherit(after.name, lost, rest)
                    self.assertTrue(found, (size, lost.name, after.name))

    def test_standbys_follow_the_holder_in_the_order(self):
        few = self.members[:3]
        holders = membership.budget_holders("p", few)
        self.assertEqual(holders, few)
        self.assertEqual(membership.budget_holders("p", few[:1]), few[:1])
        self.assertEqual(membership.budget_holders("p", []), [])

    def test_own_address_is_given_even_if_not_registered(self):
        own = builders.member("own")
        found = membership.caller_addresses(self.members[:2], own, "")
        self.assertIn(own.caller_address, found)

    def test_addresses_are_bounded_and_near_ones_come_first(self):
        found = membership.caller_addresses(self.members, None, "7")
        self.assertEqual(len(found), membership.MAX_CALLER_ADDRESSES)
        self.assertTrue(found[0].split(":")[0].endswith("7"))


if __name__ == "__main__":
    unittest.main()
