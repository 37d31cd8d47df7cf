"""Scheduler pools of the backend servers in the configuration."""

from __future__ import annotations

from typing import Any

from balsamloom_configuration import document as documents
from balsamloom_configuration import schemas
from balsamloom_core import settings
from balsamloom_membership import backends
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings


class ServerPools:
    """Applies the configuration to the scheduler and the backend table.

    :param scheduler: receives the servers of each pool.
    :param table: states of the backend servers.
    """

    def __init__(
        self, scheduler: schedulers.Scheduler, table: backends.BackendTable
    ) -> None:
        self._scheduler = scheduler
        self._table = table
        self._servers: dict[str, policy_calls.Server] = {}
        self._pools: set[str] = set()

    def apply_document(self, document: documents.Document) -> None:
        """Apply a configuration that comes into force.

        :param document: checked document.
        """
        routing = document.content("routing")
        self._scheduler.update_settings(policy_settings.from_document(routing))
        servers: dict[str, policy_calls.Server] = {}
        for kind in ("models", "services"):
            for name, entry in document.merged(kind).items():
                for server in entry["servers"]:
                    servers[server["id"]] = _to_server(server, name)
        self._servers = servers
        self._table.set_servers(
            backends.Server(server.server_id, server.pool, server.address)
            for server in servers.values()
        )
        for kind in ("models", "services"):
            for entry in document.merged(kind).values():
                for server in entry["servers"]:
                    self._observe_server(server)
        removed = self._pools - {server.pool for server in servers.values()}
        self._pools |= {server.pool for server in servers.values()}
        for pool in self._pools:
            self._update_pool(pool)
        self._pools -= removed

    def on_server_change(self, server_id: str, takes_new_work: bool) -> None:
        """Update the pool of a server whose state has changed.

        :param server_id: backend server.
        :param takes_new_work: unused; the backend table has the state.
        """
        server = self._servers.get(server_id)
        if server is not None:
            self._update_pool(server.pool)

    def address_of(self, server_id: str) -> str | None:
        """Return the address of a backend server, none if it is unknown.

        :param server_id: backend server.
        """
        server = self._servers.get(server_id)
        return server.address if server else None

    def _update_pool(self, pool: str) -> None:
        servers = [
            server._replace(
                is_leaving=not self._table.takes_new_work(server.server_id)
            )
            for server in self._servers.values()
            if server.pool == pool
        ]
        self._scheduler.update_servers(pool, servers)

    def _observe_server(self, server: dict[str, Any]) -> None:
        checked = settings.with_defaults(server, schemas.SERVER)
        self._table.observe(
            backends.Origin.CONFIGURATION,
            checked["id"],
            checked["draining"],
            checked["incarnation"],
        )


def _to_server(server: dict[str, Any], pool: str) -> policy_calls.Server:
    checked = settings.with_defaults(server, schemas.SERVER)
    return policy_calls.Server(
        checked["id"], checked["address"], pool, checked["concurrency"]
    )
