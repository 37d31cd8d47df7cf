"""Orders to model engines: model, adapter and role.

Each engine has one controller, the owner of the partition that its id hashes
to. A new controller raises the engine's fencing number in the store, in one
transaction with a check that it still owns the partition.

Engines that ignore fencing numbers need three more measures. A new controller
waits until no order of its predecessor can be in flight. It sends an order
only right after it checked the fencing number. It reads the state back
periodically, which corrects an order that a paused predecessor sends later.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import enum
import hashlib
import json
import logging
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from balsamloom_core import clock as clocks
from balsamloom_core import errors, events, results
from balsamloom_entry import permits
from balsamloom_platform import store as stores
from balsamloom_state import partitions

KEY_PREFIX = "/balsamloom/engines/"
ORDER_TIMEOUT_MS = 5_000
READ_TIMEOUT_MS = 1_000
RECONCILE_INTERVAL_MS = 1_000
MAX_PARALLEL_ENGINES = 4


class OrderKind(enum.StrEnum):
    """Part of the engine's state that an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """Order to an engine; ``value`` is the new model, adapter or role."""

    kind: OrderKind
    value: str


class EngineState(NamedTuple):
    """Reported or desired state of an engine.

    An empty field means none in a reported state and any in a desired state.
    """

    model: str = ""
    adapter: str = ""
    role: str = ""


class DesiredEngine(NamedTuple):
    """Entry of the ``engines`` section of the configuration."""

    state: EngineState
    enforces_fence: bool = False


class OrderSettings(NamedTuple):
    """Timing of orders to engines.

    ``order_in_flight_ms`` must exceed the time after which an order can no
    longer take effect, the sum of ``send_window_ms`` and
    :data:`ORDER_TIMEOUT_MS`.
    """

    order_in_flight_ms: int = 10_000
    send_window_ms: int = 1_000
    read_back_interval_ms: int = 3_000


class OrderRefused(errors.BalsamloomError):
    """An engine refused an order because of its fencing number.

    :param current_fence: highest fencing number that the engine has seen.
    """

    def __init__(self, current_fence: int) -> None:
        super().__init__(
            results.ResultCode.BACKEND_ERROR,
            f"order refused: the engine has seen fencing number "
            f"{current_fence}",
        )
        self.current_fence = current_fence


class Engine(Protocol):
    """Client for orders to an engine."""

    def send_order(self, order: Order, fence: int, timeout_ms: int) -> None:
        """Send an order.

        :raises OrderRefused: if the engine has seen a higher fencing number.
        :raises BalsamloomError: on any other failure.
        """

    def read_orders(self, timeout_ms: int) -> EngineState:
        """Return the state that the engine reports."""


@dataclasses.dataclass
class _Claim:
    fence: int
    claimed_at_ms: float
    next_check_ms: float = 0.0


