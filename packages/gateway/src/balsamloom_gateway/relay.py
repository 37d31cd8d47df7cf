"""Passes one request to a server and its answer to the caller."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Callable

from balsamloom_conversations import stream_output
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    attempts,
    callbacks,
    conversations,
    estimates,
    health,
    interfaces,
    listeners,
    server_connections,
    traffic,
)

# Answers up to this size are passed on only when they are complete.
MAX_BUFFERED_BYTES = 262_144
# Statuses that promise callers that a request has not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Time for the rest of an answer whose content is not needed.
DISCARD_TIMEOUT_MS = 50.0
EVENT_DELIMITER = b"\n\n"


@dataclasses.dataclass(frozen=True)
class Delivery:
    """The caller has the answer, whole or cut off where the server ended."""

    tokens: int


@dataclasses.dataclass(frozen=True)
class Disconnect:
    """The caller left before the end of the answer."""

    tokens: int


Result = Delivery | Disconnect | attempts.NotRun | attempts.MayHaveRun


class Relay:
    """One attempt of a call at one server.

    :param connection: connection to the server.
    :param engine: properties of the engine, if the server is one.
    :param recorder: keeps the answer's events before it ends.
    :param on_leaving: called when the server says that it leaves.
    """

    def __init__(
        self,
        request: listeners.Request,
        response: listeners.Response,
        metadata: traffic.CallMetadata,
        route: traffic.Route,
        connection: server_connections.Connection,
        codec: interfaces.HeaderCodec,
        clock: clocks.Clock,
        engine: traffic.Engine | None,
        recorder: conversations.TurnRecorder | None = None,
        on_leaving: Callable[[], None] = callbacks.ignore,
    ) -> None:
        self._on_leaving = on_leaving
        self._recorder = recorder
        self._response = response
        self._metadata = metadata
        self._route = route
        self._connection = connection
        self._codec = codec
        self._clock = clock
        self._engine = engine
        identifier = metadata.request_id.encode("latin-1")
        self._exchange = server_connections.Exchange(
            connection,
            clock,
            request.descriptor,
            (codec.request_id_field, identifier),
            request.method == b"HEAD",
        )
        self._counter = EventCounter()
        self._first_byte_deadline_ms = math.inf
        self._first_byte_ms: float | None = None
        self._last_event_ms: float | None = None
        # Pauses between the events of a stream.
        self._event_intervals_ms: list[float] = []
        self._ended_ms: float | None = None
        self._is_failure = False
        self._pending: list[server_connections.ResponsePart] = []
        self.load: traffic.ServerLoad | None = None
        self.status = 0
        self.is_server_leaving = False
        # The server closed the connection before any answer.
        self.is_closed_unanswered = False
        self.end_reason = ""

    @property
    def event_count(self) -> int:
        """Return the complete events that the caller got."""
        return self._counter.events

    def time_to_first_byte_ms(self, sent_ms: float) -> float | None:
        """Return the time to the first part of the body."""
        if self._first_byte_ms is None:
            return None
        return round(self._first_byte_ms - sent_ms, 1)

    def run(
        self, data: bytes, until_ms: float, first_byte_deadline_ms: float
    ) -> Result:
        """Send the request and pass the answer on.

        :param data: whole request.
        :param until_ms: time at which the caller must have its answer.
        :param first_byte_deadline_ms: time by which the response must start.
        """
        self._first_byte_deadline_ms = first_byte_deadline_ms
        try:
            self._exchange.send(data, first_byte_deadline_ms)
            head = self._receive_head(first_byte_deadline_ms)
            return self._relay_response(head, until_ms)
        except server_connections.CallerDisconnectedError as error:
            self._connection.close()
            self.end_reason = str(error)
            self._response.abort()
            return Disconnect(self._relayed_tokens())
        except server_connections.ExchangeError as error:
            self._connection.close()
            return self._handle_exchange_error(error)

    def observation(self, sent_ms: float) -> estimates.Observation:
        """Return the times that were observed."""
        if self._first_byte_ms is None or self._ended_ms is None:
            return estimates.Observation()
        first_ms = self._first_byte_ms - sent_ms
        if self._engine is None:
            return estimates.Observation(total_ms=self._ended_ms - sent_ms)
        step_ms = None
        if self._event_intervals_ms:
            interval_ms = statistics.median(self._event_intervals_ms)
            step_ms = interval_ms / self._engine.tokens_per_event
        return estimates.Observation(
            first_event_ms=first_ms, step_ms_per_token=step_ms
        )

    def health_outcome(self, result: Result) -> health.Outcome:
        """Return what the attempt says of the server's health."""
        match result:
            case Delivery():
                if self._is_failure:
                    return health.Outcome.FAILED
                return health.Outcome.SUCCEEDED
            case Disconnect():
                return health.Outcome.ABANDONED
            case attempts.NotRun():
                return health.Outcome.REFUSED
            case attempts.MayHaveRun():
                return health.Outcome.FAILED

    def _receive_head(
        self, until_ms: float
    ) -> server_connections.ResponseHead:
        while True:
            self._pending.extend(self._exchange.receive(until_ms))
            while self._pending:
                part = self._pending.pop(0)
                if isinstance(part, server_connections.ResponseHead):
                    return part

    def _next_parts(
        self, until_ms: float
    ) -> list[server_connections.ResponsePart]:
        if not self._response.is_started:
            until_ms = min(until_ms, self._first_byte_deadline_ms)
        if not self._pending:
            return self._exchange.receive(until_ms)
        parts = self._pending
        self._pending = []
        return parts

    def _relay_response(
        self, head: server_connections.ResponseHead, until_ms: float
    ) -> Result:
        answer = self._codec.decode_answer(head.status, head.headers.fields)
        self.status = head.status
        self.load = answer.load
        if answer.is_leaving:
            self.is_server_leaving = True
            self._on_leaving()
        if answer.idle_timeout_ms is not None:
            self._connection.idle_timeout_ms = answer.idle_timeout_ms
        if answer.is_not_executed:
            self._discard_body()
            return attempts.NotRun(f"refused with status {head.status}")
        if not self._is_relayable(answer, head):
            self._connection.close()
            self._is_failure = True
            return attempts.MayHaveRun(f"status {head.status} of no server")
        fields = self._codec.relayed(head.headers.fields)
        is_success = 200 <= head.status < 300
        if self._route.kind is traffic.RouteKind.STREAMING and is_success:
            return self._relay_stream(head, fields, until_ms)
        self._is_failure = head.status >= 500
        return self._relay_buffered(head, fields, until_ms)

    def _is_relayable(
        self,
        answer: traffic.AnswerMetadata,
        head: server_connections.ResponseHead,
    ) -> bool:
        """Return whether an answer may be passed on as the server's own.

        A promise that the request has not run needs the server's word for
        it, and a success its signature.
        """
        if head.status in NOT_EXECUTED_STATUSES:
            return False
        return answer.is_signed or head.status >= 300

    def _discard_body(self) -> None:
        """Read the rest of a short answer, so that the connection is kept."""
        until_ms = self._clock.now_ms() + DISCARD_TIMEOUT_MS
        try:
            while True:
                for part in self._next_parts(until_ms):
                    if isinstance(part, server_connections.ResponseEnd):
                        return
        except server_connections.ExchangeError:
            self._connection.close()

    def _relay_buffered(
        self,
        head: server_connections.ResponseHead,
        fields: list[tuple[bytes, bytes]],
        until_ms: float,
    ) -> Result:
        body = bytearray()
        while True:
            for part in self._next_parts(until_ms):
                match part:
                    case server_connections.ResponseData(data):
                        body += data
                    case server_connections.ResponseEnd():
                        return self._send_buffered(head, fields, bytes(body))
                    case server_connections.ResponseHead():
                        raise AssertionError("an answer has one head")
            if len(body) > MAX_BUFFERED_BYTES:
                return self._relay_stream(head, fields, until_ms, bytes(body))

    def _send_buffered(
        self,
        head: server_connections.ResponseHead,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Result:
        self._ended_ms = self._clock.now_ms()
        self._first_byte_ms = self._ended_ms
        length = len(body)
        if head.length is not None and not body:
            # An answer to HEAD states the length of a body it has not.
            length = head.length
        try:
            self._response.start(head.status, fields, length)
            self._response.write(body)
            self._response.finish()
        except OSError as error:
            self.end_reason = f"the caller does not read: {error}"
            self._response.abort()
            return Disconnect(0)
        self.end_reason = "answered"
        return Delivery(0)

    def _relay_stream(
        self,
        head: server_connections.ResponseHead,
        fields: list[tuple[bytes, bytes]],
        until_ms: float,
        initial_data: bytes = b"",
    ) -> Result:
        parts: list[server_connections.ResponsePart] = []
        if initial_data:
            parts.append(server_connections.ResponseData(initial_data))
        # The end of a turn is held until it is kept, so it needs a mark of
        # its own behind the last event.
        length = None if self._recorder else head.length
        while True:
            parts.extend(self._next_parts(until_ms))
            data = b"".join(
                part.data
                for part in parts
                if isinstance(part, server_connections.ResponseData)
            )
            is_complete = isinstance(parts[-1], server_connections.ResponseEnd)
            parts = []
            try:
                if not self._response.is_started and (data or is_complete):
                    self._response.start(head.status, fields, length)
                if data:
                    self._record_data(data)
                    self._response.write(data)
                if is_complete and not self._store_turn(until_ms):
                    return self._abort_unstored_turn()
                if is_complete:
                    self._response.finish()
            except OSError as error:
                raise server_connections.CallerDisconnectedError(
                    f"the caller does not read: {error}"
                ) from error
            if is_complete:
                self._ended_ms = self._clock.now_ms()
                self.end_reason = "answered"
                return Delivery(self._relayed_tokens())

    def _store_turn(self, until_ms: float) -> bool:
        """Keep the turn; return whether its answer may end as complete."""
        if self._recorder is None:
            return True
        try:
            return self._recorder.keep(until_ms)
        except stream_output.OutputTooLongError as error:
            self.end_reason = f"the turn cannot be kept: {error}"
            return False

    def _abort_unstored_turn(self) -> Result:
        """Cut an answer off whose turn may not be continued."""
        self._ended_ms = self._clock.now_ms()
        self.end_reason = self.end_reason or "cut off: the turn is not kept"
        self._response.abort()
        return Delivery(self._relayed_tokens())

    def _record_data(self, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        if self._first_byte_ms is None:
            self._first_byte_ms = now_ms
        if self._recorder is not None:
            self._recorder.add(data)
        events_before = self._counter.events
        self._counter.add(data)
        new_events = self._counter.events - events_before
        if not new_events:
            return
        if self._last_event_ms is not None:
            interval_ms = (now_ms - self._last_event_ms) / new_events
            self._event_intervals_ms.extend([interval_ms] * new_events)
        self._last_event_ms = now_ms

    def _relayed_tokens(self) -> int:
        """Return the tokens that the caller may have got."""
        if self._engine is None:
            return 0
        return self._counter.events_started * self._engine.tokens_per_event

    def _handle_exchange_error(
        self, error: server_connections.ExchangeError
    ) -> Result:
        self._is_failure = not isinstance(
            error, server_connections.ExchangeTimeoutError
        )
        is_broken = isinstance(error, server_connections.ConnectionLostError)
        self.is_closed_unanswered = is_broken and self.status == 0
        if self._response.is_started:
            self.end_reason = f"cut off: {error}"
            self._response.abort()
            return Delivery(self._relayed_tokens())
        if self._exchange.sent_bytes == 0:
            return attempts.NotRun(str(error))
        return attempts.MayHaveRun(str(error))


class EventCounter:
    """Counts server-sent events in a stream that arrives in pieces."""

    def __init__(self) -> None:
        self.events = 0
        self._partial_delimiter = b""
        self._is_event_open = False

    @property
    def events_started(self) -> int:
        """Return the events of which at least a part arrived."""
        return self.events + self._is_event_open

    def add(self, data: bytes) -> None:
        """Take in the next piece."""
        joined = self._partial_delimiter + data
        self.events += joined.count(EVENT_DELIMITER)
        self._is_event_open = not joined.endswith(EVENT_DELIMITER)
        ends_in_newline = self._is_event_open and joined.endswith(b"\n")
        self._partial_delimiter = b"\n" if ends_in_newline else b""
