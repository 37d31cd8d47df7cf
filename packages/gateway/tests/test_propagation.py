"""Tests of how fast a change reaches all members, on a simulated clock."""

import collections
import heapq
import random
import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    feed,
    follower,
    membership,
    peers,
    read_schedule,
    store_revisions,
)

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


class WaitingError(Exception):
    """A call waits for news at a member.

    :param source: name of the member.
    :param wait_ms: how long it waits at most.
    """

    def __init__(self, source, wait_ms):
        self.source = source
        self.wait_ms = wait_ms


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
        self.store = stores.Store()
        self.store.put("member/m", b"{}")
        self.members = [builders.member(f"m{n:04}") for n in range(size)]
        self.down = set()
        self.slow = set()
        self.views = {}
        self._feeds = {}
        self._followers = {}
        self._events = []
        # Time of each member's next read; other events are outdated.
        self._due_ms = {}
        # Names of the readers that wait for news at each member.
        self._waiting = collections.defaultdict(set)
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
            read_schedule.intervals(PLANNED_MS),
        )
        self._schedule(name, at_ms)

    def call(self, address, path, body, timeout_ms):
        """Read another member's copy; a call to one that is down times out.

        :raises WaitingError: the member waits until it has news.
        """
        name = address.partition(":")[0]
        if name in self.down:
            self.clock.advance(timeout_ms)
            raise peers.PeerTimeoutError(name)
        query = feed.FeedQuery(
            body["epoch"], body["cursor"], body["revision"], body["reads"]
        )
        if body["wait_ms"] and not self._feeds[name].has_news(query):
            raise WaitingError(name, body["wait_ms"])
        self.clock.advance(self._call_ms(name))
        answer = self._feeds[name].answer(query)
        if answer is None:
            raise peers.PeerUnavailableError(name)
        return answer

    def run_until(self, end_ms):
        """Simulate the reads of all members until a time."""
        while self._events[0][0] < end_ms:
            at_ms, name = heapq.heappop(self._events)
            if name in self.down or at_ms != self._due_ms[name]:
                continue
            self.clock.set(at_ms)
            try:
                pause_ms = max(self._followers[name].read_once(), 1.0)
            except WaitingError as error:
                self._waiting[error.source].add(name)
                pause_ms = error.wait_ms
            else:
                self._wake_readers(name)
            if name in self.slow:
                pause_ms += SLOW_CALL_MS
            self._schedule(name, self.clock.now_ms() + pause_ms)

    def _wake_readers(self, source):
        """Let the readers that wait at a member read from it again."""
        for name in sorted(self._waiting.pop(source, ())):
            at_ms = self.clock.now_ms() + self._call_ms(name)
            if at_ms < self._due_ms[name]:
                self._schedule(name, at_ms)

    def _schedule(self, name, at_ms):
        self._due_ms[name] = at_ms
        heapq.heappush(self._events, (at_ms, name))

    def _call_ms(self, name):
        return SLOW_CALL_MS if name in self.slow else PEER_CALL_MS


class PropagationTest(unittest.TestCase):
    """Guards against changes that reach some members after the bound.

    Covers the number of members expected in two years and more. A tenth of
    them is down, a tenth slow and a tenth just restarted.
    """

    def test_change_reaches_all_members_within_the_bound(self):
        for size in (30, 352, 1_000):
            with self.subTest(members=size):
                self.assertLess(self.slowest_ms(size), BOUND_MS)

    def test_members_pass_a_change_on_without_pauses(self):
        # Only the pause between two reads of the store and the calls count.
        store_ms = read_schedule.intervals(PLANNED_MS).store_ms
        for size in (30, 352, 1_000):
            with self.subTest(members=size):
                last = f"m{size - 1:04}"
                network = Network(size)
                levels = membership.level_of(last, network.members)
                most_ms = store_ms + (2 * levels + 1) * PEER_CALL_MS
                self.assertLess(self.change_ms(network), most_ms)

    def test_silent_source_does_not_keep_a_change_from_its_readers(self):
        # Each source is lost in turn, with all that read from it.
        for rank in (0, 1, 8, 9):
            with self.subTest(rank=rank):
                network = Network(100)
                network.run_until(WARM_UP_MS)
                network.down.add(f"m{rank:04}")
                self.assertLess(self.change_ms(network), PLANNED_MS)

    def change_ms(self, network):
        """Return the time until a change reaches all running members."""
        network.run_until(WARM_UP_MS)
        network.store.put("config", b"7")
        network.run_until(WARM_UP_MS + 2 * BOUND_MS)
        known = [
            view.known_ms
            for name, view in network.views.items()
            if name not in network.down
        ]
        self.assertNotIn(None, known)
        return max(known) - WARM_UP_MS

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
        return self.change_ms(network)


if __name__ == "__main__":
    unittest.main()
