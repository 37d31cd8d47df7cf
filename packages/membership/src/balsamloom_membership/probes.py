"""Confirmation of a suspicion by probes from other members."""

from __future__ import annotations

import concurrent.futures
from collections.abc import Sequence
from typing import NamedTuple

from balsamloom_membership import heartbeats, suspicion
from balsamloom_peers import client, messages

# Peers asked to probe in one attempt to confirm a suspicion.
MAX_PROBERS = 4
# Added to the probe timeout for the message to the prober and back.
PROBE_TIMEOUT_MARGIN_MS = 150


class ProbeOutcome(NamedTuple):
    """Result of probing a suspected member.

    ``votes`` counts the members that did not reach it; ``is_refuted`` is true
    if one did.
    """

    votes: int
    is_refuted: bool


class ProbeSender:
    """Asks other members to probe a suspected member.

    :param transport: sends messages to peers.
    :param settings: timeouts and the required number of votes.
    """

    def __init__(
        self,
        transport: heartbeats.Transport,
        settings: suspicion.LivenessSettings,
    ) -> None:
        self._transport = transport
        self._settings = settings
        self.sent_count = 0

    def request_votes(
        self, target: heartbeats.Peer, probers: Sequence[heartbeats.Peer]
    ) -> ProbeOutcome:
        """Ask members to probe until there are enough votes or one reaches it.

        :param target: suspected member.
        :param probers: members in the order in which to ask them.
        """
        votes = 0
        required = self._settings.required_votes
        for start in range(0, min(len(probers), MAX_PROBERS), required):
            batch = probers[start : start + required]
            answers = self._send_batch(batch, target, is_confirmed=False)
            if True in answers:
                return ProbeOutcome(votes, is_refuted=True)
            votes += answers.count(False)
            if votes >= required:
                break
        return ProbeOutcome(votes, is_refuted=False)

    def notify_dead(
        self, target: heartbeats.Peer, successors: Sequence[heartbeats.Peer]
    ) -> bool:
        """Report a member as dead to its successors.

        :return: whether a successor still reaches the member.
        """
        return True in self._send_batch(successors, target, is_confirmed=True)

    def _send_batch(
        self,
        probers: Sequence[heartbeats.Peer],
        target: heartbeats.Peer,
        is_confirmed: bool,
    ) -> list[bool | None]:
        probe = messages.Probe(
            target.peer_address, target.member_id, is_confirmed
        )
        timeout_ms = self._settings.probe_timeout_ms + PROBE_TIMEOUT_MARGIN_MS

        def send(prober: heartbeats.Peer) -> bool | None:
            self.sent_count += 1
            try:
                return self._transport.probe(prober, probe, timeout_ms)
            except (client.PeerUnreachable, client.PeerMessageDamaged):
                return None

        if len(probers) < 2:
            return [send(peer) for peer in probers]
        with concurrent.futures.ThreadPoolExecutor(len(probers)) as executor:
            return list(executor.map(send, probers))
