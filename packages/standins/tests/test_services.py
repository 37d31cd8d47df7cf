"""Tests of the stand-ins for tool services, host list and weight store."""

import threading
import unittest

import builders
import urllib3

from balsamloom_core import outcomes
from balsamloom_platform import hosts, tools, weights
from balsamloom_standins import fleet

HOST = {
    "host_id": "h1",
    "kind": "engine",
    "address": "127.0.0.1:1",
    "failure_domain": "a",
    "is_leaving": False,
    "incarnation": 1,
    "pool": "rota",
}


def control(address, **changes):
    response = builders.send(address, "POST", "/control", changes)
    assert response.status == 200, response.data


class ToolTest(unittest.TestCase):
    """Guards against wrong run counts, which would hide a second run."""

    def setUp(self):
        self.address = builders.start_standin(self, "tools")
        self.client = tools.ToolService(self.address, urllib3.PoolManager())

    def call(self, key, timeout_ms=5_000):
        return self.client.call("desk", "book", {}, key, timeout_ms, "p1")

    def read(self, path):
        return builders.send(self.address, "GET", path).json()

    def test_many_requests_do_not_fill_the_standard_output(self):
        """Guards against logs that block in a full pipe nobody reads."""
        processes = fleet.Fleet()
        self.addCleanup(processes.stop)
        standin = processes.standin("tools")
        builders.send(standin.address, "GET", "/runs")
        standin.terminate()
        self.assertEqual(standin.wait(), 0)
        self.assertEqual(standin.remaining_output(), "")

    def test_a_refused_run_is_not_counted(self):
        control(self.address, mode="refuse", left=1)
        self.assertIsInstance(self.call("k1"), outcomes.NotRun)
        self.assertEqual(self.read("/runs"), {})
        self.assertIsInstance(self.call("k1"), outcomes.Completed)
        self.assertEqual(self.read("/runs"), {"k1": 1})

    def test_a_hung_run_is_counted_and_ends_later(self):
        control(self.address, mode="hang")
        self.assertIsInstance(self.call("k1", 100), outcomes.Unknown)
        self.assertEqual(self.read("/order"), {"p1": [["start", "k1"]]})
        control(self.address, mode="none")
        builders.wait_until(
            self,
            lambda: (
                self.read("/order") == {"p1": [["start", "k1"], ["end", "k1"]]}
            ),
        )

    def test_overlapping_runs_of_a_program_are_visible(self):
        control(self.address, mode="hang")
        threads = []
        for key in ("k1", "k2"):
            thread = threading.Thread(target=self.call, args=(key,))
            thread.start()
            threads.append(thread)
        builders.wait_until(self, lambda: len(self.read("/runs")) == 2)
        control(self.address, mode="none")
        for thread in threads:
            thread.join(5)
        order = [event for event, _ in self.read("/order")["p1"]]
        self.assertEqual(order, ["start", "start", "end", "end"])


class HostsTest(unittest.TestCase):
    def setUp(self):
        self.address = builders.start_standin(self, "hosts")
        self.pool = urllib3.PoolManager()

    def test_the_list_lags(self):
        """Guards against tests of stale lists that get a current list."""
        client = hosts.HttpHostList(self.address, self.pool)
        control(self.address, hosts=[HOST])
        self.assertEqual(client.hosts(), [hosts.Host(**HOST)])
        control(self.address, lag_ms=60_000)
        leaving = {**HOST, "is_leaving": True}
        control(self.address, hosts=[leaving])
        self.assertEqual(client.hosts(), [hosts.Host(**HOST)])
        control(self.address, lag_ms=0)
        self.assertTrue(client.hosts()[0].is_leaving)

    def test_fetches_above_the_rate_are_refused(self):
        """Guards against tests of rate limits that never hit the limit."""
        client = weights.HttpWeightStore(self.address, self.pool)
        control(self.address, fetches_per_s=0.01)
        self.assertEqual(client.fetch("rota").model, "rota")
        client.fetch("rota")
        with self.assertRaises(weights.RateLimited) as caught:
            client.fetch("rota")
        self.assertGreater(caught.exception.retry_after_ms, 10_000)
