"""Tests of decisions on silent members, without messages."""

import unittest

from balsamloom_membership import heartbeats, ring, suspicion

SETTINGS = suspicion.LivenessSettings()
PEER = heartbeats.Peer("m1", "127.0.0.1:1")
# A silent member is asked again after each timeout.
STEP_MS = 500.0


class WatchTest(unittest.TestCase):
    """Guards against doubts in members that were only slow to answer."""

    def setUp(self):
        self.watch = suspicion.Watch(PEER, 0.0)
        self.now_ms = 0.0

    def is_doubted(self, elapsed_ms=STEP_MS, was_refused=False):
        self.now_ms += elapsed_ms
        return self.watch.record_silence(
            self.now_ms, STEP_MS, was_refused, SETTINGS
        )

    def test_doubt_begins_once_after_the_whole_time(self):
        doubts = [self.is_doubted() for _ in range(6)]
        self.assertEqual(doubts, [False, False, False, True, False, False])

    def test_answer_begins_the_time_anew(self):
        for _ in range(3):
            self.is_doubted()
        self.watch.record_answer(self.now_ms)
        self.assertFalse(self.is_doubted())

    def test_pause_of_this_process_says_nothing_about_the_peer(self):
        for _ in range(3):
            self.is_doubted()
        self.assertFalse(self.is_doubted(elapsed_ms=60_000.0))
        self.assertEqual(self.watch.silent_ms, 0.0)

    def test_refused_connections_are_doubted_sooner(self):
        doubts = [self.is_doubted(50.0, was_refused=True) for _ in range(2)]
        self.assertEqual(doubts, [False, True])

    def test_wrong_doubts_make_the_next_one_slower_for_a_minute(self):
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

    def test_few_votes_or_a_refusal_wait_for_a_while(self):
        wait_ms = SETTINGS.too_few_votes_wait_ms
        self.assertEqual(self.wait_ms(1, 5), wait_ms)
        self.assertEqual(self.wait_ms(0, 5, was_refused=True), wait_ms)

    def test_of_two_that_are_cut_apart_one_waits_longer(self):
        waits = {self.wait_ms(0, 0), self.wait_ms(0, 0, names=("m1", "m0"))}
        alone_ms = SETTINGS.no_votes_wait_ms
        self.assertEqual(waits, {alone_ms, 2 * alone_ms})


class RingTest(unittest.TestCase):
    """Guards against members that nobody watches."""

    NAMES = tuple(f"m{number}" for number in range(12))

    def successors(self, name, dead=()):
        peers = [other for other in self.NAMES if other != name]
        return ring.successors(name, peers, dead, SETTINGS.watched_peers)

    def test_each_member_is_watched_by_as_many(self):
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

    def test_many_dead_members_are_not_all_watched(self):
        found = self.successors("m0", dead=self.NAMES)
        self.assertEqual(len(found), 2 * SETTINGS.watched_peers)


if __name__ == "__main__":
    unittest.main()
