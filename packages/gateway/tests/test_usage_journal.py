"""Tests of the journal of usage entries on storage hosts."""

import concurrent.futures
import time
import unittest

import cluster_case
import storage_nodes

from balsamloom_conversations import messages, usage_entries
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    peers,
    storage_calls,
    storage_journal,
    usage_journal,
)

# Tolerance for the scheduling of threads.
DELAY_MS = 100.0
# Attempts to store what a test reads.
MAX_WRITES = 20


def elapsed_ms(started_s):
    return (time.monotonic() - started_s) * clocks.MS_PER_S


class JournalCase(cluster_case.ClusterCase):
    """Test case with storage hosts and the journal of an edge process."""

    # Whether the edge process has read the registrations.
    has_hosts_read = True

    def setUp(self):
        super().setUp()
        self.journal = self.new_journal()

    def new_journal(self, clock=None, clients=None, hosts=None):
        """Return the journal of an edge process that knows no failures."""
        clock = clock or clocks.Clock()
        return storage_journal.StorageJournal(
            hosts or self.cluster.hosts,
            storage_calls.StorageCalls(
                clients or self.cluster.clients(), clock
            ),
            clock,
            storage_nodes.COPIES,
            lambda: self.has_hosts_read,
        )

    def hung(self, *names):
        """Return clients to which some hosts do not answer."""
        return storage_nodes.HungClients(self.cluster, set(names))

    def stop(self, *names):
        for name in names:
            self.cluster.node(name).stop()

    def stored_at(self, program_id="p"):
        """Return the names of the hosts with an entry of a program."""
        return [
            node.name
            for node in self.cluster.nodes
            if node.is_up and node.database.usage(program_id).entries
        ]


class JournalWriteTest(JournalCase):
    """Guards against turns that run without a durable entry."""

    def test_entry_lies_on_as_many_hosts_as_a_turn(self):
        self.assertTrue(self.journal.write([storage_nodes.usage_entry()]))
        self.assertEqual(len(self.stored_at()), storage_nodes.COPIES)

    def test_host_that_is_down_is_replaced_by_another(self):
        self.stop("b1")
        self.assertTrue(self.journal.write([storage_nodes.usage_entry()]))
        self.assertEqual(self.stored_at(), ["a1", "c1"])

    def test_silent_host_is_replaced_in_time(self):
        for dark in ("a1", "b1", "c1"):
            journal = self.new_journal(clients=self.hung(dark))
            self.assertTrue(journal.write([storage_nodes.usage_entry()]))

    def test_failed_write_ends_in_time_and_is_logged(self):
        self.stop("b1", "c1")
        started_s = time.monotonic()
        with self.assertLogs("balsamloom", "WARNING") as logs:
            entry = storage_nodes.usage_entry()
            self.assertFalse(self.journal.write([entry]))
        limit_ms = storage_journal.WRITE_TIMEOUT_MS + DELAY_MS
        self.assertLess(elapsed_ms(started_s), limit_ms)
        names = [record.name_of_event for record in logs.records]
        self.assertIn("usage_not_written", names)

    def test_write_fails_without_enough_registered_hosts(self):
        journal = self.new_journal(hosts=lambda: self.cluster.hosts()[:1])
        self.assertFalse(journal.write([storage_nodes.usage_entry()]))

    def test_host_of_a_former_release_does_not_count_as_failing(self):
        del self.cluster.node("a1").service.handlers[peers.WRITE_USAGE_PATH]
        self.assertTrue(self.journal.write([storage_nodes.usage_entry()]))
        self.assertEqual(self.stored_at(), ["b1", "c1"])
        host = self.cluster.node("a1").host
        self.assertFalse(self.journal._calls.is_failing(host))

    def test_host_that_is_emptied_takes_no_entries(self):
        self.cluster.node("a1").copies.refuses_turns = True
        self.assertTrue(self.journal.write([storage_nodes.usage_entry()]))
        self.assertEqual(self.stored_at(), ["b1", "c1"])

    def test_entries_of_two_writers_are_kept(self):
        def write(holder_id):
            journal = self.new_journal()
            return all(
                journal.write([storage_nodes.usage_entry(holder_id, sequence)])
                for sequence in range(1, 21)
            )

        with concurrent.futures.ThreadPoolExecutor() as pool:
            self.assertTrue(all(pool.map(write, ("h", "i"))))
        found = self.journal.read("p")
        expected = {storage_nodes.usage_entry(name, 20) for name in "hi"}
        self.assertEqual(set(found.entries), expected)
        self.assertTrue(found.is_complete)


