"""Hosts with quotas on one manual clock, and the failures between them."""

import bisect
import random

from balsamloom_core import clock as clocks
from balsamloom_quotas import evidence, limits, service, timing

BOUNDS = limits.Bounds(5_000.0, 0.1, 20.0)
# A member's registration ends this long after it last wrote to the store.
REGISTRATION_MS = 3_300.0
TICK_MS = 50.0
TICKS_PER_ROUND = 5
MAX_GRANTERS = timing.MAX_GRANTERS


class Host:
    """One edge host and what it knows of the store."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_up = True
        self.is_store_cut = False
        self.is_cut_off = False
        # Hosts that this one does not reach.
        self.lost_paths = set()
        self.loses_answers = False
        # Answers to this host arrive after this time.
        self.answer_delay_ms = 0.0
        self.frozen_until_ms = 0.0
        # A host that freezes while it waits for an answer gets it then.
        self.freeze_in_call_ms = 0.0
        self.registered_ms = world.clock.now_ms()
        self.starts = 0
        self.start()

    def start(self):
        """Start a new process, which knows nothing."""
        self.starts += 1
        self.is_up = True
        self.members = ()
        self.limits = {}
        self.read_ms = -float("inf")
        self.quotas = service.Quotas(
            self.name,
            f"{self.name}.{self.starts}",
            BOUNDS,
            self.world.clock,
            self.send,
        )
        self.quotas.read_view = self.view
        self.quotas.read_limits = lambda: self.limits

    @property
    def runs(self):
        """Return whether the process does anything now."""
        return self.is_up and (
            self.world.clock.now_ms() >= self.frozen_until_ms
        )

    def view(self):
        granters = self.members[:MAX_GRANTERS]
        return evidence.View(frozenset(self.members), granters, self.read_ms)

    def send(self, name, body, timeout_ms):
        other = self.world.hosts[name]
        is_cut = self.is_cut_off or other.is_cut_off
        if not other.runs or is_cut or name in self.lost_paths:
            raise service.UnreachableError("no path")
        self.world.messages += 1
        answer = other.quotas.answer(body)
        if self.freeze_in_call_ms:
            duration_ms, self.freeze_in_call_ms = self.freeze_in_call_ms, 0.0
            self.frozen_until_ms = self.world.clock.now_ms() + duration_ms
            self.world.run(duration_ms)
        if self.loses_answers or self.answer_delay_ms > timeout_ms:
            raise service.UnreachableError("no answer")
        return answer


class World:
    """All hosts, the store and the callers."""

    def __init__(self, names, rate_limits, seed=0):
        self.clock = clocks.ManualClock(1_000.0)
        self.limits = dict(rate_limits)
        self.messages = 0
        self.random = random.Random(seed)
        self.admitted_ms = {name: [] for name in rate_limits}
        self.asked = dict.fromkeys(rate_limits, 0)
        # Largest limit known to any host, by time.
        self.known = []
        # Requests a second by workspace and host.
        self.demand = {}
        # Part of the requests that no server runs.
        self.not_run_share = 0.0
        # Callers that send programs; each has a method ``step``.
        self.loads = []
        self.ticks = 0
        self.hosts = {}
        for name in names:
            self.hosts[name] = Host(self, name)

    def spread(self, workspace, rate_per_s, names):
        """Let callers of a workspace send to some hosts."""
        for name in self.hosts:
            self.demand.pop((workspace, name), None)
        for name in names:
            self.demand[workspace, name] = rate_per_s / len(names)

    def run(self, duration_ms):
        """Let time pass."""
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(TICK_MS)
            self.ticks += 1
            self.exchange_records()
            for place, host in enumerate(list(self.hosts.values())):
                is_due = self.ticks % TICKS_PER_ROUND == place % (
                    TICKS_PER_ROUND
                )
                if host.runs and is_due:
                    host.quotas.run_once()
            for key, rate_per_s in list(self.demand.items()):
                self.send_requests(*key, rate_per_s)
            for load in self.loads:
                load.step()
            self.record_known()

    def exchange_records(self):
        """Let hosts register and read the members and the limits."""
        now_ms = self.clock.now_ms()
        for host in self.hosts.values():
            if host.runs and not host.is_store_cut:
                host.registered_ms = now_ms
        members = tuple(
            name
            for name, host in self.hosts.items()
            if now_ms - host.registered_ms < REGISTRATION_MS
        )
        for host in self.hosts.values():
            # Hosts read at different times, at most half a second apart.
            is_due = self.random.random() < 0.2
            if host.runs and not host.is_store_cut and is_due:
                host.members = members
                host.limits = dict(self.limits)
                host.read_ms = now_ms

    def send_requests(self, workspace, name, rate_per_s):
        host = self.hosts[name]
        if not host.runs or workspace not in host.limits:
            return
        mean = rate_per_s * TICK_MS / 1000.0
        count = int(mean) + (self.random.random() < mean % 1)
        for _ in range(count):
            self.send_request(workspace, host)

    def send_request(self, workspace, host, program_id=""):
        """Send a request; return whether it was admitted."""
        self.asked[workspace] += 1
        decision = host.quotas.admit(workspace, program_id)
        if not isinstance(decision, service.Admitted):
            return False
        if self.random.random() < self.not_run_share:
            host.quotas.give_back(decision)
        else:
            self.admitted_ms[workspace].append(self.clock.now_ms())
        return True

    def record_known(self):
        known = {}
        for host in self.hosts.values():
            for name, limit in host.limits.items():
                known[name] = max(known.get(name, limit), limit)
        self.known.append((self.clock.now_ms(), known))

    def excess(self, workspace):
        """Return by how much the worst window exceeds its bound."""
        times_ms = self.admitted_ms[workspace]
        window_ms = BOUNDS.window_ms
        worst = -float("inf")
        for place, start_ms in enumerate(times_ms):
            end = bisect.bisect_left(times_ms, start_ms + window_ms)
            bound = BOUNDS.max_requests(
                self._largest(
                    workspace, start_ms - window_ms, start_ms + window_ms
                )
            )
            worst = max(worst, end - place - bound)
        return worst

    def _largest(self, workspace, from_ms, until_ms):
        """Return the largest limit that a host knew in a time."""
        first = bisect.bisect_left(self.known, from_ms, key=_time)
        last = bisect.bisect_right(self.known, until_ms, key=_time)
        return max(
            known[workspace]
            for _, known in self.known[max(first - 1, 0) : last + 1]
            if workspace in known
        )


def _time(entry):
    return entry[0]
