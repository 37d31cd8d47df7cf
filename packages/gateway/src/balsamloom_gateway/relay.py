"""Relays one request to a server and its response to the caller."""

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
    event_counter,
    health,
    interfaces,
    listeners,
    server_connections,
    traffic,
)

# Responses up to this size are buffered and sent only when complete.
MAX_BUFFERED_BYTES = 262_144
# Statuses that tell callers that a request has not been executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Time to read the rest of a response whose body is not needed.
DISCARD_TIMEOUT_MS = 50.0


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Response that was sent, complete or cut off where the server ended."""

    tokens: int


@dataclasses.dataclass(frozen=True)
class Disconnect:
    """The caller disconnected before the end of the response."""

    tokens: int


Result = Delivery | Disconnect | attempts.NotRun | attempts.MayHaveRun


class Relay:
    """One attempt to run a call on one server.

    :param connection: connection to the server.
    :param engine: engine of the server, if it is a model server.
    :param recorder: stores the turn before the response ends.
    :param on_answer: called with what the server says of itself, as soon as
        the head of its response is there.
    :param before_stream: called before the first part of a stream is sent;
        returns whether it may be sent.
    """

    def __init__(
        self,
        request: listeners.Request,
        response: listeners.Response,
        metadata: traffic.CallMetadata,
        route: traffic.Route,
        connection: server_connections.Connection,
        codec: interfaces.ResponseCodec,
        clock: clocks.Clock,
        engine: traffic.Engine | None,
        recorder: conversations.TurnRecorder | None = None,
        on_answer: Callable[[traffic.AnswerMetadata], None] = callbacks.ignore,
        before_stream: Callable[[], bool] = callbacks.agree,
    ) -> None:
        self._before_stream = before_stream
        self._on_answer = on_answer
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
        self._counter = event_counter.EventCounter()
        self._first_byte_deadline_ms = math.inf
        self._first_byte_ms: float | None = None
        self._last_event_ms: float | None = None
        # Intervals between the events of a stream.
        self._event_intervals_ms: list[float] = []
        self._ended_ms: float | None = None
        self._is_failure = False
        self._pending: list[server_connections.ResponsePart] = []
        self.status = 0
        # What the server said of itself, None without an answer.
        self.answer: traffic.AnswerMetadata | None = None
        self._answered_ms = -math.inf
        # The server closed the connection without a response.
        self.is_closed_unanswered = False
        # The connection was lost after the request was sent and before the end
        # of the response. A server may crash at any byte.
        self.is_connection_lost = False
        # No answer began in time.
        self.is_silent = False
        self.end_reason = ""

    @property
    def is_whole(self) -> bool:
        """Return whether the server's whole response was sent."""
        return self.end_reason == "answered"

    @property
    def event_count(self) -> int:
        """Return the number of complete events sent to the caller."""
        return self._counter.events

    def time_to_first_byte_ms(self, sent_ms: float) -> float | None:
        """Return the time from ``sent_ms`` to the first part of the body."""
        if self._first_byte_ms is None:
            return None
        return round(self._first_byte_ms - sent_ms, 1)

    def run(
        self, data: bytes, until_ms: float, first_byte_deadline_ms: float
    ) -> Result:
        """Send the request and relay the response.

        :param data: encoded request, head and body.
        :param until_ms: time by which the response must be complete.
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
            return self._handle_error(error)

    @property
    def answer_age_ms(self) -> float:
        """Return the time since the head of the response."""
        return self._clock.now_ms() - self._answered_ms

    def observation(self, sent_ms: float) -> estimates.Observation:
        """Return the durations measured since ``sent_ms``."""
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
        """Return the outcome of the attempt for the server's health."""
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
        metadata = self._codec.decode_response(
            head.status, head.headers.fields
        )
        self.status = head.status
        self.answer = metadata
        self._answered_ms = self._clock.now_ms()
        self._on_answer(metadata)
        if metadata.idle_timeout_ms is not None:
            self._connection.idle_timeout_ms = metadata.idle_timeout_ms
        if metadata.is_not_executed:
            self._discard_body()
            return attempts.NotRun(f"refused with status {head.status}")
        if not self._is_relayable(metadata, head):
            self._connection.close()
            self._is_failure = True
            return attempts.MayHaveRun(
                f"status {head.status} lacks the server headers"
            )
        fields = self._codec.relayed_fields(head.headers.fields)
        is_success = 200 <= head.status < 300
        if self._route.kind is traffic.RouteKind.STREAMING and is_success:
            return self._relay_stream(head, fields, until_ms)
        self._is_failure = head.status >= 500
        return self._relay_buffered(head, fields, until_ms)

    def _is_relayable(
        self,
        metadata: traffic.AnswerMetadata,
        head: server_connections.ResponseHead,
    ) -> bool:
        """Return whether the response may be relayed as the server's own.

        A status that means "not executed" is not believed without the
        server's header for it, nor a success without its signature.
        """
        if head.status in NOT_EXECUTED_STATUSES:
            return False
        return metadata.is_signed or head.status >= 300

    def _discard_body(self) -> None:
        """Read the rest of a short response to reuse the connection."""
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
                        raise AssertionError("response with two heads")
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
            # A response to HEAD has the length of the body it omits.
            length = head.length
        try:
            self._response.start(head.status, fields, length)
            self._response.write(body)
            self._response.finish()
        except OSError as error:
            self.end_reason = f"sending to the caller failed: {error}"
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
        # The end of a turn's response is sent after the turn is stored. With a
        # length, the last event would already be the end.
        length = None if self._recorder else head.length
        while True:
            parts.extend(self._next_parts(until_ms))
            data = b"".join(
                part.data
                for part in parts
                if isinstance(part, server_connections.ResponseData)
            )
            end = parts[-1]
            is_complete = isinstance(end, server_connections.ResponseEnd)
            parts = []
            if data:
                self._record_data(data)
            is_cut_off = self._is_cut_off(end)
            try:
                is_due = data or (is_complete and not is_cut_off)
                if not self._response.is_started and is_due:
                    if not self._before_stream():
                        return self._abandon_stream()
                    self._response.start(head.status, fields, length)
                if data:
                    self._response.write(data)
                if is_cut_off:
                    raise server_connections.ConnectionLostError(
                        "closed inside an event"
                    )
                if is_complete and not self._store_turn(until_ms):
                    return self._abort_unstored_turn()
                if is_complete:
                    self._response.finish()
            except OSError as error:
                raise server_connections.CallerDisconnectedError(
                    f"sending to the caller failed: {error}"
                ) from error
            if is_complete:
                self._ended_ms = self._clock.now_ms()
                self.end_reason = "answered"
                return Delivery(self._relayed_tokens())

    def _abandon_stream(self) -> Result:
        """End a stream of which the caller has got nothing.

        Its record may still arrive, so the stream must not begin again at a
        server of another version.
        """
        self._connection.close()
        return attempts.MayHaveRun(
            "no storage host recorded the stream", is_final=True
        )

    def _is_cut_off(self, part: server_connections.ResponsePart) -> bool:
        """Return whether a stream ended by a close that is no end of it.

        A stream without a length and without chunks is whole only if it ends
        after an event.
        """
        match part:
            case server_connections.ResponseEnd(is_by_close=True):
                is_stream = self._route.kind is traffic.RouteKind.STREAMING
                return is_stream and not self._counter.is_after_event
            case _:
                return False

    def _store_turn(self, until_ms: float) -> bool:
        """Store the turn and return whether its response may complete."""
        if self._recorder is None:
            return True
        try:
            return self._recorder.write(until_ms, self._relayed_tokens())
        except stream_output.OutputTooLongError as error:
            self.end_reason = f"the turn cannot be stored: {error}"
            return False

    def _abort_unstored_turn(self) -> Result:
        """Abort the response, since later turns cannot refer to this one."""
        self._ended_ms = self._clock.now_ms()
        self.end_reason = self.end_reason or "cut off: the turn was not stored"
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
        """Return the number of tokens that the caller may have received."""
        if self._engine is None:
            return 0
        return self._counter.events_started * self._engine.tokens_per_event

    def _handle_error(self, error: server_connections.ExchangeError) -> Result:
        is_timeout = isinstance(error, server_connections.ExchangeTimeoutError)
        self._is_failure = not is_timeout
        self.is_silent = is_timeout and self.status == 0
        is_lost = isinstance(error, server_connections.ConnectionLostError)
        self.is_closed_unanswered = is_lost and self.status == 0
        was_sent = self._exchange.sent_bytes > 0
        self.is_connection_lost = is_lost and was_sent
        if self._response.is_started:
            self.end_reason = f"cut off: {error}"
            self._response.abort()
            return Delivery(self._relayed_tokens())
        if not was_sent:
            return attempts.NotRun(str(error))
        return attempts.MayHaveRun(str(error))
