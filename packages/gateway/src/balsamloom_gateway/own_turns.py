"""Turns of a program to which a holder granted tokens."""

from __future__ import annotations

from balsamloom_gateway import ledger_records


class OwnTurns:
    """Turns that run and the tokens of those that ended.

    :param first_sequence: number that is greater than all of an earlier
        account of this process.
    """

    def __init__(self, first_sequence: int) -> None:
        # Tokens of turns that ended here.
        self.used_tokens = 0
        # Tokens of the turns that run, by the id of the reservation.
        self._reservations: dict[str, int] = {}
        self._first_sequence = first_sequence
        self._sequence = first_sequence
        self._has_earlier_use = False

    @property
    def running_tokens(self) -> int:
        """Return the most that the running turns may use."""
        return sum(self._reservations.values())

    def start(self, reservation_id: str, tokens: int) -> None:
        """Add a turn that runs."""
        self._reservations[reservation_id] = (
            self._reservations.get(reservation_id, 0) + tokens
        )

    def settle(
        self, reserved_tokens: int, used_tokens: int, reservation_id: str
    ) -> bool:
        """End a turn that runs; return false if there is none."""
        running = self._reservations.get(reservation_id, 0)
        if reservation_id:
            reserved_tokens = running
        if not 0 < reserved_tokens <= running:
            return False
        self._reservations[reservation_id] = running - reserved_tokens
        if running == reserved_tokens:
            del self._reservations[reservation_id]
        self.used_tokens += used_tokens
        return True

    def end_all(self) -> None:
        """Count the turns that run at their most."""
        self.used_tokens += self.running_tokens
        self._reservations.clear()

    def add_earlier_use(self, share: ledger_records.Share) -> None:
        """Add what an earlier account of this process used, once."""
        is_earlier = share.sequence <= self._first_sequence
        if is_earlier and not self._has_earlier_use:
            self._has_earlier_use = share.allocated_tokens > 0
            self.used_tokens += share.used_tokens

    def next_share(self, allocated_tokens: int) -> ledger_records.Share:
        """Return the holder's share as of now, with a new sequence."""
        self._sequence += 1
        return ledger_records.Share(
            allocated_tokens,
            self.used_tokens,
            self._sequence,
            dict(self._reservations),
        )
