"""Replication of the store's records to this process."""

from __future__ import annotations

import logging
import math
import random
import threading
from collections.abc import Callable

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    feed,
    fleet,
    interfaces,
    member_reader,
    membership,
    peers,
    read_schedule,
    store_reader,
    store_revisions,
    traffic,
)

MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 1_000.0
# Members tried per read while neither the source nor the store answers.
MAX_FALLBACK_MEMBERS = 2
# Pause before an unusable source is tried again.
SOURCE_RETRY_INTERVAL_MS = 3_000.0
# Pauses before a change that failed is applied again.
MIN_REAPPLY_MS = 500.0
MAX_REAPPLY_MS = 60_000.0
# Longest wait for the records of a time; a copy that is followed lags by less.
MAX_RECORDS_WAIT_MS = 2_000.0


class Follower:
    """Reads changes from the store or from another member.

    :param name: name of this member.
    :param store: platform's store.
    :param records: keys of the records.
    :param copy: feed that serves this process's copy to other members.
    :param view: view that the changes are applied to.
    :param clients: clients of the other members.
    :param clock: time source.
    :param intervals: pauses between reads.
    """

    def __init__(
        self,
        name: str,
        store: store_revisions.ObservedStore,
        records: interfaces.Records,
        copy: feed.Feed,
        view: fleet.Fleet,
        clients: peers.PeerClients,
        clock: clocks.Clock,
        intervals: read_schedule.Intervals,
    ) -> None:
        self._name = name
        self._reader = store_reader.StoreReader(
            store,
            records,
            copy,
            view,
            clock,
            intervals.observation_age_ms,
        )
        self._feed = copy
        self._fleet = view
        self._members = member_reader.MemberReader(copy, view, clients, clock)
        self._clock = clock
        self._intervals = intervals
        self._stopped = threading.Event()
        self._source = "none"
        # Whether the source was of no use when it was read last.
        self._is_source_doubtful = False
        self._source_retry_at_ms = -math.inf
        self._store_retry_at_ms = -math.inf
        self._reapply_at_ms = -math.inf
        self._reapply_pause_ms = MIN_REAPPLY_MS
        self._random = random.Random(name)
        self._failures = 0
        self._is_started = False
        self.after_read: Callable[[], None] = callbacks.ignore
        self.on_outage_at_start: Callable[[], None] = callbacks.ignore

    def run(self) -> None:
        """Read repeatedly until :meth:`stop` is called."""
        while not self._stopped.is_set():
            pause_ms = self.read_once()
            self._fleet.update_age(
                self._feed.age_ms(), self._max_propagation_ms()
            )
            self.reapply_due()
            callbacks.run_isolated(self.after_read)
            self._clock.wait(self._stopped, pause_ms)

    def stop(self) -> None:
        """Make :meth:`run` return after the current read."""
        self._stopped.set()

    def reapply_due(self) -> None:
        """Apply the whole copy again if a part of the process lacks changes.

        The copy has them already, so no further read would bring them.
        """
        now_ms = self._clock.now_ms()
        if not self._fleet.must_reapply:
            self._reapply_pause_ms = MIN_REAPPLY_MS
        elif now_ms >= self._reapply_at_ms:
            self._reapply_at_ms = now_ms + self._reapply_pause_ms
            self._reapply_pause_ms = min(
                2 * self._reapply_pause_ms, MAX_REAPPLY_MS
            )
            self._fleet.reapply(self._feed.latest())

    def await_records(self, since_ms: float, until_ms: float) -> bool:
        """Wait until this process knows all that was in the store at a time.

        It does not wait while it cannot follow the records.

        :param since_ms: the time, usually when a request arrived.
        :param until_ms: time by which the caller must have its answer.
        :return: whether what is missing here was absent then.
        """
        until_ms = min(until_ms, since_ms + MAX_RECORDS_WAIT_MS)
        if self._fleet.is_stale:
            until_ms = since_ms
        return self._feed.wait_until_known(since_ms, until_ms)

    def read_once(self) -> float:
        """Read once and return the pause until the next read in ms."""
        members = self._fleet.members()
        source = membership.source_of(self._name, members)
        now_ms = self._clock.now_ms()
        if source is not None and now_ms >= self._source_retry_at_ms:
            pause_ms = self._follow(source, self._level())
            self._is_source_doubtful = pause_ms is None
            if pause_ms is not None:
                return pause_ms
            now_ms = self._clock.now_ms()
            self._source_retry_at_ms = now_ms + SOURCE_RETRY_INTERVAL_MS
        if now_ms >= self._store_retry_at_ms:
            pause_ms = self._read_store()
            if pause_ms is not None:
                return pause_ms
        return self._read_fallback(members)

    def _level(self) -> int:
        """Return how many members pass a change on to this one."""
        return membership.level_of(self._name, self._fleet.members())

    def _max_propagation_ms(self) -> float:
        """Return how much older than one of the first reader a copy may be."""
        max_age_ms = self._intervals.max_age_ms(self._level())
        return max(max_age_ms - fleet.MAX_COPY_AGE_MS, 0.0)

    def _follow(self, source: traffic.Member, level: int) -> float | None:
        """Read from the source, which waits until it has news.

        It is not waited for if it was of no use before: meanwhile this
        process would not read the store.

        :return: the pause until the next read in ms, ``None`` if the source
            is of no use.
        """
        wait_ms = 0.0
        if not self._is_source_doubtful:
            wait_ms = self._intervals.source_wait_ms(
                level, self._feed.age_ms()
            )
        reading = self._read_member(source, wait_ms)
        if reading is None:
            return None
        is_silent = not reading.has_news and reading.held_ms > 0.0
        if is_silent or reading.age_ms > self._intervals.max_age_ms(level):
            reason = f"age {reading.age_ms:.0f} ms"
            self._log_source(source.name, "stale", reason)
            return None
        self._log_source(source.name, "in use", "")
        if reading.has_news:
            return 0.0
        return self._intervals.pause_ms(level, reading.age_ms)

    def _read_fallback(self, members: list[traffic.Member]) -> float:
        """Read from random members; return the pause until the next read.

        The store may reject calls of this process and still serve others.
        """
        others = [member for member in members if member.name != self._name]
        count = min(MAX_FALLBACK_MEMBERS, len(others))
        level = self._level()
        max_age_ms = self._intervals.max_age_ms(level)
        for member in self._random.sample(others, count):
            reading = self._read_member(member)
            if reading is not None and reading.age_ms <= max_age_ms:
                self._log_source(member.name, "in use", "")
                return self._intervals.pause_ms(level, reading.age_ms)
        return max(
            self._store_retry_at_ms - self._clock.now_ms(), MIN_RETRY_MS
        )

    def _read_member(
        self, source: traffic.Member, wait_ms: float = 0.0
    ) -> member_reader.Reading | None:
        """Read from a member; return ``None`` if it does not answer."""
        try:
            reading = self._members.read(source, wait_ms)
        except peers.PeerUnavailableError as error:
            self._log_source(source.name, "unavailable", str(error))
            return None
        self._reader.must_list = False
        return reading

    def _read_store(self) -> float | None:
        """Read from the store.

        :return: the pause until the next read in ms, ``None`` if it failed.
        """
        started_ms = self._clock.now_ms()
        try:
            is_next_due = self._read_available()
        except interfaces.StoreError as error:
            self._record_store_failure(error)
            return None
        self._failures = 0
        self._log_source("store", "in use", "")
        if is_next_due:
            return 0.0
        spent_ms = self._clock.now_ms() - started_ms
        return max(self._intervals.store_ms - spent_ms, 0.0)

    def _read_available(self) -> bool:
        """Read what the store has.

        :return: whether the next read is due at once, as the store waited in
            vain or the source was read, which can be waited for.
        """
        if self._reader.must_list and not self._is_started:
            self._reader.list_stale()
            self._is_started = True
            # What the listing lacks is read from the source or the store.
            if self._read_source():
                return True
        wait_ms = self._intervals.store_wait_ms(self._feed.age_ms())
        return self._reader.read(wait_ms)

    def _record_store_failure(self, error: interfaces.StoreError) -> None:
        if not self._failures and not self._feed.store_revision:
            self.on_outage_at_start()
        self._failures += 1
        self._log_source("store", "unavailable", str(error))
        pause_ms = MIN_RETRY_MS * (1 << min(self._failures, 6))
        pause_ms = min(pause_ms, MAX_RETRY_MS)
        self._store_retry_at_ms = self._clock.now_ms() + pause_ms

    def _read_source(self) -> bool:
        """Read from the source, if there is one; return whether it worked.

        Used after a stale listing at startup: members that start together
        would overload the store if each read the missing changes there.
        """
        source = membership.source_of(self._name, self._fleet.members())
        if source is None:
            return False
        reading = self._read_member(source)
        max_age_ms = self._intervals.max_age_ms(self._level())
        return reading is not None and reading.age_ms <= max_age_ms

    def _log_source(self, source: str, state: str, reason: str) -> None:
        described = f"{source} {state}"
        if described == self._source:
            return
        self._source = described
        level = logging.INFO if state == "in use" else logging.WARNING
        events.log(
            events.Event.SOURCE_CHANGED,
            level,
            source=source,
            state=state,
            reason=reason,
            age_ms=self._feed.age_ms(),
            store_revision=self._feed.store_revision,
        )
