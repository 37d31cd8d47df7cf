"""Entry process: HTTP and gRPC servers and the current session."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

from balsamloom_configuration import distribution
from balsamloom_core import errors, events, identifiers, results
from balsamloom_entry import components as process_components
from balsamloom_entry import (
    forwarding,
    http,
    peering,
    requests,
    schema,
    session,
    watch_adapters,
)
from balsamloom_membership import host_watch, load_watch
from balsamloom_peers import client as peer_clients
from balsamloom_peers import server as peer_servers
from balsamloom_platform import hosts
from balsamloom_platform import store as stores
from balsamloom_state import partitions

SUPERVISE_INTERVAL_MS = 100
JOIN_RETRY_INTERVAL_MS = 500
IDLE_CHECK_INTERVAL_MS = 50
PEER_STOP_TIMEOUT_MS = 2_000
# Last part of a stop, in which requests that are read late are refused.
REFUSAL_MS = 1_500


class EntryProcess:
    """Servers of one process and its current session.

    :param settings: checked settings.
    """

    def __init__(self, settings: schema.EntrySettings) -> None:
        self._settings = settings
        self.components = process_components.Components(
            settings, self._is_watcher, self._peer_offers
        )
        self._http = http.make_server(
            settings["http_address"], settings["http_threads"]
        )
        self.address = http.bound_address(self._http)
        with contextlib.ExitStack() as cleanup:
            # If the start fails, threads of the HTTP server would keep the
            # process running.
            cleanup.callback(self._http.stop)
            self._peer_server = peer_servers.PeerServer(
                settings["peer_address"],
                peering.PeerHandlers(self.components, lambda: self.session),
                self.components.links,
            )
            self.session = self._new_session()
            self._former_sessions: list[session.Session] = []
            self._is_stopping = threading.Event()
            self._is_refusing = False
            http.mount(
                self._http,
                http.CallerInterface(self._route, settings["max_body_bytes"]),
            )
            self._watches = self._make_watches()
            cleanup.pop_all()

    def start(self) -> None:
        """Serve and try to join once; a thread makes further attempts."""
        self._peer_server.start()
        threading.Thread(
            target=self._http.serve, name="http", daemon=True
        ).start()
        self.components.configuration.start()
        for watch in self._watches:
            watch.start()
        self._try_join()
        threading.Thread(
            target=self._supervise, name="supervise", daemon=True
        ).start()

    def stop(self) -> bool:
        """Shut down gracefully.

        :return: whether all programs were handed over and all requests in
            progress were finished.
        """
        self._is_stopping.set()
        self._http.set_draining()
        timeout_ms = self._settings["stop_timeout_ms"]
        end_ms = self.components.clock.now_ms() + timeout_ms
        is_clean = True
        if self.session.is_joined:
            is_clean = self.session.leave(timeout_ms)
        self._forward_for_stale_callers(end_ms)
        is_clean = self._finish_requests(end_ms) and is_clean
        for watch in self._watches:
            watch.stop()
        self.session.stop()
        self.components.configuration.stop()
        self._http.stop()
        self._peer_server.stop(PEER_STOP_TIMEOUT_MS)
        events.log(events.Event.PROCESS_STOPPED, is_clean=is_clean)
        return is_clean

    def _route(self, request: requests.Request) -> requests.Response:
        if self._is_refusing:
            raise errors.BalsamloomError(
                results.ResultCode.LEAVING,
                "this process is shutting down and takes no more requests",
                forwarding.RETRY_AFTER_MS,
            )
        return self.session.router(request)

    def _new_session(self) -> session.Session:
        member = partitions.Member(
            identifiers.new_member_id(self._settings["name"]),
            self.address,
            self._peer_server.address,
            self._settings["failure_domain"],
        )
        return session.Session(self.components, member)

    def _try_join(self) -> None:
        try:
            self.session.join()
        except stores.StoreUnavailable:
            return

    def _supervise(self) -> None:
        while not self.components.clock.wait(
            self._is_stopping, SUPERVISE_INTERVAL_MS
        ):
            if self.session.owner.is_deposed:
                self._start_new_session()
            self._close_former_sessions()
            if not self.session.is_joined:
                self._try_join()
                if not self.session.is_joined:
                    self.components.clock.wait(
                        self._is_stopping, JOIN_RETRY_INTERVAL_MS
                    )

    def _start_new_session(self) -> None:
        former = self.session
        events.log(
            events.Event.MEMBER_DEPOSED, member_id=former.member.member_id
        )
        former.stop()
        self._former_sessions.append(former)
        self.session = self._new_session()

    def _close_former_sessions(self) -> None:
        """Close the channels of former sessions without open requests."""
        for former in list(self._former_sessions):
            if not former.router.in_progress:
                former.peers.close()
                self._former_sessions.remove(former)

    def _forward_for_stale_callers(self, end_ms: float) -> None:
        """Keep forwarding while callers may still use this address."""
        clock = self.components.clock
        until_ms = clock.now_ms() + self._settings["linger_ms"]
        clock.sleep(min(until_ms, end_ms) - clock.now_ms())

    def _finish_requests(self, end_ms: float) -> bool:
        """Finish the requests that have begun to arrive, and no more.

        :return: whether all have ended.
        """
        self._http.end_accepting()
        if self._wait_idle(end_ms - REFUSAL_MS):
            return True
        self._is_refusing = True
        self._http.add_refusal_threads()
        now_ms = self.components.clock.now_ms()
        return self._wait_idle(max(end_ms, now_ms + REFUSAL_MS))

    def _wait_idle(self, end_ms: float) -> bool:
        clock = self.components.clock
        while not self._is_idle():
            if clock.now_ms() >= end_ms:
                return False
            clock.sleep(IDLE_CHECK_INTERVAL_MS)
        return True

    def _is_idle(self) -> bool:
        sessions = [self.session, *self._former_sessions]
        return self._http.is_ended and not any(
            each.router.in_progress for each in sessions
        )

    def _is_watcher(self) -> bool:
        return self.session.is_watcher()

    def _peer_offers(self) -> Iterator[distribution.PeerOffer]:
        known = {
            member.peer_address
            for member in self.session.owner.map.members.values()
        } | set(self._settings["seed_peers"])
        for address in known - {self.session.member.peer_address}:
            client = self.session.peers.client(address)
            try:
                reply = client.get_configuration(0, session.PEER_TIMEOUT_MS)
            except errors.BalsamloomError:
                continue
            yield distribution.PeerOffer(
                reply.revision, _configuration_fetch(client)
            )

    def _make_watches(
        self,
    ) -> list[host_watch.HostWatch | load_watch.LoadWatch]:
        components = self.components
        watches: list[host_watch.HostWatch | load_watch.LoadWatch] = [
            load_watch.LoadWatch(
                components.backends,
                watch_adapters.load_reader(components),
                watch_adapters.load_reporter(components),
                components.clock,
            )
        ]
        if self._settings["host_list_address"]:
            host_list = hosts.HttpHostList(
                self._settings["host_list_address"], components.connections
            )
            watches.append(
                host_watch.HostWatch(
                    watch_adapters.host_fetcher(host_list),
                    components.backends,
                    components.clock,
                )
            )
        return watches


def _configuration_fetch(
    client: peer_clients.PeerClient,
) -> distribution.Fetch:
    def fetch(since: int) -> bytes:
        reply = client.get_configuration(since, session.PEER_TIMEOUT_MS)
        return reply.document_json

    return fetch
