"""Tests of the stand-in for the key-value service, via the real client."""

import threading
import unittest

import builders

from balsamloom_platform import store as stores

PUT = stores.Put("/a", b"1")


class FaultTest(unittest.TestCase):
    """Guards against injected faults that have less effect than specified."""

    def setUp(self):
        self.address, self.client = builders.start_store(self)

    def test_a_lost_answer_leaves_the_write_applied(self):
        builders.set_fault(self.address, mode="lose_answers", count=1)
        with self.assertRaises(stores.StoreUnavailable) as caught:
            self.client.commit([stores.KeyAbsent("/a")], [PUT])
        self.assertTrue(caught.exception.may_have_applied)
        self.assertEqual(self.client.get("/a").value, b"1")
        result = self.client.commit([stores.KeyAbsent("/a")], [PUT])
        self.assertEqual(result.current["/a"].value, b"1")

    def test_a_refused_write_is_not_applied(self):
        builders.set_fault(self.address, mode="refuse", count=1)
        with self.assertRaises(stores.StoreUnavailable):
            self.client.commit([], [PUT])
        self.assertIsNone(self.client.get("/a"))

    def test_a_hung_write_applies_when_the_fault_ends(self):
        builders.set_fault(self.address, mode="hang")
        with self.assertRaises(stores.StoreUnavailable):
            self.client.commit([], [PUT], timeout_ms=100)
        watched = threading.Event()

        def watch():
            for _ in self.client.watch("/a", 1, 5_000):
                watched.set()
                return

        watcher = threading.Thread(target=watch)
        watcher.start()
        self.assertFalse(watched.wait(0.1))
        builders.set_fault(self.address, mode="none")
        self.assertTrue(watched.wait(5))
        watcher.join(5)

    def test_stale_reads_answer_from_the_revision_of_the_fault(self):
        first = self.client.commit([], [PUT])
        builders.set_fault(self.address, mode="stale_reads")
        self.client.commit([], [stores.Put("/a", b"2")])
        page = self.client.list_keys("/a")
        self.assertEqual(page.items[0].value, b"1")
        self.assertEqual(page.revision, first.revision)
        builders.set_fault(self.address, mode="none")
        self.assertEqual(self.client.get("/a").value, b"2")

    def test_the_same_seed_affects_the_same_requests(self):
        outcomes = []
        for _ in range(2):
            builders.set_fault(
                self.address, mode="refuse", probability=0.5, seed=3
            )
            outcomes.append([self.can_read() for _ in range(20)])
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertEqual(set(outcomes[0]), {True, False})

    def can_read(self):
        try:
            self.client.get("/a")
        except stores.StoreUnavailable:
            return False
        return True

    def test_counts_include_the_last_seconds(self):
        self.client.get("/a")
        self.client.commit([], [PUT])
        stats = builders.send(self.address, "GET", "/stats").json()
        self.assertEqual((stats["reads"], stats["writes"]), (1, 1))
        recent = stats["seconds"]
        self.assertEqual(sum(counts["reads"] for counts in recent), 1)
        self.assertEqual(sum(counts["writes"] for counts in recent), 1)
