"""Compare docs/CAPACITY.md with the measurements and the target size."""

import json
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import capacity_fit  # noqa: E402
import capacity_page  # noqa: E402

SIZES = (
    "350",
    "7,700",
    "31,000",
    "21,000 requests/s",
    "7 million tokens/s",
    "270,000",
    "100 turns",
    "130,000 tokens",
    "4,500",
    "26",
    "8",
    "29",
    "22,000 a day",
    "9 s",
    "120 a day",
    "2,600 a day",
    "every week",
    "a few times a year",
    "for minutes, several times a year",
    "2.1%",
    "32 MB",
    "7 KB/s",
    "2,000 reads",
)
ROLES = (
    "entry process",
    "operator command",
    "caller's lookup",
    "key-value service",
    "data host",
)


class CapacityPageTest(unittest.TestCase):
    """Guards against a page that differs from the stored measurements."""

    @classmethod
    def setUpClass(cls):
        cls.text = capacity_page.PAGE.read_text(encoding="utf-8")
        raw = capacity_page.RESULTS.read_text(encoding="utf-8")
        cls.results = json.loads(raw)

    def test_page_names_every_figure_of_the_target_size(self):
        missing = [size for size in SIZES if size not in self.text]
        self.assertEqual(missing, [])

    def test_sizes_table_has_the_target_figures(self):
        table = capacity_page.tables(self.results)["sizes"]
        for name, figure in (
            ("nodes", "350"),
            ("backend servers", "7,700"),
            ("models", "26"),
            ("regions", "8"),
            ("failure domains", "29"),
            ("workspaces", "4,500"),
        ):
            self.assertIn(f"| {name} | {figure} |\n", table)

    def test_roles_table_has_every_role(self):
        table = capacity_page.tables(self.results)["roles"]
        for role in ROLES:
            self.assertIn(f"| {role}", table)

    def test_page_tables_match_the_measurements(self):
        for name, table in capacity_page.tables(self.results).items():
            with self.subTest(table=name):
                begin = f"<!-- table: {name} -->\n"
                self.assertEqual(self.text.count(begin), 1)
                shown = self.text.split(begin)[1].split("<!-- end -->")[0]
                self.assertEqual(shown, table)

    def test_stored_lines_match_the_stored_points(self):
        for document in self.results["slopes"]:
            with self.subTest(slope=document["name"]):
                stored = capacity_fit.from_json(document)
                refitted = capacity_fit.fit(
                    stored.name, stored.x, stored.y, stored.points
                )
                self.assertAlmostEqual(refitted.slope, stored.slope)
                self.assertAlmostEqual(refitted.start, stored.start)
                self.assertAlmostEqual(refitted.residual, stored.residual)


class FitTest(unittest.TestCase):
    """Guards against a wrong line and against no residual for a curve."""

    def test_line_fits_exactly_and_curve_leaves_residual(self):
        line = capacity_fit.fit("a", "x", "y", [(1, 5), (2, 7), (4, 11)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.start, 3)
        self.assertAlmostEqual(line.residual, 0)
        self.assertAlmostEqual(line.at(10), 23)
        curve = capacity_fit.fit("a", "x", "y", [(1, 1), (2, 4), (4, 16)])
        self.assertGreater(curve.residual, 0.02)


if __name__ == "__main__":
    unittest.main()
