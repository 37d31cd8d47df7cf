"""Rules for suspecting a silent member and confirming it as dead.

This module sends no messages.
"""

from __future__ import annotations

import dataclasses
import threading
from typing import NamedTuple

from balsamloom_membership import heartbeats
from balsamloom_state import partitions

# Each false suspicion delays the next one by a second, up to three seconds. A
# minute without one resets the penalty.
FLAP_PENALTY_MS = 1_000
MAX_FLAPS = 3
MAX_FLAP_AGE_MS = 60_000
# A check that overruns its time limit by a second was interrupted by a pause
# of this process, so its failure is no evidence against the peer.
MAX_CHECK_OVERRUN_MS = 1_000


class LivenessSettings(NamedTuple):
    """Timeouts and counts of failure detection.

    At most six peers may be watched. Each takes about 0.5% of a core, so four
    keep a member at the 2.1% allowed for control.
    """

    heartbeat_interval_ms: int = 500
    suspicion_timeout_ms: int = 2_000
    refusals_until_suspicion: int = 2
    probe_timeout_ms: int = 400
    watched_peers: int = 4
    required_votes: int = 2
    takeover_step_ms: int = 1_500
    too_few_votes_wait_ms: int = 1_000
    no_votes_wait_ms: int = 3_000
    dead_retry_interval_ms: int = 2_000


@dataclasses.dataclass
class Watch:
    """Failure detection state of a watched member.

    :param peer: watched member.
    :param last_check_ms: time of the last check, initially the start time.
    """

    peer: heartbeats.Peer
    last_check_ms: float
    silent_ms: float = 0.0
    refusals: int = 0
    suspected_at_ms: float | None = None
    confirm_after_ms: float = 0.0
    flaps: int = 0
    last_flap_ms: float = 0.0
    was_refused: bool = False
    stopped: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    @property
    def is_suspected(self) -> bool:
        """Return whether the member is suspected."""
        return self.suspected_at_ms is not None

    def allowed_silence_ms(
        self, now_ms: float, settings: LivenessSettings
    ) -> float:
        """Return the silence in ms after which the member is suspected."""
        if now_ms - self.last_flap_ms > MAX_FLAP_AGE_MS:
            self.flaps = 0
        return settings.suspicion_timeout_ms + self.flaps * FLAP_PENALTY_MS

    def record_answer(self, now_ms: float) -> None:
        """Reset the silence after an answer."""
        self.last_check_ms = now_ms
        self.silent_ms = 0.0
        self.refusals = 0
        self.was_refused = False

    def record_recovery(self, now_ms: float) -> None:
        """End a false suspicion and count it as a flap."""
        if self.suspected_at_ms is not None:
            self.suspected_at_ms = None
            self.flaps = min(self.flaps + 1, MAX_FLAPS)
            self.last_flap_ms = now_ms

    def record_silence(
        self,
        now_ms: float,
        timeout_ms: float,
        was_refused: bool,
        settings: LivenessSettings,
    ) -> bool:
        """Record a missing answer; return whether a suspicion begins.

        :param timeout_ms: how long this process waited for the answer.
        """
        elapsed_ms = now_ms - self.last_check_ms
        self.last_check_ms = now_ms
        max_elapsed_ms = timeout_ms + settings.heartbeat_interval_ms
        if elapsed_ms > max_elapsed_ms + MAX_CHECK_OVERRUN_MS:
            self.silent_ms = 0.0
            self.refusals = 0
            return False
        self.silent_ms += elapsed_ms
        self.was_refused = was_refused
        self.refusals = self.refusals + 1 if was_refused else 0
        has_crossed_limit = (
            self.refusals >= settings.refusals_until_suspicion
            or self.silent_ms >= self.allowed_silence_ms(now_ms, settings)
        )
        if not has_crossed_limit or self.is_suspected:
            return False
        self.suspected_at_ms = now_ms
        self.confirm_after_ms = now_ms
        return True


def confirmation_wait_ms(
    self_id: str,
    watch: Watch,
    votes: int,
    others: int,
    settings: LivenessSettings,
) -> float:
    """Return how long in ms a suspicion must last to be confirmed.

    Fewer votes than required may mean that no other member is left. A refused
    connection shows that the peer's host runs but its process does not.
    Without any answer, this member may itself be isolated, so it waits longer
    than the others need to seal its journal. Of two members that cannot reach
    each other, one waits twice as long, so that they do not seal each other.

    :param votes: members that did not reach the suspected one either.
    :param others: members that could be asked.
    """
    if votes >= min(settings.required_votes, others) and votes:
        return 0
    if votes or watch.was_refused:
        return settings.too_few_votes_wait_ms
    pair = sorted((self_id, watch.peer.member_id))
    if partitions.rank("|".join(pair), pair)[0] == self_id:
        return settings.no_votes_wait_ms
    return 2 * settings.no_votes_wait_ms
