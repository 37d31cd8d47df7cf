"""States of backend servers, from four sources.

A backend server is leaving as soon as one source says so. The configuration,
the host list and the server's own load reports are *origins*, each with
incarnation numbers of its own; peers pass on statements together with their
origin. A statement is undone only by a newer incarnation of the same origin,
so that a stale source cannot bring a leaving server back.
"""

from __future__ import annotations

import dataclasses
import enum
import random
import threading
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_peers import messages
from balsamloom_state import partitions

MAX_FOLLOWED = 64
FOLLOWERS_PER_SERVER = 3
# News goes into each heartbeat for this long before it rotates with the rest;
# with heartbeats each 500 ms it reaches 350 members in about four rounds.
NEWS_MS = 4_000
# A server that has drained reports "serving" this often before it is
# believed; a single report may have been delayed.
SERVING_REPORTS = 2
# A process that has not seen the server drain itself believes it against its
# peers only after this many load reports, one a second and far longer than a
# report is late. Without this, a server would stay out of work for good if
# all members that saw it drain have gone.
UNSEEN_SERVING_REPORTS = 30
DEFAULT_LIMIT = 16


class Origin(enum.IntEnum):
    """Source that made a statement."""

    CONFIGURATION = 1
    HOST_LIST = 2
    LOAD_REPORT = 3


class Server(NamedTuple):
    """A backend server; ``pool`` is its model or service name."""

    server_id: str
    pool: str
    address: str
    failure_domain: str = ""


@dataclasses.dataclass
class _Statement:
    incarnation: int = 0
    is_leaving: bool = False

    def is_older_than(self, other: _Statement) -> bool:
        """Return whether the other wins; leaving wins a tie."""
        return (self.incarnation, self.is_leaving) < (
            other.incarnation,
            other.is_leaving,
        )


@dataclasses.dataclass
class _Record:
    """Statements of one origin about one server.

    ``own`` is what this process read itself, ``agreed`` the newest statement
    that it or a peer has made.
    """

    own: _Statement = dataclasses.field(default_factory=_Statement)
    agreed: _Statement = dataclasses.field(default_factory=_Statement)
    serving_reports: int = 0
    changed_at_ms: float = 0.0

    @property
    def is_leaving(self) -> bool:
        return self.own.is_leaving or self.agreed.is_leaving


Key = tuple[str, Origin]


