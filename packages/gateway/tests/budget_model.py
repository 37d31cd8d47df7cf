"""Model of one program's budget at several holders, without threads.

The edges are built of the real accounts, recorder, failover and messages. The
model scripts what lies between them: time, network, store and losses. Its
callers judge each refusal by the rule that a 402 must follow.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import logging
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple
from unittest import mock

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    background,
    budget_ledger,
    budgets,
    fleet,
    interfaces,
    ledger,
    ledger_records,
    peer_service,
    peers,
    registration_records,
    standbys,
    usage_journal,
)

NAMES = ("m1", "m2", "m3", "m4")
PROGRAM = "p"
KEY = "ledger/p"
# A turn that ended whole counts at its use after this time.
SETTLE_MS = 1_000.0
LEASE_MS = 3_000.0
SLOW_CALL_MS = 100.0
# Longer waits of a recorder mean that nothing is due.
MAX_ROUND_WAIT_MS = 1_000.0
MAX_RETRIES = 4
RETRY_DELAY_MS = 400.0
PEER_CALL_MS = 1.0


class StoreMode(enum.Enum):
    """What becomes of a transaction."""

    UP = "up"
    SLOW = "slow"
    REFUSED = "refused"
    NOT_APPLIED = "not applied"
    ANSWER_LOST = "answer lost"
    LATE = "late"


class End(enum.Enum):
    """How a turn ended."""

    WHOLE = "whole"
    # Its caller got a part, of which the edge told the holder.
    BROKEN_OFF = "broken off"
    NEVER_RAN = "never ran"
    # It ended whole, but the holder is not told.
    NOT_TOLD = "not told"


class Reserve(NamedTuple):
    """A turn asks an edge; the recorder is too slow unless ``is_timely``."""

    name: str
    tokens: int
    is_timely: bool = True


class Settle(NamedTuple):
    """The oldest running turn, or a later one, ends."""

    number: int = 0
    used_percent: int = 10
    end: End = End.WHOLE


class EndTurns(NamedTuple):
    """All running turns end."""

    used_percent: int = 10
    end: End = End.WHOLE


class Record(NamedTuple):
    """A holder's recorder runs once; other steps happen during its call."""

    name: str
    mode: StoreMode | None = None
    during: tuple[Step, ...] = ()


class Wait(NamedTuple):
    """Time passes, and all recorders run if they have work."""

    duration_ms: float = 400.0


class SetStore(NamedTuple):
    """The store begins to answer in another way."""

    mode: StoreMode


class SetJournal(NamedTuple):
    """The storage hosts begin to answer, or answer no more."""

    is_up: bool


class KeepTurns(NamedTuple):
    """Whole turns are kept on storage hosts from now on, or not."""

    is_kept: bool


class ApplyLate(NamedTuple):
    """Late transactions reach the store."""


class Kill(NamedTuple):
    """Processes end at once; their leases last."""

    names: tuple[str, ...]


class Expire(NamedTuple):
    """Leases of processes that do not renew them run out."""


class Start(NamedTuple):
    """A process starts in place of an ended one."""

    name: str


class Stop(NamedTuple):
    """A process ends as planned and releases its budgets."""

    name: str


class Freeze(NamedTuple):
    """A process halts; calls to it wait."""

    name: str


class Thaw(NamedTuple):
    """A halted process goes on."""

    name: str


class LoseLease(NamedTuple):
    """A process that runs loses its lease."""

    name: str


class Register(NamedTuple):
    """A process that lost its lease registers again."""

    name: str


class RewriteAsFormer(NamedTuple):
    """A process of the release before allocates a turn and runs it."""

    tokens: int


Step = (
    Reserve
    | Settle
    | EndTurns
    | Record
    | Wait
    | SetStore
    | SetJournal
    | KeepTurns
    | ApplyLate
    | Kill
    | Expire
    | Start
    | Stop
    | Freeze
    | Thaw
    | LoseLease
    | Register
    | RewriteAsFormer
)


