"""Adapters from platform clients to the host and load watches."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from balsamloom_entry import components as process_components
from balsamloom_membership import backends, host_watch, load_watch
from balsamloom_platform import engines, hosts
from balsamloom_policy import calls as policy_calls

READ_TIMEOUT_MS = 800
SERVING = "serving"


class ServerLoad(NamedTuple):
    """Load report with the name of the server's state."""

    state: str
    load: engines.LoadReport


def load_reader(
    parts: process_components.Components,
) -> Callable[[backends.Server], load_watch.LoadReport]:
    """Return a function that reads one server's load report.

    :param parts: parts of the process.
    """

    def read(server: backends.Server) -> ServerLoad:
        load = parts.engine_at(server.address).load(READ_TIMEOUT_MS)
        state = load_watch.DRAINING if load.is_draining else SERVING
        return ServerLoad(state, load)

    return read


def load_reporter(
    parts: process_components.Components,
) -> Callable[[str, load_watch.LoadReport], None]:
    """Return a function that passes load reports to the scheduler.

    :param parts: parts of the process.
    """

    def report(server_id: str, server_load: load_watch.LoadReport) -> None:
        assert isinstance(server_load, ServerLoad)
        load = server_load.load
        parts.scheduler.update_load(
            server_id,
            policy_calls.LoadReport(
                load.running, load.waiting, load.tokens_per_s, load.age_ms
            ),
        )

    return report


def host_fetcher(
    host_list: hosts.HostList,
) -> Callable[[], Sequence[host_watch.Host]]:
    """Return a function that reads the host list.

    :param host_list: client of the host list.
    """

    def fetch() -> list[host_watch.Host]:
        return [
            host_watch.Host(
                host.host_id,
                host.kind,
                host.address,
                host.failure_domain,
                host.is_leaving,
                host.incarnation,
            )
            for host in host_list.hosts()
        ]

    return fetch
