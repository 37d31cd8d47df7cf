"""Whether a call may be sent to another server after an attempt."""

from __future__ import annotations

import dataclasses

from balsamloom_gateway import traffic

# Servers asked at most for a call that none of them ran.
REFUSALS_MAX = 4


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The server did not run the call, or the call never reached it."""

    reason: str


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """The call was sent and its outcome is not known."""

    reason: str


Failure = NotRun | MayHaveRun


@dataclasses.dataclass(frozen=True)
class TryAgain:
    """Send the call to another server."""


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Answer the caller now.

    ``is_not_run`` is true only if no server can have run the call.
    """

    is_not_run: bool
    reason: str


class AttemptHistory:
    """Attempts of one call.

    :param route: route of the call.
    """

    def __init__(self, route: traffic.Route) -> None:
        self._route = route
        self._refusals = 0
        self._runs = 0

    def no_server(self, reason: str) -> GiveUp:
        """Return what follows when no server is left to try."""
        return GiveUp(self._runs == 0, reason)

    def first_byte_deadline_ms(
        self, until_ms: float, due_ms: float, estimate_ms: float
    ) -> float:
        """Return when an attempt without any answer makes way for another.

        An answer may be lost although the server is sound. A call that may
        be repeated then still has time at another server.

        :param until_ms: time at which the caller must have its answer.
        :param due_ms: time from which the attempt is overdue.
        :param estimate_ms: time that another attempt takes.
        """
        is_last = self._runs + 1 >= self._route.max_attempts
        if not self._route.is_repeatable or is_last:
            return until_ms
        if due_ms + estimate_ms > until_ms:
            return until_ms
        return due_ms

    def decide(self, failure: Failure, left_ms: float) -> TryAgain | GiveUp:
        """Decide what follows a failed attempt.

        :param left_ms: time that the call has left.
        """
        match failure:
            case NotRun(reason):
                self._refusals += 1
                is_allowed = self._refusals < REFUSALS_MAX
            case MayHaveRun(reason):
                self._runs += 1
                is_allowed = (
                    self._route.is_repeatable
                    and self._runs < self._route.max_attempts
                )
        if is_allowed and left_ms > 0:
            return TryAgain()
        return GiveUp(self._runs == 0, reason)