@dataclasses.dataclass
class Turn:
    """Turn that got tokens; ``edge`` relays it to its caller."""

    tokens: int
    edge: Edge | None
    grant: budgets.Grant | None
    used_tokens: int = 0
    end: End | None = None
    ended_ms: float = 0.0

    @property
    def handed_out_tokens(self) -> int:
        """Return what its caller got, or may get while it runs."""
        return self.tokens if self.end is None else self.used_tokens

    def counted_tokens(self, now_ms: float) -> int:
        """Return what it counts when a refusal is judged."""
        match self.end:
            case End.NEVER_RAN:
                return 0
            case End.WHOLE | End.NOT_TOLD:
                is_settled = self.ended_ms <= now_ms - SETTLE_MS
                return self.used_tokens if is_settled else self.tokens
            case _:
                return self.tokens


class WrongRefusal(NamedTuple):
    """Refusal for good of a turn that the budget held."""

    name: str
    tokens: int
    counted_tokens: int
    reason: object


class _RoundOverError(BaseException):
    """A recorder has done what was due."""


class _KilledError(BaseException):
    """The process that runs this code was killed."""

    def __init__(self, edge: Edge) -> None:
        super().__init__(edge.id)
        self.edge = edge


class _Clock(clocks.Clock):
    """Clock whose waits are scripted by the model."""

    def __init__(self) -> None:
        self._now_ms = 1_000_000.0
        self.books: dict[int, _Book] = {}

    def now_ms(self) -> float:
        return self._now_ms

    def advance(self, duration_ms: float) -> None:
        self._now_ms += duration_ms

    def sleep(self, duration_ms: float) -> None:
        self.advance(max(duration_ms, 0.0))

    def wait_condition(self, condition: Any, timeout_ms: float) -> bool:
        self.books[id(condition._lock)].wait(timeout_ms)
        return True


class _Book(budget_ledger.BudgetLedger):
    """Ledger that runs in the threads of its callers.

    ``frames`` are the calls in progress: a turn waits for a record, or the
    recorder waits for work.
    """

    def __init__(self, edge: Edge, is_restart: bool) -> None:
        world = edge.world
        super().__init__(
            _Store(edge), builders.Records(), world.clock, is_restart, edge.id
        )
        self.world = world
        world.clock.books[id(self._changed._lock)] = self
        self.frames: list[str] = []
        self.is_recording = False
        self.is_timely = True
        self._has_waited = False

    def reserve(self, *arguments: Any, **options: Any) -> Any:
        self.frames.append("reserve")
        try:
            return super().reserve(*arguments, **options)
        finally:
            self.frames.pop()

    def run_once(self) -> None:
        """Let the recorder do what is due now or soon."""
        if self.is_recording:
            return
        self.is_recording = True
        self._has_waited = False
        self.frames.append("recorder")
        try:
            self.run()
        except _RoundOverError:
            pass
        finally:
            self.frames.pop()
            self.is_recording = False

    def wait(self, timeout_ms: float) -> None:
        """Let time pass for the innermost call in progress."""
        if self.frames[-1] == "reserve":
            if self.is_recording or not self.world.is_timely:
                self.world.clock.advance(timeout_ms)
            else:
                self.run_once()
            return
        if self._has_waited or timeout_ms > MAX_ROUND_WAIT_MS:
            raise _RoundOverError
        self._has_waited = True
        self.world.clock.advance(timeout_ms)

    def end_waits(self) -> None:
        """End the round of the recorder when it waits again."""
        self._has_waited = True


