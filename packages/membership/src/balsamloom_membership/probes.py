"""What other members say of one that is suspected."""

from __future__ import annotations

import concurrent.futures
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_membership import heartbeats, suspicion
from balsamloom_peers import client, messages

# Peers asked to probe before a confirmation is given up for the time being.
MAX_PROBERS = 4
PROBE_ALLOWANCE_MS = 150


class Outcome(NamedTuple):
    """Members that did not reach the suspected one, and any objection."""

    votes: int
    is_refuted: bool


class Probes:
    """Asks other members whether they reach a suspected one.

    :param transport: messages to peers.
    :param settings: times and counts.
    """

    def __init__(
        self,
        transport: heartbeats.Transport,
        settings: suspicion.LivenessSettings,
    ) -> None:
        self._transport = transport
        self._settings = settings
        self.sent = 0

    def ask(
        self, target: heartbeats.Peer, probers: Sequence[heartbeats.Peer]
    ) -> Outcome:
        """Ask until enough members have voted or one objects.

        :param probers: members in the order in which they are asked.
        """
        votes = 0
        wanted = self._settings.confirmations
        for start in range(0, min(len(probers), MAX_PROBERS), wanted):
            batch = probers[start : start + wanted]
            answers = self._ask_batch(batch, target, is_confirmed=False)
            if True in answers:
                return Outcome(votes, is_refuted=True)
            votes += answers.count(False)
            if votes >= wanted:
                break
        return Outcome(votes, is_refuted=False)

    def tell(
        self, target: heartbeats.Peer, successors: Sequence[heartbeats.Peer]
    ) -> bool:
        """Say that a member is dead; return whether one still reaches it."""
        return True in self._ask_batch(successors, target, is_confirmed=True)

    def _ask_batch(
        self,
        probers: Sequence[heartbeats.Peer],
        target: heartbeats.Peer,
        is_confirmed: bool,
    ) -> list[bool | None]:
        probe = messages.Probe(
            target.peer_address, target.member_id, is_confirmed
        )
        timeout_ms = self._settings.probe_timeout_ms + PROBE_ALLOWANCE_MS

        def ask(prober: heartbeats.Peer) -> bool | None:
            self.sent += 1
            try:
                return self._transport.probe(prober, probe, timeout_ms)
            except (client.PeerUnreachable, client.PeerMessageDamaged):
                return None

        if len(probers) < 2:
            return [ask(peer) for peer in probers]
        with concurrent.futures.ThreadPoolExecutor(len(probers)) as executor:
            return list(executor.map(ask, probers))
