"""Calls to the holders of budgets, which other members are."""

from __future__ import annotations

from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    circuit_breaker,
    holder_evidence,
    peers,
    traffic,
)

# Longer than a holder's waits for its record, for the journal and for one
# standby. It can take longer if several of them are late.
TIMEOUT_MS = 350.0
# Backoff of calls to a holder that did not answer.
BREAKER_BACKOFF = circuit_breaker.Backoff(
    2_000.0, 2_000.0, trial_ms=TIMEOUT_MS
)


class HolderBusyError(peers.PeerUnavailableError):
    """A holder did not answer a call in time, and answered others."""


class HolderCalls:
    """Clients of budget holders, with the circuits of those that failed.

    The circuit of a holder that is only slow stays closed: with another
    holder, two would write the records of its programs.

    :param clients: other members.
    :param clock: time source.
    """

    def __init__(
        self, clients: peers.PeerClients, clock: clocks.Clock
    ) -> None:
        self._clients = clients
        self.breaker = circuit_breaker.CircuitBreaker(BREAKER_BACKOFF, clock)
        self._evidence = holder_evidence.HolderEvidence(clock)

    def call(
        self, holder: traffic.Member, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Call a holder and return its response.

        :raises HolderBusyError: it did not arrive in time, but the holder
            answers other calls.
        :raises PeerUnavailableError: no usable response arrived in time; the
            circuit of the holder is open then.
        """
        sent = self._evidence.record_sent(holder)
        try:
            answer = self._clients.call(
                holder.peer_address, path, body, TIMEOUT_MS
            )
        except peers.PeerUnavailableError as error:
            _log_failure(holder, "budget", error)
            is_timeout = isinstance(error, peers.PeerTimeoutError)
            if is_timeout and self._evidence.is_slow(sent):
                raise HolderBusyError(f"{holder.name} is busy") from error
            self.breaker.record_failure(holder.name)
            raise
        self._evidence.record_answered(sent)
        if path == peers.RESERVE_PATH:
            # A process that has just started settles turns, and reserves none.
            self.breaker.record_success(holder.name)
        return answer

    def withdraw(
        self, holder: traffic.Member, body: dict[str, Any], timeout_ms: float
    ) -> bool:
        """Withdraw a reservation; return whether the holder answered.

        This tells nothing of the holder: it has more time for its answer.
        """
        try:
            self._clients.call(
                holder.peer_address, peers.WITHDRAW_PATH, body, timeout_ms
            )
        except peers.PeerUnavailableError as error:
            _log_failure(holder, "withdraw", error)
            return False
        return True


def _log_failure(
    holder: traffic.Member, call: str, error: peers.PeerUnavailableError
) -> None:
    events.log(
        events.Event.PEER_CALL_FAILED,
        member=holder.name,
        call=call,
        reason=str(error),
    )
