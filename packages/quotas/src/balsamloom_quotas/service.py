"""Admission of requests, and the exchange with granters."""

from __future__ import annotations

import dataclasses
import logging
import math
import threading
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_quotas import (
    evidence,
    granter,
    limits,
    messages,
    stocks,
    timing,
)

# Longest time in which a request waits for tokens, from one granter and from
# all. A refusal that comes late is worth little to the caller.
MAX_GRANTER_WAIT_MS = 30.0
MAX_WAIT_MS = 60.0
ROUND_TIMEOUT_MS = 250.0
# A granter that does not answer is left out for this time, or the shorter one
# if it was given little time.
FAILURE_PAUSE_MS = 1_000.0
LATE_PAUSE_MS = 250.0
MIN_RETRY_AFTER_MS = 50.0
TICKS_PER_INTERVAL = 2
# A granter is due after this part of the interval. A tick that comes a little
# early would put it off to the next one.
DUE_SHARE = 0.9
MIN_CALL_TIMEOUT_MS = 1.0
# Path at which a host shows the state of its quotas.
PAGE_PATH = "/quotas"
# Interval between log events about refusals of one workspace.
REFUSAL_LOG_MS = 1_000.0


class UnreachableError(Exception):
    """A granter returned no usable answer."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may run, for a token that this granter leased.

    ``granter`` is empty if the workspace has no limit.
    """

    workspace: str = ""
    granter: str = ""


# A request of a workspace without a limit.
UNLIMITED = Admitted()


@dataclasses.dataclass(frozen=True)
class Refused:
    """The quota is used up, as far as this host knows."""

    retry_after_ms: float


Decision = Admitted | Refused

# Calls a granter: its name, the request, the longest time.
Send = Callable[[str, dict[str, Any], float], Any]


class _Link:
    """State of the exchange with one granter; one request at a time.

    Callers' requests leave little time for an answer. One that is late for
    them may be in time for a round, so it does not put off the next one.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.number = 0
        self.applied = 0
        # When the last round was sent, or a request that was answered.
        self.round_ms = -math.inf
        # Until when the granter is left out, and by callers' requests only.
        self.failed_until_ms = -math.inf
        self.late_until_ms = -math.inf
        # Whether it granted when it last answered, and whether it ever did.
        self.is_active = True
        self.was_leased = False

    @property
    def paused_until_ms(self) -> float:
        """Return the time until which callers' requests leave it out."""
        return max(self.failed_until_ms, self.late_until_ms)