class BackendTable:
    """What is known about backend servers.

    :param self_id: own member id.
    :param clock: source of time.
    :param on_change: called with a server id and whether it takes new work,
        whenever that changes.
    """

    def __init__(
        self,
        self_id: str,
        clock: clocks.Clock,
        on_change: Callable[[str, bool], None] | None = None,
    ) -> None:
        self._self_id = self_id
        self._clock = clock
        self._on_change = on_change
        self._lock = threading.RLock()
        self._servers: dict[str, Server] = {}
        self._records: dict[Key, _Record] = {}
        self._followed: list[str] = []
        self._members: tuple[str, ...] = (self_id,)
        self._queue: list[Key] = []

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Take over the backend servers of the configuration.

        Statements about other servers are dropped.

        :param servers: all backend servers.
        """
        with self._lock:
            former = self._servers
            self._servers = {server.server_id: server for server in servers}
            for key in list(self._records):
                if key[0] not in self._servers:
                    del self._records[key]
            if self._servers.keys() != former.keys():
                self._choose_followed()
            self._drop_unfollowed()

    def set_members(self, member_ids: Iterable[str]) -> None:
        """Take over the members, among which the servers are shared out.

        :param member_ids: all members, this process included.
        """
        members = tuple(sorted(member_ids))
        with self._lock:
            # Most versions of the map only move partitions; the choice takes
            # a hash for each server and member.
            if members != self._members:
                self._members = members
                self._choose_followed()
            self._drop_unfollowed()

    def takes_new_work(self, server_id: str) -> bool:
        """Return whether a server is known and no source says it leaves.

        :param server_id: backend server.
        """
        with self._lock:
            return server_id in self._servers and not self._is_leaving(
                server_id
            )

    def servers(self, pool: str) -> list[Server]:
        """Return the servers of a pool that take new work.

        :param pool: model or service name.
        """
        with self._lock:
            return [
                server
                for server in self._servers.values()
                if server.pool == pool
                and not self._is_leaving(server.server_id)
            ]

    def followed(self) -> list[Server]:
        """Return the servers whose load reports this process reads.

        There are at most :data:`MAX_FOLLOWED`. Each server is followed by
        :data:`FOLLOWERS_PER_SERVER` members, chosen by rendezvous hashing;
        a process over its bound keeps those for which it ranks first.
        """
        with self._lock:
            return [self._servers[name] for name in self._followed]

    def observe(
        self,
        origin: Origin,
        server_id: str,
        is_leaving: bool,
        incarnation: int | None = None,
    ) -> None:
        """Take in what this process read from a source itself.

        :param origin: source that was read.
        :param server_id: backend server.
        :param is_leaving: what the source says.
        :param incarnation: number given by the source; without one, the
            number rises at each change that this process sees.
        """
        with self._lock:
            record = self._record(server_id, origin)
            if record is None:
                return
            before = self._is_leaving(server_id)
            if incarnation is None:
                own = self._numbered(record, origin, is_leaving)
            else:
                own = _Statement(incarnation, is_leaving)
            if record.own.is_older_than(own):
                record.own = own
            self._agree(record, record.own)
            after = self._is_leaving(server_id)
        self._announce(server_id, before, after, origin)

    def merge_from_peer(self, states: Iterable[messages.ServerState]) -> None:
        """Take in the statements of a peer's heartbeat.

        :param states: statements with their origins; those about unknown
            servers or origins are ignored.
        """
        for state in states:
            if state.origin not in set(Origin):
                continue
            origin = Origin(state.origin)
            with self._lock:
                record = self._record(state.server_id, origin)
                if record is None:
                    continue
                before = self._is_leaving(state.server_id)
                said = _Statement(state.incarnation, state.is_leaving)
                self._agree(record, said)
                after = self._is_leaving(state.server_id)
            self._announce(state.server_id, before, after, origin)

    def states_for_heartbeat(
        self, limit: int = DEFAULT_LIMIT
    ) -> tuple[messages.ServerState, ...]:
        """Return statements to pass on, different ones at each call.

        Recent changes come first, up to three quarters of the limit; the
        rest of the places go round all statements, so that each gets
        through. Servers that have never been leaving need no statement.

        :param limit: largest number of statements.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            known = [
                key
                for key, record in self._records.items()
                if record.agreed.incarnation or record.agreed.is_leaving
            ]
            news = [
                key
                for key in known
                if now_ms - self._records[key].changed_at_ms < NEWS_MS
            ]
            places = min(len(news), limit - limit // 4)
            chosen = random.sample(news, places)
            chosen += self._rotated(known, chosen, limit - len(chosen))
            return tuple(self._state(key) for key in chosen)

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            return {
                "servers": len(self._servers),
                "followed": list(self._followed),
                "statements": [
                    {
                        "server_id": server_id,
                        "origin": origin.name.lower(),
                        "own": dataclasses.astuple(record.own),
                        "agreed": dataclasses.astuple(record.agreed),
                    }
                    for (server_id, origin), record in self._records.items()
                ],
            }

    def _numbered(
        self, record: _Record, origin: Origin, is_leaving: bool
    ) -> _Statement:
        newest = max(record.own.incarnation, record.agreed.incarnation)
        if is_leaving:
            record.serving_reports = 0
            if record.own.is_leaving:
                return record.own
            if record.agreed.is_leaving:
                return dataclasses.replace(record.agreed)
            return _Statement(newest + 1, True)
        if not record.is_leaving:
            return record.own
        # The end of draining counts if its start was read here too; a peer's
        # word is not undone by a report that may be late.
        wanted = UNSEEN_SERVING_REPORTS
        if record.own.is_leaving:
            wanted = SERVING_REPORTS
        elif origin is not Origin.LOAD_REPORT:
            return record.own
        record.serving_reports += 1
        if record.serving_reports < wanted:
            return record.own
        record.serving_reports = 0
        return _Statement(newest + 1, False)

    def _agree(self, record: _Record, said: _Statement) -> None:
        if record.agreed.is_older_than(said):
            record.agreed = dataclasses.replace(said)
            record.changed_at_ms = self._clock.now_ms()

    def _record(self, server_id: str, origin: Origin) -> _Record | None:
        if server_id not in self._servers:
            return None
        return self._records.setdefault((server_id, origin), _Record())

    def _is_leaving(self, server_id: str) -> bool:
        for origin in Origin:
            record = self._records.get((server_id, origin))
            if record is not None and record.is_leaving:
                return True
        return False

    def _announce(
        self, server_id: str, before: bool, after: bool, origin: Origin
    ) -> None:
        if before == after:
            return
        if after:
            events.log(
                events.Event.SERVER_LEAVING,
                server_id=server_id,
                origin=origin.name.lower(),
            )
        if self._on_change is not None:
            self._on_change(server_id, not after)

    def _rotated(
        self, known: list[Key], taken: list[Key], count: int
    ) -> list[Key]:
        """Return the next statements of the round.

        The order is shuffled for each round: with a fixed one, a peer that
        gets every nth heartbeat could see the same statements for ever.
        """
        chosen: list[Key] = []
        is_refilled = False
        while len(chosen) < count:
            if not self._queue:
                if is_refilled:
                    break
                self._queue = random.sample(known, len(known))
                is_refilled = True
                continue
            key = self._queue.pop()
            if key in self._records and key not in taken + chosen:
                chosen.append(key)
        return chosen

    def _state(self, key: Key) -> messages.ServerState:
        agreed = self._records[key].agreed
        return messages.ServerState(
            key[0], agreed.incarnation, agreed.is_leaving, int(key[1])
        )

    def _choose_followed(self) -> None:
        places = []
        for server_id in self._servers:
            order = partitions.rank(server_id, self._members)
            followers = order[:FOLLOWERS_PER_SERVER]
            if self._self_id in followers:
                places.append((followers.index(self._self_id), server_id))
        self._followed = [name for _, name in sorted(places)[:MAX_FOLLOWED]]

    def _drop_unfollowed(self) -> None:
        # Reports of other servers are no longer read here, so nothing would
        # undo what they said last; the agreed statement remains.
        for (server_id, origin), record in self._records.items():
            if origin is Origin.LOAD_REPORT and (
                server_id not in self._followed
            ):
                record.own = _Statement()
