"""Tests of the stand-in for a model engine, through the real client."""

import threading
import time
import unittest
from concurrent import futures

import builders
import urllib3

from balsamloom_core import results
from balsamloom_platform import engine_client, engines


class EngineTest(unittest.TestCase):
    def start(self, *options):
        self.address = builders.start_standin(self, "engine", *options)
        self.engine = engine_client.Engine(self.address, urllib3.PoolManager())

    def read_to_end(self, stream):
        count = sum(len(batch) for batch in stream.batches())
        self.assertTrue(stream.is_whole)
        return count

    def control(self, **changes):
        response = builders.send(self.address, "POST", "/control", changes)
        self.assertEqual(response.status, 200)

    def stats(self):
        return builders.send(self.address, "GET", "/stats").json()

    def test_a_closed_stream_frees_its_slot_and_leaves_its_hold(self):
        """Guards against holds that end with the stream and can't leak."""
        self.start("--slots", "1", "--token-ms", "20")
        stream = builders.chat(self.engine, 100_000, "p1/1/a")
        next(stream.batches())
        stream.close()
        builders.wait_until(self, lambda: self.engine.load().running == 0)
        held = self.engine.holds()
        self.assertEqual([hold.tag for hold in held], ["p1/1/a"])
        self.assertGreater(held[0].size_bytes, 0)
        self.assertEqual(self.engine.release(["p1/1/a"]), 1)
        self.assertEqual(self.engine.holds(), [])

    def test_cancel_cuts_the_stream(self):
        """Guards against a cancelled answer that counts as complete."""
        self.start()
        stream = builders.chat(self.engine, 100_000, "p1/1/a")
        batches = stream.batches()
        next(batches)
        self.assertEqual(self.engine.cancel("p1/"), 1)
        with self.assertRaises(engines.EngineError):
            list(batches)
        self.assertFalse(stream.is_whole)

    def test_a_lower_priority_number_goes_first(self):
        """Guards against measurements of an engine that ignores priority."""
        self.start("--slots", "1")
        first = builders.chat(self.engine, 100_000, "p1/1/a")
        order = []

        def run(name, priority):
            stream = builders.chat(self.engine, 3, f"{name}/1/a", priority)
            self.read_to_end(stream)
            order.append(name)

        threads = []
        for number, (name, priority) in enumerate((("p2", 5), ("p3", 1))):
            thread = threading.Thread(target=run, args=(name, priority))
            thread.start()
            threads.append(thread)
            builders.wait_until(
                self,
                lambda count=number + 1: self.engine.load().waiting == count,
            )
        first.close()
        for thread in threads:
            thread.join(5)
        self.assertEqual(order, ["p3", "p2"])

    def test_a_repeated_prefix_is_a_hit_until_it_is_evicted(self):
        """Guards against wrong counts of recomputed tokens."""
        self.start("--cache-tokens", "110")
        for content in ("a" * 400, "a" * 400, "b" * 400, "a" * 400):
            self.read_to_end(builders.chat(self.engine, 2, content=content))
        stats = self.stats()
        self.assertEqual(stats["hit"], 100)
        self.assertEqual(stats["computed"], 300)
        self.assertEqual(stats["recomputed"], 100)
        kinds = {event.kind for event in self.engine.cache_events(0)}
        self.assertEqual(kinds, {"stored", "evicted"})

    def test_a_draining_engine_finishes_and_takes_no_new_work(self):
        """Guards against drains that cut off running streams."""
        self.start()
        stream = builders.chat(self.engine, 40)
        self.control(state="draining")
        with self.assertRaises(engines.EngineError) as caught:
            builders.chat(self.engine, 1)
        code = results.ResultCode.NO_BACKEND_SERVER
        self.assertIs(caught.exception.code, code)
        self.assertEqual(self.read_to_end(stream), 41)
        self.assertTrue(self.engine.load().is_draining)

    def test_fences_are_enforced_only_if_set(self):
        """Guards against tests of fencing that no engine can fail.

        Without ``enforces_fence``, the engine applies orders out of order.
        """
        order = engines.Order("set_role", "prefill")
        self.start()
        self.assertTrue(self.engine.send_order(order, 2, "new"))
        self.assertFalse(self.engine.send_order(order, 1, "old"))
        self.control(enforces_fence=False)
        self.assertTrue(self.engine.send_order(order, 1, "old"))
        applied = self.engine.orders().applied
        self.assertEqual(
            [(entry.fence, entry.sender) for entry in applied],
            [(2, "new"), (1, "old")],
        )

    def measure_s(self, streams):
        start_s = time.monotonic()
        with futures.ThreadPoolExecutor(streams) as executor:
            opened = [
                executor.submit(
                    lambda number=number: self.read_to_end(
                        builders.chat(self.engine, 20, f"p{number}/1/a")
                    )
                )
                for number in range(streams)
            ]
            self.assertEqual({each.result() for each in opened}, {21})
        return time.monotonic() - start_s

    def test_tokens_take_longer_in_a_batch_and_when_slowed(self):
        """Guards against batches and slowdowns that add no latency."""
        self.start("--slots", "16")
        self.control(batch_growth=0.5)
        alone_s = self.measure_s(1)
        self.assertGreater(self.measure_s(9), 2.5 * alone_s)
        self.control(slowdown=5)
        self.assertGreater(self.measure_s(1), 2.5 * alone_s)

    def test_many_streams_are_served_at_once(self):
        """Guards against a server with fewer threads than streams."""
        self.start("--slots", "1000")
        self.control(batch_growth=0, token_ms=50)
        self.assertLess(self.measure_s(200), 5 * self.measure_s(1))

    def test_the_load_report_is_late(self):
        """Guards against fresh reports in tests of policies for late ones."""
        self.start()
        self.control(load_delay_ms=60_000)
        stream = builders.chat(self.engine, 100_000)
        next(stream.batches())
        late = self.engine.load()
        self.assertEqual(late.running, 0)
        self.control(load_delay_ms=0)
        self.assertEqual(self.engine.load().running, 1)
        stream.close()
