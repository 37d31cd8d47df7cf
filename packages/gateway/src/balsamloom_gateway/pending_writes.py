"""Writes of a holder's share to the store that have no known outcome."""

from __future__ import annotations

from balsamloom_gateway import durable_states, ledger_records


class PendingWrites:
    """Tracks the writes after which the record may show another share.

    :param states: states of the share; those that were not written for
        certain are removed from it.
    """

    def __init__(self, states: durable_states.DurableStates) -> None:
        self._states = states
        # Least allocation after one of the writes, None without any.
        self._least_tokens: int | None = None
        self._sequences: list[int] = []
        self._has_unknown_outcome = False

    def covered_tokens(self, recorded_tokens: int) -> int:
        """Return the tokens that the record covers for certain.

        :param recorded_tokens: allocation in the known record.
        """
        if self._least_tokens is None:
            return recorded_tokens
        return min(recorded_tokens, self._least_tokens)

    def add(self, share: ledger_records.Share) -> None:
        """Add the write of a share."""
        self._least_tokens = self.covered_tokens(share.allocated_tokens)
        self._sequences.append(share.sequence)
        self._states.add_pending(share)

    def handle_failure(self, is_unknown: bool) -> None:
        """Handle a write that failed.

        :param is_unknown: whether it may still have an effect.
        """
        self._has_unknown_outcome |= is_unknown
        self.confirm_none()

    def confirm_none(self) -> None:
        """Handle a record that shows none of the writes.

        Those of unknown outcome may take effect later.
        """
        if not self._has_unknown_outcome:
            self._drop()

    def end_all(self) -> None:
        """Handle a new record, after which none can take effect."""
        self._has_unknown_outcome = False
        self._drop()

    def _drop(self) -> None:
        self._least_tokens = None
        for sequence in self._sequences:
            self._states.drop(sequence)
        self._sequences.clear()
