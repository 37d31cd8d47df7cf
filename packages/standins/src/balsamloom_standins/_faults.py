"""Faults that a stand-in injects into its answers."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from typing import Any

MODES = ("none", "refuse", "hang", "slow", "lose_answers", "stale_reads")


@dataclasses.dataclass(frozen=True)
class Fault:
    """What happens to requests.

    :param mode: one of :data:`MODES`.
    :param delay_ms: delay of ``slow``.
    :param count: number of requests affected, zero for no limit.
    :param probability: share of requests affected.
    :param seed: seed of the choice of requests.
    """

    mode: str = "none"
    delay_ms: float = 0
    count: int = 0
    probability: float = 1
    seed: int = 0


class Faults:
    """The fault in force; requests ask it what happens to them."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._fault = Fault()
        self._left = 0
        self._random = random.Random(0)

    @property
    def mode(self) -> str:
        """Return the mode in force."""
        return self._fault.mode

    def set(self, document: dict[str, Any]) -> str:
        """Put a fault in force.

        :param document: fields of :class:`Fault`.
        :return: the cause if the document is not valid, else nothing.
        """
        fields = {field.name for field in dataclasses.fields(Fault)}
        unknown = set(document) - fields
        if unknown:
            return f"unknown {sorted(unknown)}; use {sorted(fields)}"
        fault = Fault(**document)
        if fault.mode not in MODES:
            return f"mode {fault.mode!r} is not one of {MODES}"
        with self._changed:
            self._fault = fault
            self._left = fault.count
            self._random = random.Random(fault.seed)
            self._changed.notify_all()
        return ""

    def next(self, affected: tuple[str, ...] = MODES) -> str:
        """Return the mode for a request, after its delay or hang.

        :param affected: modes that can affect the request; it does not count
            as affected by another.
        """
        with self._changed:
            fault = self._fault
            if fault.mode == "none" or fault.mode not in affected:
                return "none"
            if self._random.random() >= fault.probability:
                return "none"
            if fault.count:
                if self._left == 0:
                    return "none"
                self._left -= 1
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
        """Return the fault in force."""
        with self._changed:
            return {**dataclasses.asdict(self._fault), "left": self._left}
