"""Tests of heartbeats between members, on a simulated clock."""

import heapq
import random
import unittest

import builders

from balsamloom_gateway import (
    heartbeats,
    membership,
    peer_liveness,
    peers,
)

# Callers keep an address answer for this time.
ANSWER_TTL_MS = 1_000.0
# Time after which callers must no longer be sent to a dark member.
DETECTION_BOUND_MS = 1_000.0
# The shortest lease. Heartbeats are of use if they are faster at any size.
LEASE_MS = 2_500.0


class SimulatedFleet:
    """Members that exchange heartbeats; none of their leases ends.

    :param size: number of members.
    """

    def __init__(self, size):
        self.clock = builders.manual_clock()
        self.registered = [builders.member(f"m{n:03}") for n in range(size)]
        self.names = [member.name for member in self.registered]
        self.dark = set()
        self.not_ready = set()
        self.old_release = set()
        # Pairs of members whose heartbeats are lost, in either direction.
        self.interrupted = set()
        self.liveness = {}
        self._heartbeats = {}
        # Time of each member's next round; members start at any moment.
        self._rounds = []
        generator = random.Random(size)
        for name in self.names:
            self._start(name)
            first_ms = self.clock.now_ms() + generator.uniform(
                0.0, heartbeats.INTERVAL_MS
            )
            heapq.heappush(self._rounds, (first_ms, name))

    def _start(self, name):
        self.liveness[name] = peer_liveness.PeerLiveness(name, self.clock)
        self._heartbeats[name] = heartbeats.Heartbeats(
            name,
            self.liveness[name],
            self,
            Link(self, name),
            self.clock,
            lambda: name not in self.not_ready,
        )

    def members(self):
        """Return all registered members."""
        return self.registered

    def send(self, sender, receiver, body):
        """Deliver a heartbeat and return its answer."""
        pair = frozenset((sender, receiver))
        if receiver in self.dark or pair in self.interrupted:
            raise peers.PeerTimeoutError(receiver)
        if receiver in self.old_release:
            raise peers.PeerUnavailableError("status 404")
        answer = self._heartbeats[receiver].answer(builders.as_json(body))
        return builders.as_json(answer)

    def run(self, duration_ms):
        """Run the rounds of all members for a time."""
        until_ms = self.clock.now_ms() + duration_ms
        while self._rounds[0][0] < until_ms:
            at_ms, name = heapq.heappop(self._rounds)
            self.clock.advance(at_ms - self.clock.now_ms())
            if name not in self.dark:
                self._heartbeats[name].send_round()
            heapq.heappush(
                self._rounds, (at_ms + heartbeats.INTERVAL_MS, name)
            )
        self.clock.advance(until_ms - self.clock.now_ms())

    def unavailable(self, name):
        """Return the members that ``name`` keeps from its callers."""
        return self.liveness[name].unavailable()

    def addresses(self, name):
        """Return the caller addresses that ``name`` answers with."""
        hidden = self.unavailable(name)
        usable = [one for one in self.registered if one.name not in hidden]
        return membership.caller_addresses(usable, None, "")

    def close(self):
        """Stop the threads that send heartbeats."""
        for sender in self._heartbeats.values():
            sender.stop()
            sender.run()


class Link:
    """Clients of one simulated member."""

    def __init__(self, network, sender):
        self._network = network
        self._sender = sender

    def call(self, address, path, body, timeout_ms):
        """Send a heartbeat to the member with an address."""
        receiver = address.partition(":")[0]
        return self._network.send(self._sender, receiver, body)


class LivenessCase(unittest.TestCase):
    """Test case with simulated members."""

    def start(self, size=7):
        self.network = SimulatedFleet(size)
        self.addCleanup(self.network.close)
        self.network.run(heartbeats.INTERVAL_MS)

    def assert_hidden(self, expected, observers=None):
        for name in observers or self.network.names:
            if name not in self.network.dark:
                self.assertEqual(
                    self.network.unavailable(name), frozenset(expected), name
                )


