"""Builders of test data and a simulation of servers on a manual clock."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from balsamloom_core import clock
from balsamloom_policy import calls
from balsamloom_policy import scheduler as schedulers
from balsamloom_policy import settings as policy_settings

POOL = "rota-model"
BASELINE = policy_settings.PolicySettings(
    routing="random",
    ordering="fifo",
    admission="none",
    limits="none",
    health="none",
    prefixes="none",
)
CHUNK_TOKENS = 10
TICK_MS = 10.0


def profile(**fields):
    values = {"program_id": "p000-1", "customer": "indus", "pool": POOL}
    return calls.CallProfile(**{**values, **fields})


def servers(count, concurrency=2):
    return [
        calls.Server(f"s{i}", f"10.0.0.{i}:80", POOL, concurrency)
        for i in range(count)
    ]


def new_scheduler(count=2, concurrency=2, **settings):
    manual = clock.ManualClock()
    scheduler = schedulers.Scheduler(
        manual, policy_settings.PolicySettings(**settings), 1
    )
    scheduler.update_servers(POOL, servers(count, concurrency))
    return scheduler, manual


def finish(ticket, is_success=True, is_server_fault=False):
    ticket.finish(calls.Observation(is_success, is_server_fault, 10, 10))


def run_call(scheduler, manual, duration_ms, **fields):
    """Run one call to its end and return its server's identifier."""
    ticket = scheduler.submit(profile(**fields))
    server_id = ticket.wait(0).server_id
    manual.advance(duration_ms)
    finish(ticket)
    return server_id


@dataclasses.dataclass
class Load:
    """Arrival rate and properties of the simulated programs."""

    programs_per_s: float
    duration_ms: float = 20000
    turns: int = 4
    tokens: int = 60
    prompt_tokens: int = 200
    urgent_share: float = 0.1
    straggler_share: float = 0.0
    deadline_ms: float | None = None
    spike: tuple[float, float, float] = (0, 0, 1)
    prefix_count: int = 0


@dataclasses.dataclass
class Cluster:
    """Properties of the fake servers and of the processes using them."""

    servers: int = 10
    concurrency: int = 8
    members: int = 8
    gap_ms: float = 2.0
    speed_range: float = 4.0
    slowdown: tuple[float, float, float] = (0, 0, 1)
    report_age_ms: float = 5000
    cache_entries: int = 40


@dataclasses.dataclass
class Program:
    """One program; ``length`` multiplies the tokens of its calls."""

    number: int
    start_ms: float
    is_urgent: bool
    length: float
    turns: int
    turn: int = 0
    attained_ms: float = 0.0
    end_ms: float | None = None
    prefix: int = 0

    @property
    def latency_ms(self):
        return math.inf if self.end_ms is None else self.end_ms - self.start_ms


class FakeServer:
    """A server with slots, a priority queue and a prefix cache."""

    def __init__(self, gap_ms, cluster):
        self.gap_ms = gap_ms
        self.slots = cluster.concurrency
        self.slowdown = (0, 0, 1)
        self.running = 0
        self.queue = []
        self.cache = collections.OrderedDict()
        self.cache_entries = cluster.cache_entries

    def factor(self, now_ms):
        start_ms, end_ms, factor = self.slowdown
        return factor if start_ms <= now_ms < end_ms else 1.0

    def cached_tokens(self, hashes, prefix_tokens):
        cached = 0
        for prefix in hashes:
            cached += prefix_tokens if prefix in self.cache else 0
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > self.cache_entries:
            self.cache.popitem(last=False)
        return cached


class Call:
    """A program's call, with a second request if it is hedged."""

    def __init__(self, program, member, deadline_ms):
        self.program = program
        self.member = member
        self.deadline_ms = deadline_ms
        self.sent_ms = None
        self.is_over = False
        self.requests = []


class Request:
    """One request at a fake server."""

    def __init__(self, call, ticket, server):
        self.call = call
        self.ticket = ticket
        self.server = server
        self.tokens_left = 0
        self.is_running = False
        self.is_over = False


