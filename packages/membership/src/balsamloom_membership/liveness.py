"""Detection of dead peers.

Each member sends heartbeats to a few successors on a ring of member ids, so
that every member is watched by as many others whatever the fleet size.
A silent peer is declared dead only after two other members failed to reach
it as well. A wrong declaration costs a restart of the peer's work, never
data: the successor's seal of the journal is what fences a deposed member.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import hashlib
import logging
import random
import threading
import traceback
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_peers import client, messages
from balsamloom_state import partitions

# Each doubt that proved wrong lengthens the next suspicion by a second, up to
# three seconds; a minute without one forgets them.
FLAP_PENALTY_MS = 1_000
MAX_FLAPS = 3
FLAP_MEMORY_MS = 60_000
# Peers asked to probe before a confirmation is given up for the time being.
MAX_PROBERS = 4
MAX_WATCHED = 6
MIN_ANSWER_TIME_MS = 500
# The channel waits 100 ms before it connects again; a shorter interval would
# count one refused connection twice.
REFUSED_RETRY_MS = 300
REFUTED_PAUSE_MS = 1_000
# A step that takes this much longer than it may was cut by a pause of this
# process, and says nothing about the peer.
OWN_PAUSE_MS = 1_000
PROBE_ALLOWANCE_MS = 150
DUE_CHECK_MS = 100
# Server states and shares in all messages of a member together. At the full
# size of 16 each they would take 15 KB/s beyond the bare heartbeats.
CONTENT_BYTES_PER_S = 2_000
STATES_OVER_BUDGET = 2
ENTRY_BYTES = 12
# Position in the order of successors from which on all wait equally long.
LAST_POSITION = 3


class Peer(NamedTuple):
    """Another member and where its gRPC server listens."""

    member_id: str
    peer_address: str


class LivenessSettings(NamedTuple):
    """Times and counts of failure detection.

    At most six peers may be watched. Each one costs about 0.5% of a core, so
    that four leave a member at the 2.1% allowed for control.
    """

    heartbeat_interval_ms: int = 500
    suspicion_ms: int = 2_000
    refusals_until_suspicion: int = 2
    probe_timeout_ms: int = 400
    watched_peers: int = 4
    confirmations: int = 2
    takeover_step_ms: int = 1_500
    short_of_votes_wait_ms: int = 1_000
    alone_wait_ms: int = 3_000
    retry_dead_ms: int = 2_000


class Transport(Protocol):
    """Messages that failure detection sends."""

    def heartbeat(
        self, peer: Peer, content: messages.Heartbeat, timeout_ms: float
    ) -> messages.Heartbeat:
        """Exchange states with a peer."""

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it."""


class PoolTransport:
    """Transport over the channels to peers.

    :param pool: clients of all peers.
    """

    def __init__(self, pool: client.PeerPool) -> None:
        self._pool = pool

    def heartbeat(
        self, peer: Peer, content: messages.Heartbeat, timeout_ms: float
    ) -> messages.Heartbeat:
        """Exchange states with a peer.

        :param peer: receiver.
        :param content: own state.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no answer comes in time.
        :raises PeerDamaged: if a message was damaged.
        """
        found = self._pool.client(peer.peer_address)
        return found.heartbeat(content, timeout_ms, peer.member_id)

    def probe(
        self, prober: Peer, probe: messages.Probe, timeout_ms: float
    ) -> bool:
        """Ask a peer whether another member answers it.

        :param prober: receiver.
        :param probe: member to check.
        :param timeout_ms: longest wait.
        :raises PeerUnreachable: if no answer comes in time.
        """
        found = self._pool.client(prober.peer_address)
        return found.probe(probe, timeout_ms)


@dataclasses.dataclass
class _Watch:
    peer: Peer
    last_check_ms: float
    silent_ms: float = 0.0
    refusals: int = 0
    suspected_at_ms: float | None = None
    confirm_after_ms: float = 0.0
    flaps: int = 0
    last_flap_ms: float = 0.0
    was_refused: bool = False
    ended: threading.Event = dataclasses.field(default_factory=threading.Event)


