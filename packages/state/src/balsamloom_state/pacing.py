"""Pacing of calls to the key-value service."""

from __future__ import annotations

import random
import threading

from balsamloom_core import clock as clocks

FIRST_RETRY_MS = 500
MAX_RETRY_MS = 5_000
LONGEST_SLEEP_MS = 100


class TokenBucket:
    """Limits the rate of commits.

    :param rate_per_s: tokens added each second.
    :param burst: most tokens held.
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

    def take(self) -> float:
        """Take a token if there is one.

        :return: zero if a token was taken, else the time until there is one,
            in ms.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            gained = (now_ms - self._updated_ms) * self._rate_per_ms
            self._tokens = min(self._burst, self._tokens + gained)
            self._updated_ms = now_ms
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._rate_per_ms

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate from now on.

        :param rate_per_s: tokens added each second, above zero.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            gained = (now_ms - self._updated_ms) * self._rate_per_ms
            self._tokens = min(self._burst, self._tokens + gained)
            self._updated_ms = now_ms
            self._rate_per_ms = rate_per_s / clocks.MS_PER_S

    def acquire(self) -> None:
        """Wait until a token was taken."""
        wait_ms = self.take()
        while wait_ms > 0:
            # A whole extra ms keeps rounding from causing empty rounds; a
            # short sleep sees a rate that was raised meanwhile.
            self._clock.sleep(min(wait_ms + 1, LONGEST_SLEEP_MS))
            wait_ms = self.take()


class Backoff:
    """Retry delays with full jitter.

    The delay is drawn between zero and a ceiling that doubles, so that the
    members of a fleet do not return in step after an outage.

    :param generator: source of randomness, for tests.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._uniform = (generator or random).uniform
        self._ceiling_ms = FIRST_RETRY_MS

    def next_ms(self) -> float:
        """Return the next delay and raise the ceiling."""
        delay_ms = self._uniform(0, self._ceiling_ms)
        self._ceiling_ms = min(self._ceiling_ms * 2, MAX_RETRY_MS)
        return delay_ms

    def reset(self) -> None:
        """Start again with the lowest ceiling."""
        self._ceiling_ms = FIRST_RETRY_MS
