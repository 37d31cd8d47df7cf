"""Tests of questions where a request would go."""

import json
import random
import unittest

import builders
import gateway_case
from click import testing

from balsamloom_cli import operator
from balsamloom_gateway import (
    balancer,
    estimates,
    fleet,
    health,
    interfaces,
    listeners,
    paced_servers,
    placement_query,
    planner,
    server_limits,
    traffic,
)

PROMPT = (traffic.PromptPart("shared", 2_000), traffic.PromptPart("t1", 300))


class QueryCase(unittest.TestCase):
    """Test case with queries about three servers."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.view = fleet.Fleet(builders.Records(), self.clock)
        paced = paced_servers.PacedServers("m1", lambda: 99, lambda *_: None)
        self.balancer = balancer.Balancer(
            self.clock, "a", random.Random(3), paced
        )
        self.queries = placement_query.PlacementQueries(
            "m1",
            self.view,
            self.balancer,
            self.balancer,
            planner.TurnPlanner(
                "m1",
                self.balancer,
                self.view,
                builders.permits("m1", self.view, self.clock),
                self.clock,
            ),
            server_limits.ServerLimits(),
        )
        self.view.apply([interfaces.Item("config", b"1", 1)])
        self.use("s0", "s1", "s2", "s4")

    def use(self, *names):
        self.balancer.set_servers(
            builders.server(name, failure_domain="b" if name == "s2" else "a")
            for name in names
        )

    def ask(self, **changes):
        query = placement_query.Query("h.example", "/a/x", prompt=PROMPT)
        return self.queries.answer(query._replace(**changes))


class PlacementQueryTest(QueryCase):
    """Guards against explanations that differ from the decisions."""

    def place(self, name, outcome=health.Outcome.SUCCEEDED):
        profile = estimates.CallProfile(PROMPT, 2_300)
        others = frozenset({"s0", "s1", "s2", "s4"} - {name})
        found = self.balancer.place(builders.SERVICE, profile, others)
        self.balancer.release(found, outcome, estimates.Observation())

    def test_answer_is_what_a_call_would_meet_and_changes_nothing(self):
        self.place("s1")
        before = self.balancer.describe()
        answer = self.ask()
        self.assertEqual(self.ask(), answer)
        self.assertEqual(self.balancer.describe(), before)
        profile = estimates.CallProfile(PROMPT, 2_300)
        choice = self.balancer.choose(builders.SERVICE, profile)
        first = answer["servers"][0]
        self.assertEqual(first["server_id"], choice.server.server_id)
        self.assertEqual(
            first["cost"]["total_ms"], round(choice.cost.total_ms, 1)
        )

    def test_parts_of_the_cost_add_up(self):
        self.place("s1", health.Outcome.FAILED)
        for server in self.ask()["servers"]:
            cost = server["cost"]
            parts = ("time_ms", "delay_to_others_ms", "risk_ms")
            total_ms = sum(cost[name] for name in parts)
            total_ms += cost["domain_penalty_ms"]
            self.assertAlmostEqual(total_ms, cost["total_ms"], delta=0.3)
            has_penalty = cost["domain_penalty_ms"] > 0
            self.assertIs(has_penalty, server["server_id"] == "s2")
            self.assertIs(cost["risk_ms"] > 0, server["server_id"] == "s1")

    def test_what_excludes_a_server_is_named(self):
        self.use("s0", "s1", "s2", "s3", "s4")
        self.place("s0", health.Outcome.UNREACHABLE)
        choice = self.balancer.choose_planned("s1", estimates.CallProfile())
        self.balancer.deny(choice, 200.0)
        found = {
            server["server_id"]: server for server in self.ask()["servers"]
        }
        self.assertEqual(found["s0"]["obstacle"], "ejected")
        self.assertEqual(found["s1"]["obstacle"], "rate_limit")
        self.assertEqual(found["s1"]["denied_for_ms"], 200.0)
        self.assertEqual(found["s3"]["obstacle"], "paced")
        self.assertEqual(found["s3"]["pace"]["reason"], "started")
        refused = self.ask(version="other")
        self.assertIsNotNone(refused["refusal"])

    def test_malformed_query_is_refused_with_the_field(self):
        for document, text in (
            ([], "not a JSON object"),
            ({"path": "/a/"}, "host"),
            ({"host": "h", "path": "/", "typo": 1}, "typo: unknown"),
            ({"host": "h", "path": "/", "prompt": [["a", -1]]}, "prompt"),
            ({"host": "h", "path": "/", "prompt": "abc"}, "prompt"),
            ({"host": "h", "path": "/", "has_budget": True}, "program"),
        ):
            with (
                self.subTest(document),
                self.assertRaisesRegex(
                    placement_query.InvalidQueryError, text
                ),
            ):
                placement_query.decode(json.dumps(document).encode())


class WhereCommandTest(QueryCase):
    """Guards against exit statuses that a script cannot tell apart."""

    def setUp(self):
        super().setUp()
        self.listener = listeners.Listener(
            "127.0.0.1:0", self.queries.handle, gateway_case.LIMITS
        )
        self.listener.start()
        self.addCleanup(self.listener.stop_accepting)

    def run_where(self, *arguments, address=None):
        address = address or self.listener.address
        return testing.CliRunner().invoke(
            operator.main, ["where", address, *arguments]
        )

    def test_command_prints_the_answer(self):
        result = self.run_where("h.example", "/a/x", "--part", "t:300")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("s0", result.output)
        result = self.run_where("h.example", "/a/x", "--json")
        self.assertEqual(len(json.loads(result.output)["servers"]), 4)

    def test_wrong_question_and_silent_process_have_different_statuses(self):
        for arguments, address, status in (
            (("h.example", "/none/"), None, 2),
            (("h.example", "/a/x", "--workspace", "w"), None, 2),
            (("h.example", "/a/x", "--part", "t"), None, 2),
            (("h.example", "/a/x"), "127.0.0.1:1", 3),
        ):
            with self.subTest(arguments):
                result = self.run_where(*arguments, address=address)
                self.assertEqual(result.exit_code, status, result.output)
                self.assertNotIn("Traceback", result.output)
