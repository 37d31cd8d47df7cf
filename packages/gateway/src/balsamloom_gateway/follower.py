"""Keeps this process's copy of the store's records up to date."""

from __future__ import annotations

import logging
import math
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    callbacks,
    feed,
    fleet,
    interfaces,
    membership,
    peers,
    traffic,
)

PEER_TIMEOUT_MS = 300.0
MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 1_000.0
# Members asked at most while the store does not answer this process.
MAX_FALLBACK_MEMBERS = 2
# A member's copy that is older than this many of its reading intervals is
# not followed.
MAX_SOURCE_AGE_INTERVALS = 2.5
# A member that was not usable as a source is tried again after this time.
SOURCE_RETRY_INTERVAL_MS = 3_000.0
# Parts of the bound on a view's age for one reading.
STORE_INTERVAL_FRACTION = 0.3
PEER_INTERVAL_FRACTION = 0.2
# The store watches all keys, so that one call serves all kinds of records.
ALL_KEYS = ""


class Intervals(NamedTuple):
    """Pauses between readings."""

    store_ms: float
    peer_ms: float


def intervals(bound_ms: float) -> Intervals:
    """Return the pauses that keep a view within a bound.

    :param bound_ms: time within which changes must be known everywhere.
    """
    return Intervals(
        bound_ms * STORE_INTERVAL_FRACTION, bound_ms * PEER_INTERVAL_FRACTION
    )


