"""Reads and writes stored turns on behalf of an edge process."""

from __future__ import annotations

import concurrent.futures
import logging
import sys
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from balsamloom_conversations import (
    messages,
    replicas,
    stream_output,
    turns,
    usage_entries,
)
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import peers, replica_writer, storage_calls

READ_TIMEOUT_MS = 250.0
WRITE_TIMEOUT_MS = 800.0
# Delay after which a slow write is hedged with another host, and pause before
# hosts that failed are tried again.
HEDGE_DELAY_MS = 60.0
# Timeout for a host that failed a short time ago.
OPEN_BREAKER_TIMEOUT_MS = 100.0
# Each loss of a host while a chain is written can divide it once more.
MAX_CHAIN_PARTS = 16
# A host that answered within this time is expected to answer again.
MAX_ANSWER_AGE_MS = 1_000.0
# Each thread waits for one host at a time.
WRITER_THREADS = 24


class ConversationStore:
    """Client of the storage hosts that store conversations.

    :param hosts: returns the registered storage hosts.
    :param calls: calls to storage hosts.
    :param clock: time source.
    :param failure_domain: failure domain of this process.
    :param copies: number of hosts that must store a turn.
    :param await_hosts: waits until the hosts that were registered at a time
        are known, up to another time; returns whether they are.
    """

    def __init__(
        self,
        hosts: Callable[[], list[replicas.StorageHost]],
        calls: storage_calls.StorageCalls,
        clock: clocks.Clock,
        failure_domain: str,
        copies: int,
        await_hosts: Callable[[float, float], bool],
    ) -> None:
        self._hosts = hosts
        self._await_hosts = await_hosts
        self.calls = calls
        self._clock = clock
        self._failure_domain = failure_domain
        self._copies = copies
        self._writers = concurrent.futures.ThreadPoolExecutor(
            WRITER_THREADS, "turn-writer"
        )
        self._writer = replica_writer.ReplicaWriter(
            calls, clock, copies, self._writers, HEDGE_DELAY_MS
        )

    def can_write(self, group_id: str, until_ms: float) -> bool:
        """Return whether enough storage hosts answer for a write.

        A turn that cannot be stored would run in vain, and its response would
        be cut off at its end. Hosts that have not answered lately are probed,
        those that failed last.

        :param until_ms: time at which the probes must have ended.
        """
        hosts = self._hosts()
        if len(hosts) < self._copies:
            return False
        oldest_ms = self._clock.now_ms() - MAX_ANSWER_AGE_MS
        unheard = [
            host
            for host in replicas.rank(group_id, hosts)
            if not self.calls.has_answered_since(host, oldest_ms)
        ]
        unheard = self.calls.move_failed_last(unheard)
        missing = self._copies - (len(hosts) - len(unheard))
        while 0 < missing <= len(unheard):
            probed, unheard = unheard[:missing], unheard[missing:]
            answers = self._writers.map(
                lambda host: self._probe(host, until_ms), probed
            )
            missing -= sum(answers)
        return missing <= 0

    def _probe(self, host: replicas.StorageHost, until_ms: float) -> bool:
        """Return whether a host answers; an empty listing is the shortest."""
        query = messages.ListQuery(sys.maxsize, 1)
        body = messages.encode_query(query)
        timeout_ms = self._read_timeout_ms(host, until_ms)
        try:
            self.calls.call(host, peers.LIST_TURNS_PATH, body, timeout_ms)
        except peers.PeerUnavailableError as error:
            self.calls.record_failure(host, error)
            return False
        return True

    def _read_timeout_ms(
        self, host: replicas.StorageHost, until_ms: float
    ) -> float:
        limit_ms = READ_TIMEOUT_MS
        if self.calls.is_failing(host):
            limit_ms = OPEN_BREAKER_TIMEOUT_MS
        left_ms = until_ms - self._clock.now_ms()
        return max(min(limit_ms, left_ms), 1.0)

    def read(
        self, turn_id: str, group_hint: str, until_ms: float
    ) -> turns.Lookup:
        """Return a turn and all previous turns.

        Parts of the chain that lie on different hosts are joined.

        :param group_hint: group that the turn probably belongs to.
        :param until_ms: time at which the read must have ended.
        """
        found = self._read_part(turn_id, group_hint, until_ms)
        data = b""
        for _ in range(MAX_CHAIN_PARTS):
            match found:
                case turns.ChainEnd(group_id, part, missing_id):
                    data = part + data
                    found = self._read_part(missing_id, group_id, until_ms)
                case turns.Chain(group_id, part):
                    return turns.Chain(group_id, part + data)
                case turns.Absent() if data:
                    return turns.Unsure("a turn of the chain is missing")
                case _:
                    return found
        return turns.Unsure("the chain is divided into too many parts")

    def _read_part(
        self, turn_id: str, group_hint: str, until_ms: float
    ) -> turns.HostLookup:
        """Read a chain; it is absent only if no host can have it.

        Processes that know of new hosts may have stored it there, so hosts
        that this process did not know when it asked are asked as well.
        """
        started_ms = self._clock.now_ms()
        while True:
            hosts = self._hosts()
            found = self._read_from_hosts(hosts, turn_id, group_hint, until_ms)
            if not isinstance(found, turns.Absent):
                return found
            if not self._await_hosts(started_ms, until_ms):
                return turns.Unsure("other storage hosts may be registered")
            if set(self._hosts()) <= set(hosts):
                return found

    def _read_from_hosts(
        self,
        hosts: Sequence[replicas.StorageHost],
        turn_id: str,
        group_hint: str,
        until_ms: float,
    ) -> turns.HostLookup:
        """Read a chain from the first host that stores its last turn.

        A host that has the whole chain is preferred, so one that lacks a part
        is used only after the others were asked.
        """
        ordered = replicas.reading_order(
            group_hint, hosts, self._copies, self._failure_domain
        )
        tally = replicas.ReadTally(len(hosts), self._copies)
        chain_end: turns.ChainEnd | None = None
        for host in self.calls.move_failed_last(ordered):
            if self._clock.now_ms() >= until_ms:
                tally.record_unsure(host.name, "deadline exceeded")
                break
            if chain_end is not None and self.calls.is_failing(host):
                break
            found = self._read_from(host, turn_id, until_ms)
            match found:
                case turns.Chain():
                    return found
                case turns.ChainEnd(_, data, _):
                    if chain_end is None or len(data) > len(chain_end.data):
                        chain_end = found
                case turns.Unsure(reason):
                    self._record_unsure(tally, host, reason)
        return chain_end or tally.result()

    def _record_unsure(
        self,
        tally: replicas.ReadTally,
        host: replicas.StorageHost,
        reason: str,
    ) -> None:
        if self.calls.is_lost(host):
            tally.record_lost(host.name)
        else:
            tally.record_unsure(host.name, reason)

    def write(
        self,
        turn: turns.Turn,
        until_ms: float,
        settlement: usage_entries.Settlement | None = None,
        names: CallerNames | None = None,
    ) -> bool:
        """Write a turn to enough hosts; return whether that succeeded.

        Hosts that fail are tried again for :data:`WRITE_TIMEOUT_MS`, as the
        caller has already received the turn's events.

        :param until_ms: time at which the write must have ended.
        :param settlement: tokens that the turn used, stored beside it; hosts
            of a former release store the turn only.
        :param names: identifiers for the log, by default the turn's.
        """
        started_ms = self._clock.now_ms()
        until_ms = min(until_ms, started_ms + WRITE_TIMEOUT_MS)
        ranked = replicas.rank(turn.group_id, self._hosts())
        write = _build_write(turn, until_ms, settlement)
        plan = self._writer.write(write, ranked)
        if names is None:
            names = CallerNames(turn.turn_id, turn.previous_id)
        self._log_write(turn, names, plan, started_ms)
        return plan.is_complete

    def _read_from(
        self, host: replicas.StorageHost, turn_id: str, until_ms: float
    ) -> turns.HostLookup:
        timeout_ms = self._read_timeout_ms(host, until_ms)
        body = messages.encode_names([turn_id])
        try:
            answer = self.calls.call(host, peers.CHAIN_PATH, body, timeout_ms)
            return messages.decode_lookup(answer)
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
        ) as error:
            self.calls.record_failure(host, error)
            return turns.Unsure(str(error))

    def _log_write(
        self,
        turn: turns.Turn,
        names: CallerNames,
        plan: replicas.WritePlan,
        started_ms: float,
    ) -> None:
        event, level = events.Event.TURN_KEPT, logging.INFO
        if not plan.is_complete:
            event, level = events.Event.TURN_NOT_KEPT, logging.WARNING
        events.log(
            event,
            level,
            **names.log_fields(),
            group_id=turn.group_id,
            hosts=plan.written_hosts,
            retention_ms=turn.retention_ms,
            duration_ms=round(self._clock.now_ms() - started_ms, 1),
        )


