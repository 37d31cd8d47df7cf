"""Retry decisions for calls to backend servers."""

from __future__ import annotations

import dataclasses

from balsamloom_gateway import traffic

# Limits the attempts of a call that no server ran.
MAX_REFUSALS = 4


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Attempt that no server executed, so that a retry is always safe."""

    reason: str


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """Attempt that was sent and whose outcome is unknown.

    ``is_final`` means that another run could contradict what this one has
    left behind, whatever the route allows.
    """

    reason: str
    is_final: bool = False


Failure = NotRun | MayHaveRun


@dataclasses.dataclass(frozen=True)
class Retry:
    """Decision to send the call to another server."""


@dataclasses.dataclass(frozen=True)
class FinalFailure:
    """Decision to return an error to the caller.

    ``is_not_run`` is true only if no server can have run the call.
    """

    is_not_run: bool
    reason: str


class AttemptHistory:
    """Failed attempts of one call.

    :param route: route of the call; it limits the retries.
    :param possible_runs: attempts of another member that may have run.
    """

    def __init__(self, route: traffic.Route, possible_runs: int = 0) -> None:
        self._route = route
        self._refusals = 0
        self._possible_runs = possible_runs
        # Whether the last decision was to give up.
        self.is_failed = False

    @property
    def possible_runs(self) -> int:
        """Return the number of attempts that may have run."""
        return self._possible_runs

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run the call."""
        return self._possible_runs > 0

    def fail_without_server(self, reason: str) -> FinalFailure:
        """Return the decision when no server is left to try."""
        self.is_failed = True
        return FinalFailure(not self.may_have_run, reason)

    def first_byte_deadline_ms(
        self, deadline_ms: float, due_ms: float, estimate_ms: float
    ) -> float:
        """Return the time at which to abandon an attempt without an answer.

        A healthy server's answer can be lost on the way. A repeatable call
        is abandoned early enough for another server to run it in time.

        :param deadline_ms: time at which the caller must have its answer.
        :param due_ms: time from which the attempt is overdue.
        :param estimate_ms: estimated duration of another attempt.
        """
        is_last = self._possible_runs + 1 >= self._route.max_attempts
        if not self._route.is_repeatable or is_last:
            return deadline_ms
        if due_ms + estimate_ms > deadline_ms:
            return deadline_ms
        return due_ms

    def decide(self, failure: Failure, left_ms: float) -> Retry | FinalFailure:
        """Record a failed attempt and decide whether to retry.

        :param left_ms: time until the deadline of the call.
        """
        match failure:
            case NotRun(reason):
                self._refusals += 1
                is_allowed = self._refusals < MAX_REFUSALS
            case MayHaveRun(reason, is_final):
                self._possible_runs += 1
                is_allowed = (
                    not is_final
                    and self._route.is_repeatable
                    and self._possible_runs < self._route.max_attempts
                )
        self.is_failed = not is_allowed or left_ms <= 0
        if not self.is_failed:
            return Retry()
        return FinalFailure(not self.may_have_run, reason)