class JournalReadTest(JournalCase):
    """Guards against a successor that takes handed out tokens for free."""

    def write(self, *sequences):
        """Store entries; whether that is in time is for other tests."""
        for sequence in sequences:
            entry = storage_nodes.usage_entry(sequence=sequence)
            attempts = range(MAX_WRITES)
            is_stored = any(self.journal.write([entry]) for _ in attempts)
            self.assertTrue(is_stored)

    def assert_found(self, sequence, journal=None):
        found = (journal or self.new_journal()).read("p")
        entry = storage_nodes.usage_entry(sequence=sequence)
        self.assertEqual(found.entries, (entry,))
        self.assertTrue(found.is_complete)

    def test_newest_entry_is_found_if_a_host_is_silent(self):
        self.write(1, 3, 2)
        for name in ("a1", "b1", "c1"):
            with self.subTest(silent=name):
                self.stop(name)
                self.assert_found(3)
                self.cluster.node(name).start()

    def test_newest_entry_is_found_after_a_loss_of_power_of_all(self):
        self.write(1, 2)
        self.stop("a1", "b1", "c1")
        for node in self.cluster.nodes:
            node.start()
        self.assert_found(2)

    def test_one_silent_host_is_not_awaited(self):
        self.write(1)
        journal = self.new_journal(clients=self.hung("b1"))
        started_s = time.monotonic()
        self.assert_found(1, journal)
        self.assertLess(elapsed_ms(started_s), storage_journal.READ_TIMEOUT_MS)

    def test_read_ends_in_time(self):
        journal = self.new_journal(clients=self.hung("a1", "b1"))
        started_s = time.monotonic()
        self.assertFalse(journal.read("p").is_complete)
        limit_ms = storage_journal.READ_TIMEOUT_MS + DELAY_MS
        self.assertLess(elapsed_ms(started_s), limit_ms)

    def test_incomplete_if_as_many_hosts_are_silent_as_copies(self):
        self.write(1)
        self.stop("a1", "b1")
        with self.assertLogs("balsamloom", "WARNING") as logs:
            self.assertFalse(self.new_journal().read("p").is_complete)
        (record,) = [
            record
            for record in logs.records
            if record.name_of_event == "usage_read_incomplete"
        ]
        self.assertEqual(record.hosts, ["a1", "b1"])

    def test_incomplete_if_wiped_hosts_may_lack_it(self):
        self.write(1)
        for name in ("a1", "b1"):
            self.cluster.node(name).wipe()
            self.cluster.node(name).start()
        self.assertFalse(self.journal.read("p").is_complete)

    def test_entry_survives_the_loss_of_one_disk_after_another(self):
        self.write(1)
        for name in ("a1", "b1", "c1"):
            node = self.cluster.node(name)
            node.wipe()
            node.start()
            self.assertFalse(node.database.claim.has_usage)
            node.copies.run_round()
            self.assertTrue(node.database.claim.has_usage)
        self.assert_found(1)

    def test_entry_survives_a_lost_host_and_then_a_silent_one(self):
        clock = clocks.ManualClock(1_000_000.0)
        self.cluster.run_rounds(2)
        for holder_id in "hijk":
            entry = storage_nodes.usage_entry(holder_id)
            self.assertTrue(self.journal.write([entry]))
        for lost, silent in (("a1", "b1"), ("b1", "c1"), ("c1", "a1")):
            self.stop(lost)
            self.cluster.run_rounds(3)
            journal = self.new_journal(clock)
            journal.read("p")
            clock.advance(storage_calls.LOST_HOST_TIMEOUT_MS)
            self.stop(silent)
            found = journal.read("p")
            self.assertEqual(len(found.entries), 4)
            self.assertTrue(found.is_complete)
            self.cluster.node(lost).start()
            self.cluster.node(silent).start()
            self.cluster.run_rounds(1)

    def test_complete_after_hosts_have_been_replaced_one_by_one(self):
        # Their registrations remain. Callers got 503 from then on.
        self.write(1)
        for gone, new in (("a1", "d1"), ("b1", "e1")):
            self.stop(gone)
            self.cluster.run_rounds(3)
            self.cluster.add(new)
            self.cluster.run_rounds(2)
        self.assert_found(1)
        # All that are left lose power, and one of them its disk.
        for name in ("c1", "d1", "e1"):
            self.stop(name)
        self.cluster.node("c1").wipe()
        for name in ("c1", "d1", "e1"):
            self.cluster.node(name).start()
        self.assert_found(1)
        self.cluster.run_rounds(3)
        self.assertTrue(self.cluster.node("c1").database.claim.has_usage)

    def test_incomplete_if_hosts_went_at_the_same_time(self):
        self.write(1)
        self.stop(*self.stored_at())
        self.cluster.run_rounds(4)
        self.assertFalse(self.new_journal().read("p").is_complete)

    def test_incomplete_if_as_many_hosts_are_lost_as_copies(self):
        clock = clocks.ManualClock(1_000_000.0)
        self.stop("a1", "b1")
        journal = self.new_journal(clock)
        journal.read("p")
        clock.advance(storage_calls.LOST_HOST_TIMEOUT_MS)
        self.assertFalse(journal.read("p").is_complete)

    def test_entry_moves_with_the_turns_of_a_host_that_is_emptied(self):
        self.stop("c1")
        self.write(1)
        self.cluster.node("c1").start()
        self.cluster.node("a1").copies.refuses_turns = True
        for name in ("b1", "c1"):
            self.cluster.node(name).copies.copy_from("a1")
        self.assertEqual(self.stored_at(), ["a1", "b1", "c1"])

    def test_hosts_of_a_former_release_have_no_entries(self):
        for node in self.cluster.nodes:
            del node.service.handlers[peers.READ_USAGE_PATH]
        self.assertEqual(
            self.journal.read("p"), usage_journal.JournalAnswer((), True)
        )

    def test_without_hosts_the_answer_depends_on_the_registrations(self):
        journal = self.new_journal(hosts=list)
        self.assertTrue(journal.read("p").is_complete)
        self.has_hosts_read = False
        self.assertFalse(journal.read("p").is_complete)
        self.assertFalse(self.journal.read("p").is_complete)


