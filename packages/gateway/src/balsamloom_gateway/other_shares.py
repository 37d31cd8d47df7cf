"""Shares of the other holders of a program's budget."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from balsamloom_gateway import ledger_records, usages

# Turns that run for longer count at their most before a program is refused.
RUNNING_TURN_GRACE_MS = 1_000.0


class OtherShares:
    """Shares of other holders, as recorded and as reported later."""

    def __init__(self) -> None:
        self._recorded: dict[str, ledger_records.Share] = {}
        # By reports and by entries in the journal.
        self._reported: dict[str, ledger_records.Share] = {}
        # Used tokens of turns of lost holders, by the id of the reservation.
        self._settlements: dict[str, int] = {}
        # Times at which turns were seen first, by the id of the reservation.
        self._turns_seen_ms: dict[str, float] = {}
        # Returns whether a holder may still hand out tokens.
        self.may_live: Callable[[str], bool] = lambda holder: False

    @property
    def recorded_tokens(self) -> int:
        """Return the tokens that the others have allocated in the record."""
        return sum(share.allocated_tokens for share in self._recorded.values())

    @property
    def reported(self) -> Mapping[str, ledger_records.Share]:
        """Return the reported shares by holder."""
        return self._reported

    @property
    def unrecorded_tokens(self) -> dict[str, int]:
        """Return what others handed out beyond the record, by holder."""
        return {
            holder: share.allocated_tokens - self._recorded_tokens_of(holder)
            for holder, share in self.known().items()
        }

    @property
    def have_lost_tokens(self) -> bool:
        """Return whether tokens of lost holders are not recorded."""
        return any(
            tokens and not self.may_live(holder)
            for holder, tokens in self.unrecorded_tokens.items()
        )

    @property
    def used_tokens(self) -> int:
        """Return the tokens that are known to be used."""
        return sum(share.used_tokens for share in self._settled().values())

    @property
    def handed_out_tokens(self) -> int:
        """Return what the others are known to have handed out."""
        return sum(
            share.handed_out_tokens for share in self._settled().values()
        )

    @property
    def idle_tokens(self) -> int:
        """Return what they have allocated and not handed out, as known."""
        return sum(
            self._idle_tokens(holder, share)
            for holder, share in self._settled().items()
        )

    @property
    def recorded_idle_tokens(self) -> int:
        """Return what they had not handed out when they last recorded.

        What they have reported since may be known to nobody else.
        """
        return sum(
            max(share.allocated_tokens - share.handed_out_tokens, 0)
            for share in self._recorded.values()
        )

    @property
    def open_tokens(self) -> int:
        """Return what they have allocated and not used, as known."""
        return sum(
            share.allocated_tokens - share.used_tokens
            for share in self._settled().values()
        )

    def apply_record(
        self,
        shares: Mapping[str, ledger_records.Share],
        settlements: Mapping[str, int],
    ) -> None:
        """Apply the shares of others in the program's record."""
        self._recorded = dict(shares)
        self.settle(settlements)

    def merge_reports(
        self, shares: Mapping[str, ledger_records.Share]
    ) -> None:
        """Merge shares that holders reported or wrote to the journal."""
        usages.merge_shares(self._reported, shares)

    def settle(self, settlements: Mapping[str, int]) -> None:
        """Count turns of lost holders at what they used.

        :param settlements: used tokens by the id of the reservation.
        """
        self._settlements.update(settlements)

    def settlements(self) -> dict[str, int]:
        """Return the settlements of turns that the shares show to run."""
        running = {
            name for share in self.known().values() for name in share.running
        }
        return {
            name: tokens
            for name, tokens in self._settlements.items()
            if name in running
        }

    def known(self) -> dict[str, ledger_records.Share]:
        """Return the newest share of each holder."""
        found = dict(self._recorded)
        for holder, report in self._reported.items():
            share = found.get(holder, ledger_records.Share())
            found[holder] = share.updated_by(report)
        return found

    def claimed_tokens(self, max_turn_tokens: int) -> int:
        """Return the most that others handed out or may hand out.

        Lost holders together handed out at most one turn more than is proven.
        """
        lost_tokens = living_tokens = 0
        for holder, share in self._settled().items():
            if self.may_live(holder):
                living_tokens += self._idle_tokens(holder, share)
            else:
                lost_tokens += self._idle_tokens(holder, share)
        idle_tokens = living_tokens + min(lost_tokens, max_turn_tokens)
        return self.handed_out_tokens + idle_tokens

    def returning_holders(self, now_ms: float) -> frozenset[str]:
        """Return the holders that may return tokens, if they live.

        A turn that has been known to run for :data:`RUNNING_TURN_GRACE_MS`
        counts at its most. Its caller's process may be lost.
        """
        return frozenset(
            holder
            for holder, share in self._settled().items()
            if self._idle_tokens(holder, share)
            or self._has_recent_turns(share, now_ms)
        )

    def _has_recent_turns(
        self, share: ledger_records.Share, now_ms: float
    ) -> bool:
        for name in share.running:
            self._turns_seen_ms.setdefault(name, now_ms)
        oldest_ms = now_ms - RUNNING_TURN_GRACE_MS
        # Turns without a name are of processes of the release before.
        return any(
            not name or self._turns_seen_ms[name] > oldest_ms
            for name in share.running
        )

    def _idle_tokens(self, holder: str, share: ledger_records.Share) -> int:
        """Return what a holder has allocated and no turn had got."""
        allocated_tokens = self._recorded_tokens_of(holder)
        return max(allocated_tokens - share.handed_out_tokens, 0)

    def _settled(self) -> dict[str, ledger_records.Share]:
        """Return the newest shares with the known ends of their turns."""
        return {
            holder: share.settled_by(self._settlements)
            for holder, share in self.known().items()
        }

    def _recorded_tokens_of(self, holder: str) -> int:
        share = self._recorded.get(holder, ledger_records.Share())
        return share.allocated_tokens
