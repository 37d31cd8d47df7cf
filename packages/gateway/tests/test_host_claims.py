"""Tests of what storage hosts say of their disks after losses."""

import unittest

import builders
import cluster_case
import storage_nodes
import test_usage_journal

from balsamloom_conversations import (
    completeness,
    replicas,
    turns,
    usage_entries,
)
from balsamloom_gateway import storage_calls


class ClaimCase(cluster_case.ClusterCase):
    """Test case with storage hosts that lose disks, power and paths."""

    def claim(self, name):
        """Return what a host says of its disk."""
        return self.cluster.node(name).database.claim

    def read_after_loss(self, turn_id):
        """Read a turn when hosts that did not answer count as lost."""
        clock = builders.manual_clock()
        reader = self.new_reader(clock)
        for _ in range(2):
            until_ms = cluster_case.deadline(clock=clock)
            found = reader.read(turn_id, "g", until_ms)
            clock.advance(storage_calls.LOST_HOST_TIMEOUT_MS)
        return found


class TurnClaimTest(ClaimCase):
    """Guards against a 404 for a turn that a host out of reach has."""

    def setUp(self):
        super().setUp()
        self.keep(storage_nodes.turn("t"))
        self.wiped, self.away = self.cluster.holders(storage_nodes.turn("t"))

    def test_host_that_lost_its_disk_lacks_turns_after_another_start(self):
        # review/15: with its second start it said that it has all of them.
        self.cluster.kill(self.away)
        self.cluster.wipe(self.wiped)
        for _ in range(3):
            self.cluster.run_rounds(3)
            self.assertIsInstance(self.read_after_loss("t"), turns.Unsure)
            self.cluster.kill(self.wiped)
            self.cluster.start(self.wiped)
        self.cluster.start(self.away)
        self.cluster.run_rounds(2)
        self.assertIsInstance(self.read_after_loss("t"), turns.Chain)
        self.assertEqual(self.read_after_loss("u"), turns.Absent())

    def test_host_that_lost_turns_to_damage_lacks_them_after_a_start(self):
        # The restart brought the claim back, without the turn.
        self.cluster.kill(self.away)
        store = self.cluster.node(self.wiped).database
        store._connection.execute("UPDATE turns SET output = x'00'")
        store.chain("t")
        store.delete_damaged()
        self.cluster.kill(self.wiped)
        self.cluster.start(self.wiped)
        self.cluster.run_rounds(3)
        self.assertIsInstance(self.read_after_loss("t"), turns.Unsure)

    def test_turn_of_a_slow_write_survives_its_host(self):
        # A host that need not store the turn had acknowledged it in place of
        # a slow one. It lost its disk and said that it lacks nothing.
        self.cluster.add("a2")
        self.cluster.run_rounds(2)
        turn = storage_nodes.turn("slow")
        ranked = replicas.rank("g", self.cluster.hosts())
        first, _, spare, _ = [host.name for host in ranked]
        for name in (first, spare):
            self.cluster.node(name).database.add([turn])
        self.cluster.wipe(spare)
        self.cluster.node(spare).copies.run_round()
        self.cluster.kill(first)
        found = self.read_after_loss("slow")
        self.assertIsInstance(found, turns.Chain)

    def test_host_that_knows_no_others_yet_lacks_turns(self):
        # Of the hosts that it did not know, one had the last copy.
        self.cluster.are_hosts_known = False
        away = self.cluster.node(self.away)
        self.cluster.nodes.remove(away)
        self.cluster.wipe(self.wiped)
        self.cluster.run_rounds(3)
        self.assertFalse(self.claim(self.wiped).has_turns)
        self.cluster.nodes.append(away)
        self.cluster.are_hosts_known = True
        self.cluster.run_rounds()
        self.assertTrue(self.claim(self.wiped).has_turns)

    def test_disk_of_an_earlier_release_is_believed_after_one_round(self):
        for name in (self.wiped, self.away):
            store = self.cluster.node(name).database
            store._connection.execute("DELETE FROM facts WHERE name = 'claim'")
            self.cluster.kill(name)
            self.cluster.start(name)
        self.assertIsInstance(self.read_after_loss("u"), turns.Unsure)
        self.assertIsInstance(self.read_after_loss("t"), turns.Chain)
        self.cluster.run_rounds()
        self.assertEqual(self.read_after_loss("u"), turns.Absent())

    def test_disk_that_is_older_than_all_records_lacks_none(self):
        # Otherwise a host beside one that left for good stayed incomplete.
        self.cluster.kill(self.away)
        self.cluster.wipe(self.wiped)
        node = self.cluster.node(self.wiped)
        self.cluster.run_rounds(3)
        self.assertFalse(self.claim(self.wiped).has_turns)
        node.database._started_ms -= storage_nodes.LONGEST_RETENTION_MS + 1.0
        self.cluster.run_rounds()
        expected = completeness.EVERYTHING._replace(
            replaced_hosts=self.claim(self.wiped).replaced_hosts
        )
        self.assertEqual(self.claim(self.wiped), expected)


