"""Registration of this member in the store under a lease."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    interfaces,
    registration_records,
    traffic,
)

# Fraction of the lease between renewals; two may fail before it expires.
RENEWAL_FRACTION = 0.32
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 1_000.0
# A view lags by less than two renewals.
MAX_MISSING_RENEWALS = 3


class Registrar:
    """Registers a member and renews its lease.

    :param store: platform's store.
    :param key: key of the registration.
    :param member: member to register.
    :param lease_ms: time for which a registration outlives its process.
    :param is_registered: returns whether the records show the registration.
    :param clock: time source.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        key: str,
        member: traffic.Member,
        lease_ms: int,
        is_registered: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._is_registered = is_registered
        # Renewals in a row after which the records lacked the registration.
        self._missing_count = 0
        self._write = interfaces.Write(
            key, registration_records.encode_member(member)
        )
        self._lease_ms = lease_ms
        self._renewal_ms = lease_ms * RENEWAL_FRACTION
        self._clock = clock
        self._stopped = threading.Event()
        self._lease_id = 0
        # Time at which the last successful renewal was sent.
        self._renewed_ms = -math.inf
        self._failures = 0
        self._lock = threading.Lock()
        self.on_lease_lost: Callable[[], None] = callbacks.ignore

    def held_lease_id(self) -> int:
        """Return the lease if the store cannot have ended it yet, else 0."""
        age_ms = self._clock.now_ms() - self._renewed_ms
        if age_ms >= self._lease_ms or self._stopped.is_set():
            return 0
        return self._lease_id

    def run(self) -> None:
        """Register and renew until :meth:`deregister`."""
        while not self._stopped.is_set():
            pause_ms = self.renew_once()
            self._clock.wait(self._stopped, pause_ms)

    def renew_once(self) -> float:
        """Register or renew; return the pause until the next call."""
        with self._lock:
            if self._stopped.is_set():
                return 0.0
            try:
                pause_ms = self._renew()
                self._failures = 0
                return pause_ms
            except interfaces.StoreError as error:
                events.log(
                    events.Event.LEASE_CHANGED,
                    logging.WARNING,
                    lease_id=self._lease_id,
                    outcome="not renewed",
                    reason=str(error),
                )
                pause_ms = MIN_RETRY_MS * (1 << min(self._failures, 6))
                self._failures += 1
                return min(pause_ms, MAX_RETRY_MS)

    def deregister(self) -> None:
        """Revoke the lease, so that callers stop getting this member.

        If the store does not answer, the lease expires by itself.
        """
        self._stopped.set()
        with self._lock:
            if not self._lease_id:
                return
            try:
                self._store.revoke_lease(self._lease_id)
                outcome, reason = "ended", ""
            except interfaces.StoreError as error:
                outcome, reason = "left to expire", str(error)
        events.log(
            events.Event.LEASE_CHANGED,
            lease_id=self._lease_id,
            outcome=outcome,
            reason=reason,
        )

    def _renew(self) -> float:
        sent_ms = self._clock.now_ms()
        if self._lease_id:
            if self._store.renew_lease(self._lease_id):
                self._renewed_ms = sent_ms
                if self._must_write_again():
                    self._write_under(self._lease_id)
                return self._renewal_ms
            events.log(
                events.Event.LEASE_CHANGED,
                logging.WARNING,
                lease_id=self._lease_id,
                outcome="lost",
            )
            self._lease_id = 0
            self._renewed_ms = -math.inf
            self.on_lease_lost()
            sent_ms = self._clock.now_ms()
        lease_id = self._store.grant_lease(self._lease_ms)
        if not self._write_under(lease_id):
            return MIN_RETRY_MS
        self._lease_id = lease_id
        self._renewed_ms = sent_ms
        return self._renewal_ms

    def _must_write_again(self) -> bool:
        """Return whether the registration is gone although its lease lives.

        A late write of an earlier try puts the key under an older lease, and
        the key is deleted with it.
        """
        if self._is_registered():
            self._missing_count = 0
            return False
        self._missing_count += 1
        return self._missing_count >= MAX_MISSING_RENEWALS

    def _write_under(self, lease_id: int) -> bool:
        """Write the registration; return whether the lease still exists."""
        self._missing_count = 0
        write = self._write._replace(lease_id=lease_id)
        match self._store.transact((), [write]):
            case interfaces.Committed(revision):
                events.log(
                    events.Event.LEASE_CHANGED,
                    lease_id=lease_id,
                    outcome="granted",
                    revision=revision,
                )
                return True
            case _:
                return False
