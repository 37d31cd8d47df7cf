"""Tests of reads after random losses, cuts and restarts of storage hosts."""

import logging
import unittest

import cluster_case
import random_losses


class RandomLossTest(cluster_case.ClusterCase):
    """Guards against denials of what was acknowledged.

    Before hosts had others fence those that they replace, seeds 5, 13, 18,
    22, 28, 33, 48, 53, 54 and 58 missed usage entries. More seeds by hand:
    see ``random_losses``.
    """

    STEPS = 14
    SEEDS = (5, 13, 18, 22, 28, 33, 48, 53, 54, 58)

    def test_no_answer_denies_what_was_acknowledged(self):
        for seed in self.SEEDS:
            with self.subTest(seed):
                self.doCleanups()
                self.setUp()
                logging.disable(logging.WARNING)
                self.addCleanup(logging.disable, logging.NOTSET)
                losses = random_losses.RandomLosses(self, seed)
                self.assertIsNone(losses.run(self.STEPS))


if __name__ == "__main__":
    unittest.main()
