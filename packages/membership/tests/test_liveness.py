"""Tests of failure detection."""

import collections
import signal
import threading
import time
import unittest

import builders

from balsamloom_membership import heartbeats, liveness
from balsamloom_peers import messages
from balsamloom_state import partitions

PEER_SUSPECTED_EVENT = 3000


class RingTest(unittest.TestCase):
    """Guards against unwatched members and cost that grows with the fleet."""

    def test_every_member_is_watched_by_the_same_few_at_any_size(self):
        for count in (2, 4, 8, 16, 350):
            network = builders.Network(count)
            watchers = collections.Counter()
            for member in network.members.values():
                watchers.update(member.watched())
            expected = min(builders.SETTINGS.watched_peers, count - 1)
            self.assertLessEqual(expected, 6)
            self.assertEqual(set(watchers.values()), {expected})
            self.assertEqual(len(watchers), count)
            self.assertGreaterEqual(expected, min(4, count - 1))


class ContentTest(unittest.TestCase):
    """Guards against heartbeats that exceed their bandwidth limit."""

    def test_content_is_rate_limited_but_recent_changes_are_sent(self):
        full = messages.Heartbeat(
            "m0",
            server_states=tuple(
                builders.server_state(f"engine-{number:04d}")
                for number in range(16)
            ),
            server_shares=tuple(
                messages.ServerShare(f"engine-{number:04d}", 5, 9)
                for number in range(16)
            ),
        )
        network = builders.Network(16)
        sender = network.map[0].member_id
        received = []
        member = liveness.Liveness(
            sender,
            network.clock,
            builders.SimulatedTransport(network, sender),
            builders.SETTINGS,
            lambda dead: None,
            lambda heartbeat: None,
            lambda: full,
        )
        for _ in range(20):
            received += [
                member.handle_heartbeat(messages.Heartbeat("m1"))
                for _ in range(24)
            ]
            network.clock.advance(1_000)
        entries = sum(
            len(content.server_states) + len(content.server_shares)
            for content in received
        )
        size_bytes = entries * (
            heartbeats.ENTRY_OVERHEAD_BYTES + len("engine-0000")
        )
        self.assertLess(
            size_bytes / 20, 1.5 * heartbeats.MAX_CONTENT_BYTES_PER_S
        )
        self.assertIn(full, received)
        for content in received:
            self.assertEqual(content.server_states[:2], full.server_states[:2])


class DeadPeerTest(unittest.TestCase):
    """Guards against dead peers detected late, twice or not at all."""

    def test_first_in_rendezvous_order_takes_over_within_three_seconds(self):
        for count in (3, 4, 16, 40):
            network = builders.Network(count)
            network.run(2_000)
            victim = network.map[1]
            network.kill(victim)
            network.run(6_000)
            order = partitions.rank(victim.member_id, network.members)
            self.assertEqual(
                [entry[1:] for entry in network.declared_dead],
                [(order[0], victim.member_id)],
            )
            self.assertLessEqual(network.declared_dead[0][0], 2_000 + 3_000)

    def test_paused_one_of_three_is_declared_dead_after_the_timeout(self):
        network = builders.Network(3)
        network.run(2_000)
        victim = network.map[0]
        network.paused.add(victim.member_id)
        network.run(4_000)
        (declared,) = network.declared_dead
        self.assertEqual(declared[2], victim.member_id)
        self.assertGreaterEqual(declared[0], 2_000 + 1_400)
        self.assertLessEqual(declared[0], 2_000 + 3_000)

    def test_next_successor_is_called_if_the_first_does_not_act(self):
        network = builders.Network(5)
        network.run(1_000)
        victim = network.map[2]
        network.kill(victim)
        order = partitions.rank(victim.member_id, network.members)
        network.inactive.add(order[0])
        network.run(6_000)
        callers = [entry[1] for entry in network.declared_dead]
        self.assertEqual(callers, order[:2])
        gap_ms = network.declared_dead[1][0] - network.declared_dead[0][0]
        self.assertGreaterEqual(gap_ms, 1_000)

    def test_failed_takeover_is_repeated(self):
        network = builders.Network(2)
        victim, survivor = network.map
        network.kill(victim)
        network.inactive.add(survivor.member_id)
        network.run(8_000)
        self.assertGreaterEqual(len(network.declared_dead), 2)

    def test_survivor_of_three_takes_over_two_that_die_at_once(self):
        network = builders.Network(3)
        network.run(1_000)
        for victim in network.map[:2]:
            network.kill(victim)
        survivor = network.map[2].member_id
        network.run(6_000)
        self.assertEqual(
            {entry[1] for entry in network.declared_dead}, {survivor}
        )
        self.assertEqual(len(network.declared_dead), 2)

    def test_whole_rack_of_seven_in_sixteen_is_taken_over(self):
        network = builders.Network(16)
        network.run(1_000)
        victims = network.map[:7]
        for victim in victims:
            network.kill(victim)
        network.run(12_000)
        self.assertEqual(
            {entry[2] for entry in network.declared_dead},
            {victim.member_id for victim in victims},
        )

    def test_restarted_process_is_not_taken_for_the_old_one(self):
        network = builders.Network(4)
        network.run(1_000)
        old = network.map[0]
        network.kill(old)
        network.add(heartbeats.Peer("m0-restarted", old.peer_address))
        network.run(4_000)
        self.assertEqual(
            [entry[2] for entry in network.declared_dead], [old.member_id]
        )

    def test_state_of_replaced_members_is_removed(self):
        network = builders.Network(4)
        victim = network.map[0]
        network.kill(victim)
        network.run(6_000)
        for member in network.members.values():
            self.assertNotIn(victim.member_id, str(member.describe()))
            self.assertEqual(member.suspected(), set())


