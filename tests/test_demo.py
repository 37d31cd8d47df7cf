"""Tests of the demonstration that ``make run`` starts."""

import pathlib
import re
import signal
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = [sys.executable, str(ROOT / "tools" / "demo.py")]
SMALL = ["--per-kind", "1", "--model-servers", "2"]
KINDS = {
    "household_booking",
    "clinic_batch",
    "doorstep_check",
    "dispatch",
    "swap",
    "hut_lookup",
    "valve_release",
}
TIMEOUT_S = 90


def child_processes(pid):
    """Return the process ids of the children of a process."""
    found = []
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        found += [int(child) for child in path.read_text().split()]
    return found


def is_running(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


class DemoTest(unittest.TestCase):
    """Guards against a demo that fails or leaves processes running."""

    def start(self, *options):
        process = subprocess.Popen(
            [*COMMAND, *options],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.terminate)
        return process

    def test_programs_survive_the_kill_of_an_entry_process(self):
        process = self.start(*SMALL)
        output, problems = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(process.returncode, 0, output + problems)
        self.assertEqual(problems, "")
        lines = output.splitlines()
        self.assertEqual(
            lines[-1], "7 programs, 7 complete, 0 lost, 0 run twice"
        )
        rows = [line.split() for line in lines if line.endswith(" complete")]
        self.assertEqual({row[1] for row in rows}, KINDS)
        killed = [
            number
            for number, line in enumerate(lines)
            if line.startswith("killed entry process restwell-")
        ]
        self.assertEqual(len(killed), 1, output)
        later = [line for line in lines[killed[0] + 1 :] if "calls" in line]
        self.assertTrue(later, "no program ended after the kill")

    def test_interrupt_ends_every_process(self):
        process = self.start(*SMALL)
        first = process.stdout.readline()
        self.assertRegex(first, re.compile("^restwell: 3 entry processes"))
        children = child_processes(process.pid)
        # Two deployments: key-value service, model and tool servers, and
        # three or four entry processes each.
        self.assertEqual(len(children), 2 + 4 + 7 + 7)
        process.send_signal(signal.SIGINT)
        _, problems = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(process.returncode, 130, problems)
        self.assertEqual(problems, "interrupted; all processes have ended\n")
        self.assertEqual([pid for pid in children if is_running(pid)], [])
