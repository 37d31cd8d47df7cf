"""Detection of dead peers.

Each member sends heartbeats to a few successors on a ring of member ids, so
that every member is watched by as many others whatever the fleet size.
A silent peer is declared dead only after two other members failed to reach
it as well. A wrong declaration costs a restart of the peer's work, never
data: the successor's seal of the journal is what fences a deposed member.
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

MIN_ANSWER_TIME_MS = 500
# The channel waits 100 ms before it connects again; a shorter interval would
# count one refused connection twice.
REFUSED_RETRY_MS = 300
REFUTED_PAUSE_MS = 1_000
DUE_CHECK_MS = 100
# Position in the order of successors from which on all wait equally long.
LAST_POSITION = 3


@dataclasses.dataclass
class _Dead:
    peer: heartbeats.Peer
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
        self._dead: dict[str, _Dead] = {}
        self._is_started = False
        self._budget = heartbeats.ContentBudget(clock.now_ms())
        self._ended = threading.Event()
        self._probes = probes.Probes(transport, settings)
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

    def update_peers(self, peers: Iterable[heartbeats.Peer]) -> None:
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
                if watch.is_suspected
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
                        "is_suspected": watch.is_suspected,
                    }
                    for member_id, watch in self._watches.items()
                },
                "dead": {
                    member_id: dead.position
                    for member_id, dead in self._dead.items()
                },
                "messages": {**self._counts, "probes": self._probes.sent},
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
        target = heartbeats.Peer(probe.member_id, probe.peer_address)
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
        if watch.is_suspected:
            self._confirm(watch)
        if watch.was_refused and not watch.is_suspected:
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
        """Return the own state, cut down if its budget is used up."""
        content = self._content()
        with self._lock:
            return self._budget.cut(content, self._clock.now_ms())

    def _beat(self, watch: suspicion.Watch) -> None:
        now_ms = self._clock.now_ms()
        quiet_ms = watch.silent_ms + now_ms - watch.last_check_ms
        allowed_ms = watch.allowed_ms(now_ms, self._settings)
        timeout_ms = max(allowed_ms - quiet_ms, MIN_ANSWER_TIME_MS)
        self._counts["heartbeats"] += 1
        try:
            answer = self._transport.heartbeat(
                watch.peer, self._outgoing(), timeout_ms
            )
        except client.PeerUnreachable as error:
            self._note_silence(watch, timeout_ms, error.was_refused)
        except client.PeerMessageDamaged:
            self._note_silence(watch, timeout_ms, False)
        else:
            if answer.member_id == watch.peer.member_id:
                self._note_answer(watch)
                self._on_heartbeat(answer)
            else:
                # Another process listens there: the member has restarted.
                watch.refusals = self._settings.refusals_until_suspicion - 1
                self._note_silence(watch, timeout_ms, True)

    def _note_answer(self, watch: suspicion.Watch) -> None:
        watch.note_answer(self._clock.now_ms())
        if watch.is_suspected:
            self._recover(watch.peer.member_id)

    def _note_silence(
        self, watch: suspicion.Watch, timeout_ms: float, was_refused: bool
    ) -> None:
        begins = watch.note_silence(
            self._clock.now_ms(), timeout_ms, was_refused, self._settings
        )
        if begins:
            events.log(
                events.Event.PEER_SUSPECTED,
                logging.WARNING,
                member_id=watch.peer.member_id,
                silent_ms=round(watch.silent_ms),
                was_refused=was_refused,
            )

    def _recover(self, member_id: str) -> None:
        with self._lock:
            self._dead.pop(member_id, None)
            watch = self._watches.get(member_id)
            if watch is not None:
                watch.note_recovery(self._clock.now_ms())
            self._choose_watched()
        events.log(events.Event.PEER_REACHABLE, member_id=member_id)

    def _confirm(self, watch: suspicion.Watch) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            is_declared = watch.peer.member_id in self._dead
        if is_declared or now_ms < watch.confirm_after_ms:
            return
        successors = self._successors(watch.peer.member_id)
        outcome = self._probes.ask(watch.peer, self._others(successors))
        if outcome.is_refuted:
            # The peer is cut off from this process only.
            watch.confirm_after_ms = now_ms + REFUTED_PAUSE_MS
            return
        suspected_at_ms = watch.suspected_at_ms
        if suspected_at_ms is None:
            return
        with self._lock:
            others = len(self._peers) - 1
        wait_ms = suspicion.wait_for_votes_ms(
            self.self_id, watch, outcome.votes, others, self._settings
        )
        if now_ms - suspected_at_ms >= wait_ms:
            self._declare(watch.peer)
            self._notify(watch.peer)

    def _others(self, names: Iterable[str]) -> list[heartbeats.Peer]:
        """Return the members of these names that are not this one."""
        with self._lock:
            return [self._peers[name] for name in names if name in self._peers]

    def _notify(self, target: heartbeats.Peer) -> None:
        """Let the next in the order take over if this process cannot."""
        first = self._successors(target.member_id)[: LAST_POSITION - 1]
        if self._probes.tell(target, self._others(first)):
            self._recover(target.member_id)

    def _answers(self, target: heartbeats.Peer) -> bool:
        self._counts["checks"] += 1
        try:
            answer = self._transport.heartbeat(
                target, self._outgoing(), self._settings.probe_timeout_ms
            )
        except (client.PeerUnreachable, client.PeerMessageDamaged):
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

    def _declare(self, target: heartbeats.Peer) -> None:
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
        wanted = ring.successors(
            self.self_id,
            self._peers,
            self._dead,
            self._settings.watched_peers,
        )
        for member_id in list(self._watches):
            if self._peers.get(member_id) != self._watches[member_id].peer or (
                member_id not in wanted
            ):
                self._watches.pop(member_id).ended.set()
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