class Quotas:
    """Rate quotas at one host: its tokens, and its part as a granter.

    :param name: name of this host.
    :param run: identifies the run of this process.
    :param bounds: what the requests of a window may be.
    :param clock: time source that counts the time of a suspension.
    :param send: calls another host.
    """

    def __init__(
        self,
        name: str,
        run: str,
        bounds: limits.Bounds,
        clock: clocks.Clock,
        send: Send,
    ) -> None:
        self._name = name
        self._run = run
        self._clock = clock
        self._send = send
        self._lock = threading.Lock()
        self._stocks = stocks.Stocks(name, bounds.window_ms)
        self._granter_lock = threading.Lock()
        self._granter = granter.Granter(name, bounds)
        self._view = evidence.NO_VIEW
        self._had_others = False
        self._limits: Mapping[str, limits.RateLimit] = {}
        self._links: dict[str, _Link] = {}
        self._stopped = threading.Event()
        self._logged_ms: dict[str, float] = {}
        self._was_active = False
        # Hosts begin with different granters.
        self._turn = zlib.crc32(name.encode())
        # Returns the members that this host knows now.
        self.read_view: Callable[[], evidence.View] = lambda: evidence.NO_VIEW
        # Returns the limits of the configuration in force.
        self.read_limits: Callable[[], Mapping[str, limits.RateLimit]] = dict

    def admit(self, workspace: str, program_id: str = "") -> Decision:
        """Decide whether a request of a workspace may run.

        :param workspace: name of a workspace; a limit is looked up.
        :param program_id: empty if the request belongs to no program.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            wait_ms = self._stocks.admission(workspace).wait_ms(
                program_id, now_ms, self._clock.wall_ms()
            )
            if wait_ms is None:
                self._stocks.record(workspace, now_ms)
                leased_by = self._stocks.take(workspace, now_ms)
        if wait_ms is not None:
            return self._refuse(workspace, wait_ms)
        if leased_by is None:
            leased_by = self._fetch(workspace, now_ms + MAX_WAIT_MS)
        if leased_by is not None:
            return Admitted(workspace, leased_by)
        return self._refuse(workspace, None)

    def give_back(self, admitted: Admitted) -> None:
        """Return the token of a request that no server ran."""
        if not admitted.granter:
            return
        now_ms = self._clock.now_ms()
        with self._lock:
            self._stocks.give_back(
                admitted.workspace, admitted.granter, now_ms
            )

    def charge(self, admitted: Admitted, runs: int) -> None:
        """Count further runs of one request."""
        if admitted.granter and runs > 0:
            with self._lock:
                self._stocks.charge(admitted.workspace, runs)

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer another host's request for tokens.

        :raises InvalidMessageError: it is malformed.
        """
        request = messages.decode_request(body)
        return messages.encode_answer(self._grant(request))

    def run(self) -> None:
        """Exchange tokens with the granters until :meth:`stop`."""
        while not self._stopped.is_set():
            interval_ms = self.run_once()
            self._clock.wait(self._stopped, interval_ms / TICKS_PER_INTERVAL)

    def stop(self) -> None:
        """Make :meth:`run` return."""
        self._stopped.set()

    def run_once(self) -> float:
        """Apply the view and ask the granters that are due.

        :return: the interval in which a granter is asked.
        """
        interval_ms = self._refresh()
        for name in self._view.granters:
            link = self._link(name)
            now_ms = self._clock.now_ms()
            is_due = now_ms - link.round_ms >= interval_ms * DUE_SHARE
            if is_due and now_ms >= link.failed_until_ms:
                self._ask(name, link, "", now_ms + ROUND_TIMEOUT_MS)
        return interval_ms

    def account_states(self) -> dict[str, stocks.AccountState]:
        """Return the workspaces with requests at this host."""
        with self._lock:
            return self._stocks.states(self._clock.now_ms())

    def states(self) -> dict[str, Any]:
        """Return the tokens held and granted here, for operators."""
        now_ms = self._clock.now_ms()
        held = self.account_states()
        with self._granter_lock:
            is_active = self._granter.is_active
            granted = self._granter.states(now_ms)
        return {
            "host": self._name,
            "limits": {
                name: limit._asdict() for name, limit in self._limits.items()
            },
            "granters": list(self._view.granters),
            "is_granter": is_active,
            "workspaces": {
                name: _as_json(state) for name, state in held.items()
            },
            "granted": {
                name: state._asdict() for name, state in granted.items()
            },
        }

    def _refresh(self) -> float:
        """Apply the members and limits that this host knows now.

        :return: the interval in which a granter is asked.
        """
        self._limits = self.read_limits()
        if not self._limits:
            self._view = evidence.NO_VIEW
            with self._granter_lock:
                self._granter.set_limits({}, self._clock.now_ms())
            return timing.MAX_INTERVAL_MS
        view = self.read_view()
        interval_ms = timing.interval_ms(len(view.members))
        self._apply_view(view, interval_ms)
        return interval_ms

    def _apply_view(self, view: evidence.View, interval_ms: float) -> None:
        now_ms = self._clock.now_ms()
        former = self._view.granters
        if former and view.granters != former:
            self._had_others = True
        self._view = view
        with self._granter_lock:
            self._granter.role.set_view(view, now_ms)
            self._granter.set_limits(self._limits, now_ms)
            self._granter.refresh(now_ms)
            is_active = self._granter.is_active
        if is_active != self._was_active:
            self._was_active = is_active
            events.log(
                events.Event.QUOTA_ROLE_CHANGED,
                is_granter=is_active,
                granters=list(view.granters),
            )
        usable = [
            name
            for name in view.granters
            if self._link(name).failed_until_ms <= now_ms
            and self._link(name).is_active
        ]
        with self._lock:
            self._stocks.keep_only(self._limits)
            self._stocks.set_granters(usable or view.granters, interval_ms)

    def _fetch(self, workspace: str, until_ms: float) -> str | None:
        """Ask granters for a token that a request waits for."""
        if not self._view.granters:
            # The process has just started.
            self._refresh()
        for name in self._order(workspace):
            link = self._link(name)
            now_ms = self._clock.now_ms()
            if now_ms >= until_ms:
                break
            ask_until_ms = min(now_ms + MAX_GRANTER_WAIT_MS, until_ms)
            self._ask(name, link, workspace, ask_until_ms)
            with self._lock:
                leased_by = self._stocks.take(workspace, self._clock.now_ms())
            if leased_by is not None:
                return leased_by
        return None

    def _order(self, workspace: str) -> list[str]:
        """Return the granters that may have a token, in turn."""
        now_ms = self._clock.now_ms()
        names = self._view.granters
        with self._lock:
            found = [
                name
                for name in names
                if self._may_have_token(workspace, name, now_ms)
            ]
            # Tokens that nobody asks for are lost to the others.
            self._turn += 1
        first = self._turn % max(len(found), 1)
        return [*found[first:], *found[:first]]

    def _ask(
        self, name: str, link: _Link, needed: str, until_ms: float
    ) -> None:
        """Ask one granter and apply its answer.

        :param needed: workspace with a request that waits, empty in a round.
        """
        wait_ms = max(until_ms - self._clock.now_ms(), 0.0)
        if not link.lock.acquire(timeout=wait_ms / clocks.MS_PER_S):
            return
        try:
            sent_ms = self._clock.now_ms()
            if needed and self._is_answered(name, needed, sent_ms):
                return
            if not needed:
                link.round_ms = sent_ms
            self._exchange(name, link, needed, sent_ms, until_ms)
        except (UnreachableError, messages.InvalidMessageError) as error:
            self._record_failure(name, link, needed, error)
        finally:
            link.lock.release()

    def _exchange(
        self,
        name: str,
        link: _Link,
        needed: str,
        sent_ms: float,
        until_ms: float,
    ) -> None:
        """Send a request and apply its answer; needs the link's lock.

        :raises UnreachableError: the granter returned no usable answer.
        :raises InvalidMessageError: its answer is malformed.
        """
        request = self._build(name, link, needed, sent_ms)
        left_ms = max(until_ms - sent_ms, MIN_CALL_TIMEOUT_MS)
        answer = self._call(name, request, left_ms)
        now_ms = self._clock.now_ms()
        link.round_ms = sent_ms
        link.is_active = answer.is_active
        link.was_leased |= bool(answer.granted)
        link.failed_until_ms = link.late_until_ms = -math.inf
        if not answer.is_active:
            link.late_until_ms = now_ms + LATE_PAUSE_MS
        with self._lock:
            self._stocks.apply(name, request, answer, sent_ms, now_ms)
            self._stocks.apply_shares(name, answer.shares, now_ms)
        link.applied = request.number

    def _record_failure(
        self, name: str, link: _Link, needed: str, error: Exception
    ) -> None:
        """Leave a granter out for a time, and log why."""
        now_ms = self._clock.now_ms()
        if needed:
            link.late_until_ms = now_ms + LATE_PAUSE_MS
        else:
            link.failed_until_ms = now_ms + FAILURE_PAUSE_MS
        events.log(
            events.Event.QUOTA_GRANTER_FAILED,
            logging.WARNING,
            member=name,
            reason=str(error),
        )

    def _may_have_token(
        self, workspace: str, name: str, now_ms: float
    ) -> bool:
        """Return whether a request may ask a granter; needs the lock."""
        empty_until_ms = self._stocks.empty_until_ms(workspace, name)
        return max(empty_until_ms, self._link(name).paused_until_ms) <= now_ms

    def _is_answered(self, name: str, workspace: str, now_ms: float) -> bool:
        """Return whether what a request waited for answers it as well."""
        with self._lock:
            return self._stocks.has_token(
                workspace, now_ms
            ) or not self._may_have_token(workspace, name, now_ms)

    def _build(
        self, name: str, link: _Link, needed: str, now_ms: float
    ) -> messages.LeaseRequest:
        with self._lock:
            entries = self._stocks.entries(name, now_ms, needed)
            rates = self._stocks.rates(now_ms)
        link.number += 1
        return messages.LeaseRequest(
            self._name,
            self._run,
            link.number,
            link.applied,
            self._view.granters,
            entries,
            self._had_others,
            rates,
            link.was_leased,
        )

    def _call(
        self, name: str, request: messages.LeaseRequest, timeout_ms: float
    ) -> messages.Answer:
        if name == self._name:
            return self._grant(request)
        body = self._send(name, messages.encode_request(request), timeout_ms)
        return messages.decode_answer(body)

    def _grant(self, request: messages.LeaseRequest) -> messages.Answer:
        with self._granter_lock:
            return self._granter.answer(request, self._clock.now_ms())

    def _refuse(self, workspace: str, lot_wait_ms: float | None) -> Refused:
        """Refuse a request.

        :param lot_wait_ms: time until its program should come back, ``None``
            if it was refused for want of a token.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            is_short = lot_wait_ms is None
            self._stocks.refuse(workspace, now_ms, is_short)
            ends_ms = [
                max(
                    self._stocks.empty_until_ms(workspace, name),
                    self._link(name).paused_until_ms,
                )
                for name in self._view.granters
            ]
        wait_ms = min(ends_ms, default=now_ms + FAILURE_PAUSE_MS) - now_ms
        if lot_wait_ms is not None:
            wait_ms = lot_wait_ms
        refused = Refused(max(wait_ms, MIN_RETRY_AFTER_MS))
        self._log_refusal(workspace, refused, now_ms)
        return refused

    def _log_refusal(
        self, workspace: str, refused: Refused, now_ms: float
    ) -> None:
        """Log the state behind the refusals of a workspace now and then."""
        last_ms = self._logged_ms.get(workspace, -math.inf)
        if now_ms - last_ms < REFUSAL_LOG_MS:
            return
        self._logged_ms[workspace] = now_ms
        with self._lock:
            state = self._stocks.state(workspace, now_ms)
        limit = self._limits.get(workspace)
        events.log(
            events.Event.QUOTA_USED_UP,
            logging.WARNING,
            workspace=workspace,
            limit=None if limit is None else limit._asdict(),
            state=_as_json(state),
            granters=list(self._view.granters),
            retry_after_ms=round(refused.retry_after_ms),
        )

    def _link(self, name: str) -> _Link:
        return self._links.setdefault(name, _Link())


def _as_json(state: stocks.AccountState) -> dict[str, Any]:
    return state._asdict() | {"recent": state.recent._asdict()}