class OrderController:
    """Reconciles the engines that this member controls.

    :param self_id: own member id.
    :param store: key-value service.
    :param clock: source of time.
    :param map_source: returns the partition map that was read last.
    :param desired: returns the desired state of each engine by id.
    :param client: returns the client of an engine.
    :param permit_table: permits to load weights.
    :param settings: timing.
    """

    def __init__(
        self,
        self_id: str,
        store: stores.Store,
        clock: clocks.Clock,
        map_source: Callable[[], partitions.PartitionMap],
        desired: Callable[[], Mapping[str, DesiredEngine]],
        client: Callable[[str], Engine],
        permit_table: permits.PermitTable,
        settings: OrderSettings | None = None,
    ) -> None:
        self._self_id = self_id
        self._store = store
        self._clock = clock
        self._map_source = map_source
        self._desired = desired
        self._client = client
        self._permits = permit_table
        self._settings = settings or OrderSettings()
        in_flight_ms = self._settings.send_window_ms + ORDER_TIMEOUT_MS
        if self._settings.order_in_flight_ms <= in_flight_ms:
            raise errors.BalsamloomError(
                results.ResultCode.SETTINGS_INVALID,
                f"order_in_flight_ms: {self._settings.order_in_flight_ms} is "
                f"not above {in_flight_ms}, the time an order may take",
            )
        self._claims: dict[str, _Claim] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start a thread that reconciles the engines periodically."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop the thread once the orders in progress have been sent."""
        self._stopped.set()

    def reconcile(self, engine_id: str) -> None:
        """Send the next order that an engine needs, if any.

        :param engine_id: engine in the ``engines`` section.
        :raises BalsamloomError: if the store or the engine fails; the next
            call retries.
        """
        desired = self._desired().get(engine_id)
        if desired is None or not self._is_controller(
            self._map_source(), engine_id
        ):
            self._claims.pop(engine_id, None)
            return
        claim = self._claims.get(engine_id) or self._claim(engine_id)
        if claim is None:
            return
        now_ms = self._clock.now_ms()
        may_send_at_ms = claim.claimed_at_ms
        if not desired.enforces_fence:
            may_send_at_ms += self._settings.order_in_flight_ms
        if now_ms < max(may_send_at_ms, claim.next_check_ms):
            return
        client = self._client(engine_id)
        state = client.read_orders(READ_TIMEOUT_MS)
        order = next_order(state, desired.state)
        if order is None:
            claim.next_check_ms = now_ms + self._settings.read_back_interval_ms
            return
        self._send_with_permit(engine_id, claim, client, order)

    def reconcile_all(self) -> None:
        """Reconcile each engine once, a few engines in parallel."""
        with concurrent.futures.ThreadPoolExecutor(
            MAX_PARALLEL_ENGINES
        ) as executor:
            list(executor.map(self._reconcile_and_log, list(self._desired())))

    def _send_with_permit(
        self, engine_id: str, claim: _Claim, client: Engine, order: Order
    ) -> None:
        if order.kind is not OrderKind.LOAD_MODEL:
            self._send(engine_id, claim, client, order)
            return
        permit = self._permits.acquire(engine_id)
        if permit is None:
            return
        try:
            if self._permits.is_valid(permit):
                self._send(engine_id, claim, client, order)
        finally:
            self._permits.release(permit)

    def _send(
        self, engine_id: str, claim: _Claim, client: Engine, order: Order
    ) -> None:
        checked_at_ms = self._clock.now_ms()
        record, _ = self._read_record(engine_id)
        if record != (claim.fence, self._self_id):
            self._claims.pop(engine_id, None)
            return
        age_ms = self._clock.now_ms() - checked_at_ms
        if age_ms > self._settings.send_window_ms:
            return
        events.log(
            events.Event.ORDER_SENT,
            engine_id=engine_id,
            kind=order.kind,
            value=order.value,
            fence=claim.fence,
        )
        try:
            client.send_order(order, claim.fence, ORDER_TIMEOUT_MS)
        except OrderRefused as refused:
            self._claims.pop(engine_id, None)
            events.log(
                events.Event.ORDER_REFUSED,
                logging.WARNING,
                engine_id=engine_id,
                fence=claim.fence,
                current_fence=refused.current_fence,
            )
            self._claim(engine_id, refused.current_fence)

    def _claim(self, engine_id: str, min_fence: int = 0) -> _Claim | None:
        """Raise the fencing number if this member owns the partition.

        The transaction also compares the map's revision, so a member with an
        old map cannot raise the number above that of its successor.
        """
        current, map_revision = partitions.load(self._store)
        if not map_revision or not self._is_controller(current, engine_id):
            return None
        (fence, _), revision = self._read_record(engine_id)
        key = KEY_PREFIX + engine_id
        raised = max(fence, min_fence) + 1
        comparison: stores.Comparison = stores.KeyAbsent(key)
        if revision:
            comparison = stores.RevisionIs(key, revision)
        value = json.dumps({"fence": raised, "holder_id": self._self_id})
        outcome = self._store.commit(
            [comparison, stores.RevisionIs(partitions.KEY, map_revision)],
            [stores.Put(key, value.encode())],
        )
        if not isinstance(outcome, stores.Committed):
            return None
        claim = _Claim(raised, self._clock.now_ms())
        self._claims[engine_id] = claim
        return claim

    def _read_record(self, engine_id: str) -> tuple[tuple[int, str], int]:
        item = self._store.get(KEY_PREFIX + engine_id)
        if item is None:
            return (0, ""), 0
        document = json.loads(item.value)
        return (document["fence"], document["holder_id"]), item.mod_revision

    def _is_controller(
        self, current: partitions.PartitionMap, engine_id: str
    ) -> bool:
        partition = engine_partition(engine_id, current.partition_count)
        ownership = current.owners.get(partition)
        return ownership is not None and ownership.member_id == self._self_id

    def _reconcile_and_log(self, engine_id: str) -> None:
        try:
            self.reconcile(engine_id)
        except errors.BalsamloomError as error:
            events.log(
                events.Event.ORDER_REFUSED,
                logging.WARNING,
                engine_id=engine_id,
                error=error.message,
            )

    def _run(self) -> None:
        while not self._clock.wait(self._stopped, RECONCILE_INTERVAL_MS):
            self.reconcile_all()


def engine_partition(engine_id: str, partition_count: int) -> int:
    """Return the partition whose owner controls an engine.

    :param engine_id: engine.
    :param partition_count: number of partitions in the map.
    """
    digest = hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partition_count


def next_order(state: EngineState, desired: EngineState) -> Order | None:
    """Return the first order that the engine still needs.

    An adapter belongs to a model, so the model comes first.

    :param state: state that the engine reports.
    :param desired: desired state.
    """
    for kind, reported, target in (
        (OrderKind.LOAD_MODEL, state.model, desired.model),
        (OrderKind.LOAD_ADAPTER, state.adapter, desired.adapter),
        (OrderKind.SET_ROLE, state.role, desired.role),
    ):
        if target and reported != target:
            return Order(kind, target)
    return None