@dataclasses.dataclass
class _Dead:
    peer: Peer
    position: int
    due_ms: float


class Liveness:
    """Watches peers and reports those confirmed dead.

    ``on_dead(peer)`` is called at the first live member in rendezvous order
    of the dead id, and at the next ones after ``takeover_step_ms`` each while
    the map still has the dead member. It is called again every
    ``retry_dead_ms`` until :meth:`update_peers` no longer has the member. It
    must read the map first, and step down if this process is no longer in
    it: a member cut off from all others sees them as dead.

    :param self_id: own member id.
    :param clock: source of time.
    :param transport: messages to peers.
    :param settings: times and counts.
    :param on_dead: takes a dead peer over.
    :param on_heartbeat: takes in the state that a peer sent or answered.
    :param content: returns the own state, to be sent to peers.
    """

    def __init__(
        self,
        self_id: str,
        clock: clocks.Clock,
        transport: Transport,
        settings: LivenessSettings,
        on_dead: Callable[[Peer], None],
        on_heartbeat: Callable[[messages.Heartbeat], None],
        content: Callable[[], messages.Heartbeat] | None = None,
    ) -> None:
        self.self_id = self_id
        self._clock = clock
        self._transport = transport
        self._settings = settings
        self._on_dead = on_dead
        self._on_heartbeat = on_heartbeat
        self._content = content or (lambda: messages.Heartbeat(self_id))
        self._lock = threading.RLock()
        self._peers: dict[str, Peer] = {}
        self._watches: dict[str, _Watch] = {}
        self._dead: dict[str, _Dead] = {}
        self._is_started = False
        self._content_bytes = float(CONTENT_BYTES_PER_S)
        self._content_at_ms = clock.now_ms()
        self._ended = threading.Event()
        self._counts: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start one task for each watched peer and one for take-overs."""
        with self._lock:
            self._is_started = True
            for watch in self._watches.values():
                self._start_watch(watch)
        threading.Thread(target=self._run_dead, daemon=True).start()

    def stop(self) -> None:
        """End all tasks."""
        self._ended.set()
        with self._lock:
            for watch in self._watches.values():
                watch.ended.set()

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Take over the members of a newer partition map.

        Members that are no longer in the map are forgotten.

        :param peers: all members; this process itself may be among them.
        """
        with self._lock:
            self._peers = {
                peer.member_id: peer
                for peer in peers
                if peer.member_id != self.self_id
            }
            for member_id in list(self._dead):
                if member_id not in self._peers:
                    del self._dead[member_id]
            self._choose_watched()

    def watched(self) -> list[str]:
        """Return the member ids that this process sends heartbeats to."""
        with self._lock:
            return list(self._watches)

    def suspected(self) -> set[str]:
        """Return the members that are suspected or confirmed dead."""
        with self._lock:
            found = {
                member_id
                for member_id, watch in self._watches.items()
                if watch.suspected_at_ms is not None
            }
            return found | set(self._dead)

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            return {
                "watched": {
                    member_id: {
                        "silent_ms": round(watch.silent_ms),
                        "refusals": watch.refusals,
                        "flaps": watch.flaps,
                        "is_suspected": watch.suspected_at_ms is not None,
                    }
                    for member_id, watch in self._watches.items()
                },
                "dead": {
                    member_id: dead.position
                    for member_id, dead in self._dead.items()
                },
                "messages": dict(self._counts),
            }

    def handle_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Answer a peer's heartbeat; a handler of the gRPC server.

        :param heartbeat: state of the peer.
        """
        self._on_heartbeat(heartbeat)
        return self._outgoing()

    def handle_probe(self, probe: messages.Probe) -> bool:
        """Check a member for a peer; a handler of the gRPC server.

        If the peer has its suspicion confirmed and the member does not
        answer here either, this process joins the order of successors.

        :param probe: member to check.
        :return: whether the member answers.
        """
        if probe.member_id == self.self_id:
            return True
        target = Peer(probe.member_id, probe.peer_address)
        if self._answers(target):
            return True
        if probe.is_confirmed:
            self._declare(target)
        return False

    def check(self, member_id: str) -> float:
        """Send one heartbeat and judge the outcome.

        :param member_id: watched member.
        :return: time in ms until the next check.
        """
        with self._lock:
            watch = self._watches.get(member_id)
        if watch is None:
            return 0.0
        self._beat(watch)
        if watch.suspected_at_ms is not None:
            self._confirm(watch)
        if watch.was_refused and watch.suspected_at_ms is None:
            return REFUSED_RETRY_MS
        return self._settings.heartbeat_interval_ms

    def run_due(self) -> None:
        """Call ``on_dead`` for the dead members whose turn has come."""
        now_ms = self._clock.now_ms()
        with self._lock:
            due = [
                dead for dead in self._dead.values() if dead.due_ms <= now_ms
            ]
        for dead in due:
            if dead.position and self._answers(dead.peer):
                self._recover(dead.peer.member_id)
                continue
            dead.due_ms = now_ms + self._settings.retry_dead_ms
            events.log(
                events.Event.PEER_CONFIRMED_DEAD,
                logging.WARNING,
                member_id=dead.peer.member_id,
                position=dead.position,
            )
            try:
                self._on_dead(dead.peer)
            except Exception:
                # The store may be down; the call is repeated.
                _log_fault("on_dead", dead.peer.member_id)

    def _outgoing(self) -> messages.Heartbeat:
        """Return the own state, cut down if its budget is used up.

        The first states, which are the news, always go out.
        """
        content = self._content()
        with self._lock:
            now_ms = self._clock.now_ms()
            elapsed_ms = now_ms - self._content_at_ms
            self._content_at_ms = now_ms
            earned = elapsed_ms * CONTENT_BYTES_PER_S / clocks.MS_PER_S
            self._content_bytes = min(
                self._content_bytes + earned, CONTENT_BYTES_PER_S
            )
            if self._content_bytes <= 0:
                content = content._replace(
                    server_states=content.server_states[:STATES_OVER_BUDGET],
                    server_shares=(),
                )
            names = [state.server_id for state in content.server_states]
            names += [share.server_id for share in content.server_shares]
            self._content_bytes -= sum(
                ENTRY_BYTES + len(name) for name in names
            )
        return content

    def _beat(self, watch: _Watch) -> None:
        quiet_ms = self._clock.now_ms() - watch.last_check_ms
        allowed_ms = self._suspicion_ms(watch) - watch.silent_ms - quiet_ms
        timeout_ms = max(allowed_ms, MIN_ANSWER_TIME_MS)
        self._counts["heartbeats"] += 1
        try:
            answer = self._transport.heartbeat(
                watch.peer, self._outgoing(), timeout_ms
            )
        except client.PeerUnreachable as error:
            self._note_silence(watch, timeout_ms, error.was_refused)
        except client.PeerDamaged:
            self._note_silence(watch, timeout_ms, False)
        else:
            if answer.member_id == watch.peer.member_id:
                self._note_answer(watch)
                self._on_heartbeat(answer)
            else:
                # Another process listens there: the member has restarted.
                watch.refusals = self._settings.refusals_until_suspicion - 1
                self._note_silence(watch, timeout_ms, True)

    def _note_answer(self, watch: _Watch) -> None:
        watch.last_check_ms = self._clock.now_ms()
        watch.silent_ms = 0.0
        watch.refusals = 0
        watch.was_refused = False
        if watch.suspected_at_ms is not None:
            self._recover(watch.peer.member_id)

    def _note_silence(
        self, watch: _Watch, timeout_ms: float, was_refused: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - watch.last_check_ms
        watch.last_check_ms = now_ms
        longest_ms = timeout_ms + self._settings.heartbeat_interval_ms
        if elapsed_ms > longest_ms + OWN_PAUSE_MS:
            watch.silent_ms = 0.0
            watch.refusals = 0
            return
        watch.silent_ms += elapsed_ms
        watch.was_refused = was_refused
        watch.refusals = watch.refusals + 1 if was_refused else 0
        is_suspect = (
            watch.refusals >= self._settings.refusals_until_suspicion
            or watch.silent_ms >= self._suspicion_ms(watch)
        )
        if is_suspect and watch.suspected_at_ms is None:
            watch.suspected_at_ms = now_ms
            watch.confirm_after_ms = now_ms
            events.log(
                events.Event.PEER_SUSPECTED,
                logging.WARNING,
                member_id=watch.peer.member_id,
                silent_ms=round(watch.silent_ms),
                was_refused=was_refused,
            )

    def _suspicion_ms(self, watch: _Watch) -> float:
        if self._clock.now_ms() - watch.last_flap_ms > FLAP_MEMORY_MS:
            watch.flaps = 0
        return self._settings.suspicion_ms + watch.flaps * FLAP_PENALTY_MS

    def _recover(self, member_id: str) -> None:
        with self._lock:
            self._dead.pop(member_id, None)
            watch = self._watches.get(member_id)
            if watch is not None and watch.suspected_at_ms is not None:
                watch.suspected_at_ms = None
                watch.flaps = min(watch.flaps + 1, MAX_FLAPS)
                watch.last_flap_ms = self._clock.now_ms()
            self._choose_watched()
        events.log(events.Event.PEER_REACHABLE, member_id=member_id)

    def _confirm(self, watch: _Watch) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            is_declared = watch.peer.member_id in self._dead
        if is_declared or now_ms < watch.confirm_after_ms:
            return
        votes, is_refuted = self._ask(watch.peer)
        if is_refuted:
            # The peer is cut off from this process only.
            watch.confirm_after_ms = now_ms + REFUTED_PAUSE_MS
            return
        suspected_at_ms = watch.suspected_at_ms
        if suspected_at_ms is None:
            return
        doubted_ms = now_ms - suspected_at_ms
        if doubted_ms >= self._wait_for_votes_ms(watch, votes):
            self._declare(watch.peer)
            self._notify(watch.peer)

    def _wait_for_votes_ms(self, watch: _Watch, votes: int) -> float:
        """Return how long a suspicion must last with these votes.

        With fewer votes than wanted, nobody else may be left. A refused
        connection shows that the peer's host runs and the process does not.
        Silence of everybody may as well be a cut of this member, so it waits
        longer than the others need to seal it; of two members that cannot
        reach each other, one waits twice as long, so that they do not seal
        each other.
        """
        settings = self._settings
        with self._lock:
            others = len(self._peers) - 1
        if votes >= min(settings.confirmations, others) and votes:
            return 0
        if votes or watch.was_refused:
            return settings.short_of_votes_wait_ms
        pair = sorted((self.self_id, watch.peer.member_id))
        if partitions.rank("|".join(pair), pair)[0] == self.self_id:
            return settings.alone_wait_ms
        return 2 * settings.alone_wait_ms

    def _ask(self, target: Peer) -> tuple[int, bool]:
        """Ask others to probe; return votes for dead and any objection."""
        candidates = self._successors(target.member_id)
        candidates = [name for name in candidates if name != self.self_id]
        votes = 0
        wanted = self._settings.confirmations
        for start in range(0, min(len(candidates), MAX_PROBERS), wanted):
            batch = candidates[start : start + wanted]
            answers = self._ask_batch(batch, target, False)
            if True in answers:
                return votes, True
            votes += answers.count(False)
            if votes >= wanted:
                break
        return votes, False

    def _ask_batch(
        self, probers: list[str], target: Peer, is_confirmed: bool
    ) -> list[bool | None]:
        probe = messages.Probe(
            target.peer_address, target.member_id, is_confirmed
        )
        with self._lock:
            peers = [
                self._peers[name] for name in probers if name in self._peers
            ]
        timeout_ms = self._settings.probe_timeout_ms + PROBE_ALLOWANCE_MS

        def ask(prober: Peer) -> bool | None:
            self._counts["probes"] += 1
            try:
                return self._transport.probe(prober, probe, timeout_ms)
            except (client.PeerUnreachable, client.PeerDamaged):
                return None

        if len(peers) < 2:
            return [ask(peer) for peer in peers]
        with concurrent.futures.ThreadPoolExecutor(len(peers)) as executor:
            return list(executor.map(ask, peers))

    def _notify(self, target: Peer) -> None:
        first = self._successors(target.member_id)[: LAST_POSITION - 1]
        first = [name for name in first if name != self.self_id]
        if True in self._ask_batch(first, target, True):
            self._recover(target.member_id)

    def _answers(self, target: Peer) -> bool:
        self._counts["checks"] += 1
        try:
            answer = self._transport.heartbeat(
                target, self._outgoing(), self._settings.probe_timeout_ms
            )
        except (client.PeerUnreachable, client.PeerDamaged):
            return False
        return answer.member_id == target.member_id

    def _successors(self, dead_id: str) -> list[str]:
        """Return the live members in rendezvous order of a dead id."""
        suspected = self.suspected()
        with self._lock:
            live = [
                member_id
                for member_id in self._peers
                if member_id != dead_id and member_id not in suspected
            ]
        return partitions.rank(dead_id, [*live, self.self_id])

    def _declare(self, target: Peer) -> None:
        order = self._successors(target.member_id)
        position = min(order.index(self.self_id), LAST_POSITION)
        due_ms = (
            self._clock.now_ms() + position * self._settings.takeover_step_ms
        )
        with self._lock:
            if target.member_id not in self._peers:
                return
            self._dead.setdefault(
                target.member_id, _Dead(target, position, due_ms)
            )
            self._choose_watched()

    def _choose_watched(self) -> None:
        wanted = self._ring()
        for member_id in list(self._watches):
            if self._peers.get(member_id) != self._watches[member_id].peer or (
                member_id not in wanted
            ):
                self._watches.pop(member_id).ended.set()
        for member_id in wanted:
            if member_id not in self._watches:
                watch = _Watch(self._peers[member_id], self._clock.now_ms())
                self._watches[member_id] = watch
                if self._is_started:
                    self._start_watch(watch)

    def _ring(self) -> list[str]:
        """Return the successors on the ring of member ids.

        Confirmed dead members stay watched, in case they answer again, and
        are replaced by further ones up to twice the usual number.
        """
        ring = sorted([*self._peers, self.self_id], key=_ring_place)
        start = ring.index(self.self_id) + 1
        following = (ring[start:] + ring)[: len(self._peers)]
        limit = min(self._settings.watched_peers, MAX_WATCHED)
        chosen: list[str] = []
        live = 0
        for member_id in following:
            if live == limit or len(chosen) == 2 * limit:
                break
            chosen.append(member_id)
            live += member_id not in self._dead
        return chosen

    def _start_watch(self, watch: _Watch) -> None:
        threading.Thread(
            target=self._run_watch, args=(watch,), daemon=True
        ).start()

    def _run_watch(self, watch: _Watch) -> None:
        # Members that start together do not send at the same instant.
        pause_ms = random.uniform(0, self._settings.heartbeat_interval_ms)
        while not self._clock.wait(watch.ended, pause_ms):
            start_ms = self._clock.now_ms()
            interval_ms = self._settings.heartbeat_interval_ms * 1.0
            try:
                interval_ms = self.check(watch.peer.member_id)
            except Exception:
                # A fault in a callback must not blind this member.
                _log_fault("check", watch.peer.member_id)
            spent_ms = self._clock.now_ms() - start_ms
            pause_ms = max(interval_ms - spent_ms, REFUSED_RETRY_MS / 2)

    def _run_dead(self) -> None:
        while not self._clock.wait(self._ended, DUE_CHECK_MS):
            self.run_due()


def _log_fault(task: str, member_id: str) -> None:
    events.log(
        events.Event.REQUEST_FAILED,
        logging.ERROR,
        task=task,
        member_id=member_id,
        trace=traceback.format_exc(),
    )


def _ring_place(member_id: str) -> bytes:
    return hashlib.blake2b(member_id.encode(), digest_size=8).digest()
