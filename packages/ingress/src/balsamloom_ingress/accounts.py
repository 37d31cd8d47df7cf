"""Account of the memory that a process holds for its callers.

It answers loads of bodies that together exceed the memory of the process.
"""

from __future__ import annotations

import threading

from balsamloom_core import clock as clocks
from balsamloom_ingress import errors, transfers

# Time for transfers that were shed to give their memory back.
RELEASE_TIMEOUT_MS = 1_000.0
# Requests up to this size have a part of the account to themselves, so that
# large bodies don't keep ordinary requests out.
SMALL_BYTES = 65_536
SMALL_SHARE = 0.125


class MemoryAccount:
    """Memory for requests of callers, taken before they are read.

    :param capacity_bytes: memory for all requests together.
    :param clock: time source.
    """

    def __init__(self, capacity_bytes: int, clock: clocks.Clock) -> None:
        self._capacity_bytes = capacity_bytes
        self._clock = clock
        self._released = threading.Condition()
        self._holders: set[transfers.Transfer] = set()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return the memory that is taken."""
        return self._used_bytes

    def take(self, transfer: transfers.Transfer, size_bytes: int) -> None:
        """Take memory for a transfer, and shed others if none is left.

        A transfer beside which there are only small ones gets what it asks
        for.

        :raises ShedError: there is none, or others need it more.
        """
        with self._released:
            self._make_room(transfer, size_bytes)
            self._used_bytes += size_bytes
            transfer.held_bytes += size_bytes
            self._holders.add(transfer)

    def release(self, transfer: transfers.Transfer) -> None:
        """Give back all memory of a transfer."""
        if not transfer.held_bytes:
            return
        with self._released:
            self._used_bytes -= transfer.held_bytes
            transfer.held_bytes = 0
            self._holders.discard(transfer)
            self._released.notify_all()

    def _make_room(
        self, transfer: transfers.Transfer, size_bytes: int
    ) -> None:
        until_ms = self._clock.now_ms() + RELEASE_TIMEOUT_MS
        while not self._fits(transfer, size_bytes):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0.0 or transfer.is_evicted:
                raise errors.ShedError("no memory is left for the request")
            # Others may have taken what the last ones gave back.
            self._shed_for(transfer, size_bytes)
            self._clock.wait_condition(self._released, left_ms)

    def _fits(self, transfer: transfers.Transfer, size_bytes: int) -> bool:
        return self._excess_bytes(transfer, size_bytes) <= 0

    def _excess_bytes(
        self, transfer: transfers.Transfer, size_bytes: int
    ) -> int:
        """Return how much memory others would have to give back."""
        reserve = int(SMALL_SHARE * self._capacity_bytes)
        excess_bytes = self._used_bytes + size_bytes - self._capacity_bytes
        is_large = transfer.held_bytes + size_bytes > SMALL_BYTES
        if is_large:
            excess_bytes += reserve
        if excess_bytes <= 0:
            return excess_bytes
        others = [each.held_bytes for each in self._holders - {transfer}]
        large_bytes = sum(each for each in others if each > SMALL_BYTES)
        if is_large:
            # It gets what it asks for once no other large one is left.
            return min(excess_bytes, large_bytes)
        small_bytes = sum(others) - large_bytes
        own_bytes = transfer.held_bytes + size_bytes
        return min(excess_bytes, small_bytes + own_bytes - reserve)

    def _shed_for(self, transfer: transfers.Transfer, size_bytes: int) -> None:
        """Evict the transfers that come before this one, as far as needed."""
        leaving = [each for each in self._holders if each.is_evicted]
        freed_bytes = sum(each.held_bytes for each in leaving)
        needed_bytes = self._excess_bytes(transfer, size_bytes)
        victims = []
        order = transfers.in_shedding_order(
            self._holders | {transfer}, self._clock.now_ms()
        )
        for each in order:
            if freed_bytes >= needed_bytes or each is transfer:
                break
            victims.append(each)
            freed_bytes += each.held_bytes
        if freed_bytes < needed_bytes:
            raise errors.ShedError("no memory is left for the request")
        for each in victims:
            each.evict()
        if victims:
            # One of them may be waiting for memory itself.
            self._released.notify_all()
