"""Tests of the states of backend servers and their sources."""

import collections
import threading
import unittest
from unittest import mock

import builders

from balsamloom_core import clock as clocks
from balsamloom_membership import backends, host_watch, load_watch
from balsamloom_state import partitions

LOAD = backends.Origin.LOAD_REPORT
HOSTS = backends.Origin.HOST_LIST
CONFIGURATION = backends.Origin.CONFIGURATION


class RuleTest(unittest.TestCase):
    """Guards against a leaving server that gets new work again."""

    def setUp(self):
        self.table = builders.table()

    def test_each_source_alone_suffices(self):
        for origin in backends.Origin:
            for from_peer in (True, False):
                table = builders.table()
                if from_peer:
                    state = builders.leaving(origin=int(origin))
                    table.merge_from_peer([state])
                else:
                    table.observe(origin, "s1", True)
                self.assertFalse(table.takes_new_work("s1"))
                names = [server.server_id for server in table.servers("rota")]
                self.assertEqual(names, ["s0", "s2"])

    def test_other_sources_do_not_bring_it_back(self):
        self.table.observe(HOSTS, "s1", True, 5)
        for _ in range(100):
            self.table.observe(LOAD, "s1", False)
        self.table.observe(CONFIGURATION, "s1", False, 99)
        self.table.merge_from_peer(
            [builders.leaving("s1", 99, False, int(LOAD))]
        )
        self.assertFalse(self.table.takes_new_work("s1"))

    def test_same_source_needs_a_newer_incarnation(self):
        self.table.merge_from_peer([builders.leaving("s1", 5, True)])
        for incarnation in (1, 4, 5):
            state = builders.leaving("s1", incarnation, False)
            self.table.merge_from_peer([state])
            self.assertFalse(self.table.takes_new_work("s1"))
        self.table.merge_from_peer([builders.leaving("s1", 6, False)])
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_stale_host_list_does_not_undo_what_peers_read(self):
        self.table.merge_from_peer([builders.leaving(origin=int(HOSTS))])
        for _ in range(100):
            self.table.observe(HOSTS, "s1", False)
        self.assertFalse(self.table.takes_new_work("s1"))

    def test_late_load_report_does_not_undo_what_peers_read(self):
        self.table.merge_from_peer([builders.leaving()])
        for _ in range(backends.MIN_SERVING_REPORTS_DRAIN_UNSEEN - 1):
            self.table.observe(LOAD, "s1", False)
        self.assertFalse(self.table.takes_new_work("s1"))
        self.table.observe(LOAD, "s1", False)
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_own_late_report_keeps_a_server_out_here_only(self):
        other = builders.table(self_id="m2")
        for table in (self.table, other):
            table.observe(LOAD, "s1", True)
        for _ in range(backends.MIN_SERVING_REPORTS):
            self.table.observe(LOAD, "s1", False)
        other.merge_from_peer(self.table.states_for_heartbeat())
        self.assertTrue(self.table.takes_new_work("s1"))
        self.assertFalse(other.takes_new_work("s1"))
        other.observe(LOAD, "s1", True)
        self.table.merge_from_peer(other.states_for_heartbeat())
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_server_that_drains_twice_leaves_twice(self):
        for _ in range(2):
            self.table.observe(LOAD, "s1", True)
            for _ in range(backends.MIN_SERVING_REPORTS):
                self.assertFalse(self.table.takes_new_work("s1"))
                self.table.observe(LOAD, "s1", False)
            self.assertTrue(self.table.takes_new_work("s1"))

    def test_server_no_longer_followed_does_not_stay_out(self):
        self.table.observe(LOAD, "s1", True)
        self.table.set_members([f"m{number}" for number in range(2, 5)])
        self.assertFalse(self.table.takes_new_work("s1"))
        self.table.merge_from_peer([builders.leaving("s1", 2, False)])
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_unknown_servers_and_origins_take_no_memory(self):
        states = [builders.leaving(f"x{number}") for number in range(100)]
        self.table.merge_from_peer(states)
        self.table.merge_from_peer([builders.leaving("s1", origin=9)])
        self.assertEqual(self.table.describe()["statements"], [])
        self.assertFalse(self.table.takes_new_work("x1"))


