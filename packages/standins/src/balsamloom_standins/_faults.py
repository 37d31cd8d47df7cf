"""Fault injection shared by the stand-ins."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from typing import Any

MODES = ("none", "refuse", "hang", "slow", "lose_answers", "stale_reads")


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault and the requests that it affects.

    :param mode: one of :data:`MODES`.
    :param delay_ms: delay of each request in mode ``slow``.
    :param count: maximum number of affected requests, zero for no limit.
    :param probability: probability that a request is affected.
    :param seed: seed of the random choice of requests.
    """

    mode: str = "none"
    delay_ms: float = 0
    count: int = 0
    probability: float = 1
    seed: int = 0


class Faults:
    """The active fault of a stand-in; safe for use by several threads."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._fault = Fault()
        self._remaining = 0
        self._random = random.Random(0)

    @property
    def mode(self) -> str:
        """Return the active mode."""
        return self._fault.mode

    def set(self, document: dict[str, Any]) -> str:
        """Replace the active fault.

        :param document: fields of :class:`Fault`.
        :return: message that says what is invalid, empty if the fault is set.
        """
        fields = {field.name for field in dataclasses.fields(Fault)}
        unknown = set(document) - fields
        if unknown:
            return f"unknown fields {sorted(unknown)}; use {sorted(fields)}"
        fault = Fault(**document)
        if fault.mode not in MODES:
            return f"mode {fault.mode!r} is not one of {MODES}"
        with self._changed:
            self._fault = fault
            self._remaining = fault.count
            self._random = random.Random(fault.seed)
            self._changed.notify_all()
        return ""

    def apply_to_request(self, modes: tuple[str, ...] = MODES) -> str:
        """Delay or hang a request if the active fault says so.

        :param modes: modes that apply to this kind of request; under another
            mode it neither fails nor counts as affected.
        :return: mode that the caller applies, or ``none``.
        """
        with self._changed:
            fault = self._fault
            if fault.mode == "none" or fault.mode not in modes:
                return "none"
            if self._random.random() >= fault.probability:
                return "none"
            if fault.count:
                if self._remaining == 0:
                    return "none"
                self._remaining -= 1
            if fault.mode == "hang":
                self._changed.wait_for(lambda: self._fault is not fault)
                return "none"
        if fault.mode == "slow":
            time.sleep(fault.delay_ms / 1000)
            return "none"
        return fault.mode

    def wait_while_hung(self) -> None:
        """Wait until the mode is not ``hang``."""
        with self._changed:
            self._changed.wait_for(lambda: self._fault.mode != "hang")

    def describe(self) -> dict[str, Any]:
        """Return the active fault and the number of requests left."""
        with self._changed:
            return {**dataclasses.asdict(self._fault), "left": self._remaining}
