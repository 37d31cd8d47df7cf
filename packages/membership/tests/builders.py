"""Test data of the package membership."""

import contextlib
import json
import pathlib
import subprocess
import sys

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_membership import backends, heartbeats, liveness, suspicion
from balsamloom_peers import client, messages, server
from balsamloom_state import partitions

STEP_MS = 50
SETTINGS = suspicion.LivenessSettings()


def peers(count):
    return [
        heartbeats.Peer(f"m{number}-{number:08x}", f"127.0.0.1:{number + 1}")
        for number in range(count)
    ]


class SimulatedTransport:
    """Transport that calls the receiver directly unless the link fails."""

    def __init__(self, network, self_id):
        self.network = network
        self.self_id = self_id

    def heartbeat(self, peer, content, timeout_ms):
        receiver = self._receiving_member(peer)
        return receiver.handle_heartbeat(content)

    def probe(self, prober, probe, timeout_ms):
        return self._receiving_member(prober).handle_probe(probe)

    def _receiving_member(self, peer):
        found = self.network.listening.get(peer.peer_address)
        if (self.self_id, peer.member_id) in self.network.cut_links:
            raise client.PeerUnreachable("no answer", True)
        if found is None:
            raise client.PeerUnreachable("refused", False, was_refused=True)
        if found in self.network.paused:
            raise client.PeerUnreachable("no answer", True)
        return self.network.members[found]


class Network:
    """Members on one manual clock, with kills, pauses and cut links.

    ``declared_dead`` collects (time, caller, dead member) for each call of
    ``on_dead``. The call removes the dead member from every member's map,
    unless the caller is in ``inactive``.
    """

    def __init__(self, count):
        self.clock = clocks.ManualClock()
        self.map = peers(count)
        self.members = {}
        self.listening = {}
        self.paused = set()
        self.cut_links = set()
        self.inactive = set()
        self.declared_dead = []
        self._next_ms = {}
        for peer in self.map:
            self.add(peer)
        self.update()

    def add(self, peer):
        self.members[peer.member_id] = liveness.Liveness(
            peer.member_id,
            self.clock,
            SimulatedTransport(self, peer.member_id),
            SETTINGS,
            lambda dead: self._take_over(peer.member_id, dead),
            lambda heartbeat: None,
        )
        self.listening[peer.peer_address] = peer.member_id

    def update(self):
        for member in self.members.values():
            member.update_peers(self.map)

    def kill(self, peer):
        del self.members[peer.member_id]
        del self.listening[peer.peer_address]

    def isolate(self, peer):
        for other in self.map:
            self.cut_links.add((peer.member_id, other.member_id))
            self.cut_links.add((other.member_id, peer.member_id))

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            for member_id, member in list(self.members.items()):
                if member_id not in self.paused:
                    self._run_member(member_id, member)
            self.clock.advance(STEP_MS)

    def _run_member(self, member_id, member):
        now_ms = self.clock.now_ms()
        for watched in member.watched():
            if self._next_ms.get((member_id, watched), 0) <= now_ms:
                pause_ms = member.check(watched)
                self._next_ms[member_id, watched] = now_ms + pause_ms
        member.run_due_takeovers()

    def _take_over(self, member_id, dead):
        self.declared_dead.append(
            (self.clock.now_ms(), member_id, dead.member_id)
        )
        if member_id not in self.inactive:
            self.map = [peer for peer in self.map if peer != dead]
            self.update()


class RunningMember(contextlib.ExitStack):
    """Member with a real gRPC server in this process."""

    def __init__(self, member_id, on_dead=None, content=None):
        super().__init__()
        self.pool = client.PeerPool(member_id)
        self.callback(self.pool.close)
        self.received = []
        self.liveness = liveness.Liveness(
            member_id,
            clocks.Clock(),
            heartbeats.PoolTransport(self.pool),
            SETTINGS,
            on_dead or (lambda dead: None),
            self.received.append,
            content,
        )
        self.server = server.PeerServer("127.0.0.1:0", self)
        self.server.start()
        self.callback(self.server.stop, 0)
        self.callback(self.liveness.stop)
        self.peer = heartbeats.Peer(member_id, self.server.address)

    def heartbeat(self, heartbeat):
        return self.liveness.handle_heartbeat(heartbeat)

    def probe(self, probe):
        return self.liveness.handle_probe(probe)


class MemberProcess:
    """Member in a separate process that only answers heartbeats."""

    def __init__(self, member_id):
        script = pathlib.Path(__file__).with_name("member_process.py")
        self.process = subprocess.Popen(
            [sys.executable, str(script), member_id],
            stdout=subprocess.PIPE,
            text=True,
        )
        line = json.loads(self.process.stdout.readline())
        self.peer = heartbeats.Peer(member_id, line["address"])

    def close(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def server_state(server_id="s1", incarnation=1, is_leaving=True, origin=3):
    return messages.ServerState(server_id, incarnation, is_leaving, origin)


def servers(count, pool="rota"):
    return [
        backends.Server(f"s{number}", pool, f"127.0.0.1:{number + 1}")
        for number in range(count)
    ]


def backend_table(count=3, self_id="m1", clock=None, members=("m1",)):
    table = backends.BackendTable(self_id, clock or clocks.ManualClock())
    table.set_servers(servers(count))
    table.set_members(members)
    return table


class Report:
    def __init__(self, state):
        self.state = state


def unavailable():
    return errors.BalsamloomError(results.ResultCode.BACKEND_TIMEOUT)


def partition_map(count=4, hosts=None, domains=2, leaving=()):
    """Return a map of members that own 16 partitions each.

    Each member has its own host unless ``hosts`` is given.
    """
    members = {}
    for number in range(count):
        host = number if hosts is None else number % hosts
        members[f"m{number}"] = partitions.Member(
            f"m{number}",
            f"host{host}:{8000 + number}",
            f"host{host}:{9000 + number}",
            f"fd{host % domains}",
            f"m{number}" in leaving,
        )
    owners = {
        number: partitions.Ownership(f"m{number % count}", 1)
        for number in range(16 * count)
    }
    return partitions.PartitionMap(1, 16 * count, members, owners, ())
