"""Tests of the committed measurement results."""

import json
import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCENARIOS = {
    "slowdown",
    "head_of_line",
    "head_of_line_stragglers",
    "load_spike",
    "prefix_recompute",
    "mean_program_latency",
    "node_loss",
}
NUMBERS = ("policy", "baseline", "ratio", "ratio_min", "ratio_max")
FIELDS = {"figure", "unit", *NUMBERS, "seeds"}
MIN_SEEDS = 3


class MeasurementsTest(unittest.TestCase):
    def setUp(self):
        text = (ROOT / "measurements" / "latest.json").read_text("utf-8")
        self.results = json.loads(text)

    def test_each_scenario_has_its_fields_and_seeds(self):
        """Guards against incomplete figures or too few seeds."""
        self.assertEqual(set(self.results), SCENARIOS)
        for name, entry in self.results.items():
            with self.subTest(name):
                self.assertEqual(set(entry), FIELDS)
                for field in NUMBERS:
                    self.assertIsInstance(entry[field], (int, float))
                self.assertTrue(entry["figure"])
                self.assertTrue(entry["unit"])
                self.assertLessEqual(entry["ratio_min"], entry["ratio"])
                self.assertLessEqual(entry["ratio"], entry["ratio_max"])
                self.assertGreaterEqual(len(set(entry["seeds"])), MIN_SEEDS)

    def test_the_page_states_the_measured_ratios(self):
        """Guards against a page that was written by an earlier run."""
        page = (ROOT / "docs" / "measurements.md").read_text("utf-8")
        rows = {
            cells[1].strip(" `"): cells
            for line in page.splitlines()
            if len(cells := line.split("|")) > 8
        }
        for name, entry in self.results.items():
            with self.subTest(name):
                self.assertIn(name, rows)
                ratio = rows[name][5].strip()
                self.assertEqual(ratio, str(entry["ratio"]))
                spread = f"{entry['ratio_min']} to {entry['ratio_max']}"
                self.assertEqual(rows[name][6].strip(), spread)
