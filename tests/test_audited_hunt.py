"""Tests of the hunt that audits its plays, with a stand-in for the bench."""

import json
import pathlib
import subprocess
import sys
import tempfile
import textwrap
import unittest

from click.testing import CliRunner

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import audited_hunt  # noqa: E402

REFUSAL = [
    {
        "name_of_event": "budget_decided",
        "request_id": "r1",
        "program_id": "p",
        "budget_tokens": 60,
        "turn_tokens": 60,
        "holder": "edge-a-1",
        "outcome": "exhausted, 60 recorded and 0 of them left",
    },
    {
        "name_of_event": "request_ended",
        "request_id": "r1",
        "program_id": "p",
        "status": 402,
    },
]
LOG = [f"   1.5000 edge-a-1 {json.dumps(fields)}" for fields in REFUSAL]
# Prints the lines of the file with the day's name, after its own arguments.
BENCH = """\
    #!{python}
    import pathlib, sys
    folder = pathlib.Path(__file__).parent
    with (folder / "arguments").open("a") as file:
        file.write(" ".join(sys.argv[1:]) + "\\n")
    print((folder / sys.argv[3]).read_text(), end="")
"""


class AuditedHuntTest(unittest.TestCase):
    """Guards against a hunt that passes over refusals or its own failure."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.keep = self.path / "kept"
        self.bench = self.path / "bench"
        script = textwrap.dedent(BENCH).format(python=sys.executable)
        self.bench.write_text(script, encoding="utf-8")
        self.bench.chmod(0o755)

    def add_day(self, name, *lines):
        """Set the lines that the bench prints for a day."""
        text = "".join(f"{line}\n" for line in lines)
        (self.path / name).write_text(text, encoding="utf-8")

    def hunt(self, *arguments):
        """Run a hunt and return its exit status and output lines."""
        done = CliRunner().invoke(
            audited_hunt.main,
            [
                *("--bench", str(self.bench), "--keep", str(self.keep)),
                "site.toml",
                *arguments,
            ],
        )
        return done.exit_code, done.output.splitlines()

    def kept(self):
        return sorted(path.name for path in self.keep.iterdir())

    def test_wrong_402_is_told_and_its_play_is_kept(self):
        self.add_day("quiet", "built", *LOG, "snapshot aa11")
        status, lines = self.hunt("quiet", "--seed", "7")
        self.assertEqual(status, 1)
        self.assertEqual(
            lines,
            [
                "quiet seed 7: rules broken: none; 1 answers 402, 1 wrong, of"
                " 1 programs; 0 wrong 404, 0 refused but run; snapshot aa11"
            ],
        )
        self.assertEqual(self.kept(), ["quiet-7-aa11.log"])
        text = (self.keep / "quiet-7-aa11.log").read_text()
        self.assertEqual(text.splitlines(), ["built", *LOG, "snapshot aa11"])

    def test_clean_play_leaves_nothing(self):
        self.add_day("quiet", "built", "snapshot aa11")
        status, (line,) = self.hunt("quiet")
        self.assertEqual(status, 0)
        self.assertIn("quiet seed own: rules broken: none; 0 answers", line)
        self.assertEqual(self.kept(), [])

    def test_play_with_a_broken_rule_is_kept(self):
        self.add_day("quiet", "rules broken: LOST 1", "snapshot aa11")
        status, (line,) = self.hunt("quiet")
        self.assertEqual(status, 1)
        self.assertIn("rules broken: LOST 1;", line)
        self.assertEqual(self.kept(), ["quiet-own-aa11.log"])

    def test_play_that_does_not_finish_is_a_finding(self):
        self.add_day("quiet", "no such day")
        status, (line,) = self.hunt("quiet")
        self.assertEqual(status, 1)
        self.assertIn("snapshot none, not finished", line)
        self.assertEqual(self.kept(), ["quiet-own-unfinished.log"])

    def test_each_day_is_played_with_each_seed(self):
        for day in ("one", "two"):
            self.add_day(day, "snapshot aa11")
        options = ("--seed", "1", "--seed", "2", "--vary", "--no-cpu")
        self.hunt("one", "two", *options, "--why", "test")
        common = "--vary --no-cpu --log all --jobs 1 --why test"
        self.assertEqual(
            (self.path / "arguments").read_text().splitlines(),
            [
                f"run site.toml {day} --seed {seed} {common}"
                for day in ("one", "two")
                for seed in (1, 2)
            ],
        )

    def test_days_of_earlier_hunts_are_replayed(self):
        self.add_day("hunt-1", "snapshot aa11")
        self.hunt("--replay", "hunt-1")
        arguments = (self.path / "arguments").read_text()
        self.assertTrue(arguments.startswith("replay site.toml hunt-1 --log"))

    def test_play_whose_lines_are_not_read_to_the_end_is_stopped(self):
        code = "print('x', flush=True); import time; time.sleep(60)"
        lines = audited_hunt.output([sys.executable, "-c", code])
        self.assertEqual(next(lines), "x\n")
        lines.close()

    def test_help_shows_the_options(self):
        done = subprocess.run(
            [sys.executable, audited_hunt.__file__, "--help"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertIn("--keep", done.stdout)


if __name__ == "__main__":
    unittest.main()