class _Store:
    """Connection of one edge to the store."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    def transact(
        self,
        conditions: Sequence[interfaces.Condition],
        writes: Sequence[interfaces.Write],
        deletes: Sequence[str] = (),
    ) -> interfaces.TransactionResult:
        edge = self._edge
        world = edge.world
        edge.book.end_waits()
        mode = world.next_mode or world.mode
        world.next_mode = None
        during, world.during = world.during, ()
        if mode is not StoreMode.REFUSED:
            world.clock.advance(1.0)
        if mode is StoreMode.SLOW:
            world.clock.advance(SLOW_CALL_MS)
        result = None
        if mode in (StoreMode.ANSWER_LOST, StoreMode.UP):
            result = world.store.transact(conditions, writes, deletes)
        for step in during:
            world.apply(step)
        if not edge.is_alive:
            raise _KilledError(edge)
        match mode:
            case StoreMode.REFUSED:
                raise interfaces.StoreUnavailableError("refused")
            case StoreMode.NOT_APPLIED | StoreMode.ANSWER_LOST:
                raise interfaces.StoreOutcomeUnknownError("no answer")
            case StoreMode.LATE:
                world.late.append((conditions, writes, deletes))
                raise interfaces.StoreOutcomeUnknownError("no answer")
            case StoreMode.SLOW:
                return world.store.transact(conditions, writes, deletes)
        assert result is not None
        return result


class _Journal:
    """Connection of one edge to the storage hosts."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    def write(self, entries: Sequence[usage_journal.UsageEntry]) -> bool:
        world = self._edge.world
        world.clock.advance(PEER_CALL_MS)
        return world.journal.write(entries)

    def read(self, program_id: str) -> usage_journal.JournalAnswer:
        world = self._edge.world
        world.clock.advance(PEER_CALL_MS)
        return world.journal.read(program_id)