class UsageClaimTest(test_usage_journal.JournalCase):
    """Guards against tokens that are handed out again after a loss."""

    def setUp(self):
        super().setUp()
        self.assertTrue(self.journal.write([storage_nodes.usage_entry()]))
        self.first, self.second = self.stored_at()
        (self.third,) = {"a1", "b1", "c1"} - {self.first, self.second}

    def is_known(self):
        """Return whether a read is complete; then it has the entry."""
        found = self.new_journal().read("p")
        if found.is_complete:
            self.assertTrue(found.entries)
        return found.is_complete

    def test_host_that_came_back_empty_replaces_none(self):
        # review/14: its reader said that it has all entries of both.
        self.cluster.kill(self.second)
        self.cluster.wipe(self.first)
        for _ in range(3):
            self.cluster.run_rounds(3)
            self.assertFalse(self.is_known())
            self.cluster.kill(self.first, self.third)
            self.cluster.start(self.first, self.third)
        self.cluster.start(self.second)
        self.cluster.run_rounds(2)
        self.assertTrue(self.is_known())

    def test_host_that_is_cut_off_from_an_emptied_one_replaces_none(self):
        self.cluster.wipe(self.first)
        self.cluster.kill(self.second)
        self.cluster.cut(self.second, self.first)
        self.cluster.run_rounds(3)
        self.assertFalse(self.is_known())

    def test_read_before_a_source_had_its_copies_replaces_none(self):
        # What it fetched later was not read again before the claim.
        self.cluster.wipe(self.third)
        self.cluster.node(self.third).database.add(
            [usage_entries.StoredEntry(storage_nodes.usage_entry("i"), 1e6)]
        )
        self.cluster.wipe(self.first)
        self.cluster.cut(self.first, self.second)
        self.cluster.run_rounds(3)
        self.assertFalse(
            self.cluster.node(self.first).database.claim.has_usage
        )

    def test_source_with_damaged_entries_vouches_for_none(self):
        # The damaged entry was left out of the listing, and the listing
        # counted as all that the host has.
        store = self.cluster.node(self.first).database
        store._connection.execute("UPDATE usage_entries SET used_tokens = 1")
        self.cluster.kill(self.second)
        self.cluster.run_rounds(3)
        for name in (self.first, self.third):
            self.assertNotIn(self.second, self.claim(name).replaced_hosts)
        self.assertFalse(self.is_known())
        self.cluster.start(self.second)
        self.cluster.run_rounds(2)
        self.assertTrue(self.is_known())
        self.assertEqual(self.stored_at(), ["a1", "b1", "c1"])

    def write_beside(self, name):
        """Write a newer entry while a host is not reached; return whether."""
        self.cluster.kill(name)
        entry = storage_nodes.usage_entry(sequence=2)
        is_written = self.new_journal().write([entry])
        self.cluster.start(name)
        return is_written

    def isolate(self, name):
        """Cut a host off from the other hosts, but not from edges."""
        for other in {"a1", "b1", "c1"} - {name}:
            self.cluster.cut(name, other)
        self.cluster.run_rounds(3)

    def test_entry_beside_a_replaced_host_in_use_is_not_acknowledged(self):
        # review/13: edges wrote to a host that the others did not reach, and
        # a read from one of these was complete without the entry.
        self.isolate(self.first)
        self.assertFalse(self.write_beside(self.third))
        self.assertTrue(self.write_beside(self.first))
        self.cluster.kill(self.first, self.second)
        self.assertEqual(
            [entry.sequence for entry in self.new_journal().read("p").entries],
            [2],
        )

    def test_replaced_host_counts_again_once_it_is_reached(self):
        self.isolate(self.first)
        self.cluster.cuts.clear()
        self.cluster.run_rounds(3)
        for name in (self.second, self.third):
            self.assertEqual(self.claim(name), completeness.EVERYTHING)
        self.assertTrue(self.write_beside(self.third))

    def test_hosts_that_one_alone_does_not_reach_stay_in_use(self):
        # Its word would have kept all others from counting.
        self.cluster.cut(self.first, self.second)
        self.cluster.run_rounds(3)
        for name in ("a1", "b1", "c1"):
            self.assertEqual(self.claim(name), completeness.EVERYTHING)
            self.assertTrue(self.write_beside(name))

    def test_fence_outlives_a_restart(self):
        self.isolate(self.first)
        self.cluster.kill(self.second, self.third)
        self.cluster.start(self.second, self.third)
        self.assertFalse(self.write_beside(self.third))

    def test_emptied_host_takes_no_entries_before_it_knows_the_fences(self):
        self.isolate(self.first)
        self.cluster.wipe(self.second)
        self.assertFalse(self.write_beside(self.third))
        self.cluster.run_rounds(2)
        # It has the fences of the third host then.
        self.assertFalse(self.write_beside(self.third))
        self.assertTrue(self.write_beside(self.first))

    def test_fences_of_hosts_that_left_are_forgotten(self):
        self.isolate(self.first)
        for name in (self.second, self.third):
            store = self.cluster.node(name).database
            store.set_fence("left", frozenset({self.first}))
            self.cluster.node(name).copies.run_round()
            self.assertNotIn("left", store.fences.by_host)

    def claim(self, name):
        return self.cluster.node(name).database.claim

    def test_single_losses_are_answered_at_once(self):
        for lose in (self.cluster.kill, self.cluster.wipe):
            for name in (self.first, self.second, self.third):
                lose(name)
                self.assertTrue(self.is_known())
                if lose == self.cluster.kill:
                    self.cluster.start(name)
                self.cluster.run_rounds()


if __name__ == "__main__":
    unittest.main()
