"""Tests of the load tool against real entry processes."""

import json
import subprocess
import unittest

from balsamloom_standins import deployments, fleet, load


class PlanTest(unittest.TestCase):
    def test_a_seed_gives_the_same_programs(self):
        """Guards against comparisons of policies on different loads."""
        steps = [load.RateStep(20, 2_000), load.RateStep(60, 2_000)]
        first = load.make_plans(7, steps, straggler_share=0.1)
        self.assertEqual(first, load.make_plans(7, steps, straggler_share=0.1))
        self.assertNotEqual(
            first, load.make_plans(8, steps, straggler_share=0.1)
        )
        early = sum(plan.arrival_ms < 2_000 for plan in first)
        self.assertGreater(len(first) - early, 1.5 * early)
        self.assertTrue(any(plan.is_straggler for plan in first))


class LoadTest(unittest.TestCase):
    def test_programs_complete_and_each_tool_call_runs_once(self):
        """Guards against a summary that counts programs that did nothing."""
        started = fleet.Fleet()
        self.addCleanup(started.stop)
        deployment = deployments.Deployment(
            started,
            deployments.BOTH._replace(
                entry_count=1,
                engine_options=(("--token-ms", "1", "--slots", "64"),),
                tool_count=1,
            ),
        )
        deployment.start()
        entry = deployment.entries[0]
        tools = deployment.tools[0]
        command = [
            str(fleet.COMMANDS / "balsamloom-standin"),
            "load",
            *("--entry", entry.address, "--rate", "10x1", "--seed", "3"),
        ]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        found = json.loads(done.stdout)
        planned = load.make_plans(3, [load.RateStep(10, 1_000)])
        self.assertEqual(found["programs"], len(planned))
        self.assertEqual(found["completed"], len(planned), found["outcomes"])
        self.assertGreater(found["latency_ms"]["p50"], 0)
        self.assertEqual(found["retries"], 0)
        runs = tools.request("GET", "/runs")
        tool_calls = sum(len(plan.steps) // 2 for plan in planned)
        self.assertEqual(len(runs), tool_calls)
        self.assertEqual(set(runs.values()), {1})
