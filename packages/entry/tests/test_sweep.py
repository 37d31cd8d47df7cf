"""Tests of the release of engine memory."""

import threading
import types
import unittest

import builders

from balsamloom_configuration import document as documents
from balsamloom_core import clock as clocks
from balsamloom_entry import engine_clients, sweep


class SweepTest(unittest.TestCase):
    """Guards against memory that stays held because of another engine."""

    def test_orphaned_memory_of_each_engine_is_released_each_interval(self):
        clock = clocks.ManualClock()
        good = builders.HoldingEngine("gone/1", "live/1")
        bad = builders.HoldingEngine("gone/2")
        bad.fails = True
        sweeper = sweep.Sweep(
            lambda: {"bad": bad, "good": good},
            lambda tags: {tag for tag in tags if tag.startswith("gone")},
            clock,
        )
        self.addCleanup(sweeper.stop)
        for sweep_number in range(2):
            for engine_id, engine in sweeper.claim_due_engines().items():
                sweeper.sweep_and_reschedule(engine_id, engine)
            self.assertEqual(set(good.held), {"live/1"})
            self.assertEqual(sweeper.claim_due_engines(), {})
            good.held[f"gone/again{sweep_number}"] = 1
            bad.fails = False
            clock.advance(sweep.SWEEP_INTERVAL_MS)
        self.assertEqual(bad.held, {})

    def test_engines_that_only_others_follow_are_swept_too(self):
        """Guards against memory that its owner never reads.

        A process follows some engines only, but its programs may hold memory
        at any engine.
        """
        servers = [
            {"id": f"m{number}", "address": f"h:{number}"}
            for number in range(3)
        ]
        parts = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                document=documents.Document(
                    1,
                    {
                        "models": documents.Section(
                            {"rota": {"servers": servers}}, 1
                        )
                    },
                )
            ),
            backends=types.SimpleNamespace(followed=list),
            engine_at=lambda address: None,
        )
        swept = engine_clients.swept_engines(parts)
        self.assertEqual(sorted(swept), ["m0", "m1", "m2"])

    def test_hung_engine_does_not_delay_others(self):
        hang = threading.Event()
        released = threading.Event()

        class Hung(builders.HoldingEngine):
            def holds(self, timeout_ms):
                hang.wait(20)
                return []

        class Released(builders.HoldingEngine):
            def release(self, tags, timeout_ms):
                released.set()

        sweeper = sweep.Sweep(
            lambda: {"a": Hung(), "b": Released("gone")}, set, clocks.Clock()
        )
        self.addCleanup(sweeper.stop)
        self.addCleanup(hang.set)
        sweeper.start()
        self.assertTrue(released.wait(10))