class NetworkPartitionTest(unittest.TestCase):
    """Guards against takeovers of members that are running."""

    def test_link_failure_in_five_members_causes_no_takeover(self):
        for is_symmetric in (True, False):
            network = builders.Network(5)
            first, second = network.map[0].member_id, network.map[1].member_id
            network.cut_links.add((first, second))
            if is_symmetric:
                network.cut_links.add((second, first))
            network.run(30_000)
            self.assertEqual(network.declared_dead, [])

    def test_link_failure_in_three_members_causes_no_takeover(self):
        network = builders.Network(3)
        first, second = network.map[0].member_id, network.map[1].member_id
        network.cut_links |= {(first, second), (second, first)}
        network.run(30_000)
        self.assertEqual(network.declared_dead, [])

    def test_isolated_member_is_sealed_before_it_seals_others(self):
        network = builders.Network(5)
        isolated = network.map[0]
        network.isolate(isolated)
        network.run(4_000)
        self.assertEqual(
            {entry[2] for entry in network.declared_dead}, {isolated.member_id}
        )
        self.assertNotIn(
            isolated.member_id, {entry[1] for entry in network.declared_dead}
        )

    def test_member_resumed_after_a_pause_declares_nobody_dead(self):
        network = builders.Network(5)
        network.run(1_000)
        paused = network.map[0].member_id
        network.inactive |= set(network.members)
        network.paused.add(paused)
        network.run(10_000)
        network.paused.remove(paused)
        network.declared_dead.clear()
        network.run(5_000)
        self.assertNotIn(paused, {entry[1] for entry in network.declared_dead})

    def test_call_that_expired_during_an_own_pause_is_no_silence(self):
        network = builders.Network(2)
        network.run(1_000)
        paused, peer = (entry.member_id for entry in network.map)
        network.clock.advance(10_000)
        network.cut_links.add((paused, peer))
        network.members[paused].check(peer)
        self.assertEqual(network.members[paused].suspected(), set())

    def test_flapping_peer_is_suspected_less_often(self):
        network = builders.Network(2)
        network.run(1_000)
        with self.assertLogs("balsamloom", "INFO") as logs:
            for _ in range(6):
                network.paused.add(network.map[0].member_id)
                network.run(2_400)
                network.paused.clear()
                network.run(3_000)
        suspicions = [
            record
            for record in logs.records
            if record.event == PEER_SUSPECTED_EVENT
            and record.member_id == network.map[0].member_id
        ]
        self.assertEqual(len(suspicions), 1)
        self.assertEqual(network.declared_dead, [])


class TwoMembersTest(unittest.TestCase):
    """Guards against two members that seal each other or never take over."""

    def test_killed_one_of_two_is_taken_over_within_three_seconds(self):
        network = builders.Network(2)
        network.run(1_000)
        network.kill(network.map[0])
        network.run(3_000)
        self.assertEqual(len(network.declared_dead), 1)

    def test_paused_one_of_two_is_taken_over_after_a_longer_wait(self):
        for index in (0, 1):
            network = builders.Network(2)
            network.run(1_000)
            network.paused.add(network.map[index].member_id)
            network.run(4_000)
            self.assertEqual(network.declared_dead, [])
            network.run(6_000)
            self.assertEqual(len(network.declared_dead), 1)

    def test_two_members_cut_apart_act_at_different_times(self):
        network = builders.Network(2)
        network.inactive |= set(network.members)
        network.isolate(network.map[0])
        network.run(12_000)
        first = {}
        for time_ms, caller, _ in network.declared_dead:
            first.setdefault(caller, time_ms)
        self.assertEqual(len(first), 2)
        early_ms, late_ms = sorted(first.values())
        self.assertGreaterEqual(late_ms - early_ms, 2_500)


class RealNetworkTest(unittest.TestCase):
    """Guards against failure detection that works only in simulation."""

    def setUp(self):
        self.dead = []
        self.changed = threading.Event()
        self.victim = builders.MemberProcess("victim-1")
        self.addCleanup(self.victim.close)
        self.members = [
            builders.RunningMember(f"m{number}-1", self._on_dead)
            for number in range(3)
        ]
        for member in self.members:
            self.addCleanup(member.close)
        peers = [member.peer for member in self.members]
        for member in self.members:
            member.liveness.update_peers([*peers, self.victim.peer])
            member.liveness.start()
        for member in self.members:
            self._wait_for_answer(member)

    def _on_dead(self, peer):
        self.dead.append(peer.member_id)
        self.changed.set()

    def _wait_for_answer(self, member):
        deadline = time.monotonic() + 20
        while not any(
            heartbeat.member_id == "victim-1" for heartbeat in member.received
        ):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def _declared_after_ms(self, signal_number):
        start = time.monotonic()
        self.victim.process.send_signal(signal_number)
        self.assertTrue(self.changed.wait(10))
        elapsed_ms = (time.monotonic() - start) * 1_000
        self.assertEqual(set(self.dead), {"victim-1"})
        return elapsed_ms

    def test_killed_process_is_declared_dead(self):
        elapsed_ms = self._declared_after_ms(signal.SIGKILL)
        self.assertLessEqual(elapsed_ms, 3_000)

    def test_stopped_process_is_declared_dead(self):
        elapsed_ms = self._declared_after_ms(signal.SIGSTOP)
        ratio = elapsed_ms / builders.SETTINGS.suspicion_timeout_ms
        self.assertGreaterEqual(ratio, 0.7)
        self.assertLessEqual(ratio, 1.75)