class SettlementTest(JournalCase):
    """Guards against turns whose tokens nobody knows after a loss."""

    def settle(self):
        """Store a turn of 7 tokens; return what the journal says of it."""
        settlement = usage_entries.Settlement("p", "r", 7)
        self.assertTrue(
            self.reader.write(
                storage_nodes.turn("t"), cluster_case.deadline(), settlement
            )
        )
        return self.journal.read("p")

    def test_settlement_of_a_stored_turn_is_read(self):
        found = self.settle()
        self.assertEqual(found.settlements, {"r": 7})
        self.assertTrue(found.is_complete)

    def test_hosts_of_the_release_before_store_the_turn_only(self):
        for node in self.cluster.nodes:
            del node.service.handlers[peers.KEEP_SETTLED_TURN_PATH]
        self.assertEqual(self.settle().settlements, {})
        self.assertEqual(len(self.cluster.holders(storage_nodes.turn("t"))), 2)

    def test_edges_of_the_release_before_store_turns(self):
        body = messages.encode_turn(storage_nodes.turn("t"))
        node = self.cluster.nodes[0]
        node.service.handlers[peers.KEEP_TURN_PATH](body)
        self.assertTrue(node.has(storage_nodes.turn("t")))


class NetworkedJournalTest(JournalCase):
    """Guards against calls that the listener of a storage host rejects."""

    IS_NETWORKED = True

    def test_entry_is_written_and_read(self):
        entry = storage_nodes.usage_entry()
        self.assertTrue(self.journal.write([entry]))
        self.assertEqual(
            self.journal.read("p"), usage_journal.JournalAnswer((entry,), True)
        )

    def test_hosts_of_the_release_before_store_large_turns(self):
        turn = storage_nodes.turn("t")._replace(input=b"x" * 200_000)
        settlement = usage_entries.Settlement("p", "r", 7)
        for node in self.cluster.nodes:
            del node.service._handler._calls[peers.KEEP_SETTLED_TURN_PATH]
        for _ in range(3):
            self.assertTrue(
                self.reader.write(turn, cluster_case.deadline(), settlement)
            )
        self.assertGreaterEqual(len(self.cluster.holders(turn)), 2)


if __name__ == "__main__":
    unittest.main()
