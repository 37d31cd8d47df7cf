"""Tests of the simulated engines, services and days."""

import json
import pathlib
import tempfile
import unittest

import builders
from click import testing

from balsamloom_gateway import traffic
from balsamloom_model import (
    day,
    deployments,
    engines,
    experiment,
    figures,
    policies,
    services,
    simulation,
)

NO_NOISE = deployments.Noise(0.0, 1.0, 1_000.0)


class SimulationTest(unittest.TestCase):
    """Guards against actions that run at a wrong time or in a wrong order."""

    def test_actions_run_by_time(self):
        sim = simulation.Simulation()
        seen = []
        for delay_ms in (5.0, 1.0, 5.0):
            sim.schedule(delay_ms, lambda: seen.append(sim.clock.now_ms()))
        sim.run(4.0)
        self.assertEqual(seen, [1.0])
        sim.run(10.0)
        self.assertEqual(seen, [1.0, 5.0, 5.0])


class EngineTest(unittest.TestCase):
    """Guards against durations that differ from the fleet's settings."""

    def setUp(self):
        self.sim = simulation.Simulation()

    def engine(self, speed=1.0, **changes):
        server = traffic.BackendServer("e", "s", "e", "a", 4, False, 1)
        return engines.Engine(
            server,
            builders.engine_fleet(**changes),
            speed,
            self.sim,
            engines.SlowPeriods(NO_NOISE, "x"),
        )

    def submit(self, engine, part="p", tokens=1_000, output=6):
        events = []
        ends = []
        request = engines.Request(
            (traffic.PromptPart(part, tokens),),
            output,
            lambda _: events.append(self.sim.clock.now_ms()),
            lambda _: ends.append(self.sim.clock.now_ms()),
        )
        return engine.submit(request), events, ends

    def test_duration_is_prefill_plus_generation(self):
        _, events, ends = self.submit(self.engine())
        self.sim.run(1_000.0)
        # Prefill of 1,000 tokens at 20 per ms, then 6 steps of 5 ms.
        self.assertEqual(events, [65.0, 80.0])
        self.assertEqual(ends, [80.0])

    def test_cached_prompt_is_not_prefilled_again(self):
        engine = self.engine()
        self.submit(engine)
        self.sim.run(1_000.0)
        _, _, ends = self.submit(engine)
        self.sim.run(2_000.0)
        self.assertAlmostEqual(ends[0], 80.0 + 30.0)
        self.assertEqual(engine.prefilled_tokens, 1_000)

    def test_prefill_delays_the_streams_of_others(self):
        engine = self.engine()
        _, events, _ = self.submit(engine, "a", 100, 30)
        self.sim.schedule(20.0, lambda: self.submit(engine, "b", 2_000, 3))
        self.sim.run(1_000.0)
        gaps = [
            after - before
            for before, after in zip(events, events[1:], strict=False)
        ]
        self.assertEqual(max(gaps), 115.0)
        self.assertEqual(sorted(gaps)[len(gaps) // 2], 15.0)

    def test_engine_with_full_queue_refuses(self):
        engine = self.engine()
        accepted = [self.submit(engine, f"p{n}")[0] for n in range(8)]
        # One is running; the others wait for the next iteration.
        self.assertEqual(accepted.count(True), 3)

    def test_full_cache_evicts_the_oldest_part(self):
        engine = self.engine(memory_tokens=1_500)
        for name in ("a", "b"):
            self.submit(engine, name)
            self.sim.run(self.sim.clock.now_ms() + 1_000.0)
        missing = [
            engine.uncached_tokens((traffic.PromptPart(name, 1_000),))
            for name in ("a", "b")
        ]
        self.assertEqual(missing, [1_000, 0])


class ToolServerTest(unittest.TestCase):
    """Guards against tool servers that run more calls than slots."""

    def test_calls_wait_for_a_slot_and_are_refused_beyond_the_queue(self):
        sim = simulation.Simulation()
        server = traffic.BackendServer("t", "s", "t", "a", 2, False, 1)
        tool_server = services.ToolServer(
            server,
            deployments.ServiceFleet(1, 2, 1),
            sim,
            engines.SlowPeriods(NO_NOISE, "x"),
        )
        ends = []
        accepted = [
            tool_server.submit(10.0, lambda _: ends.append(sim.clock.now_ms()))
            for _ in range(4)
        ]
        sim.run(100.0)
        self.assertEqual(accepted, [True, True, True, False])
        self.assertEqual(ends, [10.0, 10.0, 20.0])


class DayTest(unittest.TestCase):
    """Guards against regressions of placement quality."""

    def figures(self, policy, name="wasserreigen", seed=1, duration=8_000.0):
        deployment = builders.deployment(name, duration)
        result = day.Day(deployment, policies.POLICIES[policy], seed).run()
        return figures.compute(result, deployment.duration_ms)

    def test_same_seed_gives_the_same_day(self):
        self.assertEqual(self.figures("holders"), self.figures("holders"))

    def test_all_programs_end_without_noise(self):
        calculated = self.figures("holders")
        self.assertGreater(calculated["programs"], 20)
        self.assertEqual(calculated["failed"], 0.0)

    def test_holders_come_near_to_the_oracle(self):
        # The target is at most 1.1 times the oracle's mean program latency.
        for name in ("restwell", "wasserreigen"):
            for seed in (1, 2):
                oracle = self.figures("all-knowing", name, seed, 20_000.0)
                holders = self.figures("holders", name, seed, 20_000.0)
                ratio = holders["mean_ms"] / oracle["mean_ms"]
                self.assertLess(ratio, 1.1, (name, seed))

    def test_holders_serve_a_large_fleet_better_than_single_edges(self):
        # Each of 77 edge processes sees one turn in 77. A budget holder sees
        # all turns that are placed on its group of engines.
        duration_ms = 10_000.0
        edges = self.figures("edges", "restwell-grown", 1, duration_ms)
        holders = self.figures("holders", "restwell-grown", 1, duration_ms)
        self.assertLess(holders["mean_stretch"], 1.5)
        self.assertGreater(edges["mean_stretch"], holders["mean_stretch"])


class ExperimentTest(unittest.TestCase):
    """Guards against hidden errors and missing result files."""

    def setUp(self):
        self.runner = testing.CliRunner()
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.path = pathlib.Path(self.directory.name)
        content = builders.deployment(duration_ms=3_000.0)
        self.file = self.path / "small.json"
        self.file.write_text(json.dumps(_as_object(content)))

    def run_tool(self, *arguments):
        return self.runner.invoke(experiment.main, [str(a) for a in arguments])

    def test_run_writes_results_and_plots(self):
        output = self.path / "out"
        result = self.run_tool(
            "run",
            self.file,
            "--policy",
            "holders",
            "--policy",
            "random",
            "--seeds",
            2,
            "--load",
            "1.0",
            "--output",
            output,
        )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("holders", result.output)
        rows = json.loads((output / "result.json").read_text())
        self.assertEqual(len(rows), 4)
        self.assertIn("<svg", (output / "worth.svg").read_text())
        again = self.run_tool(
            "compare", output / "result.json", output / "result.json"
        )
        self.assertEqual(again.exit_code, 0, again.output)
        self.assertIn("higher on 0 of 4 days", again.output)

    def test_invalid_field_is_named(self):
        content = json.loads(self.file.read_text())
        content["engines"]["slots"] = "many"
        self.file.write_text(json.dumps(content))
        result = self.run_tool("run", self.file)
        self.assertEqual(result.exit_code, 1)
        self.assertIn(
            "small.json.engines.slots: expected int, got 'many'", result.output
        )

    def test_missing_and_unknown_fields_are_named(self):
        content = json.loads(self.file.read_text())
        for change, text in (
            (lambda: content.pop("noise"), "small.json.noise is missing"),
            (
                lambda: content.update(
                    noise=dict(NO_NOISE._asdict()), extra=1
                ),
                "small.json.extra is unknown",
            ),
        ):
            change()
            self.file.write_text(json.dumps(content))
            self.assertIn(text, self.run_tool("run", self.file).output)


def _as_object(value):
    if hasattr(value, "_asdict"):
        return {k: _as_object(v) for k, v in value._asdict().items()}
    if isinstance(value, tuple):
        return [_as_object(entry) for entry in value]
    return value


if __name__ == "__main__":
    unittest.main()
