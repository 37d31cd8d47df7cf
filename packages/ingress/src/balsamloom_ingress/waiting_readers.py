"""Bound on the threads that wait for what callers send.

It answers loads of slow senders, each of which would hold a thread that
ordinary callers need.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

from balsamloom_core import clock as clocks
from balsamloom_ingress import errors, transfers


class WaitingReaders:
    """Threads of a listener that wait for data of callers.

    :param max_waiting: how many may wait at a time.
    :param clock: time source.
    """

    def __init__(self, max_waiting: int, clock: clocks.Clock) -> None:
        self.max_waiting = max_waiting
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting: set[transfers.Transfer] = set()
        self._decoding = threading.Lock()

    @contextlib.contextmanager
    def decoding(self, transfer: transfers.Transfer) -> Iterator[None]:
        """Decode a part of a transfer in a block, one thread at a time.

        Many threads that decode small chunks would keep the processor from
        all others.

        :raises ShedError: too many threads wait for it.
        """
        if not self._decoding.acquire(blocking=False):
            self._await_turn(transfer)
        try:
            yield
        finally:
            self._decoding.release()

    @contextlib.contextmanager
    def waiting(self, transfer: transfers.Transfer) -> Iterator[None]:
        """Count the thread that reads a transfer as waiting in a block.

        If too many wait, one of them ends.

        :raises ShedError: it is this one, now or before the data came.
        """
        with self._lock:
            self._waiting.add(transfer)
            victim = self._find_victim()
        if victim is not None:
            victim.evict()
        try:
            _check(transfer)
            yield
        finally:
            with self._lock:
                self._waiting.discard(transfer)
        _check(transfer)

    def _await_turn(self, transfer: transfers.Transfer) -> None:
        is_acquired = False
        try:
            with self.waiting(transfer):
                is_acquired = self._decoding.acquire()
        except errors.ShedError:
            if is_acquired:
                self._decoding.release()
            raise

    def _find_victim(self) -> transfers.Transfer | None:
        active = [each for each in self._waiting if not each.is_evicted]
        if len(active) <= self.max_waiting:
            return None
        order = transfers.in_shedding_order(active, self._clock.now_ms())
        return order[0] if order else None


def _check(transfer: transfers.Transfer) -> None:
    if transfer.is_evicted:
        raise errors.ShedError("too many callers send slowly")
