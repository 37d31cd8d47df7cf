"""Test data and an in-memory key-value service with fault injection."""

import itertools
import threading

from balsamloom_core import clock as clocks
from balsamloom_core import outcomes
from balsamloom_platform import store as stores
from balsamloom_state import (
    budgets,
    local,
    owner,
    partitions,
    records_pb2,
)

PARTITION_COUNT = 8
DIGEST = b"d" * 16
TIMEOUT_MS = 2_000
TOOL_TIMEOUT_MS = 30_000
NEED = budgets.MaxUse(100)


class ProcessCrash(BaseException):
    """Simulated crash of the process that made the call."""


class SteppingClock(clocks.Clock):
    """Clock for one thread; each wait advances the time at once."""

    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms

    def sleep(self, duration_ms):
        self.time_ms += max(duration_ms, 0)

    def wait(self, event, timeout_ms):
        if not event.is_set():
            self.sleep(timeout_ms)
        return event.is_set()

    def wait_condition(self, condition, timeout_ms):
        self.sleep(timeout_ms)
        return False


class FakeService:
    """Data of the key-value service, shared by the clients."""

    def __init__(self):
        self.lock = threading.RLock()
        self.items = {}
        self.revision = 0
        self.write_times_ms = []

    def matches(self, comparison):
        item = self.items.get(comparison.key)
        match comparison:
            case stores.KeyAbsent():
                return item is None
            case stores.RevisionIs(mod_revision=revision):
                return item is not None and item.mod_revision == revision

    def apply(self, operations):
        self.revision += 1
        for operation in operations:
            match operation:
                case stores.Put(key=key, value=value):
                    if len(value) > stores.MAX_VALUE_BYTES:
                        raise AssertionError(f"{key}: {len(value)} bytes")
                    known = self.items.get(key)
                    created = known.create_revision if known else self.revision
                    self.items[key] = stores.Item(
                        key, value, created, self.revision
                    )
                case stores.Delete(key=key):
                    self.items.pop(key, None)

    def keys(self, prefix):
        return sorted(key for key in self.items if key.startswith(prefix))

    def size_bytes(self, prefix):
        return sum(len(self.items[key].value) for key in self.keys(prefix))


class FakeStore:
    """Client of one process; ``fault(kind, operations)`` selects a fault.

    The faults are ``unavailable`` (not applied), ``lost`` (applied, but the
    answer is lost), ``crash`` (before the call) and ``crash_after``.
    """

    def __init__(self, service, clock):
        self.service = service
        self.clock = clock
        self.fault = lambda kind, operations: ""
        self.is_dead = False
        self.calls = 0

    def get(self, key, timeout_ms=0):
        return self._call(
            "get", (), lambda: self.service.items.get(key), writes=False
        )

    def list_keys(self, prefix, limit=0, start="", timeout_ms=0):
        def read():
            keys = [key for key in self.service.keys(prefix) if key >= start]
            chosen = keys[:limit] if limit else keys
            items = [self.service.items[key] for key in chosen]
            return stores.Page(
                items, len(keys) > len(chosen), self.service.revision
            )

        return self._call("list", (), read, writes=False)

    def commit(self, comparisons, operations, timeout_ms=0):
        def write():
            if all(map(self.service.matches, comparisons)):
                self.service.apply(operations)
                return stores.Committed(self.service.revision)
            current = {
                comparison.key: self.service.items[comparison.key]
                for comparison in comparisons
                if comparison.key in self.service.items
            }
            return stores.Conflict(self.service.revision, current)

        self.service.write_times_ms.append(self.clock.now_ms())
        return self._call("commit", operations, write, writes=True)

    def _call(self, kind, operations, perform, writes):
        if self.is_dead:
            raise ProcessCrash
        self.calls += 1
        fault = self.fault(kind, operations)
        if fault == "unavailable":
            raise stores.StoreUnavailable("down", may_have_applied=False)
        if fault == "crash":
            self.is_dead = True
            raise ProcessCrash
        with self.service.lock:
            answer = perform()
        if fault == "crash_after":
            self.is_dead = True
            raise ProcessCrash
        if fault == "lost":
            raise stores.StoreUnavailable("lost", may_have_applied=writes)
        return answer


