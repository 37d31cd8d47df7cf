"""Tests of the release of engine memory."""

import threading
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import identifiers
from balsamloom_entry import sweep


class GoneTest(unittest.TestCase):
    """Guards against memory held for ever or taken from a live program."""

    def setUp(self):
        self.current = builders.map_of({1: ("m1", 5), 2: ("m2", 5)})
        self.live = identifiers.new_program_id(1)
        self.ended = identifiers.new_program_id(1)

    def gone(self, *tags):
        return sweep.gone_tags(
            tags, self.current, "m1", lambda name: name == self.live
        )

    def test_ended_programs_and_lower_epochs_are_gone(self):
        tags = {f"{self.ended}/5/k", f"{self.live}/4/k/with/slash"}
        self.assertEqual(self.gone(*tags, f"{self.live}/5/k"), tags)

    def test_tags_of_others_or_of_a_newer_map_are_kept(self):
        foreign = identifiers.new_program_id(2)
        unowned = identifiers.new_program_id(3)
        tags = (
            f"{foreign}/1/k",
            f"{unowned}/1/k",
            f"{self.ended}/6/k",
            f"{self.ended}/x/k",
            self.ended,
            "somebody-elses-tag",
            "",
        )
        self.assertEqual(self.gone(*tags), set())


class SweepTest(unittest.TestCase):
    """Guards against one bad engine that keeps the others from release."""

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
        for turn in range(2):
            for engine_id, engine in sweeper.take_due().items():
                sweeper.run_engine(engine_id, engine)
            self.assertEqual(set(good.held), {"live/1"})
            self.assertEqual(sweeper.take_due(), {})
            good.held[f"gone/again{turn}"] = 1
            bad.fails = False
            clock.advance(sweep.INTERVAL_MS)
        self.assertEqual(bad.held, {})

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