def _build_write(
    turn: turns.Turn,
    until_ms: float,
    settlement: usage_entries.Settlement | None,
) -> replica_writer.Write:
    keep = replica_writer.Call(
        peers.KEEP_TURN_PATH, messages.encode_turn(turn)
    )
    if settlement is None:
        return replica_writer.Write(keep, until_ms)
    settled = messages.SettledTurn(turn, settlement)
    body = messages.encode_settled_turn(settled)
    keep_settled = replica_writer.Call(peers.KEEP_SETTLED_TURN_PATH, body)
    return replica_writer.Write(keep_settled, until_ms, former=keep)


class CallerNames(NamedTuple):
    """Identifiers of a turn and of the one before it, as the caller sent them.

    The log has these; turns are stored under the identifiers of a workspace,
    whose name is empty if there is none.
    """

    request_id: str
    previous_turn_id: str
    workspace: str = ""

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of a log line about the turn."""
        fields = self._asdict()
        if not self.workspace:
            del fields["workspace"]
        return fields


class Reservation(NamedTuple):
    """Tokens of a program's budget that a turn may use."""

    program_id: str
    reservation_id: str


class TurnRecorder:
    """Recorder of a turn while its response is relayed.

    With a ``reservation``, the tokens that the turn used are stored beside
    it.

    :param conversations: stores the turn when it is complete.
    :param turn: turn without its output.
    :param output: collects the events of the response.
    :param names: identifiers for the log.
    """

    def __init__(
        self,
        conversations: ConversationStore,
        turn: turns.Turn,
        output: stream_output.StreamOutput,
        names: CallerNames | None = None,
    ) -> None:
        self._names = names
        self._conversations = conversations
        self._turn = turn
        self._output = output
        self.reservation: Reservation | None = None

    def add(self, data: bytes) -> None:
        """Append a part of the response."""
        self._output.add(data)

    def write(self, until_ms: float, used_tokens: int) -> bool:
        """Store the turn; return whether its response may end as complete.

        :raises OutputTooLongError: the response is too long to store.
        """
        turn = self._turn._replace(output=self._output.data())
        settlement = None
        if self.reservation is not None:
            settlement = usage_entries.Settlement(
                *self.reservation, used_tokens
            )
        return self._conversations.write(
            turn, until_ms, settlement, self._names
        )
