"""Facade of the scheduling policies: when and where each call runs."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from balsamloom_core import clock as core_clock
from balsamloom_core import results
from balsamloom_policy import (
    _candidates,
    _dispatcher,
    _hedging,
    _policies,
    _pool,
    _servers,
    admission,
    calls,
    limits,
    ordering,
    retries,
    settings,
    tickets,
)


class Scheduler:
    """Schedules the calls of one process.

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
        self._dispatcher = _dispatcher.Dispatcher(clock, values)
        self._lock = self._dispatcher.lock
        self._capacity = self._dispatcher.capacity
        self._generator = random.Random(seed)
        self._sequence = itertools.count()
        self._pools: dict[str, _pool.Pool] = {}
        self._budget = retries.RetryBudget(values)

    def update_settings(self, values: settings.PolicySettings) -> None:
        """Apply new settings and requeue the waiting calls."""
        with self._lock:
            previous = self._dispatcher.policies
            self._dispatcher.policies = _policies.select(values)
            has_limit_changed = self._policies.has_limit != previous.has_limit
            for pool in self._pools.values():
                entries = list(pool.queue.entries())
                _candidates.requeue(
                    pool, entries, previous.ordering, self._policies
                )
                if has_limit_changed:
                    self._reset_limits(pool)
                self._refresh_pool(pool)

    def update_servers(self, name: str, servers: list[calls.Server]) -> None:
        """Replace the list of a pool's servers.

        Servers that remain keep their estimates.

        :param name: model or service name.
        """
        with self._lock:
            pool = self._get_or_create_pool(name)
            previous = pool.servers
            pool.servers = {}
            for server in servers:
                state = previous.pop(server.server_id, None)
                if state is None:
                    limit = self._starting_limit(server)
                    state = _servers.ServerState(server, limit)
                elif state.server.concurrency != server.concurrency:
                    state.limit = self._starting_limit(server)
                state.server = server
                pool.servers[server.server_id] = state
            for server_id in previous:
                pool.router.index.remove_server(server_id)
            self._refresh_pool(pool)

    def update_load(self, server_id: str, report: calls.LoadReport) -> None:
        """Record a server's load report, used as a hint for routing."""
        with self._lock:
            for pool in self._pools.values():
                state = pool.servers.get(server_id)
                if state is not None:
                    state.load_report = report
                    state.load_report_ms = self._clock.now_ms()

    def set_member_count(self, count: int) -> None:
        """Set the number of processes that share the servers."""
        with self._lock:
            if not self._capacity.set_member_count(count):
                return
            if isinstance(self._policies.limits, limits.StaticLimit):
                for pool in self._pools.values():
                    self._reset_limits(pool)
            self._update_all_slots()

    def update_peer_shares(
        self, member_id: str, shares: list[calls.ServerShare]
    ) -> None:
        """Replace a peer's calls in flight and limits.

        :param shares: result of :meth:`shares` at the peer.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._capacity.update_peer_shares(
                member_id, shares, now_ms, self._policies.values
            )
            self._update_all_slots()

    def shares(self) -> list[calls.ServerShare]:
        """Return this process's calls in flight and limits for its peers."""
        with self._lock:
            return [
                calls.ServerShare(
                    server_id,
                    len(state.in_flight),
                    min(state.slots, self._policies.values.limit_max),
                    state.is_ejected and state.is_own_ejection,
                )
                for pool in self._pools.values()
                for server_id, state in pool.servers.items()
            ]

    def submit(
        self, profile: calls.CallProfile
    ) -> tickets.Ticket | calls.Refusal:
        """Queue a call or refuse it at once.

        A refused call was not sent to any server.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            policies = self._policies
            pool = self._pools.get(profile.pool)
            if pool is None or not pool.has_server:
                return calls.Refusal(
                    results.ResultCode.NO_BACKEND_SERVER,
                    f"pool {profile.pool!r} has no backend server",
                    admission.NO_SERVER_RETRY_AFTER_MS,
                )
            self._dispatcher.check_pool_if_due(pool, now_ms)
            level = ordering.queue_level(
                policies.ordering, profile, policies.values
            )
            load = pool.load(profile, level, now_ms)
            refusal = admission.check(
                policies.admission, profile, load, now_ms, policies.values
            )
            if refusal is not None:
                rate = load.drain_per_ms
                return pool.retry_schedule.schedule(refusal, rate, now_ms)
            self._budget.earn(policies.values)
            ticket = tickets.Ticket(
                self._dispatcher, pool, profile, now_ms, level
            )
            pool.add_customer_call(profile.customer)
            pool.queue.push(policies.ordering, ticket)
            self._dispatcher.dispatch(pool, now_ms)
            return ticket

    def retry(
        self, ticket: tickets.Ticket, reason: str
    ) -> tickets.Ticket | calls.Refusal:
        """Retry an idempotent call, at another server if there is one.

        A refusal's code does not mean "not run", since the call was sent
        before.

        :param ticket: call that failed; released if it still has a slot.
        :param reason: failure that a refusal's message states.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._dispatcher.release(ticket, now_ms)
            refusal = self._check_retry(ticket, reason, now_ms)
            if refusal is not None:
                return refusal
            new_ticket = self._new_attempt(ticket, now_ms)
            new_ticket.attempt = ticket.attempt + 1
            new_ticket.queued_ms = ticket.queued_ms
            delay_ms = retries.delay_ms(
                new_ticket.attempt, self._generator, self._policies.values
            )
            new_ticket.not_before_ms = now_ms + delay_ms
            pool = ticket.pool
            pool.add_customer_call(ticket.profile.customer)
            heapq.heappush(
                pool.delayed_retries,
                (new_ticket.not_before_ms, next(self._sequence), new_ticket),
            )
            self._dispatcher.dispatch(pool, now_ms)
            return new_ticket

    def hedge_delay_ms(self, ticket: tickets.Ticket) -> float | None:
        """Return the delay in ms until a hedge, or None for no hedge.

        :param ticket: assigned call without a first token.
        """
        with self._lock:
            if not self._may_hedge(ticket):
                return None
            return _hedging.delay_ms(
                ticket, self._clock.now_ms(), self._policies.values
            )

    def hedge(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Send an idempotent call to a second server with a free slot.

        :return: an assigned ticket, or None without budget or a free slot.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._may_hedge(ticket):
                return None
            pool = ticket.pool
            new_ticket = self._new_attempt(ticket, now_ms)
            new_ticket.attempt = ticket.attempt
            eligible = pool.eligible_servers(
                new_ticket.profile,
                new_ticket.avoided_ids,
                now_ms,
                self._policies.values,
            )
            eligible = [
                state for state in eligible if state is not ticket.server
            ]
            if not eligible or not self._budget.try_spend():
                return None
            pool.add_customer_call(new_ticket.profile.customer)
            chosen = _candidates.choose_server(
                new_ticket, eligible, now_ms, self._policies
            )
            self._dispatcher.assign(new_ticket, chosen, now_ms)
            return new_ticket

    def describe(self) -> dict[str, Any]:
        """Return the scheduler's state for a dump."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return {
                "member_count": self._capacity.member_count,
                "retry_tokens": round(self._budget.tokens, 2),
                "pools": {
                    name: pool.describe(now_ms)
                    for name, pool in self._pools.items()
                },
            }

    @property
    def _policies(self) -> _policies.Policies:
        return self._dispatcher.policies

    def _get_or_create_pool(self, name: str) -> _pool.Pool:
        if name not in self._pools:
            generator = random.Random(self._generator.random())
            self._pools[name] = _pool.Pool(name, generator)
        return self._pools[name]

    def _starting_limit(self, server: calls.Server) -> float:
        return self._capacity.starting_limit(server, self._policies)

    def _reset_limits(self, pool: _pool.Pool) -> None:
        """Reset the servers' limits to their starting values."""
        for state in pool.servers.values():
            state.limit = self._starting_limit(state.server)

    def _refresh_pool(self, pool: _pool.Pool) -> None:
        """Update a pool after a change of its servers or the settings."""
        now_ms = self._clock.now_ms()
        for state in pool.servers.values():
            self._dispatcher.update_slots(state, now_ms)
        self._dispatcher.check_pool(pool, now_ms)
        self._dispatcher.dispatch(pool, now_ms)

    def _update_all_slots(self) -> None:
        """Recompute all slots after a change of the peers' usage."""
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            for state in pool.servers.values():
                self._dispatcher.update_slots(state, now_ms)
            pool.update_totals()
            self._dispatcher.dispatch(pool, now_ms)

    def _new_attempt(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> tickets.Ticket:
        new_ticket = tickets.Ticket(
            self._dispatcher,
            ticket.pool,
            ticket.profile,
            now_ms,
            ticket.level,
        )
        new_ticket.avoided_ids = ticket.avoided_ids
        new_ticket.was_sent = ticket.was_sent
        if ticket.server is not None:
            new_ticket.avoided_ids |= {ticket.server.server.server_id}
        return new_ticket

    def _check_retry(
        self, ticket: tickets.Ticket, reason: str, now_ms: float
    ) -> calls.Refusal | None:
        code = results.ResultCode.BACKEND_ERROR
        if not ticket.profile.is_idempotent:
            return calls.Refusal(code, f"{reason}; the call is not idempotent")
        if ticket.attempt >= self._policies.values.retry_max:
            return calls.Refusal(
                code,
                f"{reason}; the call was tried {ticket.attempt + 1} times",
            )
        if now_ms >= self._dispatcher.latest_start_ms(ticket):
            return calls.Refusal(
                results.ResultCode.BACKEND_TIMEOUT,
                f"{reason}; a retry would end after the deadline",
            )
        if not self._budget.try_spend():
            return calls.Refusal(
                code, f"{reason}; the retry budget of this process is used up"
            )
        return None

    def _may_hedge(self, ticket: tickets.Ticket) -> bool:
        return _hedging.may_hedge(ticket, self._budget, self._policies.values)