class DirectTransfer:
    """Transfer that calls the receiver in the same process."""

    def __init__(self, cluster):
        self.cluster = cluster

    def send_partition(self, receiver, partition, epoch, records):
        receiving_owner = self.cluster.owners.get(receiver.member_id)
        if receiving_owner is None:
            return False
        try:
            copies = [
                records_pb2.Record.FromString(record.SerializeToString())
                for record in records
            ]
            return receiving_owner.receive_partition(
                "sender", partition, epoch, copies
            )
        except ProcessCrash:
            return False


class Cluster:
    """Several members that share one service, all in the calling thread."""

    def __init__(self, clock=None, **settings):
        self.service = FakeService()
        self.clock = clock or SteppingClock()
        self.owners = {}
        self.stores = {}
        self.settings = local.OwnerSettings(
            **{
                "writes_in_background": False,
                "commits_per_s": 1_000,
                "commit_burst": 1_000,
                "move_threads": 1,
                **settings,
            }
        )
        self._names = itertools.count(1)
        empty = partitions.EMPTY_MAP._replace(
            version=1, partition_count=PARTITION_COUNT
        )
        self.service.apply(
            [stores.Put(partitions.KEY, partitions.encode(empty))]
        )

    def create(self):
        """Create an owner that has not joined yet."""
        name = f"m{next(self._names)}"
        self.stores[name] = FakeStore(self.service, self.clock)
        self.owners[name] = owner.ProgramOwner(
            self.stores[name],
            partitions.Member(name, f"{name}:80", f"{name}:90", "a"),
            self.clock,
            self.settings,
            DirectTransfer(self),
        )
        return self.owners[name]

    def join(self):
        """Create an owner that has joined."""
        created = self.create()
        created.join()
        return created

    def store_of(self, member):
        return self.stores[member.member.member_id]

    def kill(self, member):
        """Simulate the death of a member."""
        self.store_of(member).is_dead = True

    def map(self):
        return partitions.decode(self.service.items[partitions.KEY].value)

    def journal_keys(self, member):
        name = member.member.member_id
        return self.service.keys(f"/balsamloom/journal/{name}/")

    def rebalance(self, sender, receivers=()):
        """Rebalance until nothing moves; refresh the maps of the receivers."""
        sender.refresh_map()
        while sender.rebalance_once():
            pass
        for receiver in receivers:
            receiver.refresh_map()


def spec(**fields):
    return owner.StartSpec(customer="restwell", **fields)


def start(member, **budget):
    limits = budgets.Limits(**budget)
    return member.start_program(spec(budget=limits), TIMEOUT_MS)


def message(text):
    return {"role": "user", "content": text}


def completed(text="ok", tokens=10):
    return outcomes.Completed({"text": text}, generated_tokens=tokens)


def model_call(member, program, key, text="hi", tokens=10):
    """Run a model call and return the recorded call."""
    with member.call_lock(program, TIMEOUT_MS, key):
        begun = member.begin_call(program, key, DIGEST, NEED)
        if isinstance(begun, owner.RecordedCall):
            return begun.call
        return finish(member, program, key, completed(text, tokens), text)


def finish(member, program, key, outcome, text="", timeout_ms=TIMEOUT_MS):
    added = [message(text)] if text else []
    return member.finish(program, key, DIGEST, outcome, added, 5, timeout_ms)


def claim(member, program, key, **waits):
    """Begin and claim a tool call; the caller holds the call lock."""
    member.begin_call(program, key, DIGEST, budgets.MaxUse())
    return member.claim(
        program, key, DIGEST, "booking/book", TOOL_TIMEOUT_MS, **waits
    )


def outage(member_store, is_unavailable):
    """Make the service unavailable to a member while a function is true."""
    member_store.fault = lambda kind, operations: (
        "unavailable" if is_unavailable() else ""
    )


def fault_on_call(number, fault, kind="commit"):
    """Return a hook that fails the n-th call of a kind (``None``: any)."""
    counter = itertools.count(1)

    def hook(found, operations):
        if kind in (found, None) and next(counter) == number:
            return fault
        return ""

    return hook
