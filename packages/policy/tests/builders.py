"""Builders of test data and a driver of fake servers on a manual clock."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

import balsamloom_policy as policy
from balsamloom_core import clock

POOL = "rota-model"
BASELINE = policy.PolicySettings(
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
    return policy.CallProfile(**{**values, **fields})


def servers(count, concurrency=2):
    return [
        policy.Server(f"s{i}", f"10.0.0.{i}:80", POOL, concurrency)
        for i in range(count)
    ]


def scheduler(count=2, concurrency=2, **settings):
    manual = clock.ManualClock()
    built = policy.Scheduler(manual, policy.PolicySettings(**settings), 1)
    built.update_servers(POOL, servers(count, concurrency))
    return built, manual


def finish(ticket, is_success=True, is_server_fault=False):
    ticket.finish(policy.Observation(is_success, is_server_fault, 10, 10))


def run_call(built, manual, duration_ms, **fields):
    """Run one call to its end and return the server that ran it."""
    ticket = built.submit(profile(**fields))
    server_id = ticket.wait(0).server_id
    manual.advance(duration_ms)
    finish(ticket)
    return server_id


@dataclasses.dataclass
class Load:
    """Programs offered to the fake pool."""

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
class Site:
    """Fake servers shared by several entry processes."""

    servers: int = 10
    concurrency: int = 8
    members: int = 8
    gap_ms: float = 2.0
    speed_range: float = 4.0
    slow: tuple[float, float, float] = (0, 0, 1)
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
    """A server with slots, a queue by priority and a prefix cache."""

    def __init__(self, gap_ms, site):
        self.gap_ms = gap_ms
        self.slots = site.concurrency
        self.slow = (0, 0, 1)
        self.running = 0
        self.queue = []
        self.cache = collections.OrderedDict()
        self.cache_entries = site.cache_entries

    def factor(self, now_ms):
        start_ms, end_ms, factor = self.slow
        return factor if start_ms <= now_ms < end_ms else 1.0

    def held_tokens(self, hashes, tokens_each):
        held = 0
        for prefix in hashes:
            held += tokens_each if prefix in self.cache else 0
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > self.cache_entries:
            self.cache.popitem(last=False)
        return held


class Call:
    """A program's call: one ticket, and a second one if hedged."""

    def __init__(self, program, member, deadline_ms):
        self.program = program
        self.member = member
        self.deadline_ms = deadline_ms
        self.sent_ms = None
        self.is_over = False
        self.runs = []


class Run:
    """One request at a fake server."""

    def __init__(self, call, ticket, server):
        self.call = call
        self.ticket = ticket
        self.server = server
        self.tokens_left = 0
        self.is_running = False
        self.is_over = False


