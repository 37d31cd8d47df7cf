"""Tests of the clock."""

import threading
import unittest

from balsamloom_core import clock


class ManualClockTest(unittest.TestCase):
    """Guards against tests that pass because time did not advance."""

    def test_wait_ends_when_time_is_advanced(self):
        manual = clock.ManualClock()
        event = threading.Event()
        results = []
        waiter = threading.Thread(
            target=lambda: results.append(manual.wait(event, 500))
        )
        waiter.start()
        manual.advance(500)
        waiter.join(5)
        self.assertEqual(results, [False])

    def test_wait_ends_when_event_is_set(self):
        manual = clock.ManualClock()
        event = threading.Event()
        event.set()
        self.assertTrue(manual.wait(event, 500))
