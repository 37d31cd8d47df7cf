"""Facade of the policy: which call runs where and when.

One lock guards all state. A thread per call waits in its ticket;
slots are handed out by whichever thread frees or finds one.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import threading
from typing import Any

from balsamloom_core import clock as core_clock
from balsamloom_core import results
from balsamloom_policy import (
    _pool,
    _servers,
    admission,
    calls,
    health,
    limits,
    ordering,
    prefixes,
    retries,
    routing,
    settings,
    tickets,
)

# A waiting thread looks again after this time even without an event.
WAIT_SLICE_MS = 1000.0


class Scheduler:
    """All decisions on calls of one process.

    :param clock: time source.
    :param values: settings in force.
    :param seed: seed of all random choices.
    """

    def __init__(
        self,
        clock: core_clock.Clock,
        values: settings.PolicySettings,
        seed: int,
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._generator = random.Random(seed)
        self._sequence = itertools.count()
        self._pools: dict[str, _pool.Pool] = {}
        self._member_count = 1
        self._peers: dict[str, dict[str, limits.PeerShare]] = {}
        self._budget = retries.Budget(values)
        self._select(values)

    def update_settings(self, values: settings.PolicySettings) -> None:
        """Take the settings in force; waiting calls keep their order."""
        with self._lock:
            now_ms = self._clock.now_ms()
            former = self._ordering
            waiting = [
                (pool, list(pool.queue.entries()))
                for pool in self._pools.values()
            ]
            had_limit = not isinstance(self._limits, limits.NoLimit)
            self._select(values)
            has_limit = not isinstance(self._limits, limits.NoLimit)
            for pool, entries in waiting:
                self._requeue(pool, entries, former)
                for state in pool.servers.values():
                    if had_limit != has_limit:
                        state.limit = self._starting_limit(state.server)
                    self._update_slots(state, now_ms)
                self._check(pool, now_ms)
                self._dispatch(pool, now_ms)

    def update_servers(self, pool: str, servers: list[calls.Server]) -> None:
        """Take the full list of a pool's servers.

        What was learnt of servers that stay is kept.

        :param pool: model or service name.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            state = self._named_pool(pool)
            former = state.servers
            state.servers = {}
            for server in servers:
                known = former.pop(server.server_id, None)
                if known is None:
                    limit = self._starting_limit(server)
                    known = _servers.ServerState(server, limit)
                elif known.server.concurrency != server.concurrency:
                    known.limit = self._starting_limit(server)
                known.server = server
                state.servers[server.server_id] = known
                self._update_slots(known, now_ms)
            for server_id in former:
                state.router.index.forget_server(server_id)
            self._check(state, now_ms)
            self._dispatch(state, now_ms)

    def report(self, server_id: str, report: calls.LoadReport) -> None:
        """Take in a load report, which is a hint only."""
        with self._lock:
            for pool in self._pools.values():
                state = pool.servers.get(server_id)
                if state is not None:
                    state.report = report
                    state.report_ms = self._clock.now_ms()

    def set_member_count(self, count: int) -> None:
        """Take the number of processes that share the servers."""
        with self._lock:
            former = self._member_count
            self._member_count = max(count, 1)
            if former != self._member_count:
                self._rescale()

    def peer_shares(self, member_id: str, shares: list[calls.Share]) -> None:
        """Take a peer's calls in flight and limits.

        :param shares: as :meth:`shares` returned them at the peer.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._peers[member_id] = {
                share.server_id: limits.PeerShare(share, now_ms)
                for share in shares
            }
            self._drop_stale_peers(now_ms)
            for pool in self._pools.values():
                for state in pool.servers.values():
                    self._update_slots(state, now_ms)
                pool.update_totals()
                self._dispatch(pool, now_ms)

    def shares(self) -> list[calls.Share]:
        """Return calls in flight and limits, for the peers."""
        with self._lock:
            return [
                calls.Share(
                    server_id,
                    len(state.in_flight),
                    min(state.slots, self._values.limit_max),
                    state.is_ejected and state.is_own_ejection,
                )
                for pool in self._pools.values()
                for server_id, state in pool.servers.items()
            ]

    def submit(
        self, profile: calls.CallProfile
    ) -> tickets.Ticket | calls.Refused:
        """Take in a call or refuse it at once.

        A refused call was not sent to any server.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            pool = self._pools.get(profile.pool)
            if pool is None or not _has_server(pool):
                return calls.Refused(
                    results.ResultCode.NO_BACKEND_SERVER,
                    f"pool {profile.pool!r} has no backend server",
                    admission.NO_SERVER_RETRY_MS,
                )
            self._check_if_due(pool, now_ms)
            level = ordering.level_of(self._ordering, profile, self._values)
            pressure = pool.pressure(profile, level, now_ms)
            refusal = admission.judge(
                self._admission, profile, pressure, now_ms, self._values
            )
            if refusal is not None:
                rate = pressure.rate_per_ms
                return pool.return_line.place(refusal, rate, now_ms)
            self._budget.earn(self._values)
            ticket = tickets.Ticket(self, pool, profile, now_ms, level)
            pool.add_customer_call(profile.customer)
            pool.queue.push(self._ordering, ticket)
            self._dispatch(pool, now_ms)
            return ticket

    def retry(
        self, ticket: tickets.Ticket, reason: str
    ) -> tickets.Ticket | calls.Refused:
        """Try an idempotent call again at another server.

        The refusals carry codes that do not say "not run", since the call
        was sent before.

        :param ticket: call that failed; it is ended if it was not.
        :param reason: what failed, for the message of a refusal.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._release(ticket, now_ms)
            refusal = self._refuse_retry(ticket, reason, now_ms)
            if refusal is not None:
                return refusal
            again = self._successor(ticket, now_ms)
            again.attempt = ticket.attempt + 1
            again.queued_ms = ticket.queued_ms
            delay_ms = retries.delay_ms(
                again.attempt, self._generator, self._values
            )
            again.not_before_ms = now_ms + delay_ms
            pool = ticket.pool
            pool.add_customer_call(ticket.profile.customer)
            heapq.heappush(
                pool.delayed,
                (again.not_before_ms, next(self._sequence), again),
            )
            self._dispatch(pool, now_ms)
            return again

    def hedge_delay_ms(self, ticket: tickets.Ticket) -> float | None:
        """Return when to send a second request, or None for never.

        :param ticket: assigned call without a first token.
        """
        with self._lock:
            if not self._may_hedge(ticket):
                return None
            state = ticket.server
            assert state is not None
            usual_ms = self._usual_start_ms(ticket)
            if usual_ms <= 0:
                return None
            end_ms = ticket.assigned_ms + usual_ms * self._values.hedge_ratio
            return max(end_ms - self._clock.now_ms(), 0.0)

    def hedge(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Send an idempotent call to a second server, if there is room.

        :return: an assigned ticket, or None without budget or a free slot.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._may_hedge(ticket):
                return None
            pool = ticket.pool
            again = self._successor(ticket, now_ms)
            again.attempt = ticket.attempt
            found = pool.eligible(
                again.profile, again.avoid, now_ms, self._values
            )
            found = [state for state in found if state is not ticket.server]
            if not found or not self._budget.spend():
                return None
            pool.add_customer_call(again.profile.customer)
            self._assign(again, self._choose(again, found, now_ms), now_ms)
            return again

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return {
                "member_count": self._member_count,
                "retry_tokens": round(self._budget.tokens, 2),
                "pools": {
                    name: pool.describe(now_ms)
                    for name, pool in self._pools.items()
                },
            }

    def _select(self, values: settings.PolicySettings) -> None:
        self._values = values
        self._routing = routing.policy(values)
        self._ordering = ordering.policy(values)
        self._admission = admission.policy(values)
        self._limits = limits.policy(values)
        self._health = health.policy(values)
        self._affinity = prefixes.policy(values)

    def _named_pool(self, name: str) -> _pool.Pool:
        if name not in self._pools:
            generator = random.Random(self._generator.random())
            self._pools[name] = _pool.Pool(name, generator)
        return self._pools[name]

    def _requeue(
        self,
        pool: _pool.Pool,
        entries: list[Any],
        former: ordering.Ordering,
    ) -> None:
        for entry in entries:
            pool.queue.withdraw(former, entry)
        pool.queue = ordering.Queue()
        for entry in sorted(entries, key=lambda entry: entry.queued_ms):
            entry.level = ordering.level_of(
                self._ordering, entry.profile, self._values
            )
            pool.queue.push(self._ordering, entry)

    def _starting_limit(self, server: calls.Server) -> float:
        return limits.starting_limit(
            self._limits, server, self._member_count, self._values
        )

    def _rescale(self) -> None:
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            for state in pool.servers.values():
                if isinstance(self._limits, limits.Static):
                    state.limit = self._starting_limit(state.server)
                self._update_slots(state, now_ms)
            pool.update_totals()
            self._dispatch(pool, now_ms)

    def _drop_stale_peers(self, now_ms: float) -> None:
        valid_ms = self._values.peer_valid_ms
        for member_id, shares in list(self._peers.items()):
            if all(
                now_ms - told.told_ms > valid_ms for told in shares.values()
            ):
                del self._peers[member_id]

    def _update_slots(
        self, state: _servers.ServerState, now_ms: float
    ) -> None:
        """Bring a server's slots up to date."""
        server_id = state.server.server_id
        peers = []
        for shares in self._peers.values():
            told = shares.get(server_id)
            if told is None:
                continue
            if now_ms - told.told_ms <= self._values.peer_valid_ms:
                peers.append(told.share)
        state.peer_in_flight = sum(peer.in_flight for peer in peers)
        state.peer_ejections = sum(peer.is_ejected for peer in peers)
        if isinstance(self._limits, limits.NoLimit):
            state.slots = math.inf
            return
        largest = limits.cap(state, peers, self._member_count, self._values)
        state.slots = min(state.limit, largest)

    def _check_if_due(self, pool: _pool.Pool, now_ms: float) -> None:
        if now_ms - pool.check_ms >= self._values.check_interval_ms:
            self._check(pool, now_ms)

    def _check(self, pool: _pool.Pool, now_ms: float) -> None:
        pool.check_ms = now_ms
        for state in pool.servers.values():
            if state.peer_ejections:
                # What a silent peer said does not count for long.
                self._update_slots(state, now_ms)
        health.check(self._health, pool.servers.values(), now_ms, self._values)
        self._mark_long(pool, now_ms)
        pool.update_totals()

    def _mark_long(self, pool: _pool.Pool, now_ms: float) -> None:
        """Count calls that have become long while in flight."""
        values = self._values
        long_ms = values.level_base_ms * 2 ** (values.long_level - 1)
        for state in pool.servers.values():
            for flight in state.in_flight:
                assert isinstance(flight, tickets.Ticket)
                if flight.is_long:
                    continue
                age_ms = now_ms - flight.assigned_ms
                if flight.profile.attained_ms + age_ms >= long_ms:
                    flight.is_long = True
                    pool.long_in_flight += 1

    def _dispatch(self, pool: _pool.Pool, now_ms: float) -> None:
        while pool.delayed and pool.delayed[0][0] <= now_ms:
            _, _, ticket = heapq.heappop(pool.delayed)
            if not ticket.is_over:
                pool.queue.push(self._ordering, ticket)
        while pool.queue.count and self._dispatch_one(pool, now_ms):
            pass

    def _dispatch_one(self, pool: _pool.Pool, now_ms: float) -> bool:
        """Assign or refuse one waiting call; return whether one moved."""
        for entry in self._candidates(pool, now_ms):
            if self._give_up_if_late(entry, now_ms):
                return True
            state = pool.trial_server(entry.profile, now_ms)
            if state is not None and entry.attempt == 0:
                pool.queue.withdraw(self._ordering, entry)
                self._assign(entry, state, now_ms)
                health.start_trial(state, entry, now_ms)
                return True
            found = pool.eligible(
                entry.profile, entry.avoid, now_ms, self._values
            )
            if found:
                pool.queue.withdraw(self._ordering, entry)
                chosen = self._choose(entry, found, now_ms)
                self._assign(entry, chosen, now_ms)
                return True
        return False

    def _candidates(self, pool: _pool.Pool, now_ms: float) -> list[Any]:
        """Return the calls that may be next, the first to be served first."""
        values = self._values
        urgent = pool.queue.urgent_head()
        heads: list[Any] = list(pool.queue.heads(now_ms, values))
        if isinstance(self._ordering, ordering.AttainedService):
            heads = [
                entry
                for entry in heads
                if self._may_run_long(pool, entry, now_ms)
            ]
        if urgent is None:
            return heads
        bound = max(values.urgent_share * pool.slots, 1.0)
        if heads and pool.urgent_in_flight >= bound:
            return [*heads, urgent]
        return [urgent, *heads]

    def _may_run_long(
        self, pool: _pool.Pool, entry: Any, now_ms: float
    ) -> bool:
        values = self._values
        if entry.level < values.long_level:
            return True
        if pool.long_in_flight < max(values.long_share * pool.slots, 1.0):
            return True
        # An aged call may use the slots kept for short ones.
        level = ordering.aged_level(entry, now_ms, values)
        return level < values.long_level - 1

    def _choose(
        self,
        ticket: tickets.Ticket,
        found: list[_servers.ServerState],
        now_ms: float,
    ) -> _servers.ServerState:
        return ticket.pool.router.choose(
            self._routing,
            self._affinity,
            ticket.profile,
            found,
            ticket.pool.servers,
            now_ms,
            self._values,
        )

    def _assign(
        self,
        ticket: tickets.Ticket,
        state: _servers.ServerState,
        now_ms: float,
    ) -> None:
        profile = ticket.profile
        pool = ticket.pool
        ticket.server = state
        ticket.assigned_ms = now_ms
        ticket.progress_ms = now_ms
        ticket.was_sent = True
        state.in_flight[ticket] = None
        pool.urgent_in_flight += profile.is_urgent
        if ticket.level >= self._values.long_level:
            ticket.is_long = True
            pool.long_in_flight += 1
        if profile.prefix_hashes and isinstance(
            self._affinity, prefixes.Bounded
        ):
            pool.router.index.record(
                profile.prefix_hashes,
                state.server.server_id,
                self._values.prefix_entries,
            )
        priority = ordering.engine_priority(
            self._ordering, ticket, now_ms, self._values
        )
        self._answer(
            ticket,
            calls.Assigned(
                state.server.server_id, state.server.address, priority
            ),
        )

    def _answer(
        self, ticket: tickets.Ticket, answer: calls.Assigned | calls.Refused
    ) -> None:
        ticket.answer = answer
        if ticket.event is not None:
            ticket.event.set()

    def _give_up_if_late(self, ticket: tickets.Ticket, now_ms: float) -> bool:
        """Refuse a waiting call whose deadline can no longer be met."""
        if ticket.answer is not None or now_ms < self._give_up_ms(ticket):
            return False
        code = results.ResultCode.DEADLINE_CANNOT_BE_MET
        if ticket.was_sent:
            code = results.ResultCode.BACKEND_TIMEOUT
        self._refuse(ticket, code, "the call waited until its deadline")
        return True

    def _give_up_ms(self, ticket: tickets.Ticket) -> float:
        deadline_ms = ticket.profile.deadline_ms
        if deadline_ms is None:
            return math.inf
        if isinstance(self._admission, admission.Open):
            return deadline_ms
        return deadline_ms - ticket.pool.shortest_ms(ticket.profile)

    def _refuse(
        self, ticket: tickets.Ticket, code: results.ResultCode, message: str
    ) -> None:
        pool = ticket.pool
        pool.queue.withdraw(self._ordering, ticket)
        pool.remove_customer_call(ticket.profile.customer)
        ticket.is_over = True
        rate = pool.rate_per_ms(self._clock.now_ms())
        queue_ms = pool.queue.count / rate if rate > 0 else 0.0
        retry_ms = min(
            max(queue_ms, admission.RETRY_AFTER_MIN_MS),
            admission.RETRY_AFTER_MAX_MS,
        )
        self._answer(ticket, calls.Refused(code, message, int(retry_ms)))

    def _wait(
        self, ticket: tickets.Ticket, timeout_ms: float
    ) -> calls.Assigned | calls.Waiting | calls.Refused:
        if ticket.answer is not None:
            return ticket.answer
        end_ms = self._clock.now_ms() + timeout_ms
        while True:
            with self._lock:
                now_ms = self._clock.now_ms()
                answer = self._look(ticket, now_ms)
                if answer is not None:
                    return answer
                if now_ms >= end_ms:
                    return self._waiting(ticket, now_ms)
                if ticket.event is None:
                    ticket.event = threading.Event()
                until_ms = min(end_ms, self._next_look_ms(ticket, now_ms))
            self._clock.wait(ticket.event, until_ms - now_ms)

    def _look(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> calls.Assigned | calls.Refused | None:
        """Let time take effect on a waiting call; return its answer."""
        if ticket.answer is None:
            self._check_if_due(ticket.pool, now_ms)
            self._dispatch(ticket.pool, now_ms)
            self._give_up_if_late(ticket, now_ms)
        return ticket.answer

    def _next_look_ms(self, ticket: tickets.Ticket, now_ms: float) -> float:
        until_ms = min(now_ms + WAIT_SLICE_MS, self._give_up_ms(ticket))
        if ticket.not_before_ms > now_ms:
            until_ms = min(until_ms, ticket.not_before_ms)
        return until_ms

    def _waiting(self, ticket: tickets.Ticket, now_ms: float) -> calls.Waiting:
        pool = ticket.pool
        if ticket.not_before_ms > now_ms:
            reason = "the call waits before its retry"
        elif not _has_server(pool):
            reason = f"pool {pool.name!r} has no backend server"
        else:
            reason = "all backend servers are at their limit"
        ahead = pool.queue.count_ahead(ticket.level, ticket.profile.is_urgent)
        return calls.Waiting(reason, max(ahead, 1), now_ms - ticket.queued_ms)

    def _first_token(self, ticket: tickets.Ticket) -> None:
        with self._lock:
            state = ticket.server
            if state is None or ticket.first_token_ms is not None:
                return
            if ticket.is_over:
                return
            now_ms = self._clock.now_ms()
            ticket.first_token_ms = now_ms
            ticket.progress_ms = now_ms
            ticket.pending_tokens = 0
            ratio = state.add_first_token(ticket, now_ms)
            self._judge_sample(ticket, state, ratio, now_ms)

    def _fold_tokens(self, ticket: tickets.Ticket, now_ms: float) -> None:
        with self._lock:
            state = ticket.server
            if state is None or ticket.first_token_ms is None:
                return
            if ticket.is_over or ticket.pending_tokens <= 0:
                return
            gap_ms = (now_ms - ticket.progress_ms) / ticket.pending_tokens
            ticket.progress_ms = now_ms
            ticket.pending_tokens = 0
            ticket.progress_count += 1
            ratio = state.add_gap(ticket, gap_ms, now_ms)
            self._judge_sample(ticket, state, ratio, now_ms)

    def _judge_sample(
        self,
        ticket: tickets.Ticket,
        state: _servers.ServerState,
        ratio: float,
        now_ms: float,
    ) -> None:
        if not state.is_ejected:
            return
        is_trial = state.trial is ticket
        began_before = ticket.assigned_ms <= state.ejected_ms
        if ticket.progress_count == 0 and began_before:
            # This time to first token lies in the slow phase.
            return
        if health.observe_sample(state, is_trial, ratio, now_ms, self._values):
            ticket.pool.update_totals()
            self._dispatch(ticket.pool, now_ms)

    def _finish(
        self, ticket: tickets.Ticket, observation: calls.Observation
    ) -> None:
        with self._lock:
            state = ticket.server
            if ticket.is_over or state is None:
                return
            now_ms = self._clock.now_ms()
            duration_ms = now_ms - ticket.assigned_ms
            if observation.is_server_fault:
                state.fault_count += 1
            elif observation.is_success:
                state.fault_count = 0
                self._learn(ticket, state, observation, now_ms)
                ticket.pool.note_end(duration_ms, now_ms)
            limits.adapt(self._limits, state, self._values)
            self._release(ticket, now_ms)
            self._update_slots(state, now_ms)
            self._check_if_due(ticket.pool, now_ms)
            self._dispatch(ticket.pool, now_ms)

    def _learn(
        self,
        ticket: tickets.Ticket,
        state: _servers.ServerState,
        observation: calls.Observation,
        now_ms: float,
    ) -> None:
        duration_ms = now_ms - ticket.assigned_ms
        ratio = state.add_call(ticket, duration_ms, now_ms)
        tokens = observation.generated_tokens
        if ticket.first_token_ms is None:
            self._judge_sample(ticket, state, ratio, now_ms)
            return
        state.note_generated(tokens)
        if ticket.progress_count == 0 and tokens > 1:
            gap_ms = (now_ms - ticket.first_token_ms) / (tokens - 1)
            state.add_gap(ticket, gap_ms, now_ms)

    def _cancel(self, ticket: tickets.Ticket) -> None:
        with self._lock:
            now_ms = self._clock.now_ms()
            state = ticket.server
            if state is not None and not ticket.is_over:
                # A call cancelled while late still shows a slow server.
                ratio = state.flight_ratio(ticket, now_ms)
                is_waiting = ticket.first_token_ms is None
                if state.has_tokens and is_waiting and ratio > 1:
                    state.add_first_token(ticket, now_ms)
            self._release(ticket, now_ms)
            self._dispatch(ticket.pool, now_ms)

    def _release(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Take a call out of the queue or off its server."""
        if ticket.is_over:
            return
        ticket.is_over = True
        pool = ticket.pool
        pool.remove_customer_call(ticket.profile.customer)
        if ticket.is_queued:
            pool.queue.withdraw(self._ordering, ticket)
        state = ticket.server
        if state is None:
            return
        state.in_flight.pop(ticket, None)
        pool.urgent_in_flight -= ticket.profile.is_urgent
        pool.long_in_flight -= ticket.is_long
        if state.trial is ticket:
            state.trial = None
            health.end_trial(state, now_ms, self._values)

    def _successor(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> tickets.Ticket:
        again = tickets.Ticket(
            self, ticket.pool, ticket.profile, now_ms, ticket.level
        )
        again.avoid = ticket.avoid
        again.was_sent = ticket.was_sent
        if ticket.server is not None:
            again.avoid |= {ticket.server.server.server_id}
        return again

    def _refuse_retry(
        self, ticket: tickets.Ticket, reason: str, now_ms: float
    ) -> calls.Refused | None:
        code = results.ResultCode.BACKEND_ERROR
        if not ticket.profile.is_idempotent:
            return calls.Refused(code, f"{reason}; the call is not idempotent")
        if ticket.attempt >= self._values.retry_max:
            return calls.Refused(
                code,
                f"{reason}; the call was tried {ticket.attempt + 1} times",
            )
        if now_ms >= self._give_up_ms(ticket):
            return calls.Refused(
                results.ResultCode.BACKEND_TIMEOUT,
                f"{reason}; a retry would end after the deadline",
            )
        if not self._budget.spend():
            return calls.Refused(
                code, f"{reason}; the retry budget of this process is used up"
            )
        return None

    def _may_hedge(self, ticket: tickets.Ticket) -> bool:
        if not ticket.profile.is_idempotent or ticket.is_over:
            return False
        if ticket.server is None or ticket.first_token_ms is not None:
            return False
        # Half of the budget is kept for retries and for urgent calls.
        kept = (
            0.0 if ticket.profile.is_urgent else self._values.retry_burst / 2
        )
        if self._budget.tokens < 1 + kept:
            return False
        return len(ticket.pool.servers) > 1

    def _usual_start_ms(self, ticket: tickets.Ticket) -> float:
        """Return the pool's usual time until a call shows life."""
        known = [
            state.first_token.usual if state.has_tokens else state.call.usual
            for state in ticket.pool.servers.values()
            if state.sample_count >= _servers.MIN_SAMPLES
        ]
        if not known:
            return 0.0
        usual_ms = sorted(known)[len(known) // 2]
        state = ticket.server
        if state is None or not state.has_tokens:
            return usual_ms
        # A server that is always slow gains nothing from a second request.
        usual_ms = max(usual_ms, state.first_token.usual)
        return usual_ms * state.prompt_factor(ticket.profile.prompt_tokens)


def _has_server(pool: _pool.Pool) -> bool:
    return any(not state.server.is_leaving for state in pool.servers.values())
