"""Kept turns, as an edge process reads and writes them.

Storage hosts are known from their registrations, which outlast them; whether
one answers is learnt from the own calls.
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
# After this time a write goes to one host more.
SLOW_WRITE_MS = 60.0
# A host that failed is asked last for this time, and for longer each time.
AVOID_PAUSES = circuit_breaker.Backoff(1_000.0, 16_000.0, trial_ms=0.0)
# A host that failed a short time ago is waited for only this long.
AVOIDED_TIMEOUT_MS = 100.0
# A host that was not reached for this time counts as gone: the others have
# long copied the turns that it shared with them.
GONE_MS = 10_000.0
# Threads that write copies; each waits for one host at a time.
WRITERS = 24


class Conversations:
    """Reads chains of turns and keeps new ones.

    :param hosts: returns the registered storage hosts.
    :param clients: calls to other processes.
    :param clock: time source.
    :param failure_domain: where this process is.
    :param copies: disks that must hold a turn.
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
        self._avoidance = circuit_breaker.CircuitBreaker(AVOID_PAUSES, clock)
        self._writers = concurrent.futures.ThreadPoolExecutor(
            WRITERS, "turn-writer"
        )

    @property
    def can_keep(self) -> bool:
        """Return whether enough storage hosts are known to keep a turn."""
        return len(self._hosts()) >= self._copies

    def read(self, turn_id: str, hint: str, until_ms: float) -> turns.Lookup:
        """Return a turn's chain.

        :param hint: group that the turn probably belongs to.
        :param until_ms: time at which the result must be known.
        """
        hosts = self._hosts()
        ordered = replicas.reading_order(
            hint, hosts, self._copies, self._failure_domain
        )
        tally = replicas.ReadTally(len(hosts), self._copies)
        for host in self._avoided_last(ordered):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                tally.record_unsure(host.name, "no time left")
                break
            found = self._ask(host, turn_id, min(READ_TIMEOUT_MS, left_ms))
            match found:
                case turns.Chain():
                    return found
                case turns.Unsure(reason):
                    if self._avoidance.failing_ms(host.address) >= GONE_MS:
                        tally.record_lost(host.name)
                    else:
                        tally.record_unsure(host.name, reason)
        return tally.result()

    def keep(self, turn: turns.Turn, until_ms: float) -> bool:
        """Write a turn to enough disks; return whether that was possible.

        :param until_ms: time at which the result must be known.
        """
        started_ms = self._clock.now_ms()
        until_ms = min(until_ms, started_ms + WRITE_TIMEOUT_MS)
        ranked = replicas.rank(turn.group_id, self._hosts())
        plan = replicas.WritePlan(self._avoided_last(ranked), self._copies)
        body = messages.encode_turn(turn)
        running: dict[concurrent.futures.Future[bool], str] = {}

        def start(hosts: Iterable[replicas.StorageHost]) -> None:
            for host in hosts:
                future = self._writers.submit(
                    self._write, host, body, until_ms
                )
                running[future] = host.name

        start(plan.start())
        while not plan.is_complete and not plan.has_failed:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0 or not running:
                break
            done, _ = concurrent.futures.wait(
                running,
                min(SLOW_WRITE_MS, left_ms) / clocks.MS_PER_S,
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
        self._log_kept(turn, plan, started_ms)
        return plan.is_complete

    def _avoided_last(
        self, hosts: list[replicas.StorageHost]
    ) -> list[replicas.StorageHost]:
        return sorted(
            hosts, key=lambda host: self._avoidance.is_open(host.address)
        )

    def _ask(
        self, host: replicas.StorageHost, turn_id: str, timeout_ms: float
    ) -> turns.Lookup:
        if self._avoidance.is_open(host.address):
            timeout_ms = min(timeout_ms, AVOIDED_TIMEOUT_MS)
        body = messages.encode_names([turn_id])
        try:
            answer = self._call(host, peers.CHAIN_PATH, body, timeout_ms)
            return messages.decode_lookup(answer)
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
        ) as error:
            self._note_failure(host, error)
            return turns.Unsure(str(error))

    def _write(
        self, host: replicas.StorageHost, body: bytes, until_ms: float
    ) -> bool:
        """Write a turn to one host; return whether it is on its disk."""
        left_ms = until_ms - self._clock.now_ms()
        try:
            self._call(host, peers.KEEP_TURN_PATH, body, max(left_ms, 1.0))
        except peers.PeerUnavailableError as error:
            self._note_failure(host, error)
            return False
        return True

    def _call(
        self,
        host: replicas.StorageHost,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> bytes:
        """Call a host, twice if the connection ends before the answer.

        A kept connection may be closed while a call is sent on it. Calls to
        storage hosts can be repeated.
        """
        try:
            answer = self._clients.post(host.address, path, body, timeout_ms)
        except peers.PeerConnectionLostError:
            answer = self._clients.post(host.address, path, body, timeout_ms)
        self._avoidance.record_success(host.address)
        return answer

    def _note_failure(
        self, host: replicas.StorageHost, error: Exception
    ) -> None:
        self._avoidance.record_failure(host.address)
        events.log(
            events.Event.STORAGE_CALL_FAILED,
            logging.WARNING,
            host=host.name,
            reason=str(error),
        )

    def _log_kept(
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
    """Takes down a turn while its answer is passed on.

    :param conversations: keeps the turn at its end.
    :param turn: turn without its output.
    :param output: collects the answer's events.
    """

    def __init__(
        self,
        conversations: Conversations,
        turn: turns.Turn,
        output: stream_output.StreamOutput,
    ) -> None:
        self._conversations = conversations
        self._turn = turn
        self._output = output

    def add(self, data: bytes) -> None:
        """Take in a piece of the answer."""
        self._output.add(data)

    def keep(self, until_ms: float) -> bool:
        """Keep the turn; return whether its answer may end as complete.

        :raises OutputTooLongError: the answer is too long to be kept.
        """
        turn = self._turn._replace(output=self._output.data())
        return self._conversations.keep(turn, until_ms)
