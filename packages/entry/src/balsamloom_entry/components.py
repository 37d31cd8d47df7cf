"""Components of an entry process that outlive one membership."""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Callable, Iterable

from balsamloom_configuration import distribution
from balsamloom_core import clock as clocks
from balsamloom_core import dumps, events
from balsamloom_entry import (
    attempts,
    catalogue,
    metering,
    pools,
    schema,
    tool_calls,
)
from balsamloom_membership import backends
from balsamloom_peers import links
from balsamloom_platform import (
    engine_client,
    etcd_gateway,
    metrics,
    response_limits,
    tools,
)
from balsamloom_platform import store as stores
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings

CONNECTIONS_PER_SERVER = 256
SERVER_CONNECTION_POOLS = 128


class Components:
    """Clients, scheduler and configuration of one process.

    :param settings: checked settings.
    :param is_watcher: whether this process watches the configuration.
    :param peer_offers: configuration revisions that peers hold.
    """

    def __init__(
        self,
        settings: schema.EntrySettings,
        is_watcher: Callable[[], bool],
        peer_offers: Callable[[], Iterable[distribution.PeerOffer]],
    ) -> None:
        self.settings = settings
        self.clock = clocks.Clock()
        self.dumps = dumps.DumpRegistry()
        self.links = links.BlockedLinks()
        self.ended = threading.Event()
        self.metrics = _metrics(settings["statsd_address"])
        self.store: stores.Store = metering.MeteredStore(
            etcd_gateway.EtcdGateway(settings["store_address"]),
            self.metrics,
            self.clock,
        )
        events.add_handler(metering.EventCounter(self.metrics))
        self.connections = response_limits.limited_pool(
            SERVER_CONNECTION_POOLS, CONNECTIONS_PER_SERVER
        )
        self.streams = engine_client.stream_pool(
            SERVER_CONNECTION_POOLS, CONNECTIONS_PER_SERVER
        )
        # Each call runs in a thread of its own and may need a second sender
        # thread until its first token.
        threads = settings["http_threads"]
        self.calls = concurrent.futures.ThreadPoolExecutor(threads, "call")
        self.senders = concurrent.futures.ThreadPoolExecutor(
            2 * threads, "send"
        )
        self.scheduler = schedulers.Scheduler(
            self.clock, policy_settings.PolicySettings(), settings["seed"]
        )
        self.backends = backends.BackendTable(
            settings["name"], self.clock, self._on_server_change
        )
        self.pools = pools.ServerPools(self.scheduler, self.backends)
        self.configuration = distribution.ActiveConfiguration(
            self.store,
            self.clock,
            is_watcher,
            peer_offers,
            catalogue.SETTING_SCHEMAS,
        )
        self.catalogue = catalogue.Catalogue(
            lambda: self.configuration.document
        )
        self.configuration.on_change(self.pools.apply_document)
        self._register_dumps()

    def engine_at(self, address: str) -> engine_client.Engine:
        """Return the client of a model engine.

        :param address: ``host:port``.
        """
        return engine_client.Engine(address, self.connections, self.streams)

    def tool_at(self, address: str) -> tools.ToolService:
        """Return the client of a tool service.

        :param address: ``host:port``.
        """
        return tools.ToolService(address, self.connections)

    def sender(self) -> attempts.Sender:
        """Return the components that send model calls."""
        return attempts.Sender(
            self.scheduler,
            self.engine_at,
            self.senders,
            self.clock,
            self.metrics,
        )

    def tool_sender(self) -> tool_calls.ToolSender:
        """Return the components that send tool calls."""
        return tool_calls.ToolSender(self.scheduler, self.tool_at)

    def _on_server_change(self, server_id: str, takes_new_work: bool) -> None:
        self.pools.on_server_change(server_id, takes_new_work)

    def _register_dumps(self) -> None:
        self.dumps.register("scheduler", self.scheduler.describe)
        self.dumps.register("backends", self.backends.describe)
        self.dumps.register("configuration", self.configuration.describe)


def _metrics(address: str) -> metrics.Metrics:
    if not address:
        return metrics.NullMetrics()
    # Metric names already include the project's prefix.
    return metrics.StatsdMetrics(address, "")
