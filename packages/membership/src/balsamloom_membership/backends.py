"""States of backend servers, merged from four sources.

A backend server is leaving as soon as one source reports it. Three sources are
*origins* with their own incarnation numbers: the configuration, the host list
and the server's load reports. Peers forward states together with their origin.
Only a newer incarnation from the same origin overrides a state, so a stale
source cannot return a leaving server to service.
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
# A changed state has priority in heartbeats for this long, then rotates with
# the rest. At one heartbeat per 500 ms it reaches 350 members in about four
# rounds.
RECENT_CHANGE_MS = 4_000
# Consecutive "serving" reports that end a drain; a single report may have
# been delayed.
MIN_SERVING_REPORTS = 2
# Required from a server whose drain is known only from peers. Reports come
# once a second, so 30 exceed any report delay by far. If these did not end
# the drain, a server would stay out of service forever once all members that
# read the drain are lost.
MIN_SERVING_REPORTS_DRAIN_UNSEEN = 30
MAX_STATES_PER_HEARTBEAT = 16


class Origin(enum.IntEnum):
    """Source of a reported state."""

    CONFIGURATION = 1
    HOST_LIST = 2
    LOAD_REPORT = 3


class Server(NamedTuple):
    """Backend server; ``pool`` is its model or service name."""

    server_id: str
    pool: str
    address: str
    failure_domain: str = ""


@dataclasses.dataclass
class _State:
    incarnation: int = 0
    is_leaving: bool = False

    def is_older_than(self, other: _State) -> bool:
        """Return whether the other state wins; leaving wins a tie."""
        return (self.incarnation, self.is_leaving) < (
            other.incarnation,
            other.is_leaving,
        )


@dataclasses.dataclass
class _Record:
    """States of one server as reported by one origin.

    ``own`` is the state that this process read, ``agreed`` the newest state
    known to it or reported by a peer.
    """

    own: _State = dataclasses.field(default_factory=_State)
    agreed: _State = dataclasses.field(default_factory=_State)
    serving_reports: int = 0
    changed_at_ms: float = 0.0

    @property
    def is_leaving(self) -> bool:
        return self.own.is_leaving or self.agreed.is_leaving


_Key = tuple[str, Origin]


class BackendTable:
    """Table of backend servers and their states.

    :param self_id: own member id.
    :param clock: source of time.
    :param on_change: called with a server id and whether the server takes
        new work, whenever that changes.
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
        self._records: dict[_Key, _Record] = {}
        self._followed: list[str] = []
        self._members: tuple[str, ...] = (self_id,)
        self._rotation: list[_Key] = []

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Replace the known backend servers.

        States of servers that are not among them are removed.

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
            self._clear_unfollowed()

    def set_members(self, member_ids: Iterable[str]) -> None:
        """Set the members among which the followed servers are distributed.

        :param member_ids: all members, including this process.
        """
        members = tuple(sorted(member_ids))
        with self._lock:
            # Most map versions only move partitions, and choosing again takes
            # a hash per server and member.
            if members != self._members:
                self._members = members
                self._choose_followed()
            self._clear_unfollowed()

    def takes_new_work(self, server_id: str) -> bool:
        """Return whether a server is known and not leaving.

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
        :data:`FOLLOWERS_PER_SERVER` members, chosen by rendezvous hashing. A
        process chosen for too many keeps those for which it ranks highest.
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
        """Update a server's state with what this process read.

        :param origin: source that was read.
        :param server_id: backend server; ignored if unknown.
        :param is_leaving: whether the source reports the server as leaving.
        :param incarnation: incarnation number from the source; by default,
            the number is incremented at each change that this process sees.
        """
        with self._lock:
            record = self._record(server_id, origin)
            if record is None:
                return
            before = self._is_leaving(server_id)
            if incarnation is None:
                own = self._next_own_state(record, origin, is_leaving)
            else:
                own = _State(incarnation, is_leaving)
            if record.own.is_older_than(own):
                record.own = own
            self._update_agreed(record, record.own)
            after = self._is_leaving(server_id)
        self._notify_change(server_id, before, after, origin)

    def merge_from_peer(self, states: Iterable[messages.ServerState]) -> None:
        """Merge the server states of a peer's heartbeat.

        :param states: states with their origins; those of unknown servers or
            origins are ignored.
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
                reported = _State(state.incarnation, state.is_leaving)
                self._update_agreed(record, reported)
                after = self._is_leaving(state.server_id)
            self._notify_change(state.server_id, before, after, origin)

    def states_for_heartbeat(
        self, limit: int = MAX_STATES_PER_HEARTBEAT
    ) -> tuple[messages.ServerState, ...]:
        """Return the server states to send to a peer.

        Recent changes take up to three quarters of the limit. The rest
        rotates through all states over successive calls, so that each is
        sent. States that were never reported as leaving or given an
        incarnation are left out.

        :param limit: maximum number of states.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            known = [
                key
                for key, record in self._records.items()
                if record.agreed.incarnation or record.agreed.is_leaving
            ]
            recent = [
                key
                for key in known
                if now_ms - self._records[key].changed_at_ms < RECENT_CHANGE_MS
            ]
            recent_count = min(len(recent), limit - limit // 4)
            chosen = random.sample(recent, recent_count)
            chosen += self._next_in_rotation(
                known, chosen, limit - len(chosen)
            )
            return tuple(self._state_message(key) for key in chosen)

    def describe(self) -> dict[str, Any]:
        """Return the table for a dump."""
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

    def _next_own_state(
        self, record: _Record, origin: Origin, is_leaving: bool
    ) -> _State:
        newest = max(record.own.incarnation, record.agreed.incarnation)
        if is_leaving:
            record.serving_reports = 0
            if record.own.is_leaving:
                return record.own
            if record.agreed.is_leaving:
                return dataclasses.replace(record.agreed)
            return _State(newest + 1, True)
        if not record.is_leaving:
            return record.own
        # A load report may predate a drain that this process knows only from
        # peers, so more reports are required to end the drain.
        required = MIN_SERVING_REPORTS_DRAIN_UNSEEN
        if record.own.is_leaving:
            required = MIN_SERVING_REPORTS
        elif origin is not Origin.LOAD_REPORT:
            return record.own
        record.serving_reports += 1
        if record.serving_reports < required:
            return record.own
        record.serving_reports = 0
        return _State(newest + 1, False)

    def _update_agreed(self, record: _Record, reported: _State) -> None:
        if record.agreed.is_older_than(reported):
            record.agreed = dataclasses.replace(reported)
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

    def _notify_change(
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

    def _next_in_rotation(
        self, known: list[_Key], excluded: list[_Key], count: int
    ) -> list[_Key]:
        """Return the next states in the rotation.

        The order is shuffled in each round: with a fixed order, a peer that
        gets every nth heartbeat could receive the same states forever.
        """
        chosen: list[_Key] = []
        is_refilled = False
        while len(chosen) < count:
            if not self._rotation:
                if is_refilled:
                    break
                self._rotation = random.sample(known, len(known))
                is_refilled = True
                continue
            key = self._rotation.pop()
            if key in self._records and key not in excluded + chosen:
                chosen.append(key)
        return chosen

    def _state_message(self, key: _Key) -> messages.ServerState:
        agreed = self._records[key].agreed
        return messages.ServerState(
            key[0], agreed.incarnation, agreed.is_leaving, int(key[1])
        )

    def _choose_followed(self) -> None:
        ranked = []
        for server_id in self._servers:
            order = partitions.rank(server_id, self._members)
            followers = order[:FOLLOWERS_PER_SERVER]
            if self._self_id in followers:
                ranked.append((followers.index(self._self_id), server_id))
        self._followed = [name for _, name in sorted(ranked)[:MAX_FOLLOWED]]

    def _clear_unfollowed(self) -> None:
        # Load reports of other servers are not read here, so nothing would
        # correct their last own state. The agreed state remains.
        for (server_id, origin), record in self._records.items():
            if origin is Origin.LOAD_REPORT and (
                server_id not in self._followed
            ):
                record.own = _State()
