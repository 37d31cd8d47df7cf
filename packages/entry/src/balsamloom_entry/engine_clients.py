"""Engine clients for the memory sweep and for the control of engines."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from balsamloom_configuration import document as documents
from balsamloom_configuration import schemas
from balsamloom_core import settings
from balsamloom_entry import components as process_components
from balsamloom_entry import orders, sweep
from balsamloom_platform import engines

# Limits the engines that a process reads in fleets with engine controllers.
MAX_SWEPT_ENGINES = 64


class EngineMemoryClient:
    """Client for the memory that an engine holds.

    :param engine: client of the engine.
    """

    def __init__(self, engine: engines.ModelEngine) -> None:
        self._engine = engine

    def holds(self, timeout_ms: int) -> list[sweep.Hold]:
        """Return the memory held for each tag.

        :param timeout_ms: longest wait.
        """
        return [
            sweep.Hold(hold.tag, hold.size_bytes)
            for hold in self._engine.holds(timeout_ms)
        ]

    def release(self, tags: Sequence[str], timeout_ms: int) -> None:
        """Release memory and cancel the requests that still use it.

        :param tags: tags to release.
        :param timeout_ms: longest wait for each response.
        """
        running = {
            hold.tag
            for hold in self._engine.holds(timeout_ms)
            if hold.is_running
        }
        for tag in running.intersection(tags):
            self._engine.cancel(tag, timeout_ms)
        self._engine.release(tags, timeout_ms)


class EngineOrderClient:
    """Client for orders to an engine.

    :param engine: client of the engine.
    :param sender: own member id, recorded by the engine.
    """

    def __init__(self, engine: engines.ModelEngine, sender: str) -> None:
        self._engine = engine
        self._sender = sender

    def send_order(
        self, order: orders.Order, fence: int, timeout_ms: int
    ) -> None:
        """Send an order.

        :param order: order to the engine.
        :param fence: fencing number of the controller.
        :param timeout_ms: longest wait.
        :raises OrderRefused: if the engine has seen a higher fencing number.
        """
        sent = engines.Order(str(order.kind), order.value)
        if not self._engine.send_order(sent, fence, self._sender, timeout_ms):
            applied = self._engine.orders(timeout_ms).applied
            newest = max((entry.fence for entry in applied), default=fence)
            raise orders.OrderRefused(newest)

    def read_orders(self, timeout_ms: int) -> orders.EngineState:
        """Return the state that the engine reports.

        :param timeout_ms: longest wait.
        """
        in_force = self._engine.orders(timeout_ms).in_force
        return orders.EngineState(
            in_force.get(orders.OrderKind.LOAD_MODEL, ""),
            in_force.get(orders.OrderKind.LOAD_ADAPTER, ""),
            in_force.get(orders.OrderKind.SET_ROLE, ""),
        )


def swept_engines(
    components: process_components.Components,
) -> dict[str, sweep.Engine]:
    """Return the model engines whose memory this process sweeps, by id.

    A process releases only the memory of programs in its own partitions, so
    every process reads every engine. With more than
    :data:`MAX_SWEPT_ENGINES` engines it reads only those that it follows.

    :param components: components of the process.
    """
    models = components.configuration.document.merged("models")
    addresses = {
        server["id"]: server["address"]
        for entry in models.values()
        for server in entry["servers"]
    }
    if len(addresses) > MAX_SWEPT_ENGINES:
        addresses = {
            server.server_id: server.address
            for server in components.backends.followed()
            if server.pool in models
        }
    return {
        name: EngineMemoryClient(components.engine_at(address))
        for name, address in addresses.items()
    }


def desired_engines(
    document: documents.Document,
) -> Mapping[str, orders.DesiredEngine]:
    """Return the desired state of each engine by id.

    :param document: configuration in force.
    """
    desired = {}
    for name, entry in document.content("engines").items():
        checked = settings.with_defaults(entry, schemas.ENGINE)
        state = orders.EngineState(
            checked["model"], checked["adapter"], checked["role"]
        )
        desired[name] = orders.DesiredEngine(
            state, not checked["ignores_fence"]
        )
    return desired
