"""What balsamloom needs of model engines.

Streamed chat completions, load reports, holds and orders;
:mod:`balsamloom_platform.engine_client` speaks HTTP.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple, Protocol

from balsamloom_core import errors, results

DEFAULT_TIMEOUT_MS = 2_000


class EngineError(errors.BalsamloomError):
    """A model engine did not give an answer.

    :param code: result code.
    :param message: cause.
    :param was_sent: whether the engine may have worked on the request.
    :param retry_after_ms: time after which the engine takes new work, if it
        said so.
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
    """One streamed piece: JSON text of a ``chat.completion.chunk``.

    It is passed on as it is; decoding each piece by itself would double the
    cost of a stream.
    """

    text: str


class LoadReport(NamedTuple):
    """Load of an engine, as of ``age_ms`` before the answer."""

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
    """A change of an engine's prefix cache; ``kind`` is stored|evicted."""

    number: int
    kind: str
    block: str
    tokens: int


class Order(NamedTuple):
    """An order; ``kind`` is load_model, load_adapter or set_role."""

    kind: str
    value: str


class AppliedOrder(NamedTuple):
    """An order that an engine has applied."""

    order: Order
    fence: int
    sender: str


class OrderState(NamedTuple):
    """Orders in the order they were applied, and what is in force."""

    applied: list[AppliedOrder]
    in_force: dict[str, str]


class Stream(Protocol):
    """An open answer of a model engine."""

    @property
    def is_whole(self) -> bool:
        """Whether the engine's closing event was seen."""

    def batches(self) -> Iterator[list[Chunk]]:
        """Yield chunks as they arrive."""

    def close(self) -> None:
        """Cancel the request."""


class ModelEngine(Protocol):
    """What balsamloom needs of a model engine."""

    def chat(
        self,
        body: dict[str, Any],
        tag: str,
        connect_timeout_ms: int,
        read_timeout_ms: int,
    ) -> Stream:
        """Start a streamed chat completion."""

    def load(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> LoadReport:
        """Read the load report."""

    def holds(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> list[Hold]:
        """Read the memory held."""

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
        """Read cache events with a higher number."""

    def send_order(
        self,
        order: Order,
        fence: int,
        sender: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> bool:
        """Send an order; false if its fencing number was rejected."""

    def orders(self, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> OrderState:
        """Read back the orders applied."""