class Follower:
    """Reads changes from the store or from another member.

    :param name: name of this member.
    :param store: platform's store.
    :param records: keys of the records.
    :param copy: copy of the records that is passed on.
    :param view: takes the changes.
    :param clients: other members.
    :param clock: time source.
    :param intervals: pauses between readings.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        copy: feed.Feed,
        view: fleet.Fleet,
        clients: peers.PeerClients,
        clock: clocks.Clock,
        intervals: Intervals,
    ) -> None:
        self._name = name
        self._store = store
        self._records = records
        self._feed = copy
        self._fleet = view
        self._clients = clients
        self._clock = clock
        self._intervals = intervals
        self._stopped = threading.Event()
        # Epoch and cursor of each member's feed that was read.
        self._cursors: dict[str, tuple[str, int]] = {}
        self._source = "none"
        self._source_retry_at_ms = -math.inf
        self._store_retry_at_ms = -math.inf
        self._random = random.Random(name)
        self._failures = 0
        self._must_list = True
        self._may_read_stale = True
        self.after_read: Callable[[], None] = callbacks.ignore
        self.on_outage_at_start: Callable[[], None] = callbacks.ignore

    def run(self) -> None:
        """Read until :meth:`stop`."""
        while not self._stopped.is_set():
            pause_ms = self.read_once()
            self._fleet.update_age(self._feed.age_ms(), self._propagation_ms())
            self.after_read()
            self._clock.wait(self._stopped, pause_ms)

    def stop(self) -> None:
        """Let :meth:`run` end."""
        self._stopped.set()

    def read_once(self) -> float:
        """Read once and return the pause until the next reading."""
        members = self._fleet.members()
        source = membership.source_of(self._name, members)
        now_ms = self._clock.now_ms()
        if source is not None and now_ms >= self._source_retry_at_ms:
            if self._read_peer(source):
                return self._intervals.peer_ms
            self._source_retry_at_ms = now_ms + SOURCE_RETRY_INTERVAL_MS
        if now_ms >= self._store_retry_at_ms and self._read_store():
            spent_ms = self._clock.now_ms() - now_ms
            return max(self._intervals.store_ms - spent_ms, 0.0)
        return self._read_fallback(members)

    def _propagation_ms(self) -> float:
        """Return how long a change may take from the store to here."""
        level = membership.level_of(self._name, self._fleet.members())
        return level * self._intervals.peer_ms

    def _read_fallback(self, members: list[traffic.Member]) -> float:
        """Read from any member that is ahead; return the pause.

        The store may turn away this process and serve others.
        """
        others = [member for member in members if member.name != self._name]
        count = min(MAX_FALLBACK_MEMBERS, len(others))
        for member in self._random.sample(others, count):
            if self._read_peer(member):
                return self._intervals.peer_ms
        return max(
            self._store_retry_at_ms - self._clock.now_ms(),
            MIN_RETRY_MS,
        )

    def _read_peer(self, source: traffic.Member) -> bool:
        """Read from a member; return whether its copy is usable."""
        epoch, cursor = self._cursors.get(source.name, ("", 0))
        body = {
            "epoch": epoch,
            "cursor": cursor,
            "revision": self._feed.store_revision,
        }
        sent_ms = self._clock.now_ms()
        try:
            answer = self._clients.call(
                source.peer_address, peers.FEED_PATH, body, PEER_TIMEOUT_MS
            )
            changes = feed.decode_changes(answer)
            unchanged = [str(key) for key in answer["unchanged"]]
            age_ms = float(answer["age_ms"])
            revision = int(answer["store_revision"])
            position = str(answer["epoch"]), int(answer["cursor"])
        except (
            peers.PeerUnavailableError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            self._log_source(source.name, "unavailable", str(error))
            return False
        if position[0] != epoch and revision >= self._feed.store_revision:
            items = [
                change
                for change in changes
                if isinstance(change, interfaces.Item)
            ]
            self._fleet.apply(self._feed.replace(items, revision, unchanged))
        self._fleet.apply(self._feed.apply(changes))
        self._cursors[source.name] = position
        self._feed.record_read(revision, sent_ms - age_ms)
        self._must_list = False
        stale_ms = MAX_SOURCE_AGE_INTERVALS * self._intervals.store_ms
        if age_ms > stale_ms:
            self._log_source(source.name, "stale", f"age {age_ms:.0f} ms")
            return False
        self._log_source(source.name, "in use", "")
        return True

    def _read_store(self) -> bool:
        """Read from the store; return whether it answered."""
        try:
            if self._must_list:
                self._list_all()
            else:
                self._watch()
        except interfaces.HistoryCompactedError:
            self._must_list = True
            self._may_read_stale = False
            self._log_source("store", "history gone", "listing all records")
            return self._read_store()
        except interfaces.StoreError as error:
            if not self._failures and not self._feed.store_revision:
                self.on_outage_at_start()
            self._failures += 1
            self._log_source("store", "unavailable", str(error))
            pause_ms = MIN_RETRY_MS * (1 << min(self._failures, 6))
            pause_ms = min(pause_ms, MAX_RETRY_MS)
            self._store_retry_at_ms = self._clock.now_ms() + pause_ms
            return False
        self._failures = 0
        self._log_source("store", "in use", "")
        return True

    def _list_all(self) -> None:
        """Read all records; changes since then come with the next watch."""
        started_ms = self._clock.now_ms()
        items: list[interfaces.Item] = []
        revisions = []
        for prefix in self._records.prefixes:
            after = ""
            while True:
                page = self._store.list_page(
                    prefix, after, self._may_read_stale
                )
                items.extend(page.items)
                revisions.append(page.store_revision)
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        revision = min(revisions)
        if revision < self._feed.store_revision and self._may_read_stale:
            # Another source was ahead of this old reading.
            self._may_read_stale = False
            self._list_all()
            return
        self._fleet.apply(self._feed.replace(items, revision))
        if not self._may_read_stale:
            self._feed.record_read(revision, started_ms)
        else:
            self._feed.store_revision = revision
        self._must_list = False
        if self._may_read_stale and not self._read_source():
            self._watch()

    def _read_source(self) -> bool:
        """Learn from another member what an old listing lacks, if possible.

        A fleet that starts would press on the store otherwise.
        """
        source = membership.source_of(self._name, self._fleet.members())
        return source is not None and self._read_peer(source)

    def _watch(self) -> None:
        started_ms = self._clock.now_ms()
        wait_ms = int(self._intervals.store_ms)
        found = self._store.watch(ALL_KEYS, self._feed.store_revision, wait_ms)
        changes = [
            change
            for change in found.changes
            if self._records.kind(change.key) != interfaces.IgnoredRecord()
        ]
        self._fleet.apply(self._feed.apply(changes))
        self._feed.record_read(found.store_revision, started_ms)

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
