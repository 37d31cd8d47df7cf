"""Fakes and builders for the tests of the entry process."""

import concurrent.futures
import json

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results, settings
from balsamloom_entry import attempts, feeds, orders, permits, schema, sweep
from balsamloom_entry import limits as call_limits
from balsamloom_platform import engines, metrics
from balsamloom_platform import store as stores
from balsamloom_policy import calls as policy_calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings
from balsamloom_state import partitions

ENGINE = "rota-1"
PARTITIONS = 16
OLD = orders.EngineState("model-a", "", "prefill")
NEW = orders.EngineState("model-b", "adapter-b", "decode")


class MemoryStore:
    """In-memory store that can fail or lose the responses of commits."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.responses_to_lose = 0
        self.is_down = False

    def get(self, key, timeout_ms=0):
        if self.is_down:
            raise stores.StoreUnavailable("down", False)
        return self.items.get(key)

    def commit(self, comparisons, operations, timeout_ms=0):
        if self.is_down:
            raise stores.StoreUnavailable("down", False)
        for comparison in comparisons:
            item = self.items.get(comparison.key)
            revision = item.mod_revision if item else 0
            if revision != getattr(comparison, "mod_revision", 0):
                return stores.Conflict(self.revision, {})
        self.revision += 1
        for put in operations:
            self.items[put.key] = stores.Item(
                put.key, put.value, 0, self.revision
            )
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise stores.StoreUnavailable("answer lost", True)
        return stores.Committed(self.revision)


class FakeEngine:
    """Engine that checks or ignores fencing tokens.

    ``before_apply`` runs once, after the next order is sent and before it
    takes effect. It simulates a paused sender or a slow network.
    """

    def __init__(self, enforces_fence, state=OLD):
        self.enforces_fence = enforces_fence
        self.state = state
        self.fence = 0
        self.received = []
        self.before_apply = None

    def send_order(self, order, fence, timeout_ms):
        hook, self.before_apply = self.before_apply, None
        if hook is not None:
            hook()
        if self.enforces_fence and fence < self.fence:
            raise orders.OrderRefused(self.fence)
        self.fence = max(self.fence, fence)
        self.received.append((fence, order))
        field = {
            orders.OrderKind.LOAD_MODEL: "model",
            orders.OrderKind.LOAD_ADAPTER: "adapter",
            orders.OrderKind.SET_ROLE: "role",
        }[order.kind]
        self.state = self.state._replace(**{field: order.value})

    def read_orders(self, timeout_ms):
        return self.state


class Fleet:
    """Two controllers of one engine that share a store and a clock."""

    def __init__(self, enforces_fence, state=OLD):
        self.clock = clocks.ManualClock()
        self.store = MemoryStore()
        self.engine = FakeEngine(enforces_fence, state)
        self.enforces_fence = enforces_fence
        self.desired = {"m1": OLD, "m2": NEW}
        self.maps = {}
        self.controls = {name: self._control(name) for name in self.desired}
        self.set_owner("m1")
        self.publish_map_to("m1", "m2")

    def set_owner(self, member_id):
        """Make a member the owner of the engine's partition in the store."""

        def change(current):
            number = orders.engine_partition(ENGINE, PARTITIONS)
            old = current.owners.get(number)
            epoch = old.epoch + 1 if old else 1
            owners = {number: partitions.Ownership(member_id, epoch)}
            return current._replace(partition_count=PARTITIONS, owners=owners)

        partitions.update(self.store, change)

    def publish_map_to(self, *member_ids):
        """Give members the map that is in the store."""
        for member_id in member_ids:
            self.maps[member_id] = partitions.load(self.store)[0]

    def run(self, member_id, duration_ms):
        for _ in range(int(duration_ms / 500)):
            self.controls[member_id].reconcile(ENGINE)
            self.clock.advance(500)

    def _control(self, member_id):
        return orders.OrderController(
            member_id,
            self.store,
            self.clock,
            lambda: self.maps[member_id],
            lambda: {
                ENGINE: orders.DesiredEngine(
                    self.desired[member_id], self.enforces_fence
                )
            },
            lambda engine_id: self.engine,
            permits.PermitTable(self.store, member_id, self.clock),
        )


