"""Interface of model engines.

It has streamed chat completions, load reports, memory holds and orders;
:mod:`balsamloom_platform.engine_client` is the HTTP client.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple, Protocol

from balsamloom_core import errors, results

DEFAULT_TIMEOUT_MS = 2_000


class EngineError(errors.BalsamloomError):
    """A request to a model engine failed.

    :param code: result code.
    :param message: cause.
    :param was_sent: whether the engine may have processed the request.
    :param retry_after_ms: time after which the engine accepts new work, if it
        reported one.
    """

    def __init__(
        self,
        code: results.ResultCode,
        message: str,
        was_sent: bool,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(code, message, retry_after_ms)
        self.was_sent = was_sent


class Chunk(NamedTuple):
    """JSON text of one ``chat.completion.chunk`` of a stream.

    It is forwarded undecoded; decoding each chunk would double the cost of a
    stream.
    """

    text: str


class LoadReport(NamedTuple):
    """Load of an engine ``age_ms`` before the response."""

    running: int
    waiting: int
    tokens_per_s: float
    is_draining: bool
    age_ms: float


class Hold(NamedTuple):
    """Engine memory held under one tag."""

    tag: str
    size_bytes: int
    is_running: bool


class CacheEvent(NamedTuple):
    """Change of an engine's prefix cache; ``kind`` is stored or evicted."""

    number: int
    kind: str
    block: str
    tokens: int


class Order(NamedTuple):
    """Order to an engine; ``kind`` is load_model, load_adapter or set_role.

    The fields are sent to the engine under their own names.
    """

    kind: str
    value: str


class AppliedOrder(NamedTuple):
    """Order that an engine has applied."""

    order: Order
    fence: int
    sender: str


class OrderState(NamedTuple):
    """Orders in order of application, and the values in force by kind."""

    applied: list[AppliedOrder]
    in_force: dict[str, str]


class Stream(Protocol):
    """Streamed response of a model engine."""

    @property
    def is_whole(self) -> bool:
        """Whether the engine's final event was received."""

    def batches(self) -> Iterator[list[Chunk]]:
        """Yield batches of chunks as they arrive."""

    def close(self) -> None:
        """Cancel the request."""


class ModelEngine(Protocol):
    """Interface of a model engine."""

    def chat(
        self,
        body: dict[str, Any],
        tag: str,
        connect_timeout_ms: int,
        read_timeout_ms: int,
    ) -> Stream:
        """Start a streamed chat completion."""

    def load(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> LoadReport:
        """Return the load report."""

    def holds(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> list[Hold]:
        """Return the engine memory held."""

    def release(
        self, tags: Sequence[str], timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> int:
        """Release memory and return the number of holds released."""

    def cancel(
        self, tag_prefix: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> int:
        """Cancel requests and return their number."""

    def cache_events(
        self, after: int, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> list[CacheEvent]:
        """Return cache events with a higher number."""

    def send_order(
        self,
        order: Order,
        fence: int,
        sender: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> bool:
        """Send an order; return false if its fencing number was rejected."""

    def orders(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> OrderState:
        """Return the orders that the engine has applied."""
