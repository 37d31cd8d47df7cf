"""When a silent member is suspected, and when it counts as dead.

Decisions have no messages of their own.
"""

from __future__ import annotations

import dataclasses
import threading
from typing import NamedTuple

from balsamloom_membership import heartbeats
from balsamloom_state import partitions

# Each doubt that proved wrong lengthens the next suspicion by a second, up to
# three seconds; a minute without one forgets them.
FLAP_PENALTY_MS = 1_000
MAX_FLAPS = 3
FLAP_MEMORY_MS = 60_000
# A step that takes this much longer than it may was cut by a pause of this
# process, and says nothing about the peer.
OWN_PAUSE_MS = 1_000


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


@dataclasses.dataclass
class Watch:
    """What is known of a member that gets heartbeats.

    :param peer: the member.
    :param last_check_ms: time of the last heartbeat, or of the start.
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
    ended: threading.Event = dataclasses.field(default_factory=threading.Event)

    @property
    def is_suspected(self) -> bool:
        """Return whether the member is suspected."""
        return self.suspected_at_ms is not None

    def allowed_ms(self, now_ms: float, settings: LivenessSettings) -> float:
        """Return how long the member may be silent before a suspicion."""
        if now_ms - self.last_flap_ms > FLAP_MEMORY_MS:
            self.flaps = 0
        return settings.suspicion_ms + self.flaps * FLAP_PENALTY_MS

    def note_answer(self, now_ms: float) -> None:
        """Take in that the member answered."""
        self.last_check_ms = now_ms
        self.silent_ms = 0.0
        self.refusals = 0
        self.was_refused = False

    def note_recovery(self, now_ms: float) -> None:
        """Take in that a suspicion was wrong."""
        if self.suspected_at_ms is not None:
            self.suspected_at_ms = None
            self.flaps = min(self.flaps + 1, MAX_FLAPS)
            self.last_flap_ms = now_ms

    def note_silence(
        self,
        now_ms: float,
        timeout_ms: float,
        was_refused: bool,
        settings: LivenessSettings,
    ) -> bool:
        """Take in that no answer came; return whether a suspicion begins.

        :param timeout_ms: how long the answer was waited for.
        """
        elapsed_ms = now_ms - self.last_check_ms
        self.last_check_ms = now_ms
        longest_ms = timeout_ms + settings.heartbeat_interval_ms
        if elapsed_ms > longest_ms + OWN_PAUSE_MS:
            self.silent_ms = 0.0
            self.refusals = 0
            return False
        self.silent_ms += elapsed_ms
        self.was_refused = was_refused
        self.refusals = self.refusals + 1 if was_refused else 0
        is_suspect = (
            self.refusals >= settings.refusals_until_suspicion
            or self.silent_ms >= self.allowed_ms(now_ms, settings)
        )
        if not is_suspect or self.is_suspected:
            return False
        self.suspected_at_ms = now_ms
        self.confirm_after_ms = now_ms
        return True


def wait_for_votes_ms(
    self_id: str,
    watch: Watch,
    votes: int,
    others: int,
    settings: LivenessSettings,
) -> float:
    """Return how long a suspicion must last with these votes.

    With fewer votes than wanted, nobody else may be left. A refused
    connection shows that the peer's host runs and the process does not.
    Silence of everybody may as well be a cut of this member, so it waits
    longer than the others need to seal it; of two members that cannot
    reach each other, one waits twice as long, so that they do not seal
    each other.

    :param votes: members that do not reach the suspected one either.
    :param others: members that could be asked.
    """
    if votes >= min(settings.confirmations, others) and votes:
        return 0
    if votes or watch.was_refused:
        return settings.short_of_votes_wait_ms
    pair = sorted((self_id, watch.peer.member_id))
    if partitions.rank("|".join(pair), pair)[0] == self_id:
        return settings.alone_wait_ms
    return 2 * settings.alone_wait_ms
