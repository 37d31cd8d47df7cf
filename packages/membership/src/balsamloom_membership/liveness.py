"""Detection of dead peers.

Each member sends heartbeats to a few successors on a hash ring of member ids,
so the number of watchers per member does not depend on the fleet size. A
silent peer is normally declared dead after two other members failed to reach
it as well. A false declaration restarts the peer's work but loses no data,
because the successor seals the journal and thereby fences the deposed member.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import random
import threading
import traceback
from collections.abc import Callable, Iterable
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_membership import heartbeats, probes, ring, suspicion
from balsamloom_peers import client, messages
from balsamloom_state import partitions

MIN_HEARTBEAT_TIMEOUT_MS = 500
# The channel waits 100 ms before it reconnects; with a shorter interval, one
# refused connection would count twice.
REFUSED_RETRY_INTERVAL_MS = 300
REFUTED_RETRY_INTERVAL_MS = 1_000
TAKEOVER_CHECK_INTERVAL_MS = 100
# Successors from this position on wait equally long to take over.
MAX_TAKEOVER_POSITION = 3


@dataclasses.dataclass
class _DeadPeer:
    peer: heartbeats.Peer
    position: int
    due_ms: float


class Liveness:
    """Watches peers and reports those confirmed dead.

    ``on_dead(peer)`` is called on the first live member in rendezvous order
    of the dead id, then on each next one after another ``takeover_step_ms``
    while the map still has the dead member. The call is repeated every
    ``dead_retry_interval_ms`` until :meth:`update_peers` removes the member.
    The callback must read the map first and step down if this process is no
    longer in it, because an isolated member sees all others as dead.

    :param self_id: own member id.
    :param clock: source of time.
    :param transport: sends messages to peers.
    :param settings: timeouts and counts.
    :param on_dead: takes over from a dead peer.
    :param on_heartbeat: called with each heartbeat or answer from a peer.
    :param content: returns the own state to send to peers.
    """

    def __init__(
        self,
        self_id: str,
        clock: clocks.Clock,
        transport: heartbeats.Transport,
        settings: suspicion.LivenessSettings,
        on_dead: Callable[[heartbeats.Peer], None],
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
        self._peers: dict[str, heartbeats.Peer] = {}
        self._watches: dict[str, suspicion.Watch] = {}
        self._dead_peers: dict[str, _DeadPeer] = {}
        self._is_started = False
        self._content_limiter = heartbeats.ContentRateLimiter(clock.now_ms())
        self._stopped = threading.Event()
        self._probe_sender = probes.ProbeSender(transport, settings)
        self._counts: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start a thread for each watched peer and one for takeovers."""
        with self._lock:
            self._is_started = True
            for watch in self._watches.values():
                self._start_watch(watch)
        threading.Thread(target=self._run_takeovers, daemon=True).start()

    def stop(self) -> None:
        """Stop all threads."""
        self._stopped.set()
        with self._lock:
            for watch in self._watches.values():
                watch.stopped.set()

    def update_peers(self, peers: Iterable[heartbeats.Peer]) -> None:
        """Replace the peers with the members of a newer partition map.

        The state of members that are no longer in the map is removed.

        :param peers: all members; this process may be among them.
        """
        with self._lock:
            self._peers = {
                peer.member_id: peer
                for peer in peers
                if peer.member_id != self.self_id
            }
            for member_id in list(self._dead_peers):
                if member_id not in self._peers:
                    del self._dead_peers[member_id]
            self._update_watches()

    def watched(self) -> list[str]:
        """Return the ids of the members that get heartbeats from here."""
        with self._lock:
            return list(self._watches)

    def suspected(self) -> set[str]:
        """Return the ids of members suspected or confirmed dead."""
        with self._lock:
            found = {
                member_id
                for member_id, watch in self._watches.items()
                if watch.is_suspected
            }
            return found | set(self._dead_peers)

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            return {
                "watched": {
                    member_id: {
                        "silent_ms": round(watch.silent_ms),
                        "refusals": watch.refusals,
                        "flaps": watch.flaps,
                        "is_suspected": watch.is_suspected,
                    }
                    for member_id, watch in self._watches.items()
                },
                "dead": {
                    member_id: dead.position
                    for member_id, dead in self._dead_peers.items()
                },
                "messages": {
                    **self._counts,
                    "probes": self._probe_sender.sent_count,
                },
            }

    def handle_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Answer a peer's heartbeat; a handler of the gRPC server.

        :param heartbeat: state of the peer.
        """
        self._on_heartbeat(heartbeat)
        return self._own_heartbeat()

    def handle_probe(self, probe: messages.Probe) -> bool:
        """Check a member for a peer; a handler of the gRPC server.

        If the peer has confirmed the member as dead and it does not answer
        this process either, this process joins the order of takeover.

        :param probe: member to check.
        :return: whether the member answers.
        """
        if probe.member_id == self.self_id:
            return True
        target = heartbeats.Peer(probe.member_id, probe.peer_address)
        if self._is_reachable(target):
            return True
        if probe.is_confirmed:
            self._declare_dead(target)
        return False

    def check(self, member_id: str) -> float:
        """Send one heartbeat and suspect or confirm the member if needed.

        :param member_id: watched member.
        :return: time in ms until the next check.
        """
        with self._lock:
            watch = self._watches.get(member_id)
        if watch is None:
            return 0.0
        self._send_heartbeat(watch)
        if watch.is_suspected:
            self._confirm(watch)
        if watch.was_refused and not watch.is_suspected:
            return REFUSED_RETRY_INTERVAL_MS
        return self._settings.heartbeat_interval_ms

    def run_due_takeovers(self) -> None:
        """Call ``on_dead`` for the dead members that are due."""
        now_ms = self._clock.now_ms()
        with self._lock:
            due = [
                dead
                for dead in self._dead_peers.values()
                if dead.due_ms <= now_ms
            ]
        for dead in due:
            if dead.position and self._is_reachable(dead.peer):
                self._mark_reachable(dead.peer.member_id)
                continue
            dead.due_ms = now_ms + self._settings.dead_retry_interval_ms
            events.log(
                events.Event.PEER_CONFIRMED_DEAD,
                logging.WARNING,
                member_id=dead.peer.member_id,
                position=dead.position,
            )
            try:
                self._on_dead(dead.peer)
            except Exception:
                # The store may be unavailable; the call is repeated later.
                _log_exception("on_dead", dead.peer.member_id)

    def _own_heartbeat(self) -> messages.Heartbeat:
        """Return the own state, shortened if over the rate limit."""
        content = self._content()
        with self._lock:
            return self._content_limiter.limit(content, self._clock.now_ms())

    def _send_heartbeat(self, watch: suspicion.Watch) -> None:
        now_ms = self._clock.now_ms()
        silent_ms = watch.silent_ms + now_ms - watch.last_check_ms
        allowed_ms = watch.allowed_silence_ms(now_ms, self._settings)
        timeout_ms = max(allowed_ms - silent_ms, MIN_HEARTBEAT_TIMEOUT_MS)
        self._counts["heartbeats"] += 1
        try:
            answer = self._transport.heartbeat(
                watch.peer, self._own_heartbeat(), timeout_ms
            )
        except client.PeerUnreachable as error:
            self._handle_silence(watch, timeout_ms, error.was_refused)
        except client.PeerMessageDamaged:
            self._handle_silence(watch, timeout_ms, False)
        else:
            if answer.member_id == watch.peer.member_id:
                self._handle_answer(watch)
                self._on_heartbeat(answer)
            else:
                # Another process has the address: the member restarted.
                watch.refusals = self._settings.refusals_until_suspicion - 1
                self._handle_silence(watch, timeout_ms, True)

    def _handle_answer(self, watch: suspicion.Watch) -> None:
        watch.record_answer(self._clock.now_ms())
        if watch.is_suspected:
            self._mark_reachable(watch.peer.member_id)

    def _handle_silence(
        self, watch: suspicion.Watch, timeout_ms: float, was_refused: bool
    ) -> None:
        is_new = watch.record_silence(
            self._clock.now_ms(), timeout_ms, was_refused, self._settings
        )
        if is_new:
            events.log(
                events.Event.PEER_SUSPECTED,
                logging.WARNING,
                member_id=watch.peer.member_id,
                silent_ms=round(watch.silent_ms),
                was_refused=was_refused,
            )

    def _mark_reachable(self, member_id: str) -> None:
        with self._lock:
            self._dead_peers.pop(member_id, None)
            watch = self._watches.get(member_id)
            if watch is not None:
                watch.record_recovery(self._clock.now_ms())
            self._update_watches()
        events.log(events.Event.PEER_REACHABLE, member_id=member_id)

    def _confirm(self, watch: suspicion.Watch) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            is_declared = watch.peer.member_id in self._dead_peers
        if is_declared or now_ms < watch.confirm_after_ms:
            return
        successors = self._successors(watch.peer.member_id)
        outcome = self._probe_sender.request_votes(
            watch.peer, self._peers_by_id(successors)
        )
        if outcome.is_refuted:
            # Another member reaches the peer, so it is not dead.
            watch.confirm_after_ms = now_ms + REFUTED_RETRY_INTERVAL_MS
            return
        suspected_at_ms = watch.suspected_at_ms
        if suspected_at_ms is None:
            return
        with self._lock:
            others = len(self._peers) - 1
        wait_ms = suspicion.confirmation_wait_ms(
            self.self_id, watch, outcome.votes, others, self._settings
        )
        if now_ms - suspected_at_ms >= wait_ms:
            self._declare_dead(watch.peer)
            self._notify_successors(watch.peer)

    def _peers_by_id(self, ids: Iterable[str]) -> list[heartbeats.Peer]:
        """Return the known peers with these ids, without this process."""
        with self._lock:
            return [self._peers[key] for key in ids if key in self._peers]

    def _notify_successors(self, target: heartbeats.Peer) -> None:
        """Notify the next successors, in case this process fails."""
        first = self._successors(target.member_id)[: MAX_TAKEOVER_POSITION - 1]
        if self._probe_sender.notify_dead(target, self._peers_by_id(first)):
            self._mark_reachable(target.member_id)

    def _is_reachable(self, target: heartbeats.Peer) -> bool:
        self._counts["checks"] += 1
        try:
            answer = self._transport.heartbeat(
                target, self._own_heartbeat(), self._settings.probe_timeout_ms
            )
        except (client.PeerUnreachable, client.PeerMessageDamaged):
            return False
        return answer.member_id == target.member_id

    def _successors(self, dead_id: str) -> list[str]:
        """Return the ids of live members in rendezvous order of a dead id."""
        suspected = self.suspected()
        with self._lock:
            live = [
                member_id
                for member_id in self._peers
                if member_id != dead_id and member_id not in suspected
            ]
        return partitions.rank(dead_id, [*live, self.self_id])

    def _declare_dead(self, target: heartbeats.Peer) -> None:
        order = self._successors(target.member_id)
        position = min(order.index(self.self_id), MAX_TAKEOVER_POSITION)
        due_ms = (
            self._clock.now_ms() + position * self._settings.takeover_step_ms
        )
        with self._lock:
            if target.member_id not in self._peers:
                return
            self._dead_peers.setdefault(
                target.member_id, _DeadPeer(target, position, due_ms)
            )
            self._update_watches()

    def _update_watches(self) -> None:
        wanted = ring.successors(
            self.self_id,
            self._peers,
            self._dead_peers,
            self._settings.watched_peers,
        )
        for member_id in list(self._watches):
            if self._peers.get(member_id) != self._watches[member_id].peer or (
                member_id not in wanted
            ):
                self._watches.pop(member_id).stopped.set()
        for member_id in wanted:
            if member_id not in self._watches:
                watch = suspicion.Watch(
                    self._peers[member_id], self._clock.now_ms()
                )
                self._watches[member_id] = watch
                if self._is_started:
                    self._start_watch(watch)

    def _start_watch(self, watch: suspicion.Watch) -> None:
        threading.Thread(
            target=self._run_watch, args=(watch,), daemon=True
        ).start()

    def _run_watch(self, watch: suspicion.Watch) -> None:
        # Keeps members that start together from sending in lockstep.
        pause_ms = random.uniform(0, self._settings.heartbeat_interval_ms)
        while not self._clock.wait(watch.stopped, pause_ms):
            start_ms = self._clock.now_ms()
            interval_ms = self._settings.heartbeat_interval_ms * 1.0
            try:
                interval_ms = self.check(watch.peer.member_id)
            except Exception:
                # An error in a callback must not stop failure detection.
                _log_exception("check", watch.peer.member_id)
            spent_ms = self._clock.now_ms() - start_ms
            pause_ms = max(
                interval_ms - spent_ms, REFUSED_RETRY_INTERVAL_MS / 2
            )

    def _run_takeovers(self) -> None:
        while not self._clock.wait(self._stopped, TAKEOVER_CHECK_INTERVAL_MS):
            self.run_due_takeovers()


def _log_exception(task: str, member_id: str) -> None:
    events.log(
        events.Event.REQUEST_FAILED,
        logging.ERROR,
        task=task,
        member_id=member_id,
        trace=traceback.format_exc(),
    )
