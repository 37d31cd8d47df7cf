"""Tests of the rules for suspecting and confirming silent members."""

import unittest

from balsamloom_membership import heartbeats, ring, suspicion

SETTINGS = suspicion.LivenessSettings()
PEER = heartbeats.Peer("m1", "127.0.0.1:1")
# Time between two checks of a silent member.
STEP_MS = 500.0


class WatchTest(unittest.TestCase):
    """Guards against suspicion of members that are only slow to answer."""

    def setUp(self):
        self.watch = suspicion.Watch(PEER, 0.0)
        self.now_ms = 0.0

    def starts_suspicion(self, elapsed_ms=STEP_MS, was_refused=False):
        self.now_ms += elapsed_ms
        return self.watch.record_silence(
            self.now_ms, STEP_MS, was_refused, SETTINGS
        )

    def test_suspicion_begins_once_after_the_timeout(self):
        results = [self.starts_suspicion() for _ in range(6)]
        self.assertEqual(results, [False, False, False, True, False, False])

    def test_answer_resets_the_silence(self):
        for _ in range(3):
            self.starts_suspicion()
        self.watch.record_answer(self.now_ms)
        self.assertFalse(self.starts_suspicion())

    def test_pause_of_this_process_is_not_silence_of_the_peer(self):
        for _ in range(3):
            self.starts_suspicion()
        self.assertFalse(self.starts_suspicion(elapsed_ms=60_000.0))
        self.assertEqual(self.watch.silent_ms, 0.0)

    def test_refused_connections_are_suspected_sooner(self):
        results = [
            self.starts_suspicion(50.0, was_refused=True) for _ in range(2)
        ]
        self.assertEqual(results, [False, True])

    def test_false_suspicion_delays_the_next_one_for_a_minute(self):
        self.watch.suspected_at_ms = 0.0
        self.watch.record_recovery(10.0)
        slow_ms = SETTINGS.suspicion_timeout_ms + suspicion.FLAP_PENALTY_MS
        self.assertEqual(
            self.watch.allowed_silence_ms(20.0, SETTINGS), slow_ms
        )
        later_ms = 20.0 + suspicion.MAX_FLAP_AGE_MS
        self.assertEqual(
            self.watch.allowed_silence_ms(later_ms, SETTINGS),
            SETTINGS.suspicion_timeout_ms,
        )


class VotesTest(unittest.TestCase):
    """Guards against two members that take over from each other."""

    def wait_ms(self, votes, others, was_refused=False, names=("m0", "m1")):
        peer = heartbeats.Peer(names[1], "127.0.0.1:1")
        watch = suspicion.Watch(peer, 0.0, was_refused=was_refused)
        return suspicion.confirmation_wait_ms(
            names[0], watch, votes, others, SETTINGS
        )

    def test_enough_votes_need_no_wait(self):
        self.assertEqual(self.wait_ms(2, 5), 0)
        self.assertEqual(self.wait_ms(1, 1), 0)

    def test_too_few_votes_or_a_refusal_require_a_wait(self):
        wait_ms = SETTINGS.too_few_votes_wait_ms
        self.assertEqual(self.wait_ms(1, 5), wait_ms)
        self.assertEqual(self.wait_ms(0, 5, was_refused=True), wait_ms)

    def test_of_two_that_are_cut_apart_one_waits_longer(self):
        waits = {self.wait_ms(0, 0), self.wait_ms(0, 0, names=("m1", "m0"))}
        no_votes_ms = SETTINGS.no_votes_wait_ms
        self.assertEqual(waits, {no_votes_ms, 2 * no_votes_ms})


class RingTest(unittest.TestCase):
    """Guards against unwatched members."""

    NAMES = tuple(f"m{number}" for number in range(12))

    def successors(self, name, dead=()):
        peers = [other for other in self.NAMES if other != name]
        return ring.successors(name, peers, dead, SETTINGS.watched_peers)

    def test_each_member_has_the_same_number_of_watchers(self):
        watched = [
            other for name in self.NAMES for other in self.successors(name)
        ]
        counts = {watched.count(name) for name in self.NAMES}
        self.assertEqual(counts, {SETTINGS.watched_peers})

    def test_dead_members_stay_watched_and_are_replaced(self):
        usual = self.successors("m0")
        found = self.successors("m0", dead=usual[:2])
        self.assertEqual(found[: len(usual)], usual)
        self.assertEqual(len(found), len(usual) + 2)

    def test_watched_dead_members_are_limited(self):
        found = self.successors("m0", dead=self.NAMES)
        self.assertEqual(len(found), 2 * SETTINGS.watched_peers)


if __name__ == "__main__":
    unittest.main()
