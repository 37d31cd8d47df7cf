"""Writes replicas to several storage hosts in parallel."""

from __future__ import annotations

import concurrent.futures
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from balsamloom_conversations import messages, replicas
from balsamloom_core import clock as clocks
from balsamloom_gateway import peers, storage_calls


class Call(NamedTuple):
    """Call that stores data."""

    path: str
    body: bytes


class Write(NamedTuple):
    """Call that stores the same data at any host.

    The write must have ended at ``until_ms``. Hosts that do not know the call
    get ``former``.
    """

    call: Call
    until_ms: float
    former: Call | None = None


class ReplicaWriter:
    """Writer of replicas.

    :param calls: calls to storage hosts.
    :param clock: time source.
    :param copies: number of hosts that must store the data.
    :param executor: runs the calls, each in a thread.
    :param hedge_delay_ms: delay after which a slow write is hedged with
        another host, and pause before hosts that failed are tried again.
    """

    def __init__(
        self,
        calls: storage_calls.StorageCalls,
        clock: clocks.Clock,
        copies: int,
        executor: concurrent.futures.Executor,
        hedge_delay_ms: float,
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._copies = copies
        self._executor = executor
        self._hedge_delay_ms = hedge_delay_ms

    def write(
        self, write: Write, ranked: Sequence[replicas.StorageHost]
    ) -> replicas.WritePlan:
        """Write to enough hosts; return which of them stored the data.

        :param ranked: all hosts, in the order of preference.
        """
        hosts = self._calls.move_failed_last(ranked)
        plan = replicas.WritePlan(hosts, self._copies)
        running: dict[
            concurrent.futures.Future[bytes | None], replicas.StorageHost
        ] = {}

        def start(hosts: Iterable[replicas.StorageHost]) -> None:
            for host in hosts:
                future = self._executor.submit(self._write_to, host, write)
                running[future] = host

        start(plan.start())
        while plan.is_possible and not plan.is_complete:
            left_ms = write.until_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            done = self._wait(running, min(self._hedge_delay_ms, left_ms))
            if not done:
                start(plan.hedge())
            for future in done:
                host = running.pop(future)
                answer = future.result()
                if answer is None:
                    start(plan.handle_failure(host))
                else:
                    start(plan.record_written(host.name, _fenced(answer)))
        return plan

    def _wait(
        self,
        running: Collection[concurrent.futures.Future[bytes | None]],
        timeout_ms: float,
    ) -> set[concurrent.futures.Future[bytes | None]]:
        """Wait until a call ends; return those that have ended."""
        if not running:
            # The hosts that are still needed failed. A pause precedes the
            # next try.
            self._clock.sleep(timeout_ms)
            return set()
        done, _ = concurrent.futures.wait(
            running,
            timeout_ms / clocks.MS_PER_S,
            concurrent.futures.FIRST_COMPLETED,
        )
        return done

    def _write_to(
        self, host: replicas.StorageHost, write: Write
    ) -> bytes | None:
        """Write to one host; return its answer if it stored the data."""
        try:
            return self._send(host, write)
        except peers.PeerPathUnknownError:
            # A host of a former release can do what it knows.
            return None
        except peers.PeerUnavailableError as error:
            self._calls.record_failure(host, error)
            return None

    def _send(self, host: replicas.StorageHost, write: Write) -> bytes:
        def send(call: Call) -> bytes:
            left_ms = max(write.until_ms - self._clock.now_ms(), 1.0)
            return self._calls.call(host, call.path, call.body, left_ms)

        try:
            return send(write.call)
        except peers.PeerPathUnknownError:
            if write.former is None:
                raise
            return send(write.former)


def _fenced(answer: bytes) -> list[str]:
    """Return the hosts that do not count beside one that stored data.

    Hosts of a former release and most others name none.
    """
    if not answer:
        return []
    try:
        return messages.decode_names(answer)
    except messages.InvalidMessageError:
        return []
