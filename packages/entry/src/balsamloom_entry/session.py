"""One membership of an entry process, from joining to leaving or removal.

A process whose journal was sealed by a successor ends its session and begins
another one with a new member id.
"""

from __future__ import annotations

import logging
import random
import threading
from typing import Any

from balsamloom_core import errors, events, identifiers, metric_names
from balsamloom_entry import (
    calls,
    commit_shares,
    engine_parts,
    forwarding,
    inspection,
    local,
    metering,
    model_calls,
    orders,
    permits,
    router,
    sweep,
    tool_calls,
    transfers,
)
from balsamloom_entry import parts as process_parts
from balsamloom_membership import addresses, heartbeats, liveness, suspicion
from balsamloom_peers import client as peer_clients
from balsamloom_peers import messages
from balsamloom_platform import store as stores
from balsamloom_policy import calls as policy_calls
from balsamloom_state import owner as owners
from balsamloom_state import partitions

TICK_MS = 200
REBALANCE_MS = 300
# The map also comes with heartbeats; this read finds what they missed.
MAP_READ_MS = 5_000
PEER_TIMEOUT_MS = 2_000
GAUGES_MS = 5_000
MAX_SHARES = 16
WATCHERS_PER_DOMAIN = 2


class Session:
    """Ownership, membership and routes under one member id.

    :param parts: parts of the process that outlive the session.
    :param member: this run of the process.
    """

    def __init__(
        self, parts: process_parts.Parts, member: partitions.Member
    ) -> None:
        self.member = member
        self.is_joined = False
        self.is_leaving = False
        self._parts = parts
        self._ended = threading.Event()
        self._seen_version = -1
        self._wanted_version = 0
        self._rebalance_at_ms = 0.0
        self._gauges_at_ms = 0.0
        self._peer_calls: dict[str, int] = {}
        self._read_map_at_ms = 0.0
        self.peers = peer_clients.PeerPool(
            member.member_id, member.peer_address, parts.links
        )
        self.owner = owners.ProgramOwner(
            parts.store,
            member,
            parts.clock,
            _owner_settings(parts),
            transfers.PartitionTransfer(self.peers, member.member_id),
        )
        self.liveness = liveness.Liveness(
            member.member_id,
            parts.clock,
            heartbeats.PoolTransport(self.peers),
            suspicion.LivenessSettings(),
            self._take_over,
            self.note_heartbeat,
            self.heartbeat,
        )
        self.addresses = addresses.AddressAnswers(
            lambda: self.owner.map,
            member,
            parts.clock,
            self.liveness.suspected,
            lambda: self.router.in_progress,
        )
        self._inspection = inspection.Inspection(self, parts)
        self.router = self._router()
        self._sweep = sweep.Sweep(
            lambda: engine_parts.swept_engines(parts),
            self.owner.stale_tags,
            parts.clock,
        )
        self._orders = self._order_control()

    def join(self) -> None:
        """Enter the partition map and start watching peers.

        :raises StoreUnavailable: if the store does not answer; to be tried
            again.
        """
        self.owner.join()
        self._map_changed()
        self.liveness.start()
        self._sweep.start()
        self._orders.start()
        self.is_joined = True
        threading.Thread(target=self._run, name="session", daemon=True).start()
        events.log(
            events.Event.PROCESS_STARTED,
            member_id=self.member.member_id,
            http_address=self.member.http_address,
        )

    def leave(self, timeout_ms: float) -> bool:
        """Hand over all partitions and leave the map.

        :param timeout_ms: longest wait.
        :return: whether everything was handed over, or is durable and there
            is no other member.
        """
        self.is_leaving = True
        events.log(
            events.Event.PROCESS_LEAVING, member_id=self.member.member_id
        )
        return self.owner.leave(timeout_ms) or self.owner.has_kept_journal

    def stop(self) -> None:
        """End the tasks of this session."""
        self._ended.set()
        self.liveness.stop()
        self._sweep.stop()
        self._orders.stop()

    def heartbeat(self) -> messages.Heartbeat:
        """Return the state that peers are told."""
        return messages.Heartbeat(
            self.member.member_id,
            self.owner.map.version,
            self._parts.configuration.revision,
            self.router.in_progress,
            self._parts.backends.states_for_heartbeat(),
            self._shares(),
            self.is_leaving,
        )

    def note_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Take in a peer's state.

        :param heartbeat: heartbeat or its answer.
        """
        self.addresses.note_heartbeat(heartbeat)
        self._peer_calls[heartbeat.member_id] = heartbeat.calls_in_progress
        self._parts.backends.merge_from_peer(heartbeat.server_states)
        shares = [
            policy_calls.ServerShare(
                share.server_id,
                share.in_flight,
                share.limit,
                share.is_ejected,
            )
            for share in heartbeat.server_shares
        ]
        self._parts.scheduler.update_peer_shares(heartbeat.member_id, shares)
        peer = self.owner.map.members.get(heartbeat.member_id)
        if peer is None:
            if heartbeat.map_version > self.owner.map.version:
                # A member that has just joined; its address is in the store.
                self._read_map_at_ms = 0.0
        else:
            self._offer_configuration(peer, heartbeat.configuration_revision)
            self._fetch_map(peer, heartbeat.map_version)

    def is_watcher(self) -> bool:
        """Return whether this process watches the configuration."""
        domain = [
            member.member_id
            for member in self.owner.map.members.values()
            if member.failure_domain == self.member.failure_domain
        ]
        if self.member.member_id not in domain:
            return True
        order = partitions.rank(self.member.failure_domain, domain)
        return self.member.member_id in order[:WATCHERS_PER_DOMAIN]

    def describe(self) -> dict[str, Any]:
        """Return state for the dump."""
        return {
            "is_joined": self.is_joined,
            "is_leaving": self.is_leaving,
            "requests_in_progress": self.router.in_progress,
            "owner": self.owner.describe(),
            "liveness": self.liveness.describe(),
        }

    def _router(self) -> router.Router:
        context = calls.CallContext(
            self.owner,
            self._parts.clock,
            self._parts.calls,
            self._parts.catalogue.limits,
            self._parts.metrics,
        )
        service = local.LocalPrograms(
            context,
            self._parts.catalogue,
            model_calls.ModelCalls(context, self._parts.sender()),
            tool_calls.ToolCalls(context, self._parts.tool_sender()),
        )
        return router.Router(
            service,
            self._inspection,
            inspection.Ownership(self),
            forwarding.Forwarder(
                self.peers, self.member.member_id, self._parts.metrics
            ),
        )

    def _order_control(self) -> orders.OrderControl:
        parts = self._parts
        member_id = self.member.member_id
        return orders.OrderControl(
            member_id,
            parts.store,
            parts.clock,
            lambda: self.owner.map,
            lambda: engine_parts.desired_engines(parts.configuration.document),
            lambda name: engine_parts.OrderedEngine(
                parts.engine_at(parts.pools.address_of(name) or ""), member_id
            ),
            permits.PermitTable(parts.store, member_id, parts.clock),
        )

    def _run(self) -> None:
        while not self._parts.clock.wait(self._ended, TICK_MS):
            try:
                self._tick()
            except stores.StoreUnavailable:
                continue
            except errors.BalsamloomError as error:
                _log_fault(error)
            except Exception as error:
                # A fault in one round must not end all later ones.
                _log_fault(error)

    def _tick(self) -> None:
        now_ms = self._parts.clock.now_ms()
        if now_ms >= self._read_map_at_ms:
            jitter_ms = random.uniform(0.5, 1.5) * MAP_READ_MS
            self._read_map_at_ms = now_ms + jitter_ms
            self.owner.refresh_map()
        self._share_commits()
        self._send_gauges(now_ms)
        self.owner.maintain()
        if now_ms >= self._rebalance_at_ms and not self.is_leaving:
            self._rebalance_at_ms = now_ms + REBALANCE_MS
            self.owner.rebalance_once()
        if self.owner.map.version != self._seen_version:
            self._map_changed()

    def _send_gauges(self, now_ms: float) -> None:
        if now_ms < self._gauges_at_ms:
            return
        self._gauges_at_ms = now_ms + GAUGES_MS
        metering.send_gauges(
            self._parts.metrics,
            self._inspection.status(),
            self.owner.describe(),
            self._parts.scheduler.describe(),
        )

    def _share_commits(self) -> None:
        members = self.owner.map.members
        peers = [
            calls
            for member_id, calls in list(self._peer_calls.items())
            if member_id in members and member_id != self.member.member_id
        ]
        rate_per_s = commit_shares.rate_per_s(
            self._parts.settings["commits_per_s"],
            self.router.in_progress,
            peers,
            max(len(members), 1),
        )
        self.owner.journal.bucket.set_rate(rate_per_s)

    def _map_changed(self) -> None:
        current = self.owner.map
        self._seen_version = current.version
        members = current.members.values()
        for member_id in set(self._peer_calls) - set(current.members):
            self._peer_calls.pop(member_id, None)
        self.liveness.update_peers(
            heartbeats.Peer(member.member_id, member.peer_address)
            for member in members
        )
        self.peers.keep_only(
            {member.peer_address for member in members}
            | set(self._parts.settings["seed_peers"])
        )
        self._parts.backends.set_members(
            {self._parts.settings["name"]}
            | {identifiers.entry_name(member.member_id) for member in members}
        )
        live = [member for member in members if not member.is_leaving]
        self._parts.scheduler.set_member_count(len(live))

    def _take_over(self, peer: heartbeats.Peer) -> None:
        try:
            self.owner.refresh_map()
            members = self.owner.map.members
            if self.owner.is_deposed or peer.member_id not in members:
                self._map_changed()
                return
            if self.member.member_id in members:
                started_ms = self._parts.clock.now_ms()
                self.owner.take_over(peer.member_id)
                self._parts.metrics.timing(
                    metric_names.TAKEOVER_DURATION.key(),
                    self._parts.clock.now_ms() - started_ms,
                )
            self._map_changed()
        except stores.StoreUnavailable:
            # Failure detection calls again while the member is in the map.
            return

    def _offer_configuration(
        self, peer: partitions.Member, revision: int
    ) -> None:
        def fetch(since: int) -> bytes:
            client = self.peers.client(peer.peer_address)
            found = client.get_configuration(since, PEER_TIMEOUT_MS)
            return found.document_json

        self._parts.configuration.offer(revision, fetch)

    def _fetch_map(self, peer: partitions.Member, version: int) -> None:
        if version <= max(self.owner.map.version, self._wanted_version):
            return
        self._wanted_version = version

        def fetch() -> None:
            try:
                client = self.peers.client(peer.peer_address)
                found = client.get_map(PEER_TIMEOUT_MS)
                self.owner.observe_map(partitions.decode(found.map_json))
            except errors.BalsamloomError:
                self._wanted_version = 0
            self._map_changed()

        # The heartbeat's sender waits for the answer and may be the peer.
        self._parts.senders.submit(fetch)

    def _shares(self) -> tuple[messages.ServerShare, ...]:
        known = self._parts.scheduler.shares()
        random.shuffle(known)
        # Ejections go first, since peers act on them.
        known.sort(key=lambda share: not share.is_ejected)
        chosen = [
            share for share in known if share.in_flight or share.is_ejected
        ]
        return tuple(
            messages.ServerShare(
                share.server_id,
                share.in_flight,
                round(share.limit),
                share.is_ejected,
            )
            for share in chosen[:MAX_SHARES]
        )


def _owner_settings(parts: process_parts.Parts) -> owners.OwnerSettings:
    return owners.OwnerSettings(
        commits_per_s=parts.settings["commits_per_s"],
        commit_burst=parts.settings["commit_burst"],
    )


def _log_fault(error: Exception) -> None:
    events.log(events.Event.REQUEST_FAILED, logging.ERROR, cause=repr(error))
