"""The configuration revision in force in one process.

The revision only rises. It comes from the store, if this process is one of
its failure domain's watchers, and from peers that are ahead otherwise.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_configuration import keys
from balsamloom_core import clock as clocks
from balsamloom_core import errors, events
from balsamloom_platform import store as stores

# A watch that fails without notice is replaced after this time, which leaves
# half of the 9 s that a change may take.
WATCH_TIMEOUT_MS = 4_000
READ_TIMEOUT_MS = 2_000
FIRST_BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 3_000
IDLE_CHECK_MS = 500
# Heartbeats repeat an offer twice a second; a document that failed its checks
# is not fetched again at that rate.
REFUSED_PAUSE_MS = 5_000

Fetch = Callable[[int], bytes]
"""Asks a peer for :func:`documents.encode` of what changed since a revision.

The whole document is asked for with zero. A failure raises an exception.
"""


class PeerOffer(NamedTuple):
    """A revision that a peer holds and the way to get it."""

    revision: int
    fetch: Fetch


def _no_peers() -> Iterable[PeerOffer]:
    return ()


class ActiveConfiguration:
    """Holds the highest configuration seen by this process.

    :param store: key-value service.
    :param clock: time for waits.
    :param is_watcher: whether this process is one of the two that watch the
        store for its failure domain; asked again before each watch.
    :param peer_offers: what peers hold, asked when the store is unavailable
        and nothing is in force yet.
    :param setting_schemas: schemas of ``routing`` and ``limits``.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        is_watcher: Callable[[], bool],
        peer_offers: Callable[[], Iterable[PeerOffer]] = _no_peers,
        setting_schemas: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._is_watcher = is_watcher
        self._peer_offers = peer_offers
        self._schemas = setting_schemas
        self._changed = threading.Condition()
        self._taking = threading.RLock()
        self._document = documents.EMPTY
        self._callbacks: list[Callable[[documents.Document], None]] = []
        self._offer: PeerOffer | None = None
        self._refused: dict[int, float] = {}
        # Peers that are behind mostly ask for the same step.
        self._encoded: dict[int, bytes] = {}
        self._watch_gaps = 0
        self._ended = threading.Event()
        self._offered = threading.Event()

    @property
    def document(self) -> documents.Document:
        """Return the document in force, revision zero if there is none."""
        with self._changed:
            return self._document

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.document.revision

    def start(self) -> None:
        """Start the threads that follow the store and the peers."""
        for name, follow in (
            ("configuration-store", self._follow_store),
            ("configuration-peers", self._follow_peers),
        ):
            threading.Thread(target=follow, name=name, daemon=True).start()

    def stop(self) -> None:
        """End the threads; a waiting watch ends at its timeout."""
        self._ended.set()
        self._offered.set()

    def on_change(
        self, callback: Callable[[documents.Document], None]
    ) -> None:
        """Call a function with each document before it counts as in force.

        If a document is in force already, the function is called with it.

        :param callback: takes the new document.
        """
        with self._taking:
            self._callbacks.append(callback)
            if self.revision:
                self._call(callback, self.document)

    def offer(self, revision: int, fetch: Fetch) -> bool:
        """Take note of a peer's revision; never blocks.

        :param revision: revision in the peer's heartbeat.
        :param fetch: asks that peer for its document.
        :return: whether the revision is higher than the one in force.
        """
        with self._changed:
            if revision <= self._document.revision:
                return False
            if self._clock.now_ms() < self._refused.get(revision, 0):
                return True
            if self._offer is None or revision >= self._offer.revision:
                self._offer = PeerOffer(revision, fetch)
        self._offered.set()
        return True

    def wait_for(self, revision: int, timeout_ms: float) -> bool:
        """Wait until a revision or a higher one is in force.

        :param revision: lowest revision to wait for.
        :param timeout_ms: longest wait.
        :return: whether it is in force.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while self._document.revision < revision:
                remaining_ms = end_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return False
                self._clock.wait_condition(self._changed, remaining_ms)
            return True

    def encoded(self, since: int = 0) -> bytes:
        """Return what a peer asks for.

        :param since: revision that the peer holds, zero for everything.
        """
        with self._changed:
            document = self._document
            value = self._encoded.get(since)
        if value is None:
            value = documents.encode(document, since)
            with self._changed:
                if document is self._document:
                    self._encoded[since] = value
        return value

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        with self._changed:
            return {
                "revision": self._document.revision,
                "digest": documents.digest(self._document),
                "sections": {
                    name: section.revision
                    for name, section in self._document.sections.items()
                },
                "offered": self._offer.revision if self._offer else None,
                "refused": sorted(self._refused),
                "watch_gaps": self._watch_gaps,
            }

    def activate(self, document: documents.Document, source: str) -> bool:
        """Put a document into force if it is newer and valid.

        :param document: document from the store or a peer.
        :param source: where it comes from, for the log.
        :return: whether it is in force now.
        """
        with self._taking:
            if document.revision <= self.revision:
                self._note_older(document, source)
                return False
            if not self._is_valid(document, source):
                return False
            for callback in self._callbacks:
                self._call(callback, document)
            with self._changed:
                self._document = document
                self._encoded.clear()
                self._changed.notify_all()
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            revision=document.revision,
            source=source,
        )
        return True

    def _note_older(self, document: documents.Document, source: str) -> None:
        known = self.document
        if document == known:
            return
        events.log(
            events.Event.CONFIGURATION_REJECTED,
            logging.WARNING,
            revision=document.revision,
            in_force=known.revision,
            source=source,
            problem="the revision in force is not lower, and it differs",
        )

    def _is_valid(self, document: documents.Document, source: str) -> bool:
        try:
            found = [
                str(problem)
                for problem in documents.check(
                    document, self._schemas, self.document
                )
            ]
        except errors.BalsamloomError as error:
            found = [error.message]
        if not found:
            return True
        now_ms = self._clock.now_ms()
        with self._changed:
            self._refused = {
                revision: until_ms
                for revision, until_ms in self._refused.items()
                if until_ms > now_ms
            }
            self._refused[document.revision] = now_ms + REFUSED_PAUSE_MS
        events.log(
            events.Event.CONFIGURATION_REJECTED,
            logging.WARNING,
            revision=document.revision,
            in_force=self.revision,
            source=source,
            problem=found[0],
        )
        return False

    def _call(
        self,
        callback: Callable[[documents.Document], None],
        document: documents.Document,
    ) -> None:
        try:
            callback(document)
        except Exception as error:
            # One part that fails must not keep the others on the old
            # revision.
            events.log(
                events.Event.CONFIGURATION_CALLBACK_FAILED,
                logging.WARNING,
                cause=repr(error),
                revision=document.revision,
            )

    def _follow_store(self) -> None:
        backoff_ms: float = FIRST_BACKOFF_MS
        is_read = False
        while not self._ended.is_set():
            is_started = is_read or self.revision > 0
            if is_started and not self._is_watcher():
                self._clock.wait(self._ended, IDLE_CHECK_MS)
                continue
            start_ms = self._clock.now_ms()
            try:
                next_revision = self._catch_up()
                is_read = True
                if self._is_watcher():
                    self._watch(next_revision)
            except errors.BalsamloomError as error:
                self._watch_gaps += 1
                events.log(
                    events.Event.STORE_UNAVAILABLE,
                    cause=error.message,
                    use="configuration",
                )
                self._ask_peers()
            if self._clock.now_ms() - start_ms >= WATCH_TIMEOUT_MS / 2:
                backoff_ms = FIRST_BACKOFF_MS
            # Watches that the service ends at once must not follow each other
            # without a pause.
            self._clock.wait(self._ended, random.uniform(0, backoff_ms))
            backoff_ms = min(2 * backoff_ms, LONGEST_BACKOFF_MS)

    def _catch_up(self) -> int:
        """Read what is newer; return the store revision to watch from."""
        item = self._store.get(keys.HEAD, timeout_ms=READ_TIMEOUT_MS)
        if item is None:
            return 0
        self._take_head(item)
        return item.mod_revision + 1

    def _take_head(self, item: stores.Item) -> None:
        head = keys.decode_head(item)
        if head.revision < self.revision:
            events.log(
                events.Event.CONFIGURATION_REJECTED,
                logging.WARNING,
                revision=head.revision,
                in_force=self.revision,
                source="store",
                problem="the head in the store is older",
            )
        if head.revision <= self.revision:
            return
        document = self._read_one(head) or self._read_all()
        self.activate(document, "store")

    def _read_one(self, head: keys.HeadValue) -> documents.Document | None:
        """Read the one section that makes up the step to the head."""
        known = self.document
        if head.revision != known.revision + 1:
            return None
        item = self._store.get(
            keys.section_key(head.section), timeout_ms=READ_TIMEOUT_MS
        )
        if item is None:
            return None
        section = keys.decode_section(item)
        if section.revision != head.revision:
            # Changed again; other sections may have changed in between.
            return None
        document = known.replace(head.section, section)
        # The document in force may come from before the store was restored.
        is_next = documents.digest(document) == head.digest
        return document if is_next else None

    def _read_all(self) -> documents.Document:
        return keys.read(self._store, READ_TIMEOUT_MS).document

    def _watch(self, from_revision: int) -> None:
        for changes in self._watch_changes(from_revision):
            item = changes[-1].item
            if item is not None:
                self._take_head(item)
            if self._ended.is_set() or not self._is_watcher():
                return

    def _watch_changes(
        self, from_revision: int
    ) -> Iterator[list[stores.Change]]:
        # Zero means "from now on" to the service and would skip a first edit
        # made since the head was read as absent.
        return self._store.watch(
            keys.HEAD, max(from_revision, 1), WATCH_TIMEOUT_MS
        )

    def _ask_peers(self) -> None:
        if self.revision:
            return
        try:
            for found in self._peer_offers():
                self.offer(found.revision, found.fetch)
        except Exception as error:
            events.log(
                events.Event.CONFIGURATION_FETCH_FAILED,
                logging.WARNING,
                cause=repr(error),
            )

    def _follow_peers(self) -> None:
        while not self._ended.is_set():
            if not self._clock.wait(self._offered, IDLE_CHECK_MS):
                continue
            self._offered.clear()
            with self._changed:
                offer, self._offer = self._offer, None
            if offer is not None and offer.revision > self.revision:
                self._fetch(offer)

    def _fetch(self, offer: PeerOffer) -> None:
        known = self.document
        try:
            self.activate(self._asked(offer, known), "peer")
        except Exception as error:
            # The next heartbeat repeats the offer.
            events.log(
                events.Event.CONFIGURATION_FETCH_FAILED,
                logging.WARNING,
                cause=repr(error),
                revision=offer.revision,
            )

    def _asked(
        self, offer: PeerOffer, known: documents.Document
    ) -> documents.Document:
        if known.revision:
            try:
                value = offer.fetch(known.revision)
                return documents.decode(value, known)
            except errors.BalsamloomError:
                # The two documents do not share this revision, as after a
                # store was restored; the whole document does not need it.
                pass
        return documents.decode(offer.fetch(0), documents.EMPTY)