class SpreadTest(unittest.TestCase):
    """Guards against statements that never get through."""

    def test_every_statement_gets_through_within_few_heartbeats(self):
        clock = clocks.ManualClock()
        table = builders.table(200, clock=clock)
        for number in range(200):
            table.observe(CONFIGURATION, f"s{number}", True, 4)
        clock.advance(backends.RECENT_CHANGE_MS)
        # The peer gets every sixth heartbeat only.
        seen = set()
        for call in range(6 * 150):
            states = table.states_for_heartbeat(16)
            self.assertEqual(len(states), 16)
            if call % 6 == 0:
                seen.update(state.server_id for state in states)
        self.assertEqual(len(seen), 200)

    def test_news_is_in_the_next_heartbeat_among_many_old_statements(self):
        clock = clocks.ManualClock()
        table = builders.table(500, clock=clock)
        for number in range(1, 500):
            table.observe(CONFIGURATION, f"s{number}", True, 4)
        clock.advance(backends.RECENT_CHANGE_MS)
        table.observe(LOAD, "s0", True)
        for _ in range(8):
            names = {state.server_id for state in table.states_for_heartbeat()}
            self.assertIn("s0", names)

    def test_each_server_is_followed_by_several_members(self):
        names = [f"m{number}" for number in range(40)]
        followers = collections.Counter()
        for name in names:
            table = builders.table(300, name, members=names)
            followed = [server.server_id for server in table.followed()]
            self.assertLessEqual(len(followed), backends.MAX_FOLLOWED)
            followers.update(followed)
        self.assertEqual(len(followers), 300)
        self.assertGreaterEqual(min(followers.values()), 2)


class UnchangedTest(unittest.TestCase):
    """Guards against work for each server and member at every map version."""

    def test_only_other_members_or_servers_are_shared_out_again(self):
        table = builders.table()
        servers = table.servers("rota")
        names = [f"m{number}" for number in range(1, 20)]
        table.set_members(names)
        followed = table.followed()
        with mock.patch.object(
            partitions, "rank", side_effect=partitions.rank
        ) as rank:
            table.set_members(reversed(names))
            table.set_servers(servers)
            self.assertEqual(rank.call_count, 0)
            self.assertEqual(table.followed(), followed)
            table.set_members(names[1:])
            self.assertEqual(rank.call_count, len(servers))
            table.set_servers(servers[1:])
            self.assertEqual(rank.call_count, 2 * len(servers) - 1)

    def test_report_read_after_the_choice_is_dropped_all_the_same(self):
        names = [f"m{number}" for number in range(1, 20)]
        table = builders.table()
        table.set_members(names)
        followed = {server.server_id for server in table.followed()}
        other = next(
            server.server_id
            for server in table.servers("rota")
            if server.server_id not in followed
        )
        table.observe(LOAD, other, True, 1)
        table.merge_from_peer([builders.leaving(other, 2, False, int(LOAD))])
        self.assertFalse(table.takes_new_work(other))
        table.set_members(names)
        self.assertTrue(table.takes_new_work(other))


class WatchTest(unittest.TestCase):
    """Guards against sources whose failure stops the others."""

    def test_draining_spreads_while_store_and_host_list_are_down(self):
        def fetch():
            raise builders.unavailable()

        clock = clocks.Clock()
        reader = builders.table(clock=clock)
        watch = host_watch.HostWatch(fetch, reader, clock)
        watch.poll()
        told = builders.table(self_id="m2")
        drained = threading.Event()
        watch = load_watch.LoadWatch(
            reader,
            lambda server: builders.Report(
                "draining" if server.server_id == "s1" else "serving"
            ),
            lambda server_id, report: (
                drained.set() if server_id == "s1" else None
            ),
            clock,
        )
        watch.start()
        self.addCleanup(watch.stop)
        self.assertTrue(drained.wait(2))
        told.merge_from_peer(reader.states_for_heartbeat())
        for table in (reader, told):
            names = [server.server_id for server in table.servers("rota")]
            self.assertEqual(names, ["s0", "s2"])

    def test_host_list_keeps_its_last_answer_and_backs_off(self):
        answers = [[host_watch.Host("s1", "engine", "a:1", "fd0", True)]]

        def fetch():
            if not answers:
                raise builders.unavailable()
            return answers.pop()

        table = builders.table()
        watch = host_watch.HostWatch(fetch, table, clocks.ManualClock())
        self.assertLessEqual(watch.poll(), 2_500)
        pauses = [watch.poll() for _ in range(200)]
        self.assertEqual([host.host_id for host in watch.hosts], ["s1"])
        self.assertFalse(table.takes_new_work("s1"))
        self.assertGreater(max(pauses), 10_000)
        self.assertLessEqual(max(pauses), host_watch.MAX_BACKOFF_MS)

    def test_silent_server_is_read_less_often_and_others_each_second(self):
        reads = collections.Counter()

        def read(server):
            reads[server.server_id] += 1
            if server.server_id == "s0":
                raise builders.unavailable()
            return builders.Report("serving")

        clock = clocks.ManualClock()
        reports = []
        watch = load_watch.LoadWatch(
            builders.table(clock=clock),
            read,
            lambda server_id, report: reports.append(server_id),
            clock,
        )
        self.addCleanup(watch.stop)
        for _ in range(20):
            for server in watch.take_due_servers():
                watch.read_report(server)
            clock.advance(1_000)
        self.assertEqual(reads["s1"], 20)
        self.assertEqual(reads["s0"], 6)
        self.assertEqual(reports.count("s2"), 20)
