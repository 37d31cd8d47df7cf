"""Reads and writes stored turns on behalf of an edge process.

A registration remains after its storage host fails, so whether a host is
reachable is inferred from the calls of this process.
"""

from __future__ import annotations

import concurrent.futures
import logging
from collections.abc import Callable, Iterable

from balsamloom_conversations import (
    messages,
    replicas,
    stream_output,
    turns,
)
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import circuit_breaker, peers

READ_TIMEOUT_MS = 250.0
WRITE_TIMEOUT_MS = 800.0
# Delay after which a slow write is hedged with another host.
HEDGE_DELAY_MS = 60.0
# While its circuit is open, a host is tried last and with a short timeout.
BREAKER_BACKOFF = circuit_breaker.Backoff(1_000.0, 16_000.0, trial_ms=0.0)
OPEN_BREAKER_TIMEOUT_MS = 100.0
# A host that is unreachable for this long counts as lost. By then the other
# hosts have copied the turns of which they and the lost host had replicas.
LOST_HOST_TIMEOUT_MS = 10_000.0
# Each thread waits for one host at a time.
WRITER_THREADS = 24


class ConversationStore:
    """Client of the storage hosts that store conversations.

    :param hosts: returns the registered storage hosts.
    :param clients: calls to other processes.
    :param clock: time source.
    :param failure_domain: failure domain of this process.
    :param copies: number of hosts that must store a turn.
    """

    def __init__(
        self,
        hosts: Callable[[], list[replicas.StorageHost]],
        clients: peers.PeerClients,
        clock: clocks.Clock,
        failure_domain: str,
        copies: int,
    ) -> None:
        self._hosts = hosts
        self._clients = clients
        self._clock = clock
        self._failure_domain = failure_domain
        self._copies = copies
        self._breaker = circuit_breaker.CircuitBreaker(BREAKER_BACKOFF, clock)
        self._writers = concurrent.futures.ThreadPoolExecutor(
            WRITER_THREADS, "turn-writer"
        )

    @property
    def can_write(self) -> bool:
        """Return whether enough storage hosts are registered for a write."""
        return len(self._hosts()) >= self._copies

    def read(
        self, turn_id: str, group_hint: str, until_ms: float
    ) -> turns.Lookup:
        """Return a turn and all previous turns.

        :param group_hint: group that the turn probably belongs to.
        :param until_ms: time at which the read must have ended.
        """
        hosts = self._hosts()
        ordered = replicas.reading_order(
            group_hint, hosts, self._copies, self._failure_domain
        )
        tally = replicas.ReadTally(len(hosts), self._copies)
        for host in self._move_failed_last(ordered):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                tally.record_unsure(host.name, "deadline exceeded")
                break
            found = self._read_from(
                host, turn_id, min(READ_TIMEOUT_MS, left_ms)
            )
            match found:
                case turns.Chain():
                    return found
                case turns.Unsure(reason):
                    if (
                        self._breaker.failing_ms(host.address)
                        >= LOST_HOST_TIMEOUT_MS
                    ):
                        tally.record_lost(host.name)
                    else:
                        tally.record_unsure(host.name, reason)
        return tally.result()

    def write(self, turn: turns.Turn, until_ms: float) -> bool:
        """Write a turn to enough hosts; return whether that succeeded.

        :param until_ms: time at which the write must have ended.
        """
        started_ms = self._clock.now_ms()
        until_ms = min(until_ms, started_ms + WRITE_TIMEOUT_MS)
        ranked = replicas.rank(turn.group_id, self._hosts())
        plan = replicas.WritePlan(self._move_failed_last(ranked), self._copies)
        body = messages.encode_turn(turn)
        running: dict[concurrent.futures.Future[bool], str] = {}

        def start(hosts: Iterable[replicas.StorageHost]) -> None:
            for host in hosts:
                future = self._writers.submit(
                    self._write_to, host, body, until_ms
                )
                running[future] = host.name

        start(plan.start())
        while not plan.is_complete and not plan.has_failed:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0 or not running:
                break
            done, _ = concurrent.futures.wait(
                running,
                min(HEDGE_DELAY_MS, left_ms) / clocks.MS_PER_S,
                concurrent.futures.FIRST_COMPLETED,
            )
            if not done:
                start(plan.hedge())
            for future in done:
                name = running.pop(future)
                if future.result():
                    plan.record_written(name)
                else:
                    start(plan.handle_failure())
        self._log_write(turn, plan, started_ms)
        return plan.is_complete

    def _move_failed_last(
        self, hosts: list[replicas.StorageHost]
    ) -> list[replicas.StorageHost]:
        return sorted(
            hosts, key=lambda host: self._breaker.is_open(host.address)
        )

    def _read_from(
        self, host: replicas.StorageHost, turn_id: str, timeout_ms: float
    ) -> turns.Lookup:
        if self._breaker.is_open(host.address):
            timeout_ms = min(timeout_ms, OPEN_BREAKER_TIMEOUT_MS)
        body = messages.encode_names([turn_id])
        try:
            answer = self._call(host, peers.CHAIN_PATH, body, timeout_ms)
            return messages.decode_lookup(answer)
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
        ) as error:
            self._record_failure(host, error)
            return turns.Unsure(str(error))

    def _write_to(
        self, host: replicas.StorageHost, body: bytes, until_ms: float
    ) -> bool:
        """Write a turn to one host; return whether the host stored it."""
        left_ms = until_ms - self._clock.now_ms()
        try:
            self._call(host, peers.KEEP_TURN_PATH, body, max(left_ms, 1.0))
        except peers.PeerUnavailableError as error:
            self._record_failure(host, error)
            return False
        return True

    def _call(
        self,
        host: replicas.StorageHost,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> bytes:
        """Call a host and retry once if the connection ends early.

        A pooled connection may be closed while a call is sent on it. Calls to
        storage hosts are idempotent.
        """
        try:
            answer = self._clients.post(host.address, path, body, timeout_ms)
        except peers.PeerConnectionLostError:
            answer = self._clients.post(host.address, path, body, timeout_ms)
        self._breaker.record_success(host.address)
        return answer

    def _record_failure(
        self, host: replicas.StorageHost, error: Exception
    ) -> None:
        self._breaker.record_failure(host.address)
        events.log(
            events.Event.STORAGE_CALL_FAILED,
            logging.WARNING,
            host=host.name,
            reason=str(error),
        )

    def _log_write(
        self, turn: turns.Turn, plan: replicas.WritePlan, started_ms: float
    ) -> None:
        event, level = events.Event.TURN_KEPT, logging.INFO
        if not plan.is_complete:
            event, level = events.Event.TURN_NOT_KEPT, logging.WARNING
        events.log(
            event,
            level,
            request_id=turn.turn_id,
            previous_turn_id=turn.previous_id,
            group_id=turn.group_id,
            hosts=plan.written_hosts,
            duration_ms=round(self._clock.now_ms() - started_ms, 1),
        )


class TurnRecorder:
    """Recorder of a turn while its response is relayed.

    :param conversations: stores the turn when it is complete.
    :param turn: turn without its output.
    :param output: collects the events of the response.
    """

    def __init__(
        self,
        conversations: ConversationStore,
        turn: turns.Turn,
        output: stream_output.StreamOutput,
    ) -> None:
        self._conversations = conversations
        self._turn = turn
        self._output = output

    def add(self, data: bytes) -> None:
        """Append a part of the response."""
        self._output.add(data)

    def write(self, until_ms: float) -> bool:
        """Store the turn; return whether its response may end as complete.

        :raises OutputTooLongError: the response is too long to store.
        """
        turn = self._turn._replace(output=self._output.data())
        return self._conversations.write(turn, until_ms)
