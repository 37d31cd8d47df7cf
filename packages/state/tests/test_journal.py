"""Tests of fencing, lost answers, rate limits and damage in the journal."""

import random
import statistics
import threading
import unittest

import builders

from balsamloom_core import errors, results
from balsamloom_platform import store as stores
from balsamloom_state import (
    journal,
    journal_storage,
    pacing,
    partitions,
    records_pb2,
    segments,
)


def record(version=1, size_bytes=0):
    return records_pb2.Record(
        program_id="p000-0123456789abcdef",
        version=version,
        finished=records_pb2.CallFinished(
            # Random bytes cannot be compressed, which is the worst case.
            answer_json=random.Random(version).randbytes(size_bytes)
        ),
    )


class JournalTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.SteppingClock()
        self.service = builders.FakeService()
        self.store = builders.FakeStore(self.service, self.clock)
        self.journal = self.open_journal("m1")

    def open_journal(self, name, rate_per_s=1_000, burst=1_000):
        opened = journal.Journal(
            self.store, name, self.clock, rate_per_s, burst
        )
        opened.open()
        return opened

    def commit(self, *records):
        return self.journal.wait(self.journal.append(records), 1_000)

    def test_sealed_owner_cannot_commit(self):
        """Guards against a paused owner that commits after its successor."""
        self.assertEqual(self.commit(record(1)), journal.Durable())
        found = journal_storage.seal(self.store, "m1", "m2")
        self.assertEqual(self.commit(record(2)), journal.Deposed())
        self.assertTrue(self.journal.is_deposed)
        self.assertEqual([one.version for one in found.records], [1])
        again = journal_storage.read(self.store, "m1")
        self.assertEqual([one.version for one in again.records], [1])

    def test_owner_of_a_deleted_journal_cannot_commit(self):
        """Guards against losing the fence when the seal is deleted."""
        self.commit(record(1))
        journal_storage.seal(self.store, "m1", "m2")
        journal_storage.delete(self.store, "m1")
        self.assertEqual(self.commit(record(2)), journal.Deposed())
        self.assertEqual(self.service.keys("/balsamloom/journal/m1"), [])

    def test_first_commit_is_fenced(self):
        """Guards against an owner that was sealed before its first commit."""
        journal_storage.seal(self.store, "m1", "m2")
        journal_storage.delete(self.store, "m1")
        self.assertEqual(self.commit(record(1)), journal.Deposed())

    def test_lost_answer_is_not_mistaken_for_a_seal(self):
        """Guards against an owner that deposes itself or commits twice."""
        self.store.fault = builders.fault_on_call(1, "lost")
        self.assertEqual(self.commit(record(1)), journal.Durable())
        self.assertEqual(self.commit(record(2)), journal.Durable())
        found = journal_storage.read(self.store, "m1").records
        self.assertEqual([one.version for one in found], [1, 2])

    def test_open_and_seal_are_repeatable_after_a_lost_answer(self):
        """Guards against retries that fail because the first one succeeded."""
        self.store.fault = builders.fault_on_call(1, "lost")
        other = journal.Journal(self.store, "m9", self.clock)
        with self.assertRaises(stores.StoreUnavailable):
            other.open()
        other.open()
        self.store.fault = builders.fault_on_call(1, "lost")
        with self.assertRaises(stores.StoreUnavailable):
            journal_storage.seal(self.store, "m9", "m2")
        self.assertTrue(journal_storage.seal(self.store, "m9", "m2").is_sealed)
        self.assertEqual(len(self.service.keys("/balsamloom/journal/m9")), 2)

    def test_pending_batch_becomes_durable_later(self):
        """Guards against dropping records after the caller timed out."""
        is_down = True
        builders.outage(self.store, lambda: is_down)
        batch = self.journal.append([record(1)])
        self.assertEqual(self.journal.wait(batch, 3_000), journal.Pending())
        is_down = False
        self.assertEqual(self.journal.wait(batch, 3_000), journal.Durable())

    def test_commit_rate_is_limited_during_an_outage(self):
        """Guards against retries that bypass the token bucket."""
        self.journal = self.open_journal("m2", rate_per_s=2, burst=3)
        self.service.write_times_ms.clear()
        builders.outage(self.store, lambda: True)
        start_ms = self.clock.now_ms()
        self.journal.wait(self.journal.append([record(1)]), 60_000)
        writes = len(self.service.write_times_ms)
        elapsed_s = (self.clock.now_ms() - start_ms) / 1_000
        self.assertGreater(writes, 10)
        self.assertLessEqual(writes, 3 + 2 * elapsed_s)
        self.store.fault = lambda kind, operations: ""
        self.service.write_times_ms.clear()
        start_ms = self.clock.now_ms()
        for version in range(2, 42):
            self.commit(record(version))
        elapsed_s = (self.clock.now_ms() - start_ms) / 1_000
        self.assertLessEqual(40, 3 + 2 * elapsed_s)

    def test_retry_delays_have_jitter(self):
        """Guards against members that retry in sync after an outage."""
        members = [pacing.Backoff(random.Random(seed)) for seed in range(400)]
        for _ in range(6):
            delays = [member.next_delay_ms() for member in members]
        ceiling_ms = pacing.MAX_RETRY_DELAY_MS
        self.assertLessEqual(max(delays), ceiling_ms)
        self.assertAlmostEqual(
            statistics.mean(delays) / ceiling_ms, 0.5, delta=0.1
        )
        self.assertGreater(statistics.pstdev(delays) / ceiling_ms, 0.2)

    def test_group_size_is_limited_and_large_record_refused(self):
        """Guards against values that the service never accepts."""
        batches = [
            self.journal.append([record(version, 300_000)])
            for version in (1, 2, 3, 4)
        ]
        with self.assertRaises(errors.BalsamloomError) as caught:
            self.journal.append([record(5, journal.MAX_BATCH_BYTES)])
        self.assertEqual(
            caught.exception.code, results.ResultCode.HISTORY_TOO_LONG
        )
        self.journal.wait(batches[-1], 1_000)
        self.assertEqual(
            [one.state for one in batches], [journal.Durable()] * 4
        )
        self.assertEqual(len(self.service.keys("/balsamloom/journal/m1")), 3)

    def test_writer_thread_commits_and_stops(self):
        """Guards against a writer thread that misses a wake-up."""
        threaded = self.open_journal("m3")
        threaded.start()
        batches = []
        threads = [
            threading.Thread(
                target=lambda number=number: batches.append(
                    threaded.append([record(number)])
                )
            )
            for number in range(1, 21)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for batch in batches:
            self.assertTrue(batch.done.wait(5))
        self.assertTrue(threaded.close(1_000))
        self.assertEqual(
            len(journal_storage.read(self.store, "m3").records), 20
        )

    def test_damaged_segment_leaves_others_readable(self):
        """Guards against a bad value that makes a whole journal unreadable."""
        for version in (1, 2, 3):
            self.commit(record(version))
        key = journal_storage.SegmentId("m1", 2).store_key()
        intact = self.service.items[key]
        for value in (
            intact.value[:-3],
            intact.value[:40] + b"\0\0\0\0" + intact.value[44:],
            b"",
            b"\xff" * 30,
        ):
            self.service.items[key] = intact._replace(value=value)
            with self.assertLogs("balsamloom", "ERROR"):
                found = journal_storage.read(self.store, "m1")
            self.assertEqual([one.version for one in found.records], [1, 3])
            self.assertEqual(
                [one.sequence for one in found.damaged_segments], [2]
            )

    def test_damaged_segment_names_its_programs(self):
        """Guards against ending programs that have no damaged records."""
        value = bytearray(segments.encode([record(1)], "m1", "n"))
        value[value.index(b"\x78\x01") + 4] ^= 1
        with self.assertRaises(segments.DamagedSegment) as caught:
            segments.decode("k", bytes(value))
        self.assertEqual(
            caught.exception.program_ids, {"p000-0123456789abcdef"}
        )


class MapTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.Cluster()

    def test_join_with_a_lost_answer_adds_the_member_once(self):
        """Guards against a join that is applied twice."""
        first = self.world.create()
        self.world.store_of(first).fault = builders.fault_on_call(2, "lost")
        with self.assertRaises(stores.StoreUnavailable):
            first.join()
        version = self.world.map().version
        first.join()
        self.assertEqual(self.world.map().version, version)
        self.assertEqual(
            {owner.epoch for owner in self.world.map().owners.values()}, {1}
        )
        self.assertEqual(
            len(first.owned_partitions()), builders.PARTITION_COUNT
        )

    def test_join_after_a_takeover_does_not_add_the_member_again(self):
        """Guards against a deposed member that rejoins by a late retry."""
        first = self.world.join()
        second = self.world.create()
        self.world.store_of(second).fault = builders.fault_on_call(2, "lost")
        with self.assertRaises(stores.StoreUnavailable):
            second.join()
        first.take_over(second.member.member_id)
        with self.assertRaises(errors.BalsamloomError):
            second.join()
        self.assertEqual(list(self.world.map().members), ["m1"])

    def test_older_map_is_ignored(self):
        """Guards against a stale peer that restores old owners."""
        first = self.world.join()
        old = first.map
        second = self.world.join()
        self.world.rebalance(first, [second])
        newest = first.map.version
        first.observe_map(old)
        self.assertEqual(first.map.version, newest)
        self.assertEqual(len(first.owned_partitions()), 4)

    def test_map_survives_encoding(self):
        """Guards against fields that are lost between members."""
        found = self.world.map()._replace(
            imports=(partitions.Import("a", "b", (1, 2), (3, 4)),),
            retired=("c",),
        )
        self.assertEqual(partitions.decode(partitions.encode(found)), found)


if __name__ == "__main__":
    unittest.main()
