"""Tests of who is shed when memory or threads are short."""

import logging
import threading
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_ingress import (
    accounts,
    errors,
    limits,
    refusals,
    transfers,
    waiting_readers,
)


class SheddingCase(unittest.TestCase):
    """Test case with transfers that give back their memory when evicted."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        # Transfers of these tests are small, so they get all of it.
        self.account = builders.account(1_000, self.clock)
        self.evicted = []

    def transfer(self, name, remaining_bytes=0, held_bytes=0):
        """Return a transfer that holds memory."""

        def evict():
            self.evicted.append(name)
            # The thread that reads it gives its memory back.
            threading.Timer(0.01, self.account.release, [found]).start()

        found = transfers.Transfer(self.clock, evict)
        found.expect(remaining_bytes)
        if held_bytes:
            self.account.take(found, held_bytes)
        return found


class AccountTest(SheddingCase):
    """Guards against bodies that together exceed the memory."""

    def test_stalled_transfer_goes_before_one_that_is_far_from_its_end(self):
        self.transfer("stalled", 1, held_bytes=500)
        self.clock.advance(transfers.STALLED_MS)
        moving = self.transfer("moving", 900, held_bytes=400)
        moving.add(transfers.PROGRESS_BYTES)
        self.account.take(self.transfer("new", 10), 300)
        self.assertEqual(self.evicted, ["stalled"])
        self.assertEqual(self.account.used_bytes, 700)

    def test_single_bytes_are_no_progress(self):
        dripping = self.transfer("dripping", 1, held_bytes=900)
        for _ in range(10):
            self.clock.advance(transfers.STALLED_MS / 5)
            dripping.add(1)
        self.account.take(self.transfer("new", 10), 300)
        self.assertEqual(self.evicted, ["dripping"])

    def test_transfer_that_is_furthest_from_its_end_goes_first(self):
        self.transfer("near", 10, held_bytes=500)
        self.transfer("far", transfers.STEP_BYTES, held_bytes=400)
        self.account.take(self.transfer("new", 100), 300)
        self.assertEqual(self.evicted, ["far"])

    def test_newcomer_that_is_furthest_from_its_end_is_refused(self):
        self.transfer("near", 10, held_bytes=900)
        with self.assertRaises(errors.ShedError):
            self.account.take(self.transfer("new", transfers.STEP_BYTES), 300)
        self.assertEqual(self.evicted, [])

    def test_large_body_one_byte_short_goes_before_a_small_request(self):
        size = 4 * transfers.STEP_BYTES
        self.account = builders.account(size, self.clock)
        self.transfer("large", 1, held_bytes=size)
        self.account.take(self.transfer("small", 2_000), size)
        self.assertEqual(self.evicted, ["large"])

    def test_body_that_exceeds_the_account_leaves_room_for_small_ones(self):
        self.account = builders.account(1_000_000, self.clock)
        whole = self.transfer("whole", held_bytes=2_000_000)
        whole.is_arriving = False
        for _ in range(10):
            self.account.take(self.transfer("small"), 10_000)
        with self.assertRaises(errors.ShedError):
            self.account.take(self.transfer("last", 65_536), 60_000)

    def test_requests_that_have_arrived_are_never_shed(self):
        whole = self.transfer("whole", held_bytes=900)
        whole.is_arriving = False
        self.clock.advance(transfers.STALLED_MS)
        with self.assertRaises(errors.ShedError):
            self.account.take(self.transfer("new", 1), 300)
        self.assertEqual(self.evicted, [])
        self.account.release(whole)
        self.account.take(self.transfer("newer", 1), 300)

    def test_large_bodies_leave_room_for_small_requests(self):
        self.account = builders.account(8_000_000, self.clock)
        whole = self.transfer("whole", held_bytes=6_900_000)
        whole.is_arriving = False
        with self.assertRaises(errors.ShedError):
            self.account.take(self.transfer("large"), 200_000)
        self.account.take(self.transfer("small"), accounts.SMALL_BYTES)
        self.assertEqual(self.evicted, [])

    def test_large_request_beside_small_ones_gets_its_memory(self):
        self.transfer("small", held_bytes=500)
        size = 10 * transfers.STEP_BYTES
        large = self.transfer("large", held_bytes=size)
        self.account.take(large, size)
        self.account.release(large)
        self.assertEqual(self.account.used_bytes, 500)
        self.assertEqual(self.evicted, [])

    def test_small_requests_alone_do_not_exceed_the_account(self):
        for _ in range(10):
            self.transfer("small", held_bytes=100)
        with self.assertRaises(errors.ShedError):
            self.account.take(self.transfer("new", transfers.STEP_BYTES), 100)


class WaitingReadersTest(SheddingCase):
    """Guards against slow senders that hold all threads."""

    def test_stalled_reader_ends_when_too_many_wait(self):
        readers = waiting_readers.WaitingReaders(1, self.clock)
        stalled = self.transfer("stalled", 1)
        with self.assertRaises(errors.ShedError), readers.waiting(stalled):
            self.clock.advance(transfers.STALLED_MS)
            with readers.waiting(self.transfer("new", 100)):
                self.assertEqual(self.evicted, ["stalled"])
        with readers.waiting(self.transfer("next", 100)):
            pass
        self.assertEqual(self.evicted, ["stalled"])

    def test_reader_that_is_shed_does_not_keep_others_from_decoding(self):
        readers = waiting_readers.WaitingReaders(1, self.clock)
        shed = self.transfer("shed")
        shed.evict()
        with (
            readers.decoding(self.transfer("first")),
            self.assertRaises(errors.ShedError),
            readers.decoding(shed),
        ):
            self.fail("a transfer that was shed goes on")
        with readers.decoding(self.transfer("second")):
            pass


class RefusalsTest(unittest.TestCase):
    """Guards against a log that hostile callers fill."""

    def test_one_line_a_second_for_each_reason(self):
        clock = clocks.ManualClock()
        found = refusals.Refusals(clock)
        counted = []
        found.on_refusal = counted.append
        records = []
        handler = logging.Handler()
        handler.emit = records.append
        events.add_handler(handler)
        self.addCleanup(logging.getLogger("balsamloom").removeHandler, handler)
        for _ in range(10):
            found.record(refusals.Reason.SLOW)
        clock.advance(refusals.LOG_INTERVAL_MS)
        found.record(refusals.Reason.SLOW)
        self.assertEqual([each.refusals for each in records], [1, 10])
        self.assertEqual(len(counted), 11)


class LimitsTest(unittest.TestCase):
    """Guards against limits beyond the memory and descriptors of a host."""

    def test_account_lies_within_the_memory(self):
        for memory_mb, threads in ((136, 256), (150, 256), (400, 256)):
            found = limits.account_bytes(memory_mb, 60, threads, 0.25)
            self.assertGreaterEqual(found, limits.MIN_ACCOUNT_BYTES)
            left_mb = memory_mb - 60 - threads * 0.125
            self.assertLessEqual(found, left_mb * limits.BYTES_PER_MB)

    def test_connections_leave_descriptors_for_the_process_itself(self):
        found = limits.ProcessLimits(None, 4_100)
        shares = [limits.CALLERS_SHARE, limits.MEMBERS_SHARE]
        shares += [limits.OTHERS_SHARE] * 3
        accepted = sum(found.connections(each) for each in shares)
        self.assertLess(accepted, 0.8 * (4_100 - limits.FILE_DESCRIPTORS))
        self.assertIsNone(limits.UNLIMITED.connections(0.5))


if __name__ == "__main__":
    unittest.main()
