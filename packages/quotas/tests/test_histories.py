"""Tests of quotas over generated histories of their hosts.

Examples are derandomized, so every run draws the same ones. More of them::

    QUOTA_HISTORIES=5000 python -m unittest test_histories
"""

import logging
import os
import unittest
from typing import NamedTuple

import hypothesis
import world
from hypothesis import strategies

from balsamloom_quotas import limits

EXAMPLES = int(os.environ.get("QUOTA_HISTORIES", "0"))
SETTINGS = hypothesis.settings(
    derandomize=not EXAMPLES,
    max_examples=EXAMPLES or 30,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NAMES = tuple(f"h{number}" for number in range(7))
# The granters come first in the order of members.
HOSTS = strategies.sampled_from(("h0", "h0", "h1", "h1", "h2", *NAMES))
DURATIONS_MS = strategies.sampled_from([100.0, 600.0, 2_500.0, 6_000.0])
LIMIT = limits.RateLimit(30.0, 30.0)
SMALL = limits.RateLimit(4.0, 2.0)
LIMITS = {"large": LIMIT, "small": SMALL}


class Step(NamedTuple):
    """Something happens to a host, and then time passes."""

    kind: str
    host: str
    duration_ms: float
    amount: float


KINDS = strategies.sampled_from(
    [
        "press",
        "press_one",
        "cut_off",
        "cut_pair",
        "cut_store",
        "heal",
        "freeze",
        "freeze_in_call",
        "kill",
        "restart",
        "restart_all",
        "lose_answers",
        "limit",
        "not_run",
        "join",
    ]
)
STEPS = strategies.builds(
    Step,
    KINDS,
    HOSTS,
    DURATIONS_MS,
    strategies.sampled_from([0.2, 0.5, 1.0, 2.0]),
)


def apply(step, played):
    """Let a step happen."""
    host = played.hosts[step.host]
    match step.kind:
        case "press":
            for name, limit in LIMITS.items():
                rate_per_s = limit.rate_per_s * 4 * step.amount
                played.spread(name, rate_per_s, tuple(played.hosts))
        case "press_one":
            played.spread("large", 100.0 * step.amount, (step.host,))
        case "cut_off":
            host.is_cut_off = True
        case "cut_pair":
            host.lost_paths.add(played.random.choice(NAMES))
        case "cut_store":
            host.is_store_cut = True
        case "heal":
            for other in played.hosts.values():
                other.is_cut_off = False
                other.is_store_cut = False
                other.loses_answers = False
                other.lost_paths.clear()
        case "freeze":
            end_ms = played.clock.now_ms() + 5_000.0 * step.amount
            host.frozen_until_ms = end_ms
        case "freeze_in_call":
            host.freeze_in_call_ms = 3_000.0 * step.amount
        case "kill":
            host.is_up = False
        case "restart":
            host.start()
        case "restart_all":
            for other in played.hosts.values():
                other.start()
        case "lose_answers":
            host.loses_answers = True
        case "limit":
            played.limits = {
                name: limits.RateLimit(
                    limit.rate_per_s * step.amount,
                    limit.burst_requests * step.amount,
                )
                for name, limit in LIMITS.items()
            }
        case "not_run":
            played.not_run_share = step.amount / 4
        case "join":
            name = f"h{len(played.hosts)}"
            played.hosts[name] = world.Host(played, name)


class HistoryTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("balsamloom")
        logger.setLevel(logging.CRITICAL)
        self.addCleanup(logger.setLevel, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(STEPS, min_size=4, max_size=14),
        strategies.integers(0, 3),
    )
    def test_no_window_exceeds_its_bound(self, steps, seed):
        played = world.World(NAMES, LIMITS, seed)
        played.run(6_000.0)
        played.spread("large", 120.0, NAMES)
        played.spread("small", 16.0, NAMES)
        for step in steps:
            apply(step, played)
            played.run(step.duration_ms)
        for name in LIMITS:
            self.assertLessEqual(played.excess(name), 0, name)


if __name__ == "__main__":
    unittest.main()
