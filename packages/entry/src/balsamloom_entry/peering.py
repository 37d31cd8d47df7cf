"""Handlers for the messages of peers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from balsamloom_entry import components as process_components
from balsamloom_entry import forwarding, session, transfers
from balsamloom_peers import messages
from balsamloom_peers import server as peer_servers
from balsamloom_state import partitions


class PeerHandlers:
    """Dispatches messages of peers to the current session.

    :param components: components of the process.
    :param current: returns the current session.
    """

    def __init__(
        self,
        components: process_components.Components,
        current: Callable[[], session.Session],
    ) -> None:
        self._components = components
        self._current = current

    def heartbeat(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Record a peer's state and return the state of this member.

        :param heartbeat: state of the peer.
        """
        return self._current().liveness.handle_heartbeat(heartbeat)

    def probe(self, probe: messages.Probe) -> bool:
        """Return whether the probed member answers this process.

        :param probe: member to check.
        """
        return self._current().liveness.handle_probe(probe)

    def forward(
        self,
        request: messages.ForwardRequest,
        context: peer_servers.ForwardContext,
    ) -> Iterator[messages.ForwardChunk]:
        """Run a request as owner and yield its response as it is produced.

        :param request: request that a peer forwarded.
        :param context: unused, since a call continues without its caller.
        """
        return forwarding.handle_forwarded(self._current().router, request)

    def transfer_partition(
        self, transfer: messages.Transfer
    ) -> messages.TransferResult:
        """Make a partition durable.

        :param transfer: snapshots of the partition.
        """
        return transfers.receive(self._current().owner, transfer)

    def get_configuration(
        self, at_least_revision: int
    ) -> messages.Configuration:
        """Return the configuration changes since a revision.

        :param at_least_revision: revision that the peer holds, zero for none.
        """
        configuration = self._components.configuration
        return messages.Configuration(
            configuration.revision, configuration.encoded(at_least_revision)
        )

    def get_map(self) -> messages.MapDocument:
        """Return the partition map that was read last."""
        current = self._current().owner.map
        return messages.MapDocument(
            current.version, partitions.encode(current)
        )
