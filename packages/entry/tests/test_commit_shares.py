"""Tests of the distribution of the fleet's commit rate."""

import unittest

from balsamloom_entry import commit_shares

RATE = 3.5


class CommitShareTest(unittest.TestCase):
    """Guards against exceeding the fleet's rate and starving a busy member."""

    def rates(self, calls):
        return [
            commit_shares.rate_per_s(
                RATE, own, calls[:place] + calls[place + 1 :], len(calls)
            )
            for place, own in enumerate(calls)
        ]

    def test_rates_add_up_to_the_fleet_rate(self):
        for calls in ([0] * 8, [60] * 8, [1, 0, 0], [100, 3, 0, 7], [5]):
            with self.subTest(calls=calls):
                total = RATE * len(calls)
                self.assertAlmostEqual(sum(self.rates(calls)), total)

    def test_single_busy_member_gets_most_of_the_rate(self):
        busy, *idle = self.rates([1] + [0] * 7)
        self.assertGreater(busy, RATE * 8 / 2)
        self.assertTrue(all(rate > 0 for rate in idle))

    def test_unknown_peers_count_as_average_load(self):
        known = commit_shares.rate_per_s(RATE, 4, [4] * 5, 300)
        self.assertAlmostEqual(known, RATE)