class Driver:
    """Runs a load on a site under given settings; same seed, same load."""

    def __init__(self, site, load, settings, seed):
        self.site, self.load = site, load
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.events, self.order = [], itertools.count()
        self.programs, self.waiting = [], []
        self.recomputed = self.refused = self.hedged = 0
        self.held_anywhere = set()
        names = [f"s{i}" for i in range(site.servers)]
        steps = [
            site.speed_range ** (i / max(site.servers - 1, 1))
            for i in range(site.servers)
        ]
        self.random.shuffle(steps)
        self.servers = {
            name: FakeServer(site.gap_ms * step, site)
            for name, step in zip(names, steps, strict=True)
        }
        for name in self.random.sample(names, min(2, len(names) // 2)):
            self.servers[name].slow = site.slow
        self.members = [
            policy.Scheduler(self.clock, settings, seed * 100 + i)
            for i in range(site.members)
        ]
        for member in self.members:
            member.set_member_count(site.members)
            member.update_servers(
                POOL, servers(site.servers, site.concurrency)
            )

    def at(self, time_ms, action, *arguments):
        heapq.heappush(
            self.events, (time_ms, next(self.order), action, arguments)
        )

    def run(self):
        self._plan_arrivals()
        self.at(0, self._tick)
        self.at(0, self._exchange)
        end_ms = self.load.duration_ms * 10
        while self.events and self.events[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(max(time_ms - self.clock.now_ms(), 0))
            action(*arguments)
            if all(p.end_ms is not None for p in self.programs):
                break
        return self

    def _plan_arrivals(self):
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
            self.at(time_ms, self._begin, program, member)

    def _begin(self, program, member):
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
        if isinstance(answer, policy.Refusal):
            self._refuse(call, answer)
            return
        self.waiting.append((call, answer))
        self._collect()

    def _hashes(self, program):
        if not self.load.prefix_count:
            return ()
        own = (program.number * 1000 + t + 10**6 for t in range(program.turn))
        return (program.prefix, *own)

    def _refuse(self, call, answer):
        """The caller tries again after the stated time."""
        self.refused += 1
        if answer.retry_after_ms is not None:
            again_ms = self.clock.now_ms() + answer.retry_after_ms
            self.at(again_ms, self._begin, call.program, call.member)

    def _collect(self):
        left = []
        for call, ticket in self.waiting:
            match ticket.answer:
                case policy.Assignment():
                    self._send(call, ticket)
                case policy.Refusal() as answer:
                    self._refuse(call, answer)
                case _:
                    left.append((call, ticket))
        self.waiting = left

    def _tick(self):
        # Each process has a thread that looks; one per process is enough.
        seen = set()
        for call, ticket in self.waiting:
            if id(call.member) not in seen or call.deadline_ms is not None:
                seen.add(id(call.member))
                ticket.wait(0)
        self._collect()
        self.at(self.clock.now_ms() + TICK_MS * 5, self._tick)

    def _exchange(self):
        shares = [member.shares() for member in self.members]
        for i, member in enumerate(self.members):
            for j, told in enumerate(shares):
                if i != j:
                    member.update_peer_shares(f"m{j}", told)
        report = {
            name: policy.LoadReport(
                server.running, len(server.queue), 0, self.site.report_age_ms
            )
            for name, server in self.servers.items()
        }
        now_ms = self.clock.now_ms()
        self.at(now_ms + self.site.report_age_ms, self._report, report)
        self.at(now_ms + 500, self._exchange)

    def _report(self, report):
        for member in self.members:
            for server_id, load in report.items():
                member.update_load(server_id, load)

    def _send(self, call, ticket):
        answer = ticket.wait(0)
        server = self.servers[answer.server_id]
        run = Run(call, ticket, server)
        call.runs.append(run)
        now_ms = self.clock.now_ms()
        if call.sent_ms is None:
            call.sent_ms = now_ms
            if call.deadline_ms is not None:
                self.at(call.deadline_ms, self._give_up, call)
            delay_ms = call.member.hedge_delay_ms(ticket)
            if delay_ms is not None:
                self.at(now_ms + delay_ms, self._hedge, call, ticket)
        heapq.heappush(
            server.queue, (answer.priority, now_ms, next(self.order), run)
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
            run = heapq.heappop(server.queue)[-1]
            if run.is_over:
                continue
            server.running += 1
            run.is_running = True
            program = run.call.program
            hashes = self._hashes(program)
            each = self.load.prompt_tokens
            held = server.held_tokens(hashes, each)
            self.recomputed += sum(h in self.held_anywhere for h in hashes)
            self.recomputed -= held // each
            self.held_anywhere.update(hashes)
            prefill = max(each * max(len(hashes), 1) - held, 10)
            run.tokens_left = int(self.load.tokens * program.length)
            factor = server.factor(self.clock.now_ms())
            first_ms = server.gap_ms * factor * (2 + prefill / 50)
            self.at(self.clock.now_ms() + first_ms, self._first, run)

    def _first(self, run):
        if run.is_over:
            return
        run.ticket.record_first_token()
        for other in run.call.runs:
            if other is not run:
                self._stop(other)
        self._next_chunk(run)

    def _next_chunk(self, run):
        tokens = min(CHUNK_TOKENS, run.tokens_left)
        now_ms = self.clock.now_ms()
        step_ms = tokens * run.server.gap_ms * run.server.factor(now_ms)
        self.at(now_ms + step_ms, self._chunk, run, tokens)

    def _chunk(self, run, tokens):
        if run.is_over:
            return
        run.tokens_left -= tokens
        run.ticket.record_tokens(tokens)
        if run.tokens_left > 0:
            self._next_chunk(run)
            return
        self._end(run)

    def _end(self, run):
        call, program = run.call, run.call.program
        now_ms = self.clock.now_ms()
        call.is_over = run.is_over = True
        run.server.running -= 1
        tokens = int(self.load.tokens * program.length)
        run.ticket.finish(policy.Observation(True, False, tokens, 0))
        self._start(run.server)
        program.turn += 1
        program.attained_ms += now_ms - call.sent_ms
        if program.turn < program.turns:
            self.at(now_ms + 50, self._begin, program, call.member)
        else:
            program.end_ms = now_ms
        self._collect()

    def _stop(self, run):
        if run.is_over:
            return
        run.is_over = True
        run.ticket.cancel()
        if run.is_running:
            run.server.running -= 1
            self._start(run.server)

    def _give_up(self, call):
        if not call.is_over:
            call.is_over = True
            for run in call.runs:
                self._stop(run)
            self._collect()


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def compare(site, load, seed, settings=None, baseline=BASELINE):
    """Return the finished drivers of the policy and of the baseline."""
    chosen = settings or policy.PolicySettings()
    return (
        Driver(site, load, chosen, seed).run(),
        Driver(site, load, baseline, seed).run(),
    )
