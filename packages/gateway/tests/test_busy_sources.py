"""Tests of members whose sources answer late, on a simulated clock."""

import random
import unittest

import builders
import test_propagation

from balsamloom_gateway import (
    feed,
    follower,
    interfaces,
    peers,
    read_schedule,
    store_revisions,
)

MEMBERS = 57
VIEW_BOUND_MS = 3_000.0
STORE_CALL_MS = 10.0
# The first members by name, which are also budget holders.
BUSY_MEMBERS = 4
# The store refuses the calls of one member in three.
REFUSED_SHARE = 3
WARM_UP_MS = 15_000.0
END_MS = 25_000.0
SAMPLE_INTERVAL_MS = 100.0
# Shorter waits are lost in the rounding of the simulated clock.
MIN_WAIT_MS = 1.0


class MemberStore:
    """Store as one member reaches it; counts its reads.

    :param network: simulated members.
    :param name: name of the member.
    """

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def list_page(self, prefix, after, may_be_stale):
        """Return the items under a prefix."""
        return self._call().list_page(prefix, after, may_be_stale)

    def watch(self, prefix, revision, wait_ms):
        """Return the changes since a revision."""
        return self._call().watch(prefix, revision, wait_ms)

    def current_revision(self):
        """Return the latest revision."""
        return self._call().current_revision()

    def _call(self):
        self._network.store_readers.add(self._name)
        if self._name in self._network.refused:
            raise interfaces.StoreUnavailableError("refused")
        self._network.clock.advance(STORE_CALL_MS)
        return self._network.store


class BusyNetwork(test_propagation.Network):
    """Simulated members of which some are busy and answer late.

    :param size: number of members.
    :param seed: seed of the times at which they start.
    """

    def __init__(self, size, seed=0):
        # Time that the busy members take for an answer, by name.
        self.answer_ms = {}
        # Members that the store refuses, and those that called it.
        self.refused = set()
        self.store_readers = set()
        super().__init__(size)
        for member in self.members:
            drawn = random.Random(f"{seed}{member.name}")
            self.start(member.name, drawn.uniform(0, 1_000.0))

    def start(self, name, at_ms):
        """Start a member with an empty copy and its own way to the store."""
        super().start(name, at_ms)
        self._followers[name] = follower.Follower(
            name,
            store_revisions.ObservedStore(MemberStore(self, name), self.clock),
            builders.Records(),
            self._feeds[name],
            self.views[name],
            self,
            self.clock,
            read_schedule.intervals(VIEW_BOUND_MS),
        )

    def call(self, address, path, body, timeout_ms):
        """Read another member's copy, unless it answers too late."""
        name = address.partition(":")[0]
        if body["wait_ms"] < MIN_WAIT_MS:
            body = {**body, "wait_ms": 0.0}
        query = feed.FeedQuery(
            body["epoch"], body["cursor"], body["revision"], body["reads"]
        )
        is_answered = not body["wait_ms"] or self._feeds[name].has_news(query)
        if is_answered and self._call_ms(name) > timeout_ms:
            self.clock.advance(timeout_ms)
            raise peers.PeerTimeoutError(name)
        return super().call(address, path, body, timeout_ms)

    def oldest_ms(self):
        """Return the greatest age of a copy until the end."""
        oldest_ms = 0.0
        at_ms = WARM_UP_MS
        while at_ms < END_MS:
            self.run_until(at_ms)
            self.clock.set(at_ms)
            ages_ms = [copy.age_ms() for copy in self._feeds.values()]
            oldest_ms = max(oldest_ms, *ages_ms)
            at_ms += SAMPLE_INTERVAL_MS
        return oldest_ms

    def _call_ms(self, name):
        return self.answer_ms.get(name, test_propagation.PEER_CALL_MS)


class BusySourceTest(unittest.TestCase):
    """Guards against busy members that are treated like lost ones."""

    def start(self, answer_ms, seed=0):
        """Return a network whose first members have just become busy."""
        network = BusyNetwork(MEMBERS, seed)
        network.run_until(test_propagation.WARM_UP_MS)
        for member in network.members[:BUSY_MEMBERS]:
            network.answer_ms[member.name] = answer_ms
        network.store_readers.clear()
        return network

    def test_busy_sources_do_not_send_their_readers_to_the_store(self):
        for answer_ms in (250.0, 350.0, 550.0):
            with self.subTest(answer_ms=answer_ms):
                network = self.start(answer_ms)
                network.run_until(END_MS)
                self.assertEqual(network.store_readers, {"m0000"})

    def test_copies_keep_the_bound_while_sources_are_busy(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                network = self.start(450.0, seed)
                names = [member.name for member in network.members]
                network.refused.update(names[1::REFUSED_SHARE])
                self.assertLess(network.oldest_ms(), VIEW_BOUND_MS)


if __name__ == "__main__":
    unittest.main()
