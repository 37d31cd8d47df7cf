"""Kinds of programs of the load tool, and plans generated from them."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

CHARACTERS_PER_TOKEN = 4

# Smallest and largest factor on the generated tokens of a straggler.
STRAGGLER_FACTORS = (20, 50)


class ModelCall(NamedTuple):
    """A model call."""

    model: str
    prompt_tokens: int
    max_tokens: int


class ToolCall(NamedTuple):
    """A tool call."""

    service: str
    operation: str
    body: dict[str, Any]


class Pause(NamedTuple):
    """Time in which the program waits for its user."""

    duration_ms: float


Step = ModelCall | ToolCall | Pause


class Plan(NamedTuple):
    """A planned program.

    ``arrival_ms`` counts from the start of the run, ``deadline_ms`` from the
    arrival.
    """

    number: int
    kind: str
    customer: str
    is_urgent: bool
    is_straggler: bool
    arrival_ms: float
    deadline_ms: float
    steps: list[Step]

    @property
    def generated_tokens(self) -> int:
        """Return the number of tokens that the model calls generate."""
        return sum(
            step.max_tokens
            for step in self.steps
            if isinstance(step, ModelCall)
        )


class ProgramKind(NamedTuple):
    """A kind of program.

    :param operation: tool operation after the last model call.
    :param lookup: tool operation after the other model calls.
    :param weight: share of programs, relative to the other kinds.
    :param turns: smallest and largest number of model calls.
    :param tokens: smallest and largest number of tokens of a model call.
    """

    name: str
    customer: str
    model: str
    service: str
    operation: str
    lookup: str
    weight: float
    turns: tuple[int, int]
    tokens: tuple[int, int]
    is_urgent: bool
    deadline_ms: float


_RESTWELL = ("restwell", "booking-agent", "visit-desk")
_WASSERREIGEN = ("wasserreigen", "rota", "booking-application")

PROGRAM_KINDS = (
    ProgramKind(
        "household_booking",
        *_RESTWELL,
        "book",
        "lookup",
        4,
        (2, 4),
        (8, 24),
        False,
        20_000,
    ),
    ProgramKind(
        "clinic_batch",
        *_RESTWELL,
        "book",
        "lookup",
        1,
        (6, 10),
        (16, 48),
        False,
        60_000,
    ),
    ProgramKind(
        "doorstep_check",
        *_RESTWELL,
        "lookup",
        "lookup",
        2,
        (1, 1),
        (4, 8),
        True,
        5_000,
    ),
    ProgramKind(
        "dispatch",
        *_RESTWELL,
        "dispatch",
        "lookup",
        1,
        (1, 2),
        (8, 16),
        False,
        20_000,
    ),
    ProgramKind(
        "swap",
        *_WASSERREIGEN,
        "swap",
        "lookup",
        4,
        (2, 4),
        (8, 24),
        False,
        20_000,
    ),
    ProgramKind(
        "hut_lookup",
        *_WASSERREIGEN,
        "lookup",
        "lookup",
        2,
        (1, 1),
        (4, 8),
        True,
        5_000,
    ),
    ProgramKind(
        "valve_release",
        *_WASSERREIGEN,
        "release_valve",
        "lookup",
        1,
        (1, 2),
        (8, 16),
        False,
        20_000,
    ),
)


class RateStep(NamedTuple):
    """A rate of arrivals and how long it lasts."""

    programs_per_s: float
    duration_ms: float


def make_plans(
    seed: int,
    rate_steps: list[RateStep],
    straggler_share: float = 0.0,
    customers: tuple[str, ...] = (),
    pause_ms: float = 0.0,
    kinds: tuple[ProgramKind, ...] = PROGRAM_KINDS,
) -> list[Plan]:
    """Return the programs of a run; the same seed gives the same programs.

    :param seed: seed of arrivals and steps.
    :param rate_steps: rates of arrival, in order.
    :param straggler_share: share of programs that run many times longer.
    :param customers: customers to plan programs for, all if empty.
    :param pause_ms: mean time between a program's steps.
    :param kinds: kinds of programs to choose from.
    """
    rng = random.Random(seed)
    eligible_kinds = [
        kind for kind in kinds if not customers or kind.customer in customers
    ]
    weights = [kind.weight for kind in eligible_kinds]
    plans: list[Plan] = []
    start_ms = 0.0
    for step in rate_steps:
        at_ms = start_ms
        start_ms += step.duration_ms
        while step.programs_per_s > 0:
            at_ms += rng.expovariate(step.programs_per_s / 1000)
            if at_ms >= start_ms:
                break
            kind = rng.choices(eligible_kinds, weights)[0]
            is_straggler = rng.random() < straggler_share
            plans.append(
                _make_plan(
                    rng, len(plans), kind, is_straggler, at_ms, pause_ms
                )
            )
    return plans


def _make_plan(
    rng: random.Random,
    number: int,
    kind: ProgramKind,
    is_straggler: bool,
    arrival_ms: float,
    pause_ms: float,
) -> Plan:
    # Urgent programs are always short.
    is_straggler = is_straggler and not kind.is_urgent
    factor = rng.randint(*STRAGGLER_FACTORS) if is_straggler else 1
    steps: list[Step] = []
    turns = rng.randint(*kind.turns)
    for turn in range(turns):
        if turn and pause_ms:
            steps.append(Pause(rng.expovariate(1 / pause_ms)))
        max_tokens = rng.randint(*kind.tokens) * factor
        steps.append(ModelCall(kind.model, rng.randint(20, 200), max_tokens))
        operation = kind.operation if turn == turns - 1 else kind.lookup
        body = {"program": number, "turn": turn}
        steps.append(ToolCall(kind.service, operation, body))
    return Plan(
        number,
        kind.name,
        kind.customer,
        kind.is_urgent,
        is_straggler,
        arrival_ms,
        kind.deadline_ms * factor,
        steps,
    )
