"""Assigns waiting calls to servers and releases their slots.

One lock guards all state. Each call has a thread that waits on its ticket;
the thread that frees or finds a slot dispatches the next call.
"""

from __future__ import annotations

import heapq
import math
import threading

from balsamloom_core import clock as core_clock
from balsamloom_core import results
from balsamloom_policy import (
    _candidates,
    _capacity,
    _policies,
    _pool,
    _servers,
    admission,
    calls,
    health,
    limits,
    ordering,
    prefixes,
    settings,
    tickets,
)

# Longest time that a waiting thread sleeps without checking its call.
POLL_INTERVAL_MS = 1000.0


class Dispatcher:
    """Assigns calls to servers and updates the servers' estimates.

    Methods called by :class:`tickets.Ticket` acquire the lock; the caller
    must hold it for all other public methods.

    :param clock: time source.
    :param values: settings in force.
    """

    def __init__(
        self, clock: core_clock.Clock, values: settings.PolicySettings
    ) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.policies = _policies.select(values)
        self.capacity = _capacity.Capacity()

    def update_slots(self, state: _servers.ServerState, now_ms: float) -> None:
        """Recompute a server's slots."""
        self.capacity.update_slots(state, now_ms, self.policies)

    def check_pool_if_due(self, pool: _pool.Pool, now_ms: float) -> None:
        """Check a pool if the check interval has passed."""
        if now_ms - pool.checked_ms >= self.policies.values.check_interval_ms:
            self.check_pool(pool, now_ms)

    def check_pool(self, pool: _pool.Pool, now_ms: float) -> None:
        """Update health, long calls and totals of a pool."""
        pool.checked_ms = now_ms
        for state in pool.servers.values():
            if state.peer_ejections:
                # Expires ejections reported by peers that stopped sending.
                self.update_slots(state, now_ms)
        health.check(
            self.policies.health,
            pool.servers.values(),
            now_ms,
            self.policies.values,
        )
        _candidates.mark_long_calls(pool, now_ms, self.policies)
        pool.update_totals()

    def dispatch(self, pool: _pool.Pool, now_ms: float) -> None:
        """Assign waiting calls while servers have free slots."""
        while pool.delayed_retries and pool.delayed_retries[0][0] <= now_ms:
            _, _, ticket = heapq.heappop(pool.delayed_retries)
            if not ticket.is_over:
                pool.queue.push(self.policies.ordering, ticket)
        while pool.queue.count and self._dispatch_one(pool, now_ms):
            pass

    def _dispatch_one(self, pool: _pool.Pool, now_ms: float) -> bool:
        """Assign or refuse one waiting call; return whether it did."""
        for entry in _candidates.next_entries(pool, now_ms, self.policies):
            if self._refuse_if_late(entry, now_ms):
                return True
            state = pool.trial_server(entry.profile, now_ms)
            if state is not None and entry.attempt == 0:
                pool.queue.remove(self.policies.ordering, entry)
                self.assign(entry, state, now_ms)
                health.start_trial(state, entry, now_ms)
                return True
            eligible = pool.eligible_servers(
                entry.profile, entry.avoided_ids, now_ms, self.policies.values
            )
            if eligible:
                pool.queue.remove(self.policies.ordering, entry)
                chosen = _candidates.choose_server(
                    entry, eligible, now_ms, self.policies
                )
                self.assign(entry, chosen, now_ms)
                return True
        return False

    def assign(
        self,
        ticket: tickets.Ticket,
        state: _servers.ServerState,
        now_ms: float,
    ) -> None:
        """Assign a call to a server."""
        profile = ticket.profile
        pool = ticket.pool
        ticket.server = state
        ticket.assigned_ms = now_ms
        ticket.progress_ms = now_ms
        ticket.was_sent = True
        state.in_flight[ticket] = None
        pool.urgent_in_flight += profile.is_urgent
        if ticket.level >= self.policies.values.long_level:
            ticket.is_long = True
            pool.long_in_flight += 1
        if profile.prefix_hashes and isinstance(
            self.policies.affinity, prefixes.BoundedAffinity
        ):
            pool.router.index.record(
                profile.prefix_hashes,
                state.server.server_id,
                self.policies.values.prefix_entries,
            )
        priority = ordering.engine_priority(
            self.policies.ordering, ticket, now_ms, self.policies.values
        )
        self._set_answer(
            ticket,
            calls.Assignment(
                state.server.server_id, state.server.address, priority
            ),
        )

    def _set_answer(
        self, ticket: tickets.Ticket, answer: calls.Assignment | calls.Refusal
    ) -> None:
        ticket.answer = answer
        if ticket.event is not None:
            ticket.event.set()

    def _refuse_if_late(self, ticket: tickets.Ticket, now_ms: float) -> bool:
        """Refuse a waiting call whose deadline can no longer be met."""
        if ticket.answer is not None or now_ms < self.latest_start_ms(ticket):
            return False
        code = results.ResultCode.DEADLINE_CANNOT_BE_MET
        if ticket.was_sent:
            code = results.ResultCode.BACKEND_TIMEOUT
        self._refuse(ticket, code, "the call waited until its deadline")
        return True

    def latest_start_ms(self, ticket: tickets.Ticket) -> float:
        """Return the time from which a call cannot meet its deadline."""
        deadline_ms = ticket.profile.deadline_ms
        if deadline_ms is None:
            return math.inf
        if isinstance(self.policies.admission, admission.UnlimitedAdmission):
            return deadline_ms
        return deadline_ms - ticket.pool.min_service_ms(ticket.profile)

    def _refuse(
        self, ticket: tickets.Ticket, code: results.ResultCode, message: str
    ) -> None:
        pool = ticket.pool
        pool.queue.remove(self.policies.ordering, ticket)
        pool.remove_customer_call(ticket.profile.customer)
        ticket.is_over = True
        rate = pool.drain_per_ms(self.clock.now_ms())
        queue_ms = pool.queue.count / rate if rate > 0 else 0.0
        retry_ms = min(
            max(queue_ms, admission.MIN_RETRY_AFTER_MS),
            admission.MAX_RETRY_AFTER_MS,
        )
        self._set_answer(ticket, calls.Refusal(code, message, int(retry_ms)))

    def wait(
        self, ticket: tickets.Ticket, timeout_ms: float
    ) -> calls.Assignment | calls.WaitStatus | calls.Refusal:
        """Wait for a server; a timeout of 0 ms returns at once."""
        if ticket.answer is not None:
            return ticket.answer
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            with self.lock:
                now_ms = self.clock.now_ms()
                answer = self._poll(ticket, now_ms)
                if answer is not None:
                    return answer
                if now_ms >= end_ms:
                    return self._wait_status(ticket, now_ms)
                if ticket.event is None:
                    ticket.event = threading.Event()
                wake_ms = min(end_ms, self._next_poll_ms(ticket, now_ms))
            self.clock.wait(ticket.event, wake_ms - now_ms)

    def _poll(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> calls.Assignment | calls.Refusal | None:
        """Run the due checks for a waiting call and return its answer."""
        if ticket.answer is None:
            self.check_pool_if_due(ticket.pool, now_ms)
            self.dispatch(ticket.pool, now_ms)
            self._refuse_if_late(ticket, now_ms)
        return ticket.answer

    def _next_poll_ms(self, ticket: tickets.Ticket, now_ms: float) -> float:
        wake_ms = min(now_ms + POLL_INTERVAL_MS, self.latest_start_ms(ticket))
        if ticket.not_before_ms > now_ms:
            wake_ms = min(wake_ms, ticket.not_before_ms)
        return wake_ms

    def _wait_status(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> calls.WaitStatus:
        pool = ticket.pool
        if ticket.not_before_ms > now_ms:
            reason = "the call waits before its retry"
        elif not pool.has_server:
            reason = f"pool {pool.name!r} has no backend server"
        else:
            reason = "all backend servers are at their limit"
        ahead = pool.queue.count_ahead(ticket.level, ticket.profile.is_urgent)
        return calls.WaitStatus(
            reason, max(ahead, 1), now_ms - ticket.queued_ms
        )

    def record_first_token(self, ticket: tickets.Ticket) -> None:
        """Record the time to first token."""
        with self.lock:
            state = ticket.server
            if state is None or ticket.first_token_ms is not None:
                return
            if ticket.is_over:
                return
            now_ms = self.clock.now_ms()
            ticket.first_token_ms = now_ms
            ticket.progress_ms = now_ms
            ticket.pending_tokens = 0
            ratio = state.add_first_token(ticket, now_ms)
            self._check_recovery(ticket, state, ratio, now_ms)

    def record_progress(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Record the mean time between the pending tokens."""
        with self.lock:
            state = ticket.server
            if state is None or ticket.first_token_ms is None:
                return
            if ticket.is_over or ticket.pending_tokens <= 0:
                return
            gap_ms = (now_ms - ticket.progress_ms) / ticket.pending_tokens
            ticket.progress_ms = now_ms
            ticket.pending_tokens = 0
            ticket.progress_count += 1
            ratio = state.add_token_gap(ticket, gap_ms, now_ms)
            self._check_recovery(ticket, state, ratio, now_ms)

    def _check_recovery(
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
            # A first token requested before the ejection shows no recovery.
            return
        if health.record_sample(
            state, is_trial, ratio, now_ms, self.policies.values
        ):
            ticket.pool.update_totals()
            self.dispatch(ticket.pool, now_ms)

    def finish(
        self, ticket: tickets.Ticket, observation: calls.Observation
    ) -> None:
        """Record the end of a call and free its slot."""
        with self.lock:
            state = ticket.server
            if ticket.is_over or state is None:
                return
            now_ms = self.clock.now_ms()
            duration_ms = now_ms - ticket.assigned_ms
            if observation.is_server_fault:
                state.fault_count += 1
            elif observation.is_success:
                state.fault_count = 0
                self._record_success(ticket, state, observation, now_ms)
                ticket.pool.record_end(duration_ms, now_ms)
            limits.adapt(self.policies.limits, state, self.policies.values)
            self.release(ticket, now_ms)
            self.update_slots(state, now_ms)
            self.check_pool_if_due(ticket.pool, now_ms)
            self.dispatch(ticket.pool, now_ms)

    def _record_success(
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
            self._check_recovery(ticket, state, ratio, now_ms)
            return
        state.record_generated_tokens(tokens)
        if ticket.progress_count == 0 and tokens > 1:
            gap_ms = (now_ms - ticket.first_token_ms) / (tokens - 1)
            state.add_token_gap(ticket, gap_ms, now_ms)

    def cancel(self, ticket: tickets.Ticket) -> None:
        """Cancel a call: remove it from the queue or free its slot."""
        with self.lock:
            now_ms = self.clock.now_ms()
            state = ticket.server
            if state is not None and not ticket.is_over:
                # A late call shows a slow server even if it is cancelled.
                ratio = state.lateness_ratio(ticket, now_ms)
                is_waiting = ticket.first_token_ms is None
                if state.has_tokens and is_waiting and ratio > 1:
                    state.add_first_token(ticket, now_ms)
            self.release(ticket, now_ms)
            self.dispatch(ticket.pool, now_ms)

    def release(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Remove a call from the queue or from its server."""
        if ticket.is_over:
            return
        ticket.is_over = True
        pool = ticket.pool
        pool.remove_customer_call(ticket.profile.customer)
        if ticket.is_queued:
            pool.queue.remove(self.policies.ordering, ticket)
        state = ticket.server
        if state is None:
            return
        state.in_flight.pop(ticket, None)
        pool.urgent_in_flight -= ticket.profile.is_urgent
        pool.long_in_flight -= ticket.is_long
        if state.trial is ticket:
            state.trial = None
            health.end_trial(state, now_ms, self.policies.values)
