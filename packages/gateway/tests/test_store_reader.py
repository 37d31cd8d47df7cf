"""Tests of reading the store, whose answers may hold a part of the changes."""

import unittest

import builders
import stores

from balsamloom_gateway import (
    feed,
    fleet,
    follower,
    interfaces,
    read_schedule,
    store_reader,
    store_revisions,
)

WAIT_MS = 600


class WaitingStore(stores.Store):
    """Store that waits for a change, as the platform's does."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        # Called at the end of each wait, before the answer.
        self.after_wait = lambda: None

    def watch(self, prefix, revision, wait_ms):
        """Wait in full if there is no change."""
        found = super().watch(prefix, revision, wait_ms)
        if not found.changes:
            self._clock.advance(wait_ms)
            self.after_wait()
        return found


class StoreReaderTest(unittest.TestCase):
    """Guards against copies that call themselves more recent than they are."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.store = WaitingStore(self.clock)
        self.store.put("config", b"1")
        self.observed = store_revisions.ObservedStore(self.store, self.clock)
        self.view = fleet.Fleet(builders.Records(), self.clock)
        self.copy = feed.Feed(self.clock, self.view.decode_or_raw)
        self.reader = store_reader.StoreReader(
            self.observed,
            builders.Records(),
            self.copy,
            self.view,
            self.clock,
            max_observation_age_ms=200.0,
        )
        self.reader.read(WAIT_MS)
        self.store.calls.clear()

    def put_budget_records(self, count):
        for number in range(count):
            self.store.put(f"ledger/p{number}", b"{}")

    def version(self):
        return self.view.active_configuration.configuration.version

    def test_wait_without_a_change_proves_the_copy_until_its_end(self):
        self.reader.read(WAIT_MS)
        self.assertEqual(self.copy.age_ms(), 0.0)

    def test_store_is_not_waited_for_while_the_copy_is_old(self):
        # A calm store made whole levels of readers call their source stale.
        intervals = read_schedule.intervals(2_000.0)
        schedule = follower.Follower(
            "m1",
            self.observed,
            builders.Records(),
            self.copy,
            self.view,
            None,
            self.clock,
            intervals,
        )
        schedule.read_once()
        ages_ms = []
        self.store.after_wait = lambda: ages_ms.append(self.copy.age_ms())
        for _ in range(5):
            self.store.put("ledger/p", b"{}")
            for _ in range(3):
                self.clock.advance(schedule.read_once())
        self.assertGreaterEqual(len(ages_ms), 5)
        self.assertLess(max(ages_ms), 1.5 * intervals.store_ms)

    def test_change_alone_does_not_prove_that_it_is_the_last(self):
        self.store.put("config", b"2")
        self.reader.read(WAIT_MS)
        self.assertEqual(self.store.calls, ["watch", "revision"])
        self.assertEqual(self.copy.age_ms(), 0.0)

    def test_own_transaction_proves_the_copy_without_a_further_call(self):
        self.observed.transact([], [interfaces.Write("ledger/p", b"{}")])
        self.clock.advance(100.0)
        self.reader.read(WAIT_MS)
        self.assertEqual(self.store.calls, ["transact", "watch"])
        self.assertEqual(self.copy.age_ms(), 100.0)

    def test_copy_far_behind_is_replaced_by_a_listing(self):
        self.store.max_changes = 10
        self.put_budget_records(2_000)
        self.store.put("config", b"2")
        self.reader.read(WAIT_MS)
        self.assertEqual(self.version(), 2)
        self.assertEqual(self.copy.age_ms(), 0.0)
        prefixes = len(builders.Records.prefixes)
        most = 2 + store_reader.MAX_FURTHER_WATCHES + prefixes
        self.assertLessEqual(len(self.store.calls), most)

    def test_watch_that_hears_nothing_of_an_own_write_proves_nothing(self):
        self.observed.transact([], [interfaces.Write("ledger/p", b"{}")])
        self.store.put("config", b"2")
        self.store.changes.clear()
        self.store.reported_revision = self.copy.store_revision
        self.reader.read(WAIT_MS)
        self.assertEqual(self.version(), 2)

    def test_store_that_fails_midway_leaves_the_age_as_it_was(self):
        self.store.max_changes = 10
        self.put_budget_records(30)
        self.clock.advance(1_000.0)
        age_ms = self.copy.age_ms()
        self.store.fail_after("watch")
        with self.assertRaises(interfaces.StoreUnavailableError):
            self.reader.read(WAIT_MS)
        self.assertEqual(self.copy.age_ms(), age_ms)


if __name__ == "__main__":
    unittest.main()
