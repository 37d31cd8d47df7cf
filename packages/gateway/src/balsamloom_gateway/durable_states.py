"""States of a holder's share that outlive its process."""

from __future__ import annotations

from balsamloom_gateway import ledger_records


class DurableStates:
    """Tracks which of the written states of a share is durable.

    A successor finds the newest durable state, and perhaps the ends of turns
    that ran then. A state whose write has not been confirmed may be the one
    that it finds.
    """

    def __init__(self) -> None:
        self._durable = ledger_records.Share()
        # States that are being written, by sequence.
        self._pending: dict[int, ledger_records.Share] = {}
        # Used tokens of turns that have ended since, by the reservation.
        self._ends: dict[str, int] = {}

    @property
    def used_tokens(self) -> int:
        """Return the used tokens that the newest durable state shows."""
        return self._durable.used_tokens

    @property
    def least_handed_out_tokens(self) -> int:
        """Return the least that a successor finds to be handed out."""
        return min(
            share.settled_by(self._ends).handed_out_tokens
            for share in self._states()
        )

    @property
    def shows_ended_turns(self) -> bool:
        """Return whether the newest durable state shows turns that ended."""
        return not self._ends.keys().isdisjoint(self._durable.running)

    def add_pending(self, share: ledger_records.Share) -> None:
        """Add a state that is being written."""
        self._pending[share.sequence] = share

    def drop(self, sequence: int) -> None:
        """Remove a state that was not written for certain."""
        self._pending.pop(sequence, None)

    def confirm(self, share: ledger_records.Share) -> None:
        """Record that a state is durable, so older ones do not matter."""
        if share.sequence <= self._durable.sequence:
            return
        self._durable = share
        self._pending = {
            sequence: other
            for sequence, other in self._pending.items()
            if sequence > share.sequence
        }
        shown = {name for one in self._states() for name in one.running}
        self._ends = {
            name: tokens
            for name, tokens in self._ends.items()
            if name in shown
        }

    def settle(self, reservation_id: str, used_tokens: int) -> None:
        """Record the end of a turn that some states show to run."""
        if reservation_id:
            self._ends[reservation_id] = used_tokens

    def _states(self) -> tuple[ledger_records.Share, ...]:
        return (self._durable, *self._pending.values())
