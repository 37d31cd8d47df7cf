"""Compares policy and baseline in simulation with the design's targets."""

import logging
import statistics
import unittest

import builders

from balsamloom_policy import settings

logging.getLogger("balsamloom").addHandler(logging.NullHandler())
SEED = 1


def _saturation_rate(cluster, load):
    """Return the programs per second that saturate a cluster's slots."""
    mean_length = 1 + load.straggler_share * 34
    token_times = 2 + load.prompt_tokens / 50 + load.tokens * mean_length
    last = max(cluster.servers - 1, 1)
    calls_per_ms = sum(
        cluster.concurrency
        / (cluster.gap_ms * cluster.speed_range ** (i / last))
        for i in range(cluster.servers)
    )
    return calls_per_ms / token_times * 1000 / load.turns


def _offered_load(cluster, share, **fields):
    load = builders.Load(1, **fields)
    load.programs_per_s = _saturation_rate(cluster, load) * share
    return load


def _latencies(driver, is_wanted):
    return [p.latency_ms for p in driver.programs if is_wanted(p)]


def _completed(driver):
    return sum(p.end_ms is not None for p in driver.programs)


class TargetTest(unittest.TestCase):
    """Checks the ratios of section 9 of the design page."""

    def test_slowdown(self):
        """Guards against urgent programs delayed at slow servers."""
        cluster = builders.Cluster(concurrency=4, slowdown=(6000, 14000, 7))
        candidate, baseline = builders.compare(
            cluster, _offered_load(cluster, 0.6), SEED
        )
        tails = [
            builders.percentile(_latencies(d, lambda p: p.is_urgent), 0.99)
            for d in (candidate, baseline)
        ]
        self.assertLessEqual(tails[0], 0.5 * tails[1])

    def test_head_of_line(self):
        """Guards against short programs that wait behind stragglers."""
        cluster = builders.Cluster(concurrency=4)
        load = _offered_load(
            cluster,
            0.85,
            straggler_share=0.04,
            duration_ms=30000,
            turns=3,
            tokens=40,
        )
        candidate, baseline = builders.compare(cluster, load, SEED)
        short = [
            builders.percentile(_latencies(d, lambda p: p.length == 1), 0.95)
            for d in (candidate, baseline)
        ]
        long = [
            builders.percentile(_latencies(d, lambda p: p.length > 1), 0.99)
            for d in (candidate, baseline)
        ]
        self.assertLessEqual(short[0], 0.3 * short[1])
        self.assertLessEqual(long[0], 1.3 * long[1])

    def test_load_spike(self):
        """Guards against a load spike in which most programs are late."""
        cluster = builders.Cluster(concurrency=4)
        load = _offered_load(
            cluster, 0.8, deadline_ms=8000, spike=(5000, 15000, 3)
        )
        candidate, baseline = builders.compare(cluster, load, SEED)
        self.assertGreaterEqual(
            _completed(candidate), 1.5 * _completed(baseline)
        )

    def test_prefix_recompute(self):
        """Guards against recomputing prompts that a server has cached."""
        cluster = builders.Cluster(concurrency=4)
        load = _offered_load(cluster, 0.6, prefix_count=40, prompt_tokens=500)
        candidate, baseline = builders.compare(cluster, load, SEED)
        self.assertLessEqual(candidate.recomputed, 0.3 * baseline.recomputed)

    def test_mean_program_latency(self):
        """Guards against routing that ignores the servers' speeds."""
        cluster = builders.Cluster(concurrency=4)
        candidate, baseline = builders.compare(
            cluster, _offered_load(cluster, 0.7), SEED
        )
        means = [
            statistics.mean(_latencies(d, lambda p: True))
            for d in (candidate, baseline)
        ]
        self.assertLessEqual(means[0], 0.8 * means[1])

    def test_goodput_at_three_times_capacity(self):
        """Guards against overload that spends capacity on late programs."""
        cluster = builders.Cluster(concurrency=4)
        good = []
        for share in (1, 3):
            load = _offered_load(cluster, share, deadline_ms=8000)
            values = settings.PolicySettings()
            driver = builders.Driver(cluster, load, values, SEED).run()
            good.append(_completed(driver))
        self.assertGreaterEqual(good[1], 0.9 * good[0])