class HoldingEngine:
    """Engine that holds memory by tag and can fail."""

    def __init__(self, *tags):
        self.held = dict.fromkeys(tags, 10)
        self.fails = False

    def holds(self, timeout_ms):
        if self.fails:
            raise errors.BalsamloomError(results.ResultCode.BACKEND_TIMEOUT)
        return [sweep.Hold(tag, size) for tag, size in self.held.items()]

    def release(self, tags, timeout_ms):
        for tag in tags:
            del self.held[tag]


def map_of(owners):
    return partitions.PartitionMap(
        1,
        PARTITIONS,
        {},
        {
            number: partitions.Ownership(member_id, epoch)
            for number, (member_id, epoch) in owners.items()
        },
        (),
    )


class ScriptedEngine:
    """Model engine whose ``chat`` returns a stream or raises an error."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.cancelled = []

    def chat(self, body, tag, connect_timeout_ms, read_timeout_ms):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def cancel(self, tag_prefix, timeout_ms=0):
        self.cancelled.append(tag_prefix)
        return 1


class ScriptedStream:
    """Engine stream of batches; an exception among them is raised."""

    def __init__(self, *batches, is_whole=True):
        self._batches = batches
        self.is_whole = False
        self._ends_whole = is_whole
        self.is_closed = False

    def batches(self):
        for batch in self._batches:
            if isinstance(batch, Exception):
                raise batch
            yield batch
        self.is_whole = self._ends_whole

    def close(self):
        self.is_closed = True


def chunk(text):
    delta = {"content": text}
    return engines.Chunk(json.dumps({"choices": [{"delta": delta}]}))


def failure(was_sent):
    code = (
        results.ResultCode.BACKEND_ERROR
        if was_sent
        else results.ResultCode.NOT_SENT
    )
    return engines.EngineError(code, "scripted", was_sent)


def sender(scripted, case, **settings):
    """Return a sender to one pool ``m`` of engines keyed by server id."""
    clock = clocks.Clock()
    values = policy_settings.PolicySettings(**settings)
    scheduler = schedulers.Scheduler(clock, values, 1)
    scheduler.update_servers(
        "m",
        [policy_calls.Server(name, name, "m", 4) for name in scripted],
    )
    executor = concurrent.futures.ThreadPoolExecutor(8)
    case.addCleanup(executor.shutdown, wait=False)
    return attempts.Sender(
        scheduler,
        scripted.__getitem__,
        executor,
        clock,
        metrics.NullMetrics(),
    )


def model_attempts(call_sender, timeout_ms=5_000, has_budget=True):
    """Return the attempts of one call and its feed.

    :param has_budget: whether the budget allows retries.
    """
    end_ms = call_sender.clock.now_ms() + timeout_ms
    profile = policy_calls.CallProfile(
        "p", "c", "m", deadline_ms=end_ms, is_idempotent=True
    )
    request = attempts.ModelRequest(
        {}, "p/1/k", profile, end_ms, lambda: has_budget
    )
    feed = feeds.Feed(call_sender.clock)
    limits = call_limits.CallLimits()
    return attempts.ModelAttempts(call_sender, request, limits, feed), feed


def entry_settings(**changes):
    """Return checked settings of a process whose store is not reachable."""
    document = {
        "name": "a1",
        "http_address": "127.0.0.1:0",
        "failure_domain": "a",
        "store_address": "127.0.0.1:9",
        "linger_ms": 0,
        "stop_timeout_ms": 10_000,
    }
    return settings.with_defaults({**document, **changes}, schema.SCHEMA)
