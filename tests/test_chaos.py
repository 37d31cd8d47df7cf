"""Test of a short chaos run with real processes."""

import pathlib
import subprocess
import sys
import unittest

CHAOS = pathlib.Path(__file__).parent.parent / "tools" / "chaos.py"
SEED = 7
STEPS = 10
TIMEOUT_S = 90


class ChaosTest(unittest.TestCase):
    """Guards against requirements that only combined faults violate."""

    def test_requirements_hold_under_random_faults(self):
        done = subprocess.run(
            [sys.executable, CHAOS, f"--seed={SEED}", f"--steps={STEPS}"],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn(f"seed {SEED}: 0 findings", done.stdout)
