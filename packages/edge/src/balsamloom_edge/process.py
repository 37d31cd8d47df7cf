"""Edge process: its components, listeners and background threads."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_edge import edge_listeners, planned_stop
from balsamloom_edge import settings as edge_settings
from balsamloom_gateway import (
    background,
    balancer,
    budget_ledger,
    budgets,
    callbacks,
    conversations,
    crash_detection,
    crash_notices,
    crash_reports,
    dispatch,
    draining,
    evacuation,
    failures,
    feed,
    fleet,
    follower,
    handover,
    handover_service,
    heartbeats,
    interfaces,
    listener_limits,
    listeners,
    membership,
    metrics,
    paced_servers,
    path_probes,
    peer_liveness,
    peer_service,
    peers,
    placement_query,
    planner,
    proxy,
    quota_link,
    quota_metrics,
    read_schedule,
    registrar,
    responses,
    send_permits,
    server_limits,
    server_paths,
    standbys,
    storage_calls,
    storage_journal,
    store_revisions,
    stream_versions,
    traffic,
    version_history,
)
from balsamloom_ingress import guards


class AuxiliaryHandlers(NamedTuple):
    """Factories of the readiness and address lookup handlers."""

    ready: Callable[[EdgeProcess], listeners.Handler]
    lookup: Callable[[EdgeProcess], listeners.Handler]


class EdgeProcess:
    """Edge process that relays callers' requests to backend servers.

    :param settings: validated settings.
    :param store: platform's store.
    :param records: keys and formats of the store's records.
    :param codec: codec of the header fields.
    :param handlers: factories of the readiness and address lookup handlers.
    :param clock: time source.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        store: interfaces.KeyValueStore,
        records: interfaces.Records,
        codec: interfaces.HeaderCodec,
        handlers: AuxiliaryHandlers,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._store = store_revisions.ObservedStore(store, clock)
        self._records = records
        self._clock = clock
        self._codec = codec
        self._is_leaving = False
        self._drain = draining.Drain(clock)
        self.fleet = fleet.Fleet(records, clock)
        self.member = traffic.Member(
            settings.name,
            settings.caller_address,
            settings.peer_address,
            settings.failure_domain,
            settings.incarnation,
        )
        self._metrics = metrics.Metrics()
        self._responder = responses.Responder(codec, clock, self._metrics)
        self._feed = feed.Feed(clock, self.fleet.decode_or_raw)
        self._clients = peers.PeerClients(clock)
        self._paths = server_paths.ServerPaths(clock)
        self._build_placement()
        self._build_budgets()
        self._build_crashes()
        self._build_streams()
        self._build_dispatch()
        self._build_proxy()
        self._build_quotas()
        self._build_membership()
        self._follow_view()
        self._build_heartbeats()
        self._build_listeners(handlers)

    def _build_placement(self) -> None:
        """Build what chooses servers.

        Planned turns and this process's own calls are counted separately.
        """
        name = self._settings.name
        self._call_balancer = self._new_balancer()
        self._turn_balancer = self._new_balancer()
        limits_of_servers = server_limits.ServerLimits()
        limits_of_servers.on_released = self._handle_limit_release
        self._permits = send_permits.SendPermits(
            name, limits_of_servers, self._clients, self.fleet, self._clock
        )
        self._planner = planner.TurnPlanner(
            name, self._turn_balancer, self.fleet, self._permits, self._clock
        )
        self._queries = placement_query.PlacementQueries(
            name,
            self.fleet,
            self._call_balancer,
            self._turn_balancer,
            self._planner,
            limits_of_servers,
        )

    def _build_budgets(self) -> None:
        """Build the accounts of programs and what makes them durable."""
        settings = self._settings
        self._book = budget_ledger.BudgetLedger(
            self._store,
            self._records,
            self._clock,
            not settings.is_first_start,
            standbys.holder_id(settings.name, settings.incarnation),
        )
        self._budgets = budgets.Budgets(
            settings.name,
            self._book,
            self._planner,
            self._clients,
            self.fleet,
            self._clock,
        )
        self._pending_settlements = self._budgets.pending_settlements
        self._book.standbys = standbys.PeerStandbys(
            settings.name,
            settings.incarnation,
            self._clients,
            self.fleet,
            self._clock,
        )
        self._storage = storage_calls.StorageCalls(self._clients, self._clock)
        self._book.journal = storage_journal.StorageJournal(
            self.fleet.storage_hosts,
            self._storage,
            self._clock,
            settings.copies,
            lambda: self._feed.age_ms() is not None,
        )

    def _build_crashes(self) -> None:
        """Build what counts crashes of servers under requests."""
        self._crash_reports = crash_reports.CrashReports(
            self._store, self._records, self._rank, self._clock
        )
        self._crash_notices = crash_notices.CrashNotices(
            self._settings.name,
            self._crash_reports,
            self._clients,
            self.fleet,
            self._clock,
        )
        self._crashes = crash_detection.CrashDetector(
            self._crash_reports, self._clock
        )

    def _build_streams(self) -> None:
        """Build what knows the versions at which streams began."""
        self._history = version_history.VersionHistory(
            self._store, self._records, self.fleet, self._rank, self._clock
        )
        self._streams = stream_versions.StreamVersions(
            self._settings.name,
            self._history,
            self.fleet,
            self._clients,
            self._is_current,
            self._clock,
        )

    def _build_dispatch(self) -> None:
        """Build what sends calls to servers, or hands them over."""
        settings = self._settings
        self._dispatcher = dispatch.Dispatcher(
            self._call_balancer,
            self._responder,
            self._permits,
            self._crashes,
            self._streams,
            self._paths,
            self._codec,
            self._clock,
        )
        self._probes = path_probes.PathProbes(
            self._paths,
            self.fleet,
            self._dispatcher.pools,
            random.Random(),
            self._clock,
        )
        self._crashes.reaches_another = self._probes.reaches_another
        self._handovers = handover.Handovers(
            settings.name,
            self.fleet,
            self._paths,
            self._responder,
            self._codec,
            self._clock,
        )
        self._handovers.on_answer = self._record_answer
        self._dispatcher.should_hand_over = self._handovers.is_due
        self._dispatcher.orders_by_program_time = (
            settings.orders_by_program_time
        )
        self._dispatcher.on_server_leaving = self.fleet.mark_server_leaving

    def _build_proxy(self) -> None:
        """Build what handles callers' requests."""
        turns = conversations.ConversationStore(
            self.fleet.storage_hosts,
            self._storage,
            self._clock,
            self._settings.failure_domain,
            self._settings.copies,
            self._await_records,
        )
        self._proxy = proxy.Proxy(
            self.fleet,
            self._dispatcher,
            self._budgets,
            turns,
            self._crashes,
            self._streams,
            self._responder,
            self._codec,
            self._clock,
            self._await_records,
            self._drain,
            self._handovers,
        )
        self._proxy.router.may_lack_revocations = self._may_lack_revocations
        self._proxy.router.follows_records = self._follows_records

    def _build_quotas(self) -> None:
        """Build the rate quotas, if the settings bound them."""
        clock = clocks.SuspensionClock()
        self._quotas = quota_link.build(
            self._settings.name,
            self._settings.incarnation,
            self._settings.quota_bounds,
            quota_link.QuotaMembers(
                self.fleet, self._feed, self._clients, clock
            ),
            clock,
        )
        if self._quotas is not None:
            self._metrics.add_collector(
                quota_metrics.QuotaCollector(self._quotas)
            )
        self._proxy.admissions = quota_link.Admissions(
            self._quotas, self._responder
        )

    def _build_membership(self) -> None:
        """Build what registers this process and reads the records."""
        settings = self._settings
        self._evacuations = evacuation.Evacuations(
            self._store,
            self._records,
            self._rank,
            self.fleet.has_storage_host,
            self._clock,
        )
        self._registrar = registrar.Registrar(
            self._store,
            self._records.member_key(settings.name),
            self.member,
            settings.lease_ms,
            lambda: self.member in self.fleet.members(),
            self._clock,
        )
        self._follower = follower.Follower(
            settings.name,
            self._store,
            self._records,
            self._feed,
            self.fleet,
            self._clients,
            self._clock,
            read_schedule.intervals(settings.view_bound_ms),
        )
        self._registrar.on_lease_lost = self._handle_lease_loss
        self._book.held_lease_id = self._registrar.held_lease_id
        self._follower.after_read = self._handle_read
        self._follower.on_outage_at_start = self._book.handle_outage_at_start

    def _follow_view(self) -> None:
        """Let the parts follow the members, servers and configuration."""
        self.fleet.on_changes = (
            self._evacuations.apply,
            self._crash_reports.apply,
            self._history.apply,
        )
        self.fleet.on_member_lost = self._budgets.handle_member_loss
        self.fleet.on_member_added = self._budgets.handle_member_arrival
        self.fleet.on_servers_changed = (
            self._call_balancer.set_servers,
            self._turn_balancer.set_servers,
            self._dispatcher.close_unused_pools,
            self._permits.keep_only,
            self._paths.set_servers,
            self._find_crashed_servers,
        )
        self.fleet.on_configuration_changed = self._apply_configuration

    def _build_heartbeats(self) -> None:
        """Build what tells members of each other between the records."""
        name = self._settings.name
        self._liveness = peer_liveness.PeerLiveness(name, self._clock)
        self._heartbeats = heartbeats.Heartbeats(
            name,
            self._liveness,
            self.fleet,
            self._clients,
            self._clock,
            lambda: self.is_ready,
        )
        self._heartbeats.has_path = lambda: (
            self._paths.can_connect and not self._paths.are_lost
        )
        self._heartbeats.on_path_stated = self._handovers.members.record
        self._handovers.unavailable = self._liveness.unavailable

    def _build_listeners(self, handlers: AuxiliaryHandlers) -> None:
        """Build the listeners for callers, members and operators."""
        service = peer_service.PeerService(
            self._budgets,
            self._book,
            self._feed,
            self._heartbeats,
            self._permits,
            self._crash_reports,
            self._history,
            self._quotas,
        )
        guard = guards.Guard(self._settings.ingress_limits, self._clock)
        guard.refusals.on_refusal = self._metrics.record_limited_caller
        self._guests = handover_service.HandoverService(
            self._proxy.handle,
            service.handle,
            self._paths,
            self._drain,
            self.fleet,
            self._codec,
            listener_limits.max_handovers(self._settings.threads),
        )
        found = edge_listeners.build(
            self._settings,
            edge_listeners.Handlers(
                self._proxy.handle,
                self._guests.handle,
                quota_metrics.with_page(self._answer_operators, self._quotas),
                handlers.ready(self),
                handlers.lookup(self),
            ),
            guard,
        )
        self._ingress = found.callers
        self._member_listener = found.members
        self._other_listeners = [found.members, *found.auxiliary]

    def _new_balancer(self) -> balancer.Balancer:
        paced = None
        if self._settings.is_pacing_servers:
            paced = paced_servers.PacedServers(
                self._settings.name,
                lambda: len(self.fleet.members()),
                self._metrics.record_pace,
            )
        return balancer.Balancer(
            self._clock, self._settings.failure_domain, random.Random(), paced
        )

    def _answer_operators(
        self, request: listeners.Request, response: listeners.Response
    ) -> None:
        """Answer a request for the metrics or about placement."""
        if request.path == placement_query.PATH:
            self._queries.handle(request, response)
        else:
            self._metrics.handle(request, response)

    def _handle_limit_release(self, server_id: str) -> None:
        """Let the calls to a server grow that no longer limits its rate."""
        if not self._settings.is_pacing_servers:
            return
        self._call_balancer.handle_limit_release(server_id)
        self._turn_balancer.handle_limit_release(server_id)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may send requests to this process."""
        return (
            self.fleet.active_configuration is not None
            and not self._is_leaving
        )

    def caller_addresses(self, failure_domain: str) -> list[str]:
        """Return the addresses that a caller may use.

        :param failure_domain: caller's failure domain.
        """
        own = self.member if self.is_ready else None
        unavailable = self._liveness.unavailable()
        if self._is_leaving:
            unavailable |= {self.member.name}
        members = [
            member
            for member in self.fleet.members()
            if member.name not in unavailable
        ]
        return membership.caller_addresses(members, own, failure_domain)

    def start(self) -> None:
        """Start the listeners and the background threads."""
        for listener in (*self._other_listeners, self._ingress):
            listener.start()
        for target in (
            self._follower.run,
            self._registrar.run,
            self._book.run,
            self._pending_settlements.run,
            self._heartbeats.run,
            self._crash_reports.run,
            self._crash_notices.run,
            self._probes.run,
        ):
            background.start(target, self._clock)
        if self._quotas is not None:
            background.start(self._quotas.run, self._clock)
        events.log(
            events.Event.PROCESS_STARTED,
            member=self.member.name,
            incarnation=self.member.incarnation,
            caller_address=self._ingress.address,
        )

    def leave(self) -> None:
        """Stop gracefully: drain requests in progress and release budgets."""
        times = self._drain.start(self._settings.grace_ms)
        self._is_leaving = True
        self._feed.stop_waiting()
        stop = planned_stop.PlannedStop(
            self.member.name,
            self._ingress,
            self._other_listeners,
            self._codec,
            times,
            self._clock,
            lambda: not self._guests.is_idle,
        )
        self._start_deregistering()
        stop.answer_callers()
        stop.answer_members()
        self._pending_settlements.stop()
        self._release_budgets(times.release_until_ms)
        stop.end()
        self._follower.stop()
        self._heartbeats.stop()
        self._probes.stop()
        if self._quotas is not None:
            self._quotas.stop()

    def _release_budgets(self, until_ms: float) -> None:
        """Release budgets; a store that hangs does not delay the end."""
        self._book.stop()
        is_released = threading.Event()

        def release() -> None:
            self._book.release()
            is_released.set()

        try:
            threading.Thread(target=release, daemon=True).start()
        except RuntimeError as error:
            failures.log(events.Event.BACKGROUND_FAILED, release, error)
            release()
        left_ms = until_ms - self._clock.now_ms()
        self._clock.wait(is_released, max(0.0, left_ms))

    def _start_deregistering(self) -> None:
        """End the lease in the background; else it runs out by itself."""
        deregister = self._registrar.deregister
        try:
            threading.Thread(target=deregister, daemon=True).start()
        except RuntimeError as error:
            failures.log(events.Event.BACKGROUND_FAILED, deregister, error)

    def _handle_lease_loss(self) -> None:
        """Start a caution period, as others may have held the budgets."""
        self._book.start_caution_period("this member's lease was lost")

    def _handle_read(self) -> None:
        """Run the tasks that depend on the latest read of the records."""
        for task in (
            self._evacuations.answer_due,
            self._history.write_due,
            self._streams.record_earlier,
            self._close_unused_clients,
        ):
            callbacks.run_isolated(task)

    def _close_unused_clients(self) -> None:
        members = [*self.fleet.members(), *self.fleet.lost_members()]
        addresses = [member.peer_address for member in members]
        addresses += [host.address for host in self.fleet.storage_hosts()]
        self._clients.keep_only(addresses)

    def _await_records(self, since_ms: float, until_ms: float) -> bool:
        return self._follower.await_records(since_ms, until_ms)

    def _is_current(self) -> bool:
        """Return whether the view is about as recent as the store."""
        return self._feed.age_ms() is not None and not self.fleet.is_stale

    def _follows_records(self) -> bool:
        """Return whether the view is as recent as the settings ask.

        A process that was frozen may not have noticed yet that it is not.
        """
        age_ms = self._feed.age_ms()
        if age_ms is None or age_ms > self._settings.view_bound_ms:
            return False
        return not self.fleet.is_stale

    def _may_lack_revocations(self) -> bool:
        policy = self._settings.revocation
        return policy.may_lack_revocations(self._feed.age_ms())

    def _rank(self) -> int:
        return membership.rank_of(self.member.name, self.fleet.members())

    def _find_crashed_servers(self, _: list[traffic.BackendServer]) -> None:
        self._crashes.apply_servers(self.fleet.registered_servers())

    def _apply_configuration(self, active: fleet.ActiveConfiguration) -> None:
        services = active.configuration.services.values()
        self._call_balancer.set_services(services)
        self._turn_balancer.set_services(services)
        settings, found = self._settings, active.configuration.limits
        self._ingress.set_limits(
            listener_limits.for_callers(
                settings.threads, found, settings.ingress_limits
            )
        )
        self._member_listener.set_limits(
            listener_limits.for_members(
                settings.threads, found, settings.ingress_limits
            )
        )

    def _record_answer(
        self, server_id: str, answer: traffic.AnswerMetadata
    ) -> None:
        """Record what a server said of itself to another member."""
        if answer.is_leaving:
            # This process may not know the server at this moment.
            self.fleet.mark_server_leaving(server_id)
        for server in self.fleet.servers():
            if server.server_id == server_id:
                self._dispatcher.record_answer(server, answer)