class DetectionTest(LivenessCase):
    """Guards against address answers that name members without power."""

    def test_dark_member_is_hidden_everywhere(self):
        bounds_ms = {
            3: DETECTION_BOUND_MS,
            7: DETECTION_BOUND_MS,
            57: DETECTION_BOUND_MS,
            171: DETECTION_BOUND_MS,
            352: LEASE_MS,
        }
        for size, bound_ms in bounds_ms.items():
            with self.subTest(size=size):
                self.start(size)
                self.network.dark = {"m001"}
                self.network.run(bound_ms)
                self.assert_hidden({"m001"})

    def test_member_that_is_back_is_offered_again(self):
        self.start(57)
        self.network.dark = {"m003"}
        self.network.run(DETECTION_BOUND_MS)
        self.network.dark = set()
        self.network.run(
            peer_liveness.MAX_REPORT_AGE_MS + 3 * heartbeats.INTERVAL_MS
        )
        self.assert_hidden(set())

    def test_half_of_the_members_are_dark(self):
        self.start(57)
        dark = set(self.network.names[::2])
        self.network.dark = dark
        self.network.run(2 * DETECTION_BOUND_MS)
        for name in set(self.network.names) - dark:
            hidden = self.network.unavailable(name)
            self.assertGreater(len(hidden), len(dark) * 0.9)
            self.assertLessEqual(hidden, dark)

    def test_leaving_member_is_hidden_at_once(self):
        self.start()
        self.network.not_ready = {"m002"}
        self.network.run(heartbeats.INTERVAL_MS)
        others = [name for name in self.network.names if name != "m002"]
        self.assert_hidden({"m002"}, others)

    def test_calls_that_a_dark_member_swallows(self):
        """Play 40 calls a second while a member is dark and the store down.

        Callers keep an answer for its time to live and choose an address at
        random. Each call to the dark member is lost.
        """
        self.start()
        generator = random.Random(1)
        self.network.dark = {"m004"}
        lost = {"all": 0, "later": 0}
        answer = self.network.addresses("m000")
        answered_ms = self.network.clock.now_ms()
        started_ms = answered_ms
        for _ in range(18):
            now_ms = self.network.clock.now_ms()
            if now_ms - answered_ms >= ANSWER_TTL_MS:
                answer = self.network.addresses("m000")
                answered_ms = now_ms
            for _ in range(12):
                address = generator.choice(answer)
                is_lost = address.startswith("m004")
                lost["all"] += is_lost
                if now_ms - started_ms > DETECTION_BOUND_MS + ANSWER_TTL_MS:
                    lost["later"] += is_lost
            self.network.run(heartbeats.INTERVAL_MS)
        self.assertGreater(lost["all"], 0)
        self.assertEqual(lost["later"], 0)


class FalseSuspicionTest(LivenessCase):
    """Guards against hiding members that serve their callers."""

    def test_single_lost_heartbeat(self):
        self.start()
        self.network.dark = {"m001"}
        self.network.run(heartbeats.INTERVAL_MS)
        self.network.dark = set()
        self.assert_hidden(set())

    def test_interrupted_path_hides_only_for_its_two_ends(self):
        self.start(57)
        first = self.network.registered[0]
        watched = peer_liveness.watched_members(
            first.name, self.network.registered
        )
        other = watched[0].name
        self.network.interrupted = {frozenset((first.name, other))}
        self.network.run(DETECTION_BOUND_MS)
        self.assert_hidden({other}, [first.name])
        rest = set(self.network.names) - {first.name, other}
        self.assert_hidden(set(), rest)

    def test_member_that_is_cut_off_hides_nobody(self):
        self.start()
        self.network.interrupted = {
            frozenset(("m000", name)) for name in self.network.names[1:]
        }
        self.network.run(DETECTION_BOUND_MS)
        self.assert_hidden(set(), ["m000"])
        self.assert_hidden({"m000"}, self.network.names[1:])

    def test_release_without_heartbeats_stays_offered(self):
        self.start()
        self.network.old_release = {"m005"}
        self.network.run(DETECTION_BOUND_MS)
        self.assert_hidden(set())


class BoundTest(LivenessCase):
    """Guards against heartbeats that grow with the fleet."""

    def test_messages_are_bounded(self):
        self.start(171)
        self.network.dark = set(self.network.names[::3])
        self.network.run(DETECTION_BOUND_MS)
        for name in self.network.names:
            reports = self.network.liveness[name].reports()
            self.assertLessEqual(len(reports), peer_liveness.MAX_SENT_REPORTS)

    def test_every_member_is_watched(self):
        self.start(171)
        counts = dict.fromkeys(self.network.names, 0)
        for name in self.network.names:
            for member in peer_liveness.watched_members(
                name, self.network.registered
            ):
                counts[member.name] += 1
        self.assertEqual(
            set(counts.values()), {peer_liveness.MAX_WATCHED_MEMBERS}
        )


if __name__ == "__main__":
    unittest.main()
