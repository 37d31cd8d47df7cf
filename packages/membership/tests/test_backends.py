"""Tests of the states of backend servers and of their sources."""

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


class MergeTest(unittest.TestCase):
    """Guards against new work for a server that is leaving."""

    def setUp(self):
        self.table = builders.backend_table()

    def test_each_source_alone_marks_a_server_as_leaving(self):
        for origin in backends.Origin:
            for from_peer in (True, False):
                table = builders.backend_table()
                if from_peer:
                    state = builders.server_state(origin=int(origin))
                    table.merge_from_peer([state])
                else:
                    table.observe(origin, "s1", True)
                self.assertFalse(table.takes_new_work("s1"))
                names = [server.server_id for server in table.servers("rota")]
                self.assertEqual(names, ["s0", "s2"])

    def test_other_sources_do_not_return_it_to_service(self):
        self.table.observe(HOSTS, "s1", True, 5)
        for _ in range(100):
            self.table.observe(LOAD, "s1", False)
        self.table.observe(CONFIGURATION, "s1", False, 99)
        self.table.merge_from_peer(
            [builders.server_state("s1", 99, False, int(LOAD))]
        )
        self.assertFalse(self.table.takes_new_work("s1"))

    def test_same_source_needs_a_newer_incarnation(self):
        self.table.merge_from_peer([builders.server_state("s1", 5, True)])
        for incarnation in (1, 4, 5):
            state = builders.server_state("s1", incarnation, False)
            self.table.merge_from_peer([state])
            self.assertFalse(self.table.takes_new_work("s1"))
        self.table.merge_from_peer([builders.server_state("s1", 6, False)])
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_stale_host_list_does_not_override_peers(self):
        self.table.merge_from_peer([builders.server_state(origin=int(HOSTS))])
        for _ in range(100):
            self.table.observe(HOSTS, "s1", False)
        self.assertFalse(self.table.takes_new_work("s1"))

    def test_late_load_report_does_not_override_peers(self):
        self.table.merge_from_peer([builders.server_state()])
        for _ in range(backends.MIN_SERVING_REPORTS_DRAIN_UNSEEN - 1):
            self.table.observe(LOAD, "s1", False)
        self.assertFalse(self.table.takes_new_work("s1"))
        self.table.observe(LOAD, "s1", False)
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_own_late_report_affects_only_this_process(self):
        other = builders.backend_table(self_id="m2")
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

    def test_server_can_drain_repeatedly(self):
        for _ in range(2):
            self.table.observe(LOAD, "s1", True)
            for _ in range(backends.MIN_SERVING_REPORTS):
                self.assertFalse(self.table.takes_new_work("s1"))
                self.table.observe(LOAD, "s1", False)
            self.assertTrue(self.table.takes_new_work("s1"))

    def test_unfollowed_server_does_not_stay_leaving(self):
        self.table.observe(LOAD, "s1", True)
        self.table.set_members([f"m{number}" for number in range(2, 5)])
        self.assertFalse(self.table.takes_new_work("s1"))
        self.table.merge_from_peer([builders.server_state("s1", 2, False)])
        self.assertTrue(self.table.takes_new_work("s1"))

    def test_unknown_servers_and_origins_are_not_stored(self):
        states = [builders.server_state(f"x{number}") for number in range(100)]
        self.table.merge_from_peer(states)
        self.table.merge_from_peer([builders.server_state("s1", origin=9)])
        self.assertEqual(self.table.describe()["statements"], [])
        self.assertFalse(self.table.takes_new_work("x1"))


class PropagationTest(unittest.TestCase):
    """Guards against states that never reach a peer."""

    def test_every_state_is_sent_within_few_heartbeats(self):
        clock = clocks.ManualClock()
        table = builders.backend_table(200, clock=clock)
        for number in range(200):
            table.observe(CONFIGURATION, f"s{number}", True, 4)
        clock.advance(backends.RECENT_CHANGE_MS)
        # The peer receives only every sixth heartbeat.
        seen = set()
        for call in range(6 * 150):
            states = table.states_for_heartbeat(16)
            self.assertEqual(len(states), 16)
            if call % 6 == 0:
                seen.update(state.server_id for state in states)
        self.assertEqual(len(seen), 200)

    def test_change_is_in_the_next_heartbeat_among_many_old_states(self):
        clock = clocks.ManualClock()
        table = builders.backend_table(500, clock=clock)
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
            table = builders.backend_table(300, name, members=names)
            followed = [server.server_id for server in table.followed()]
            self.assertLessEqual(len(followed), backends.MAX_FOLLOWED)
            followers.update(followed)
        self.assertEqual(len(followers), 300)
        self.assertGreaterEqual(min(followers.values()), 2)


class FollowedServersTest(unittest.TestCase):
    """Guards against ranking all servers again at every map version."""

    def test_only_changed_members_or_servers_are_ranked_again(self):
        table = builders.backend_table()
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

    def test_report_on_an_unfollowed_server_is_dropped_at_the_next_map(self):
        names = [f"m{number}" for number in range(1, 20)]
        table = builders.backend_table()
        table.set_members(names)
        followed = {server.server_id for server in table.followed()}
        other = next(
            server.server_id
            for server in table.servers("rota")
            if server.server_id not in followed
        )
        table.observe(LOAD, other, True, 1)
        table.merge_from_peer(
            [builders.server_state(other, 2, False, int(LOAD))]
        )
        self.assertFalse(table.takes_new_work(other))
        table.set_members(names)
        self.assertTrue(table.takes_new_work(other))


class SourceFailureTest(unittest.TestCase):
    """Guards against the failure of one source affecting the others."""

    def test_draining_propagates_while_store_and_host_list_are_down(self):
        def fetch():
            raise builders.unavailable()

        clock = clocks.Clock()
        reader_table = builders.backend_table(clock=clock)
        watch = host_watch.HostWatch(fetch, reader_table, clock)
        watch.poll()
        peer_table = builders.backend_table(self_id="m2")
        drained = threading.Event()
        watch = load_watch.LoadWatch(
            reader_table,
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
        peer_table.merge_from_peer(reader_table.states_for_heartbeat())
        for table in (reader_table, peer_table):
            names = [server.server_id for server in table.servers("rota")]
            self.assertEqual(names, ["s0", "s2"])

    def test_failing_host_list_keeps_the_last_one_and_backs_off(self):
        answers = [[host_watch.Host("s1", "engine", "a:1", "fd0", True)]]

        def fetch():
            if not answers:
                raise builders.unavailable()
            return answers.pop()

        table = builders.backend_table()
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
            builders.backend_table(clock=clock),
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
