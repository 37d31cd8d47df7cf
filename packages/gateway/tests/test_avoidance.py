"""Tests of how long a process that failed is not called."""

import unittest

import builders

from balsamloom_gateway import avoidance

PAUSES = avoidance.Pauses(1_000.0, 4_000.0, trial_ms=200.0)


class AvoidanceTest(unittest.TestCase):
    """Guards against many callers that wait for one process in vain.

    The load: all turns of an edge process while the first holder of their
    budgets is gone and still registered.
    """

    def setUp(self):
        self.clock = builders.manual_clock()
        self.avoidance = avoidance.Avoidance(PAUSES, self.clock)

    def test_one_call_finds_out_for_all(self):
        self.avoidance.note_failure("a")
        self.clock.advance(1_000.0)
        tries = [self.avoidance.may_try("a") for _ in range(5)]
        self.assertEqual(tries, [True, False, False, False, False])

    def test_trial_without_an_end_is_repeated(self):
        self.avoidance.note_failure("a")
        self.clock.advance(1_000.0)
        self.assertTrue(self.avoidance.may_try("a"))
        self.clock.advance(200.0)
        self.assertTrue(self.avoidance.may_try("a"))

    def test_answer_ends_the_pause(self):
        self.avoidance.note_failure("a")
        self.assertTrue(self.avoidance.is_avoided("a"))
        self.avoidance.note_answer("a")
        self.assertFalse(self.avoidance.is_avoided("a"))
        self.assertTrue(all(self.avoidance.may_try("a") for _ in range(3)))

    def test_pause_grows_with_failures_one_after_another(self):
        for length_ms in (1_000.0, 2_000.0, 4_000.0, 4_000.0):
            self.assertTrue(self.avoidance.may_try("a"))
            self.avoidance.note_failure("a")
            self.clock.advance(length_ms - 1)
            self.assertTrue(self.avoidance.is_avoided("a"))
            self.clock.advance(1)
            self.assertFalse(self.avoidance.is_avoided("a"))

    def test_silence_counts_from_the_first_failure_after_an_answer(self):
        self.assertEqual(self.avoidance.silent_ms("a"), 0.0)
        for _ in range(3):
            self.avoidance.note_failure("a")
            self.clock.advance(1_500.0)
        self.assertEqual(self.avoidance.silent_ms("a"), 4_500.0)
        self.avoidance.note_answer("a")
        self.avoidance.note_failure("a")
        self.assertEqual(self.avoidance.silent_ms("a"), 0.0)

    def test_calls_that_fail_together_count_once(self):
        for _ in range(3):
            self.avoidance.note_failure("a")
        self.clock.advance(1_000.0)
        self.assertFalse(self.avoidance.is_avoided("a"))


if __name__ == "__main__":
    unittest.main()
