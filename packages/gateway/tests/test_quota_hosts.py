"""Tests of rate quotas over several edge processes."""

import http.client
import unittest
from unittest import mock

import hosts_case

from balsamloom_gateway import traffic
from balsamloom_quotas import limits, report
from balsamloom_workspaces import credentials

KEY = "k-1"
LIMIT = limits.RateLimit(10.0, 5.0)
WORKSPACE = traffic.Workspace(
    "w",
    (credentials.digest_key(KEY.encode()),),
    None,
    traffic.RateLimit(*LIMIT),
)
# Longer than the test, so that it sees one window.
BOUNDS = limits.Bounds(30_000.0, 0.1, 3.0)


class QuotaHostsTest(hosts_case.HostsCase):
    QUOTA_BOUNDS = BOUNDS

    def setUp(self):
        patched = mock.patch.object(
            hosts_case.LinkedRecords, "workspaces", (WORKSPACE,)
        )
        patched.start()
        self.addCleanup(patched.stop)
        super().setUp()

    def ask(self, host, number):
        """Return the response to a request of the workspace."""
        response = self.send(host, f"r{number}", Authorization=f"Bearer {KEY}")
        response.read()
        return response

    def address(self, host):
        """Return the address of the metrics of a process."""
        return self.hosts[host]._other_listeners[1].address

    def metrics(self, host):
        """Return the metrics of a process."""
        connection = http.client.HTTPConnection(self.address(host), timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    def test_all_processes_together_keep_a_limit(self):
        self.wait_until(
            lambda: all(
                host._quotas.states()["is_granter"]
                for host in self.hosts.values()
            ),
            20.0,
        )
        # The granters begin without tokens.
        self.wait_until(lambda: self.ask("m1", 0).status == 200)
        statuses = []
        for number in range(1, 301):
            name = hosts_case.NAMES[number % 3]
            response = self.ask(name, number)
            statuses.append(response.status)
            if response.status == 429:
                self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertLessEqual(set(statuses), {200, 429})
        self.assertIn(429, statuses)
        self.assertLessEqual(
            statuses.count(200) + 1, BOUNDS.max_requests(LIMIT)
        )
        pages = [
            report.read_page(self.address(name)) for name in hosts_case.NAMES
        ]
        use = report.summarize(pages)["w"]
        self.assertEqual(use.limit["rate_per_s"], 10.0)
        self.assertGreaterEqual(
            sum(use.admitted.values()), statuses.count(200)
        )
        self.assertGreaterEqual(sum(use.refused.values()), statuses.count(429))
        series = 'balsamloom_quota_requests_total{outcome="refused"'
        self.assertIn(series, self.metrics("m1"))


if __name__ == "__main__":
    unittest.main()
