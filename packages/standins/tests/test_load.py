"""Tests of the load generator against real entry processes."""

import json
import subprocess
import unittest

from balsamloom_standins import deployments, fleet, load


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_same_programs(self):
        """Guards against comparing policies under different loads."""
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
        """Guards against a summary that counts programs without calls."""
        processes = fleet.Fleet()
        self.addCleanup(processes.stop)
        deployment = deployments.Deployment(
            processes,
            deployments.COMBINED._replace(
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
        finished = subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )
        self.assertEqual(finished.returncode, 0, finished.stderr)
        summary = json.loads(finished.stdout)
        planned = load.make_plans(3, [load.RateStep(10, 1_000)])
        self.assertEqual(summary["programs"], len(planned))
        self.assertEqual(
            summary["completed"], len(planned), summary["outcomes"]
        )
        self.assertGreater(summary["latency_ms"]["p50"], 0)
        self.assertEqual(summary["retries"], 0)
        runs = tools.request("GET", "/runs")
        tool_calls = sum(len(plan.steps) // 2 for plan in planned)
        self.assertEqual(len(runs), tool_calls)
        self.assertEqual(set(runs.values()), {1})
