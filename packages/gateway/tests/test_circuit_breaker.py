"""Tests of the circuit breaker for other processes."""

import unittest

import builders

from balsamloom_gateway import circuit_breaker

BACKOFF = circuit_breaker.Backoff(1_000.0, 4_000.0, trial_ms=200.0)


class CircuitBreakerTest(unittest.TestCase):
    """Guards against many callers that wait for one process that is down.

    This happens when the first holder of the budgets of an edge process's
    turns has stopped and is still registered.
    """

    def setUp(self):
        self.clock = builders.manual_clock()
        self.breaker = circuit_breaker.CircuitBreaker(BACKOFF, self.clock)

    def test_one_call_tests_the_process_for_all(self):
        self.breaker.record_failure("a")
        self.clock.advance(1_000.0)
        tries = [self.breaker.allow_call("a") for _ in range(5)]
        self.assertEqual(tries, [True, False, False, False, False])

    def test_trial_without_an_end_is_repeated(self):
        self.breaker.record_failure("a")
        self.clock.advance(1_000.0)
        self.assertTrue(self.breaker.allow_call("a"))
        self.clock.advance(200.0)
        self.assertTrue(self.breaker.allow_call("a"))

    def test_answer_closes_the_circuit(self):
        self.breaker.record_failure("a")
        self.assertTrue(self.breaker.is_open("a"))
        self.breaker.record_success("a")
        self.assertFalse(self.breaker.is_open("a"))
        self.assertTrue(all(self.breaker.allow_call("a") for _ in range(3)))

    def test_backoff_grows_with_consecutive_failures(self):
        for backoff_ms in (1_000.0, 2_000.0, 4_000.0, 4_000.0):
            self.assertTrue(self.breaker.allow_call("a"))
            self.breaker.record_failure("a")
            self.clock.advance(backoff_ms - 1)
            self.assertTrue(self.breaker.is_open("a"))
            self.clock.advance(1)
            self.assertFalse(self.breaker.is_open("a"))

    def test_failing_time_counts_from_the_first_failure_after_an_answer(self):
        self.assertEqual(self.breaker.failing_ms("a"), 0.0)
        for _ in range(3):
            self.breaker.record_failure("a")
            self.clock.advance(1_500.0)
        self.assertEqual(self.breaker.failing_ms("a"), 4_500.0)
        self.breaker.record_success("a")
        self.breaker.record_failure("a")
        self.assertEqual(self.breaker.failing_ms("a"), 0.0)

    def test_concurrent_failures_count_once(self):
        for _ in range(3):
            self.breaker.record_failure("a")
        self.clock.advance(1_000.0)
        self.assertFalse(self.breaker.is_open("a"))


if __name__ == "__main__":
    unittest.main()
