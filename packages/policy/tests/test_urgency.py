"""Tests of the priority of calls at engines."""

import subprocess
import sys
import unittest

import overload

from balsamloom_policy import urgency


def priority(rank=1, left_ms=1_000.0, turn_ms=100.0, program_id="p3"):
    time = urgency.ProgramTime(program_id, left_ms, turn_ms)
    return urgency.engine_priority(rank, time)


def by_slack(program, now_ms):
    left_ms = program.deadline_ms - now_ms
    return priority(
        program.rank, left_ms, overload.TURN_MS, program.program_id
    )


def by_rank(program, now_ms):
    return program.rank


class PriorityTest(unittest.TestCase):
    def test_less_time_left_goes_first(self):
        found = [priority(left_ms=left_ms) for left_ms in (300, 800, 5_000)]
        self.assertEqual(found, [3, 4, 5])

    def test_rank_goes_before_time_left(self):
        self.assertLess(priority(0, 5_000), priority(1, 300))

    def test_late_program_yields_to_all_for_a_while(self):
        self.assertEqual(priority(0, 50), urgency.LAST_PRIORITY)
        self.assertEqual(priority(0, -1_999), urgency.LAST_PRIORITY)
        self.assertEqual(priority(0, -2_000), 2)

    def test_unknown_deadline_is_between(self):
        found = urgency.engine_priority(1, None)
        self.assertLess(priority(1, 300), found)
        self.assertLess(found, priority(1, 5_000))

    def test_priorities_are_those_of_engines(self):
        found = {
            priority(rank, left_ms)
            for rank in (-1, 0, 1, 2, 40)
            for left_ms in (-9_000, -1, 300, 800, 5_000)
        }
        self.assertEqual(found, set(range(10)))

    def test_favoured_programs_are_a_share_of_all(self):
        count = sum(
            urgency.ProgramTime(f"p{i}", 0, 0).is_favoured
            for i in range(2_000)
        )
        self.assertAlmostEqual(
            count / 2_000, urgency.FAVOURED_SHARE, delta=0.05
        )

    def test_import_needs_no_schemas(self):
        code = (
            "import sys, balsamloom_policy.urgency;"
            "sys.exit('jsonschema' in sys.modules)"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)


class OverloadTest(unittest.TestCase):
    def play(self, capacity_factor, order):
        played = []
        for seed in range(4):
            programs = overload.arrivals(capacity_factor, seed)
            overload.play(programs, order)
            played += programs
        return played

    def test_more_programs_end_in_time_than_by_rank_alone(self):
        for factor in (1.0, 1.3, 1.7):
            with self.subTest(factor=factor):
                fixed = self.play(factor, by_rank)
                slack = self.play(factor, by_slack)
                self.assertGreater(
                    overload.shares_in_time(slack, 1)[0],
                    overload.shares_in_time(fixed, 1)[0] + 0.1,
                )
                self.assertGreater(overload.shares_in_time(slack, 0)[0], 0.95)

    def test_long_programs_are_served_half_as_often_as_their_class(self):
        for factor in (1.0, 1.3, 1.7):
            with self.subTest(factor=factor):
                played = self.play(factor, by_slack)
                for rank in (0, 1):
                    whole, *large = overload.shares_in_time(played, rank)
                    for share in large:
                        self.assertGreaterEqual(share, whole / 2)


if __name__ == "__main__":
    unittest.main()
