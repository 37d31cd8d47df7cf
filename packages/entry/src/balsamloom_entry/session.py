"""Membership of an entry process, from joining to leaving or removal.

A process whose journal was sealed by its successor ends its session and starts
a new one with a new member id.
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
    engine_clients,
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
from balsamloom_entry import components as process_components
from balsamloom_membership import addresses, heartbeats, liveness, suspicion
from balsamloom_peers import client as peer_clients
from balsamloom_peers import messages
from balsamloom_platform import store as stores
from balsamloom_policy import calls as policy_calls
from balsamloom_state import owner as owners
from balsamloom_state import partitions

TICK_INTERVAL_MS = 200
REBALANCE_INTERVAL_MS = 300
# Heartbeats also announce new maps; this read covers lost heartbeats.
MAP_READ_INTERVAL_MS = 5_000
PEER_TIMEOUT_MS = 2_000
GAUGE_INTERVAL_MS = 5_000
MAX_SHARES = 16
WATCHERS_PER_DOMAIN = 2


class Session:
    """Ownership, membership and router under one member id.

    :param parts: parts of the process that outlive the session.
    :param member: this process under its member id.
    """

    def __init__(
        self, parts: process_components.Components, member: partitions.Member
    ) -> None:
        self.member = member
        self.is_joined = False
        self.is_leaving = False
        self._parts = parts
        self._stopped = threading.Event()
        self._applied_version = -1
        self._requested_version = 0
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
            self.handle_heartbeat,
            self.heartbeat,
        )
        self.addresses = addresses.AddressResolver(
            lambda: self.owner.map,
            member,
            parts.clock,
            self.liveness.suspected,
            lambda: self.router.in_progress,
        )
        self._inspection = inspection.Inspection(self, parts)
        self.router = self._make_router()
        self._sweep = sweep.Sweep(
            lambda: engine_clients.swept_engines(parts),
            self.owner.stale_tags,
            parts.clock,
        )
        self._orders = self._make_order_control()

    def join(self) -> None:
        """Join the partition map and start failure detection.

        :raises StoreUnavailable: if the store does not respond; the caller
            may retry.
        """
        self.owner.join()
        self._apply_map()
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

        :param timeout_ms: maximum wait.
        :return: whether everything was handed over, or is durable and there
            is no other member.
        """
        self.is_leaving = True
        events.log(
            events.Event.PROCESS_LEAVING, member_id=self.member.member_id
        )
        return self.owner.leave(timeout_ms) or self.owner.has_kept_journal

    def stop(self) -> None:
        """Stop the background tasks of this session."""
        self._stopped.set()
        self.liveness.stop()
        self._sweep.stop()
        self._orders.stop()

    def heartbeat(self) -> messages.Heartbeat:
        """Return the state that is sent to peers."""
        return messages.Heartbeat(
            self.member.member_id,
            self.owner.map.version,
            self._parts.configuration.revision,
            self.router.in_progress,
            self._parts.backends.states_for_heartbeat(),
            self._share_reports(),
            self.is_leaving,
        )

    def handle_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Apply a peer's state.

        :param heartbeat: heartbeat or its response.
        """
        self.addresses.record_heartbeat(heartbeat)
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
                # The peer has just joined; its address is in the store.
                self._read_map_at_ms = 0.0
        else:
            self._offer_configuration(peer, heartbeat.configuration_revision)
            self._fetch_map(peer, heartbeat.map_version)

    def is_watcher(self) -> bool:
        """Return whether this process watches the stored configuration."""
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

    def _make_router(self) -> router.Router:
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

    def _make_order_control(self) -> orders.OrderController:
        parts = self._parts
        member_id = self.member.member_id
        return orders.OrderController(
            member_id,
            parts.store,
            parts.clock,
            lambda: self.owner.map,
            lambda: engine_clients.desired_engines(
                parts.configuration.document
            ),
            lambda name: engine_clients.EngineOrderClient(
                parts.engine_at(parts.pools.address_of(name) or ""), member_id
            ),
            permits.PermitTable(parts.store, member_id, parts.clock),
        )

    def _run(self) -> None:
        while not self._parts.clock.wait(self._stopped, TICK_INTERVAL_MS):
            try:
                self._tick()
            except stores.StoreUnavailable:
                continue
            except errors.BalsamloomError as error:
                _log_error(error)
            except Exception as error:
                # An error in one round must not stop the loop.
                _log_error(error)

    def _tick(self) -> None:
        now_ms = self._parts.clock.now_ms()
        if now_ms >= self._read_map_at_ms:
            jitter_ms = random.uniform(0.5, 1.5) * MAP_READ_INTERVAL_MS
            self._read_map_at_ms = now_ms + jitter_ms
            self.owner.refresh_map()
        self._update_commit_rate()
        self._send_gauges(now_ms)
        self.owner.maintain()
        if now_ms >= self._rebalance_at_ms and not self.is_leaving:
            self._rebalance_at_ms = now_ms + REBALANCE_INTERVAL_MS
            self.owner.rebalance_once()
        if self.owner.map.version != self._applied_version:
            self._apply_map()

    def _send_gauges(self, now_ms: float) -> None:
        if now_ms < self._gauges_at_ms:
            return
        self._gauges_at_ms = now_ms + GAUGE_INTERVAL_MS
        metering.send_gauges(
            self._parts.metrics,
            self._inspection.status(),
            self.owner.describe(),
            self._parts.scheduler.describe(),
        )

    def _update_commit_rate(self) -> None:
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

    def _apply_map(self) -> None:
        current = self.owner.map
        self._applied_version = current.version
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
                self._apply_map()
                return
            if self.member.member_id in members:
                started_ms = self._parts.clock.now_ms()
                self.owner.take_over(peer.member_id)
                self._parts.metrics.timing(
                    metric_names.TAKEOVER_DURATION.key(),
                    self._parts.clock.now_ms() - started_ms,
                )
            self._apply_map()
        except stores.StoreUnavailable:
            # Failure detection retries while the member is in the map.
            return

    def _offer_configuration(
        self, peer: partitions.Member, revision: int
    ) -> None:
        def fetch(since: int) -> bytes:
            client = self.peers.client(peer.peer_address)
            response = client.get_configuration(since, PEER_TIMEOUT_MS)
            return response.document_json

        self._parts.configuration.offer(revision, fetch)

    def _fetch_map(self, peer: partitions.Member, version: int) -> None:
        if version <= max(self.owner.map.version, self._requested_version):
            return
        self._requested_version = version

        def fetch() -> None:
            try:
                client = self.peers.client(peer.peer_address)
                response = client.get_map(PEER_TIMEOUT_MS)
                self.owner.observe_map(partitions.decode(response.map_json))
            except errors.BalsamloomError:
                self._requested_version = 0
            self._apply_map()

        # Fetched in the background: the sender of the heartbeat waits for the
        # response and may be the peer.
        self._parts.senders.submit(fetch)

    def _share_reports(self) -> tuple[messages.ServerShare, ...]:
        known = self._parts.scheduler.shares()
        random.shuffle(known)
        # Ejected servers come first, since peers act on ejections.
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


def _owner_settings(
    parts: process_components.Components,
) -> owners.OwnerSettings:
    return owners.OwnerSettings(
        commits_per_s=parts.settings["commits_per_s"],
        commit_burst=parts.settings["commit_burst"],
    )


def _log_error(error: Exception) -> None:
    events.log(events.Event.REQUEST_FAILED, logging.ERROR, cause=repr(error))
