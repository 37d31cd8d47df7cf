"""Accounts of programs that have run no turn for a while."""

from __future__ import annotations

from balsamloom_core import clock as clocks
from balsamloom_gateway import ledger, record_queue

# Accounts without turns for this time are removed.
ACCOUNT_IDLE_TIMEOUT_MS = 90_000.0
SWEEP_INTERVAL_MS = 30_000.0


class IdleAccounts:
    """Removes idle accounts at intervals; the lock is held during each call.

    :param accounts: accounts by program.
    :param queue: queue of the records to be written.
    :param clock: time source.
    """

    def __init__(
        self,
        accounts: dict[str, ledger.Account],
        queue: record_queue.RecordQueue,
        clock: clocks.Clock,
    ) -> None:
        self._accounts = accounts
        self._queue = queue
        self._clock = clock
        self._last_sweep_ms = clock.now_ms()

    def sweep(self) -> list[ledger.Account]:
        """Remove idle accounts if that is due; return the removed ones."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return []
        self._last_sweep_ms = now_ms
        idle = [
            account
            for account in self._accounts.values()
            if now_ms - account.last_used_ms > ACCOUNT_IDLE_TIMEOUT_MS
        ]
        for account in idle:
            account.end_reservations()
            self._queue.add(account)
        ended = [one for one in idle if not one.needs_record()]
        for account in ended:
            del self._accounts[account.program_id]
        return ended
