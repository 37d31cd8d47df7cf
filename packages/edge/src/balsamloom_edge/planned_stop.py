"""Steps of an edge process's planned stop."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Sequence
from typing import Any

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import (
    draining,
    exchanges,
    interfaces,
    listeners,
    proxy,
)

CHECK_INTERVAL_MS = 20.0
# Time for other processes' calls in progress at the end of a stop.
OTHERS_TIMEOUT_MS = 250.0
# Time for requests that arrived while budgets were released.
LAST_REQUEST_TIMEOUT_MS = 100.0


class PlannedStop:
    """Ends the listeners of a process that has begun its planned stop.

    :param name: name of the process's member, for the logs.
    :param ingress: listener for callers.
    :param others: other listeners.
    :param codec: encodes the fields of refusals.
    :param times: times of the stop.
    :param clock: time source.
    :param serves_others: returns whether requests that other members handed
        over are in progress.
    """

    def __init__(
        self,
        name: str,
        ingress: listeners.Listener,
        others: Sequence[listeners.Listener],
        codec: interfaces.HeaderCodec,
        times: draining.Schedule,
        clock: clocks.Clock,
        serves_others: Callable[[], bool],
    ) -> None:
        self._serves_others = serves_others
        self._name = name
        self._ingress = ingress
        self._others = others
        self._codec = codec
        self._times = times
        self._clock = clock
        self._refused = 0
        # Requests that were passed on and have outlasted the time of the stop.
        self._late: set[exchanges.Exchange] = set()
        for listener in (ingress, *others):
            listener.set_draining()
        events.log(events.Event.PROCESS_LEAVING, member=name)

    def answer_callers(self) -> None:
        """Answer callers until no request is left, or up to the deadline.

        What is read after that is refused, so it needs no budgets.
        """
        self._wait_until(self._times.accept_until_ms)
        counts = self._ingress.connection_counts()
        self._ingress.refuse_connections()
        events.log(
            events.Event.ACCEPTING_ENDED,
            member=self._name,
            duration_ms=self._duration_ms(),
            **counts,
        )
        self._wait_until(self._times.close_waiting_ms)
        self._wait_until(
            self._times.last_request_ms,
            lambda: not self._ingress.has_requests,
        )
        if self._ingress.has_requests:
            self._close_ingress(self._times.deadline_ms)

    def answer_members(self) -> None:
        """Answer the calls of other processes that have arrived, and no more.

        A holder that has released its budgets must not grant from them.
        """
        self._wait_until(
            self._times.deadline_ms, lambda: not self._serves_others()
        )
        for listener in self._others:
            listener.stop_accepting()
        self._wait_until(
            self._clock.now_ms() + OTHERS_TIMEOUT_MS,
            lambda: all(listener.is_idle for listener in self._others),
        )

    def end(self) -> None:
        """Answer what has arrived, close all connections and log the stop."""
        self._close_ingress(self._clock.now_ms() + LAST_REQUEST_TIMEOUT_MS)
        events.log(
            events.Event.PROCESS_STOPPED,
            member=self._name,
            is_idle=self._ingress.is_idle,
            duration_ms=self._duration_ms(),
            refused=self._refused,
            cut=len(self._passed_on()),
            **self._ingress.connection_counts(),
        )

    def _close_ingress(self, until_ms: float) -> None:
        """Close connections; refuse what has no answer or server by a time.

        No request can arrive any more once no connection is open.
        """
        self._ingress.stop_accepting()
        self._wait_until(until_ms, lambda: self._ingress.is_idle)
        refused = self._ingress.end_exchanges(self._refusal_fields)
        self._refused += len(refused)
        for exchange in refused:
            events.log(
                events.Event.REQUEST_REFUSED,
                logging.WARNING,
                status=503,
                reason="the process ends",
                **self._describe(exchange),
            )
        self._log_late_requests()

    def _refusal_fields(
        self, exchange: exchanges.Exchange
    ) -> listeners.HeaderFields:
        return self._codec.response_fields(
            self._request_id(exchange), proxy.LEAVING_RETRY_AFTER_MS
        )

    def _passed_on(self) -> list[exchanges.Exchange]:
        """Return the requests under way that were passed on to a server."""
        return [
            exchange
            for exchange in self._ingress.unfinished()
            if exchange.is_passed_on
        ]

    def _log_late_requests(self) -> None:
        """Log, once each, the requests that the process may end beside.

        This precedes the release of budgets, which may outlast the process.
        """
        for exchange in self._passed_on():
            if exchange in self._late:
                continue
            self._late.add(exchange)
            events.log(
                events.Event.REQUEST_CUT,
                logging.WARNING,
                **self._describe(exchange),
            )

    def _describe(self, exchange: exchanges.Exchange) -> dict[str, Any]:
        """Return the log fields of a request that the stop ends."""
        read_ms = exchange.read_ms
        started_ms = self._times.started_ms
        return {
            "request_id": self._request_id(exchange),
            "read_after_stop_ms": read_ms and math.floor(read_ms - started_ms),
            "is_passed_on": exchange.is_passed_on,
        }

    def _request_id(self, exchange: exchanges.Exchange) -> str:
        field = self._codec.request_id_field.title()
        return exchange.headers.get(field, b"").decode("latin-1")

    def _duration_ms(self) -> int:
        return round(self._clock.now_ms() - self._times.started_ms)

    def _wait_until(
        self, until_ms: float, condition: Callable[[], bool] = lambda: False
    ) -> None:
        """Wait until a time, or until a condition holds."""
        while not condition():
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return
            self._clock.sleep(min(CHECK_INTERVAL_MS, left_ms))
