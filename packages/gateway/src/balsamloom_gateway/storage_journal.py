"""Journal of usage entries on the disks of the storage hosts."""

from __future__ import annotations

import concurrent.futures
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

from balsamloom_conversations import messages, replicas, usage_entries
from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    peers,
    replica_writer,
    storage_calls,
    usage_journal,
)

# A turn waits for a write, and a budget holder for a read.
WRITE_TIMEOUT_MS = 100.0
HEDGE_DELAY_MS = 30.0
READ_TIMEOUT_MS = 100.0
# Each thread waits for one host at a time.
WRITER_THREADS = 24
READER_THREADS = 32

_Answer = concurrent.futures.Future[usage_entries.StoredUsage | None]


class StorageJournal:
    """Journal on storage hosts.

    Each entry lies on ``copies`` hosts. A read asks all hosts, so one of them
    returns the entry if fewer than ``copies`` cannot.

    :param hosts: returns the registered storage hosts.
    :param calls: calls to storage hosts.
    :param clock: time source.
    :param copies: number of hosts that must store an entry.
    :param has_hosts_read: whether the registrations have been read.
    """

    def __init__(
        self,
        hosts: Callable[[], list[replicas.StorageHost]],
        calls: storage_calls.StorageCalls,
        clock: clocks.Clock,
        copies: int,
        has_hosts_read: Callable[[], bool],
    ) -> None:
        self._hosts = hosts
        self._calls = calls
        self._clock = clock
        self._copies = copies
        self._has_hosts_read = has_hosts_read
        # Reads of many programs must not hold up the write of a turn.
        self._readers = concurrent.futures.ThreadPoolExecutor(
            READER_THREADS, "usage-reader"
        )
        writers = concurrent.futures.ThreadPoolExecutor(
            WRITER_THREADS, "usage-writer"
        )
        self._writer = replica_writer.ReplicaWriter(
            calls, clock, copies, writers, HEDGE_DELAY_MS
        )

    def write(self, entries: Sequence[usage_journal.UsageEntry]) -> bool:
        """Write entries; return whether they are durable now."""
        if not entries:
            return True
        hosts = self._hosts()
        if len(hosts) < self._copies:
            return False
        started_ms = self._clock.now_ms()
        body = messages.encode_usage_entries(entries)
        write = replica_writer.Write(
            replica_writer.Call(peers.WRITE_USAGE_PATH, body),
            started_ms + WRITE_TIMEOUT_MS,
        )
        ranked = replicas.rank(entries[0].holder_id, hosts)
        plan = self._writer.write(write, ranked)
        if not plan.is_complete:
            events.log(
                events.Event.USAGE_NOT_WRITTEN,
                logging.WARNING,
                programs=sorted({entry.program_id for entry in entries}),
                hosts=plan.written_hosts,
                duration_ms=round(self._clock.now_ms() - started_ms, 1),
            )
        return plan.is_complete

    def read(self, program_id: str) -> usage_journal.JournalAnswer:
        """Return the entries of a program."""
        hosts = self._hosts()
        answers = self._ask(program_id, hosts)
        missing = self._missing(hosts, answers)
        is_complete = self._has_hosts_read() and len(missing) < self._copies
        if not is_complete:
            events.log(
                events.Event.USAGE_READ_INCOMPLETE,
                logging.WARNING,
                program_id=program_id,
                hosts=sorted(host.name for host in missing),
            )
        return usage_journal.JournalAnswer(
            _newest(answers.values()),
            is_complete,
            _settlements(answers.values()),
        )

    def _ask(
        self, program_id: str, hosts: Sequence[replicas.StorageHost]
    ) -> dict[replicas.StorageHost, usage_entries.StoredUsage]:
        """Ask hosts until enough of them have answered.

        The last ones are asked if the others are slow or lack entries.

        :return: answers by host.
        """
        started_ms = self._clock.now_ms()
        until_ms = started_ms + READ_TIMEOUT_MS
        ordered = self._calls.move_failed_last(hosts)
        spare = max(self._copies - 1, 0)
        stages = (ordered[: len(ordered) - spare], ordered)
        limits_ms = (started_ms + HEDGE_DELAY_MS, until_ms)
        running: dict[_Answer, replicas.StorageHost] = {}
        answers: dict[replicas.StorageHost, usage_entries.StoredUsage] = {}
        for stage, limit_ms in zip(stages, limits_ms, strict=True):
            for host in stage:
                if host not in running.values():
                    future = self._readers.submit(
                        self._ask_host, program_id, host, until_ms
                    )
                    running[future] = host
            self._collect(running, answers, hosts, limit_ms)
            if len(self._missing(hosts, answers)) < self._copies:
                break
        for future in running:
            future.cancel()
        return answers

    def _collect(
        self,
        running: Mapping[_Answer, replicas.StorageHost],
        answers: dict[replicas.StorageHost, usage_entries.StoredUsage],
        hosts: Sequence[replicas.StorageHost],
        until_ms: float,
    ) -> None:
        """Add answers until they suffice, all have come or time is over."""
        left_ms = max(until_ms - self._clock.now_ms(), 0.0)
        try:
            for future in concurrent.futures.as_completed(
                running, left_ms / clocks.MS_PER_S
            ):
                usage = future.result()
                if usage is not None:
                    answers[running[future]] = usage
                if len(self._missing(hosts, answers)) < self._copies:
                    return
        except TimeoutError:
            return

    def _ask_host(
        self, program_id: str, host: replicas.StorageHost, until_ms: float
    ) -> usage_entries.StoredUsage | None:
        """Return the usage at one host; ``None`` if it does not answer."""
        left_ms = max(until_ms - self._clock.now_ms(), 1.0)
        body = messages.encode_names([program_id])
        try:
            answer = self._calls.call(
                host, peers.READ_USAGE_PATH, body, left_ms
            )
            return messages.decode_usage(answer)
        except peers.PeerPathUnknownError:
            # A host of a former release stores no entries.
            return usage_entries.StoredUsage((), is_complete=True)
        except (
            peers.PeerUnavailableError,
            messages.InvalidMessageError,
        ) as error:
            self._calls.record_failure(host, error)
            return None

    def _missing(
        self,
        hosts: Iterable[replicas.StorageHost],
        answers: Mapping[replicas.StorageHost, usage_entries.StoredUsage],
    ) -> list[replicas.StorageHost]:
        """Return the hosts that may have entries which the others lack."""
        found = [usage for usage in answers.values() if usage.is_complete]
        replaced = {name for usage in found for name in usage.replaced_hosts}
        complete = {
            host for host, usage in answers.items() if usage.is_complete
        }
        return [
            host
            for host in hosts
            if host not in complete and host.name not in replaced
        ]


def _newest(
    answers: Iterable[usage_entries.StoredUsage],
) -> tuple[usage_journal.UsageEntry, ...]:
    """Return the newest entry of each holder."""
    newest: dict[str, usage_journal.UsageEntry] = {}
    for usage in answers:
        for entry in usage.entries:
            found = newest.get(entry.holder_id)
            if found is None or entry.sequence > found.sequence:
                newest[entry.holder_id] = entry
    return tuple(newest.values())


def _settlements(
    answers: Iterable[usage_entries.StoredUsage],
) -> dict[str, int]:
    """Return the tokens of all settled reservations."""
    found: dict[str, int] = {}
    for usage in answers:
        found.update(usage.settlements)
    return found
