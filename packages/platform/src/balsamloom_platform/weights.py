"""The platform's store of model weights, which limits the fetch rate.

:class:`WeightStore` is the interface, :class:`HttpWeightStore` the client.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

import urllib3

from balsamloom_core import errors, results

DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_RETRY_AFTER_MS = 1_000
MS_PER_S = 1000


class WeightStoreUnavailable(errors.BalsamloomError):
    """The weight store could not be reached or sent no valid response.

    :param message: cause.
    """

    def __init__(self, message: str) -> None:
        super().__init__(results.ResultCode.BACKEND_ERROR, message)


class RateLimited(errors.BalsamloomError):
    """The weight store rejected a fetch because of its rate limit.

    :param retry_after_ms: time to wait before a retry.
    """

    retry_after_ms: int

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(
            results.ResultCode.OVERLOADED,
            f"weight store is rate-limited; retry after {retry_after_ms} ms",
            retry_after_ms,
        )


class Weights(NamedTuple):
    """Result of a fetch of model weights."""

    model: str
    size_bytes: int


class WeightStore(Protocol):
    """Interface of the weight store."""

    def fetch(
        self, model: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> Weights:
        """Fetch the weights of a model."""


class HttpWeightStore:
    """HTTP client of the weight store.

    :param address: ``host:port``.
    :param pool: connection pool shared by all clients of the process.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._url = f"http://{address}/fetch"
        self._pool = pool

    def fetch(
        self, model: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> Weights:
        """Fetch the weights of a model.

        :param model: name of the model.
        :param timeout_ms: maximum wait for the response.
        :raises RateLimited: if the rate limit is exceeded.
        :raises WeightStoreUnavailable: if there is no valid response.
        """
        try:
            response = self._pool.request(
                "POST",
                self._url,
                json={"model": model},
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise WeightStoreUnavailable(str(error)) from error
        if response.status == 429:
            raise RateLimited(_retry_after_ms(response))
        if response.status != 200:
            raise WeightStoreUnavailable(
                f"weight store returned status {response.status}"
            )
        try:
            payload = response.json()
            return Weights(payload["model"], int(payload["bytes"]))
        except (ValueError, KeyError, TypeError) as error:
            raise WeightStoreUnavailable(
                f"invalid response: {error!r}"
            ) from error


def _retry_after_ms(response: urllib3.BaseHTTPResponse) -> int:
    try:
        return int(response.json()["retry_after_ms"])
    except (ValueError, KeyError, TypeError):
        pass
    try:
        return int(float(response.headers["Retry-After"]) * MS_PER_S)
    except (ValueError, KeyError):
        return DEFAULT_RETRY_AFTER_MS
