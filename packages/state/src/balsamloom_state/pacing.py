"""Rate limit and retry delays of calls to the key-value service."""

from __future__ import annotations

import random
import threading

from balsamloom_core import clock as clocks

INITIAL_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 5_000
MAX_SLEEP_MS = 100


class TokenBucket:
    """Limits the rate of commits.

    :param rate_per_s: tokens added each second.
    :param burst: capacity of the bucket.
    :param clock: time source.
    """

    def __init__(
        self, rate_per_s: float, burst: int, clock: clocks.Clock
    ) -> None:
        self._rate_per_ms = rate_per_s / clocks.MS_PER_S
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._updated_ms = clock.now_ms()
        self._lock = threading.Lock()

    def try_take(self) -> float:
        """Take a token if one is available.

        :return: zero if a token was taken, else the time in ms until one is
            available.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            added = (now_ms - self._updated_ms) * self._rate_per_ms
            self._tokens = min(self._burst, self._tokens + added)
            self._updated_ms = now_ms
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._rate_per_ms

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate; tokens accrued so far are kept.

        :param rate_per_s: tokens added each second, above zero.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            added = (now_ms - self._updated_ms) * self._rate_per_ms
            self._tokens = min(self._burst, self._tokens + added)
            self._updated_ms = now_ms
            self._rate_per_ms = rate_per_s / clocks.MS_PER_S

    def acquire(self) -> None:
        """Take a token, waiting until one is available."""
        wait_ms = self.try_take()
        while wait_ms > 0:
            # The extra ms prevents empty rounds through rounding; the upper
            # bound lets a raised rate take effect soon.
            self._clock.sleep(min(wait_ms + 1, MAX_SLEEP_MS))
            wait_ms = self.try_take()


class Backoff:
    """Retry delays with full jitter.

    The delay is drawn between zero and a maximum that doubles, so that members
    do not retry at the same time after an outage.

    :param generator: random number generator, for tests.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._uniform = (generator or random).uniform
        self._max_delay_ms = INITIAL_RETRY_DELAY_MS

    def next_delay_ms(self) -> float:
        """Return the next delay and double the maximum."""
        delay_ms = self._uniform(0, self._max_delay_ms)
        self._max_delay_ms = min(self._max_delay_ms * 2, MAX_RETRY_DELAY_MS)
        return delay_ms

    def reset(self) -> None:
        """Reset the maximum delay to its initial value."""
        self._max_delay_ms = INITIAL_RETRY_DELAY_MS
