"""Reading of the store's records from another member's copy."""

from __future__ import annotations

from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    feed,
    fleet,
    interfaces,
    peers,
    read_log,
    traffic,
)

PEER_TIMEOUT_MS = 300.0


class Reading(NamedTuple):
    """Outcome of a read from a member.

    ``age_ms`` is the age of the member's copy, ``held_ms`` the time for which
    the member waited for news.
    """

    age_ms: float
    held_ms: float
    has_news: bool


class _Answer(NamedTuple):
    """Decoded :class:`feed.FeedAnswer`."""

    position: feed.Position
    changes: list[interfaces.Change]
    unchanged: list[str]
    store_revision: int
    age_ms: float
    held_ms: float


class MemberReader:
    """Adds other members' copies of the records to this process's copy.

    :param copy: copy of the records.
    :param view: view that the changes are applied to.
    :param clients: clients of the other members.
    :param clock: time source.
    """

    def __init__(
        self,
        copy: feed.Feed,
        view: fleet.Fleet,
        clients: peers.PeerClients,
        clock: clocks.Clock,
    ) -> None:
        self._feed = copy
        self._fleet = view
        self._clients = clients
        self._clock = clock
        # Position after the last read from each member.
        self._positions: dict[str, feed.Position] = {}

    def read(self, source: traffic.Member, wait_ms: float = 0.0) -> Reading:
        """Read what a member's copy has beyond this one.

        :param wait_ms: time for which the member may wait for news.
        :raises PeerUnavailableError: there is no usable answer.
        """
        known = self._positions.get(source.name, feed.NO_POSITION)
        sent_ms = self._clock.now_ms()
        answer = self._call(source, known, wait_ms)
        if answer.changes:
            read_log.log_read(
                self._feed,
                self._clock,
                source.name,
                answer.store_revision,
                len(answer.changes),
                sent_ms,
            )
        self._apply(answer, known)
        self._positions[source.name] = answer.position
        now_ms = self._clock.now_ms()
        # The member began to wait after the call was sent. This host's clock
        # may have stood still meanwhile.
        answered_ms = min(sent_ms + answer.held_ms, now_ms)
        fresh_at_ms = answered_ms - answer.age_ms
        self._feed.record_read(answer.store_revision, fresh_at_ms)
        return Reading(
            now_ms - fresh_at_ms, answer.held_ms, answer.position != known
        )

    def _call(
        self, source: traffic.Member, known: feed.Position, wait_ms: float
    ) -> _Answer:
        body = {
            "epoch": known.epoch,
            "cursor": known.cursor,
            "revision": self._feed.store_revision,
            "reads": known.reads,
            "wait_ms": wait_ms,
        }
        timeout_ms = wait_ms + PEER_TIMEOUT_MS
        answer = self._clients.call(
            source.peer_address, peers.FEED_PATH, body, timeout_ms
        )
        try:
            return _decode(answer)
        except (ValueError, KeyError, TypeError) as error:
            raise peers.PeerUnavailableError(
                f"{source.name}: malformed answer: {error!r}"
            ) from error

    def _apply(self, answer: _Answer, known: feed.Position) -> None:
        is_other_epoch = answer.position.epoch != known.epoch
        if (
            is_other_epoch
            and answer.store_revision >= self._feed.store_revision
        ):
            items = [
                change
                for change in answer.changes
                if isinstance(change, interfaces.Item)
            ]
            self._fleet.apply(
                self._feed.replace(
                    items, answer.store_revision, answer.unchanged
                )
            )
        self._fleet.apply(self._feed.apply(answer.changes))


def _decode(answer: dict[str, Any]) -> _Answer:
    """Decode an answer, also one of a release that does not wait.

    :raises ValueError, KeyError, TypeError: it is malformed.
    """
    position = feed.Position(
        str(answer["epoch"]),
        int(answer["cursor"]),
        int(answer.get("reads", 0)),
    )
    return _Answer(
        position,
        feed.decode_changes(answer),
        [str(key) for key in answer["unchanged"]],
        int(answer["store_revision"]),
        float(answer["age_ms"]),
        float(answer.get("held_ms", 0.0)),
    )