class Driver:
    """Simulates a load on a cluster; the seed determines the load."""

    def __init__(self, cluster, load, settings, seed):
        self.cluster, self.load = cluster, load
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.events, self.order = [], itertools.count()
        self.programs, self.waiting = [], []
        self.recomputed = self.refused = self.hedged = 0
        self.cached_hashes = set()
        names = [f"s{i}" for i in range(cluster.servers)]
        slowness_steps = [
            cluster.speed_range ** (i / max(cluster.servers - 1, 1))
            for i in range(cluster.servers)
        ]
        self.random.shuffle(slowness_steps)
        self.servers = {
            name: FakeServer(cluster.gap_ms * slowness, cluster)
            for name, slowness in zip(names, slowness_steps, strict=True)
        }
        for name in self.random.sample(names, min(2, len(names) // 2)):
            self.servers[name].slowdown = cluster.slowdown
        self.members = [
            schedulers.Scheduler(self.clock, settings, seed * 100 + i)
            for i in range(cluster.members)
        ]
        for member in self.members:
            member.set_member_count(cluster.members)
            member.update_servers(
                POOL, servers(cluster.servers, cluster.concurrency)
            )

    def at(self, time_ms, action, *arguments):
        heapq.heappush(
            self.events, (time_ms, next(self.order), action, arguments)
        )

    def run(self):
        self._schedule_arrivals()
        self.at(0, self._tick)
        self.at(0, self._exchange_shares)
        end_ms = self.load.duration_ms * 10
        while self.events and self.events[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(max(time_ms - self.clock.now_ms(), 0))
            action(*arguments)
            if all(p.end_ms is not None for p in self.programs):
                break
        return self

    def _schedule_arrivals(self):
        load, time_ms = self.load, 0.0
        start_ms, end_ms, factor = load.spike
        while time_ms < load.duration_ms:
            rate = load.programs_per_s / 1000
            rate *= factor if start_ms <= time_ms < end_ms else 1
            time_ms += self.random.expovariate(rate)
            is_long = self.random.random() < load.straggler_share
            is_urgent = self.random.random() < load.urgent_share
            program = Program(
                len(self.programs),
                time_ms,
                is_urgent and not is_long,
                self.random.uniform(20, 50) if is_long else 1.0,
                load.turns,
            )
            if load.prefix_count:
                program.prefix = self.random.randrange(load.prefix_count)
            self.programs.append(program)
            member = self.random.choice(self.members)
            self.at(time_ms, self._submit, program, member)

    def _submit(self, program, member):
        deadline_ms = None
        if self.load.deadline_ms is not None:
            deadline_ms = program.start_ms + self.load.deadline_ms
            if self.clock.now_ms() >= deadline_ms:
                return
        call = Call(program, member, deadline_ms)
        hashes = self._hashes(program)
        answer = member.submit(
            profile(
                program_id=str(program.number),
                customer=f"c{program.number % 3}",
                is_urgent=program.is_urgent,
                attained_ms=program.attained_ms,
                is_new_program=program.turn == 0,
                deadline_ms=deadline_ms,
                prefix_hashes=hashes,
                prompt_tokens=self.load.prompt_tokens * len(hashes or (1,)),
                is_idempotent=True,
            )
        )
        if isinstance(answer, calls.Refusal):
            self._handle_refusal(call, answer)
            return
        self.waiting.append((call, answer))
        self._collect_answers()

    def _hashes(self, program):
        if not self.load.prefix_count:
            return ()
        own = (program.number * 1000 + t + 10**6 for t in range(program.turn))
        return (program.prefix, *own)

    def _handle_refusal(self, call, answer):
        """Submit the call again after the stated time."""
        self.refused += 1
        if answer.retry_after_ms is not None:
            again_ms = self.clock.now_ms() + answer.retry_after_ms
            self.at(again_ms, self._submit, call.program, call.member)

    def _collect_answers(self):
        left = []
        for call, ticket in self.waiting:
            match ticket.answer:
                case calls.Assignment():
                    self._send(call, ticket)
                case calls.Refusal() as answer:
                    self._handle_refusal(call, answer)
                case _:
                    left.append((call, ticket))
        self.waiting = left

    def _tick(self):
        # One waiting call per process is enough to run the due checks.
        seen = set()
        for call, ticket in self.waiting:
            if id(call.member) not in seen or call.deadline_ms is not None:
                seen.add(id(call.member))
                ticket.wait(0)
        self._collect_answers()
        self.at(self.clock.now_ms() + TICK_MS * 5, self._tick)

    def _exchange_shares(self):
        shares = [member.shares() for member in self.members]
        for i, member in enumerate(self.members):
            for j, peer_shares in enumerate(shares):
                if i != j:
                    member.update_peer_shares(f"m{j}", peer_shares)
        report = {
            name: calls.LoadReport(
                server.running,
                len(server.queue),
                0,
                self.cluster.report_age_ms,
            )
            for name, server in self.servers.items()
        }
        now_ms = self.clock.now_ms()
        self.at(now_ms + self.cluster.report_age_ms, self._report, report)
        self.at(now_ms + 500, self._exchange_shares)

    def _report(self, report):
        for member in self.members:
            for server_id, load in report.items():
                member.update_load(server_id, load)

    def _send(self, call, ticket):
        answer = ticket.wait(0)
        server = self.servers[answer.server_id]
        request = Request(call, ticket, server)
        call.requests.append(request)
        now_ms = self.clock.now_ms()
        if call.sent_ms is None:
            call.sent_ms = now_ms
            if call.deadline_ms is not None:
                self.at(call.deadline_ms, self._expire, call)
            delay_ms = call.member.hedge_delay_ms(ticket)
            if delay_ms is not None:
                self.at(now_ms + delay_ms, self._hedge, call, ticket)
        heapq.heappush(
            server.queue, (answer.priority, now_ms, next(self.order), request)
        )
        self._start(server)

    def _hedge(self, call, ticket):
        if call.is_over or ticket.first_token_ms is not None:
            return
        if self.members and call.member.hedge_delay_ms(ticket) == 0:
            second = call.member.hedge(ticket)
            if second is not None:
                self.hedged += 1
                self._send(call, second)

    def _start(self, server):
        while server.running < server.slots and server.queue:
            request = heapq.heappop(server.queue)[-1]
            if request.is_over:
                continue
            server.running += 1
            request.is_running = True
            program = request.call.program
            hashes = self._hashes(program)
            prompt_tokens = self.load.prompt_tokens
            cached = server.cached_tokens(hashes, prompt_tokens)
            self.recomputed += sum(h in self.cached_hashes for h in hashes)
            self.recomputed -= cached // prompt_tokens
            self.cached_hashes.update(hashes)
            prefill = max(prompt_tokens * max(len(hashes), 1) - cached, 10)
            request.tokens_left = int(self.load.tokens * program.length)
            factor = server.factor(self.clock.now_ms())
            first_ms = server.gap_ms * factor * (2 + prefill / 50)
            self.at(self.clock.now_ms() + first_ms, self._first_token, request)

    def _first_token(self, request):
        if request.is_over:
            return
        request.ticket.record_first_token()
        for other in request.call.requests:
            if other is not request:
                self._cancel(other)
        self._next_chunk(request)

    def _next_chunk(self, request):
        tokens = min(CHUNK_TOKENS, request.tokens_left)
        now_ms = self.clock.now_ms()
        chunk_ms = (
            tokens * request.server.gap_ms * request.server.factor(now_ms)
        )
        self.at(now_ms + chunk_ms, self._chunk, request, tokens)

    def _chunk(self, request, tokens):
        if request.is_over:
            return
        request.tokens_left -= tokens
        request.ticket.record_tokens(tokens)
        if request.tokens_left > 0:
            self._next_chunk(request)
            return
        self._finish(request)

    def _finish(self, request):
        call, program = request.call, request.call.program
        now_ms = self.clock.now_ms()
        call.is_over = request.is_over = True
        request.server.running -= 1
        tokens = int(self.load.tokens * program.length)
        request.ticket.finish(calls.Observation(True, False, tokens, 0))
        self._start(request.server)
        program.turn += 1
        program.attained_ms += now_ms - call.sent_ms
        if program.turn < program.turns:
            self.at(now_ms + 50, self._submit, program, call.member)
        else:
            program.end_ms = now_ms
        self._collect_answers()

    def _cancel(self, request):
        if request.is_over:
            return
        request.is_over = True
        request.ticket.cancel()
        if request.is_running:
            request.server.running -= 1
            self._start(request.server)

    def _expire(self, call):
        if not call.is_over:
            call.is_over = True
            for request in call.requests:
                self._cancel(request)
            self._collect_answers()


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def compare(cluster, load, seed, settings=None, baseline=BASELINE):
    """Run the policy and the baseline; return both drivers."""
    chosen = settings or policy_settings.PolicySettings()
    return (
        Driver(cluster, load, chosen, seed).run(),
        Driver(cluster, load, baseline, seed).run(),
    )
