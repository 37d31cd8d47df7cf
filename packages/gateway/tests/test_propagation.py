"""Tests of how fast a change reaches all members, on a simulated clock."""

import heapq
import random
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import feed, follower, peers, store_revisions

# Users may rely on 4,000 ms; the read intervals are derived from half of it.
BOUND_MS = 4_000.0
PLANNED_MS = 2_000.0
PEER_CALL_MS = 4.0
SLOW_CALL_MS = 250.0
WARM_UP_MS = 5_000.0


class SimulatedClock(clocks.ManualClock):
    """Clock that is set to the time of each simulated event."""

    def set(self, now_ms):
        """Set the time, which may be earlier than the current one."""
        self.advance(now_ms - self.now_ms())


class View:
    """View of one member that records when it received the change."""

    def __init__(self, network):
        self._network = network
        self.known_ms = None

    def members(self):
        """Return all registered members; no registration has expired."""
        return self._network.members

    def apply(self, changes):
        """Record when the change arrives."""
        for change in changes:
            if change.key == "config" and self.known_ms is None:
                self.known_ms = self._network.clock.now_ms()

    def update_age(self, age_ms, propagation_ms=0.0):
        """Ignore the age of the copy."""


class Network:
    """Simulated members that read from each other and from a store.

    :param size: number of members.
    """

    def __init__(self, size):
        self.clock = SimulatedClock(0.0)
        self.random = random.Random(size)
        self.store = builders.Store()
        self.store.put("member/m", b"{}")
        self.members = [builders.member(f"m{n:04}") for n in range(size)]
        self.down = set()
        self.slow = set()
        self.views = {}
        self._feeds = {}
        self._followers = {}
        self._events = []
        for member in self.members:
            self.start(member.name, self.random.uniform(0, WARM_UP_MS / 5))

    def start(self, name, at_ms):
        """Start or restart a member with an empty copy."""
        copy = feed.Feed(self.clock, lambda item: item.value)
        self.views[name] = View(self)
        self._feeds[name] = copy
        self._followers[name] = follower.Follower(
            name,
            store_revisions.ObservedStore(self.store, self.clock),
            builders.Records(),
            copy,
            self.views[name],
            self,
            self.clock,
            follower.intervals(PLANNED_MS),
        )
        heapq.heappush(self._events, (at_ms, name, self._followers[name]))

    def call(self, address, path, body, timeout_ms):
        """Read another member's copy; a call to one that is down times out."""
        name = address.partition(":")[0]
        if name in self.down:
            self.clock.advance(timeout_ms)
            raise peers.PeerTimeoutError(name)
        self.clock.advance(SLOW_CALL_MS if name in self.slow else PEER_CALL_MS)
        query = feed.FeedQuery(body["epoch"], body["cursor"], body["revision"])
        answer = self._feeds[name].answer(query)
        if answer is None:
            raise peers.PeerUnavailableError(name)
        return answer

    def run_until(self, end_ms):
        """Simulate the reads of all members until a time."""
        while self._events[0][0] < end_ms:
            at_ms, name, reader = heapq.heappop(self._events)
            if name in self.down or reader is not self._followers[name]:
                continue
            self.clock.set(at_ms)
            pause_ms = max(reader.read_once(), 1.0)
            if name in self.slow:
                pause_ms += SLOW_CALL_MS
            heapq.heappush(
                self._events, (self.clock.now_ms() + pause_ms, name, reader)
            )


class PropagationTest(unittest.TestCase):
    """Guards against changes that reach some members after the bound.

    Covers the number of members expected in two years and more. A tenth of
    them is down, a tenth slow and a tenth just restarted.
    """

    def test_change_reaches_all_members_within_the_bound(self):
        for size in (30, 352, 1_000):
            with self.subTest(members=size):
                self.assertLess(self.slowest_ms(size), BOUND_MS)

    def slowest_ms(self, size):
        """Return the time until a change reaches the last running member."""
        network = Network(size)
        network.run_until(WARM_UP_MS)
        names = [member.name for member in network.members]
        share = size // 10
        drawn = network.random.sample(names, 3 * share)
        network.down.update(drawn[:share])
        network.slow.update(drawn[share : 2 * share])
        for name in drawn[2 * share :]:
            network.start(name, WARM_UP_MS)
        network.store.put("config", b"7")
        network.run_until(WARM_UP_MS + 2 * BOUND_MS)
        known = [
            view.known_ms
            for name, view in network.views.items()
            if name not in network.down
        ]
        self.assertNotIn(None, known)
        return max(known) - WARM_UP_MS


if __name__ == "__main__":
    unittest.main()