class _Network:
    """Connections of one edge to the others."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    def call(
        self, address: str, path: str, body: Any, timeout_ms: float
    ) -> dict[str, Any]:
        world = self._edge.world
        world.clock.advance(PEER_CALL_MS)
        other = world.edges.get(address.partition(":")[0])
        if other is None or not other.is_alive or other.is_closed:
            raise peers.PeerUnreachableError(address)
        message = builders.as_json(body)
        if other.is_frozen:
            other.queued.append((path, message))
            world.clock.advance(timeout_ms)
            raise peers.PeerTimeoutError(address)
        started_ms = world.clock.now_ms()
        try:
            answer = builders.as_json(other.service.calls[path](message) or {})
        except _KilledError as error:
            if error.edge is not other:
                raise
            raise peers.PeerConnectionLostError(address) from None
        if other.is_frozen or world.clock.now_ms() - started_ms > timeout_ms:
            raise peers.PeerTimeoutError(address)
        return answer


class _Planner:
    """Planner that leaves the servers to the callers."""

    def plan(self, *_: object) -> None:
        """Plan nothing."""

    def finish(self, *_: object) -> None:
        """Ignore how a turn ended."""


class Edge:
    """Process of one edge.

    :param world: what surrounds it.
    :param name: name of its member.
    :param number: incarnation.
    """

    def __init__(self, world: World, name: str, number: int) -> None:
        self.world = world
        self.name = name
        self.member = builders.member(name, str(number))
        self.id = standbys.holder_id(name, str(number))
        self.is_alive = True
        self.is_frozen = False
        # Whether it accepts no calls, at its planned stop.
        self.is_closed = False
        self.queued: list[tuple[str, Any]] = []
        self.book = _Book(self, is_restart=number > 1)
        self.view = fleet.Fleet(builders.Records(), world.clock)
        network = _Network(self)
        self.book.standbys = standbys.PeerStandbys(
            name, str(number), network, self.view, world.clock
        )
        self.book.journal = _Journal(self)
        self.book.held_lease_id = lambda: world.held_lease_id(self)
        self.accounts = budgets.Budgets(
            name, self.book, _Planner(), network, self.view, world.clock
        )
        self.view.on_member_lost = self.accounts.handle_member_loss
        self.view.on_member_added = self.accounts.handle_member_arrival
        self.service = peer_service.PeerService(
            self.accounts, self.book, None, None, None, None, None
        )
        self._seen: dict[str, Any] = {}

    def read_records(self) -> None:
        """Read the registrations."""
        now = self.world.registered
        revision = self.world.store.revision
        changes: list[interfaces.Change] = [
            interfaces.Deletion(f"member/{name}", revision)
            for name in self._seen
            if name not in now
        ]
        changes += [
            interfaces.Item(
                f"member/{name}",
                registration_records.encode_member(member),
                revision,
            )
            for name, member in now.items()
            if self._seen.get(name) != member
        ]
        self._seen = dict(now)
        self.view.update_age(0.0)
        self.view.apply(changes)
        self.view.update_age(0.0)

    def run_queued(self) -> None:
        """Answer the calls that arrived while the process was halted."""
        queued, self.queued = self.queued, []
        for path, message in queued:
            self.service.calls[path](message)


class World:
    """All edges, the store and the callers of one program.

    :param budget_tokens: budget of the program.
    """

    def __init__(self, budget_tokens: int) -> None:
        self.budget_tokens = budget_tokens
        self.clock = _Clock()
        self.store = stores.Store()
        self.mode = StoreMode.UP
        self.next_mode: StoreMode | None = None
        self.during: tuple[Step, ...] = ()
        self.late: list[Any] = []
        self.journal = builders.Journal()
        self.keeps_turns = False
        self.is_timely = True
        self.turns: list[Turn] = []
        self.max_turn_tokens = 0
        self.wrong_refusals: list[WrongRefusal] = []
        self.refusals = 0
        self.registered: dict[str, Any] = {}
        self._lease_ids: dict[str, int] = {}
        self._last_lease_id = 0
        self._down_ms: float | None = None
        self._numbers = dict.fromkeys(NAMES, 0)
        self.edges: dict[str, Edge] = {}
        for name in NAMES:
            self._start(name)
        self.clock.advance(fleet.SETTLING_MS)
        self._follow()

    @property
    def is_store_up(self) -> bool:
        """Return whether the store answers."""
        return self.mode in (StoreMode.UP, StoreMode.SLOW)

    @property
    def running(self) -> list[Turn]:
        """Return the turns that have not ended."""
        return [turn for turn in self.turns if turn.end is None]

    @property
    def handed_out_tokens(self) -> int:
        """Return the tokens of all turns, running ones at their most."""
        return sum(turn.handed_out_tokens for turn in self.turns)

    def counted_tokens(self) -> int:
        """Return what all turns count when a refusal is judged."""
        now_ms = self.clock.now_ms()
        return sum(turn.counted_tokens(now_ms) for turn in self.turns)

    def holds(self, tokens: int) -> bool:
        """Return whether a turn must not be refused for good."""
        return self.counted_tokens() + tokens <= self.budget_tokens

    def live_edges(self) -> list[Edge]:
        """Return the processes that run."""
        return [
            edge
            for edge in self.edges.values()
            if edge.is_alive and not edge.is_frozen
        ]

    def run(self, steps: Sequence[Step]) -> None:
        """Apply steps one after the other."""
        for step in steps:
            self.apply(step)

    def apply(self, step: Step) -> object:
        """Apply a step, unless it is not possible now."""
        try:
            return self._apply(step)
        except _KilledError as error:
            if error.edge.book.frames:
                raise
            return None
        finally:
            self._follow()

    def _apply(self, step: Step) -> object:
        match step:
            case Reserve(name, tokens, is_timely):
                return self.reserve(name, tokens, is_timely)
            case Settle(number, used_percent, end):
                self._settle(number, used_percent, end)
            case EndTurns(used_percent, end):
                for _ in self.running:
                    self._settle(0, used_percent, end)
            case Record(name, mode, during):
                self._record(name, mode, during)
            case Wait(duration_ms):
                self.clock.advance(duration_ms)
                self.run_recorders()
            case SetStore(mode):
                self._set_store(mode)
            case KeepTurns(is_kept):
                self.keeps_turns = is_kept
            case SetJournal(is_up):
                self.journal.is_up = is_up
            case ApplyLate():
                self._apply_late()
            case Kill(names):
                for name in names:
                    self._kill(name)
            case Expire():
                self._expire()
            case Start(name):
                if not self.edges[name].is_alive:
                    self._start(name)
            case Stop(name):
                self._stop(name)
            case Freeze(name):
                if self.edges[name].is_alive:
                    self.edges[name].is_frozen = True
            case Thaw(name):
                self._thaw(name)
            case LoseLease(name):
                self._lose_lease(name)
            case Register(name):
                edge = self.edges[name]
                if edge.is_alive and not edge.is_frozen and self.is_store_up:
                    self._register(edge)
            case RewriteAsFormer(tokens):
                self._rewrite_as_former(tokens)
        return None

    def reserve(
        self, name: str, tokens: int, is_timely: bool = True
    ) -> object:
        """Ask an edge for a turn; return its answer, ``None`` without one."""
        edge = self.edges[name]
        if not edge.is_alive or edge.is_frozen or edge.is_closed:
            return None
        self.max_turn_tokens = max(self.max_turn_tokens, tokens)
        call = builders.turn_call(self.budget_tokens, tokens, PROGRAM)
        was_timely, self.is_timely = self.is_timely, is_timely
        try:
            answer = edge.accounts.reserve(call, builders.turn_request())
        finally:
            self.is_timely = was_timely
        match answer:
            case budgets.Grant() if not edge.is_alive:
                # Whether its request was sent is not known to anybody.
                self.turns.append(
                    Turn(tokens, edge, answer, tokens, End.BROKEN_OFF)
                )
            case budgets.Grant():
                self.turns.append(Turn(tokens, edge, answer))
            case ledger.Exhaustion():
                self.refusals += 1
                if self.holds(tokens):
                    self.wrong_refusals.append(
                        WrongRefusal(
                            name, tokens, self.counted_tokens(), answer
                        )
                    )
        return answer

    def retry(self, tokens: int) -> object:
        """Repeat a turn's call for a while; return the last answer."""
        answer: object = None
        for number in range(1 + MAX_RETRIES):
            edges = self.live_edges()
            if not edges:
                return None
            edge = edges[number % len(edges)]
            answer = self.apply(Reserve(edge.name, tokens))
            if isinstance(answer, budgets.Grant | ledger.Exhaustion):
                return answer
            self.apply(Wait(RETRY_DELAY_MS))
        return answer

    def calm_down(self) -> None:
        """End all trouble and let time pass, with all processes running."""
        self.apply(SetStore(StoreMode.UP))
        self.apply(SetJournal(is_up=True))
        for name, edge in self.edges.items():
            self.apply(Thaw(name))
            if not edge.is_alive:
                self.apply(Start(name))
            self.apply(Register(name))
        for _ in range(8):
            self.apply(Wait(1_000.0))

    def run_recorders(self) -> None:
        """Let all background loops do what is due."""
        for edge in self.live_edges():
            with _surviving(edge):
                edge.accounts.pending_settlements.retry_due()
                edge.book.run_once()

    def _settle(self, number: int, used_percent: int, end: End) -> None:
        running = self.running
        if not running:
            return
        turn = running[number % len(running)]
        if turn.edge is not None and turn.edge.is_frozen:
            return
        turn.end = end
        turn.ended_ms = self.clock.now_ms()
        if end is not End.NEVER_RAN:
            turn.used_tokens = turn.tokens * used_percent // 100
        self._keep(turn)
        if turn.edge is not None and end is not End.NOT_TOLD:
            turn.edge.accounts.settle(
                turn.grant, turn.used_tokens, builders.turn_report()
            )

    def _keep(self, turn: Turn) -> None:
        """Write the settlement of a whole turn beside its output."""
        is_whole = turn.end in (End.WHOLE, End.NOT_TOLD)
        if self.keeps_turns and is_whole and turn.grant and self.journal.is_up:
            reservation_id = turn.grant.reservation_id
            self.journal.settlements[reservation_id] = turn.used_tokens

    def _record(
        self, name: str, mode: StoreMode | None, during: tuple[Step, ...]
    ) -> None:
        edge = self.edges[name]
        if not edge.is_alive or edge.is_frozen or edge.book.is_recording:
            return
        self.next_mode, self.during = mode, during
        try:
            edge.book.run_once()
        finally:
            self.next_mode, self.during = None, ()

    def _set_store(self, mode: StoreMode) -> None:
        self.mode = mode
        if self.is_store_up:
            self._down_ms = None
            self._apply_late()
        elif self._down_ms is None:
            self._down_ms = self.clock.now_ms()

    def _apply_late(self) -> None:
        late, self.late = self.late, []
        for conditions, writes, deletes in late:
            self.store.transact(conditions, writes, deletes)

    def _kill(self, name: str) -> None:
        edge = self.edges[name]
        edge.is_alive = False
        for turn in self.running:
            if turn.edge is edge:
                turn.end = End.BROKEN_OFF
                turn.used_tokens = turn.tokens
                turn.ended_ms = self.clock.now_ms()

    def _expire(self) -> None:
        self.clock.advance(LEASE_MS)
        if not self.is_store_up:
            return
        for name, member in list(self.registered.items()):
            edge = self.edges[name]
            is_current = edge.member == member and edge.is_alive
            if not is_current or edge.is_frozen:
                del self.registered[name]

    def _start(self, name: str) -> None:
        self._numbers[name] += 1
        edge = Edge(self, name, self._numbers[name])
        self.edges[name] = edge
        if self.is_store_up:
            self._register(edge)
            edge.read_records()
        else:
            edge.book.handle_outage_at_start()

    def held_lease_id(self, edge: Edge) -> int:
        """Return the lease of an edge, 0 if it may have ended."""
        if not self.is_store_up:
            return 0
        if self.registered.get(edge.name) != edge.member:
            return 0
        return self._lease_ids[edge.name]

    def _register(self, edge: Edge) -> None:
        if self.registered.get(edge.name) != edge.member:
            self._last_lease_id += 1
            self._lease_ids[edge.name] = self._last_lease_id
        self.registered[edge.name] = edge.member

    def _stop(self, name: str) -> None:
        edge = self.edges[name]
        if not edge.is_alive or edge.is_frozen or edge.book.frames:
            return
        edge.is_closed = True
        edge.book.stop()
        edge.book.release()
        self._kill(name)
        if self.is_store_up:
            self.registered.pop(name, None)

    def _thaw(self, name: str) -> None:
        edge = self.edges[name]
        if not edge.is_frozen:
            return
        edge.is_frozen = False
        if edge.is_alive:
            edge.run_queued()

    def _lose_lease(self, name: str) -> None:
        edge = self.edges[name]
        if not edge.is_alive or not self.is_store_up:
            return
        if self.registered.pop(name, None) is not None:
            edge.book.start_caution_period("this member's lease was lost")

    def _rewrite_as_former(self, tokens: int) -> None:
        """Add an allocation as the release before did, without shares."""
        if not self.is_store_up:
            return
        record = ledger_records.decode(self.store.items.get(KEY))
        total = record.allocated_tokens + tokens
        if total > self.budget_tokens:
            return
        former = f'{{"tokens":{total},"block":"former.{len(self.turns)}"}}'
        self.store.put(KEY, former.encode())
        self.max_turn_tokens = max(self.max_turn_tokens, tokens)
        self.turns.append(Turn(tokens, None, None))

    def _follow(self) -> None:
        """Let all processes that run follow the registrations."""
        for edge in self.live_edges():
            if self._down_ms is None:
                edge.read_records()
            else:
                edge.view.update_age(self.clock.now_ms() - self._down_ms)


@contextlib.contextmanager
def _surviving(edge: Edge) -> Iterator[None]:
    """Ignore that an edge was killed."""
    try:
        yield
    except _KilledError as error:
        if error.edge is not edge:
            raise


@contextlib.contextmanager
def scripted_background() -> Iterator[None]:
    """Run background calls in their callers, and log nothing."""
    logger = logging.getLogger("balsamloom")
    with (
        mock.patch.object(background, "start", lambda target, clock: target()),
        mock.patch.object(logger, "disabled", True),
    ):
        yield
