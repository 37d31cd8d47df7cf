"""Tests of waits of turns at a fleet that starts again."""

import threading
import unittest

from balsamloom_core import clock
from balsamloom_policy import restart_waits


class HeldClock(clock.ManualClock):
    """Clock whose sleepers wait until a test lets them go."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()
        self.sleeping = threading.Semaphore(0)

    def sleep(self, duration_ms):
        self.sleeping.release()
        self.released.wait(5)


class RestartWaitsTest(unittest.TestCase):
    def setUp(self):
        held = HeldClock()
        held.released.set()
        self.waits = restart_waits.RestartWaits(held)

    def test_turn_waits_while_its_caller_has_time(self):
        self.assertTrue(self.waits.wait(75.0, 0.0, 5_000.0))
        self.assertTrue(self.waits.wait(75.0, 375.0, 4_625.0))

    def test_turn_is_refused_when_its_caller_could_have_returned(self):
        self.assertFalse(self.waits.wait(75.0, 376.0, 4_624.0))

    def test_turn_of_a_caller_with_little_time_is_refused_at_once(self):
        self.assertFalse(self.waits.wait(75.0, 0.0, 299.0))

    def test_turn_is_refused_if_waiting_does_not_help(self):
        self.assertFalse(self.waits.wait(None, 0.0, 5_000.0))

    def test_crowd_beyond_the_bound_is_refused_at_once(self):
        held = HeldClock()
        waits = restart_waits.RestartWaits(held)
        threads = [
            threading.Thread(target=waits.wait, args=(75.0, 0.0, 5_000.0))
            for _ in range(restart_waits.MAX_WAITING)
        ]
        for thread in threads:
            thread.start()
            held.sleeping.acquire()
        self.assertFalse(waits.wait(75.0, 0.0, 5_000.0))
        held.released.set()
        for thread in threads:
            thread.join(5)
        self.assertTrue(waits.wait(75.0, 0.0, 5_000.0))


if __name__ == "__main__":
    unittest.main()
