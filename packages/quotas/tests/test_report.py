"""Tests of what operators see of quotas."""

import logging
import unittest

import world
from click import testing

from balsamloom_quotas import limits, report

NAMES = ("h0", "h1", "h2", "h3")


class ReportTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("balsamloom")
        logger.setLevel(logging.CRITICAL)
        self.addCleanup(logger.setLevel, logging.NOTSET)
        limit = limits.RateLimit(20.0, 20.0)
        self.played = world.World(NAMES, {"w": limit, "calm": limit})
        self.played.run(8_000.0)
        self.played.spread("w", 80.0, ("h2", "h3"))
        self.played.run(8_000.0)

    def pages(self):
        hosts = self.played.hosts.values()
        return [host.quotas.states() for host in hosts]

    def test_use_refusals_and_leases_of_all_hosts_are_added(self):
        found = report.summarize(self.pages())
        self.assertEqual(list(found), ["calm", "w"])
        use = found["w"]
        self.assertEqual(use.limit["rate_per_s"], 20.0)
        self.assertEqual(sorted(use.admitted), ["h2", "h3"])
        bound = world.BOUNDS.max_requests(limits.RateLimit(20.0, 20.0))
        self.assertGreater(sum(use.admitted.values()), 0.95 * 100)
        self.assertLessEqual(sum(use.admitted.values()), bound)
        self.assertGreater(sum(use.refused.values()), 200)
        self.assertLessEqual(use.held, use.leased)
        lines = report.format_use("w", use)
        self.assertIn("rate_per_s 20", lines[0])
        self.assertTrue(any(line.startswith("  h3:") for line in lines))

    def test_a_host_that_does_not_answer_is_named(self):
        result = testing.CliRunner().invoke(report.main, ["127.0.0.1:1"])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("127.0.0.1:1", result.output)


if __name__ == "__main__":
    unittest.main()
