"""Policy against baseline on the fake pool, with the design's targets."""

import logging
import statistics
import unittest

import builders

import balsamloom_policy as policy

logging.getLogger("balsamloom").addHandler(logging.NullHandler())
SEED = 1


def _full_rate(site, load):
    """Return the programs per second that use all slots of a site."""
    mean_length = 1 + load.straggler_share * 34
    units = 2 + load.prompt_tokens / 50 + load.tokens * mean_length
    last = max(site.servers - 1, 1)
    calls_per_ms = sum(
        site.concurrency / (site.gap_ms * site.speed_range ** (i / last))
        for i in range(site.servers)
    )
    return calls_per_ms / units * 1000 / load.turns


def _offer(site, share, **fields):
    load = builders.Load(1, **fields)
    load.programs_per_s = _full_rate(site, load) * share
    return load


def _latencies(driver, is_wanted):
    return [p.latency_ms for p in driver.programs if is_wanted(p)]


def _completed(driver):
    return sum(p.end_ms is not None for p in driver.programs)


class TargetTest(unittest.TestCase):
    """Guards the ratios of section 9 of the design page."""

    def test_slowdown(self):
        """Guards against urgent programs stuck at slowed servers."""
        site = builders.Site(concurrency=4, slow=(6000, 14000, 7))
        chosen, base = builders.compare(site, _offer(site, 0.6), SEED)
        tails = [
            builders.percentile(_latencies(d, lambda p: p.is_urgent), 0.99)
            for d in (chosen, base)
        ]
        self.assertLessEqual(tails[0], 0.5 * tails[1])

    def test_head_of_line(self):
        """Guards against short programs behind stragglers."""
        site = builders.Site(concurrency=4)
        load = _offer(
            site,
            0.85,
            straggler_share=0.04,
            duration_ms=30000,
            turns=3,
            tokens=40,
        )
        chosen, base = builders.compare(site, load, SEED)
        short = [
            builders.percentile(_latencies(d, lambda p: p.length == 1), 0.95)
            for d in (chosen, base)
        ]
        long = [
            builders.percentile(_latencies(d, lambda p: p.length > 1), 0.99)
            for d in (chosen, base)
        ]
        self.assertLessEqual(short[0], 0.3 * short[1])
        self.assertLessEqual(long[0], 1.3 * long[1])

    def test_load_spike(self):
        """Guards against a spike in which nearly all programs are late."""
        site = builders.Site(concurrency=4)
        load = _offer(site, 0.8, deadline_ms=8000, spike=(5000, 15000, 3))
        chosen, base = builders.compare(site, load, SEED)
        self.assertGreaterEqual(_completed(chosen), 1.5 * _completed(base))

    def test_prefix_recompute(self):
        """Guards against prompts computed again that a cache holds."""
        site = builders.Site(concurrency=4)
        load = _offer(site, 0.6, prefix_count=40, prompt_tokens=500)
        chosen, base = builders.compare(site, load, SEED)
        self.assertLessEqual(chosen.recomputed, 0.3 * base.recomputed)

    def test_mean_program_latency(self):
        """Guards against routing that ignores the servers' speeds."""
        site = builders.Site(concurrency=4)
        chosen, base = builders.compare(site, _offer(site, 0.7), SEED)
        means = [
            statistics.mean(_latencies(d, lambda p: True))
            for d in (chosen, base)
        ]
        self.assertLessEqual(means[0], 0.8 * means[1])

    def test_goodput_at_three_times_capacity(self):
        """Guards against overload that spends capacity on late work."""
        site = builders.Site(concurrency=4)
        good = []
        for share in (1, 3):
            load = _offer(site, share, deadline_ms=8000)
            values = policy.PolicySettings()
            driver = builders.Driver(site, load, values, SEED).run()
            good.append(_completed(driver))
        self.assertGreaterEqual(good[1], 0.9 * good[0])
