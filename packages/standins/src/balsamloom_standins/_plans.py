"""Programs of the load tool: what each kind of program does."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

CHARACTERS_PER_TOKEN = 4

# Stragglers take this many times the usual number of generated tokens.
STRAGGLER_FACTORS = (20, 50)


class Chat(NamedTuple):
    """A model call."""

    model: str
    prompt_tokens: int
    max_tokens: int


class Tool(NamedTuple):
    """A tool call."""

    service: str
    operation: str
    body: dict[str, Any]


class Pause(NamedTuple):
    """Time in which the program's user thinks."""

    duration_ms: float


Step = Chat | Tool | Pause


class Plan(NamedTuple):
    """A program: its arrival, deadline and steps."""

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
        """Return the number of tokens that the steps ask for."""
        return sum(
            step.max_tokens for step in self.steps if isinstance(step, Chat)
        )


class Kind(NamedTuple):
    """A kind of program.

    :param turns: smallest and largest number of model calls.
    :param tokens: smallest and largest number of tokens of a model call.
    :param operation: tool operation after the last model call.
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

KINDS = (
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    """Arrivals at a rate for a time."""

    programs_per_s: float
    duration_ms: float


def plans(
    seed: int,
    rate_steps: list[RateStep],
    straggler_share: float = 0.0,
    customers: tuple[str, ...] = (),
    pause_ms: float = 0.0,
    kinds: tuple[Kind, ...] = KINDS,
) -> list[Plan]:
    """Return the programs of a run; the same seed gives the same programs.

    :param seed: seed of arrivals and steps.
    :param rate_steps: rates of arrival, one after the other.
    :param straggler_share: share of programs that run many times longer.
    :param customers: customers whose programs are made, all if empty.
    :param pause_ms: mean time between a program's steps.
    :param kinds: kinds of programs to choose from, by their weights.
    """
    source = random.Random(seed)
    chosen = [
        kind for kind in kinds if not customers or kind.customer in customers
    ]
    weights = [kind.weight for kind in chosen]
    found: list[Plan] = []
    start_ms = 0.0
    for step in rate_steps:
        at_ms = start_ms
        start_ms += step.duration_ms
        while step.programs_per_s > 0:
            at_ms += source.expovariate(step.programs_per_s / 1000)
            if at_ms >= start_ms:
                break
            kind = source.choices(chosen, weights)[0]
            is_straggler = source.random() < straggler_share
            found.append(
                _plan(source, len(found), kind, is_straggler, at_ms, pause_ms)
            )
    return found


def _plan(
    source: random.Random,
    number: int,
    kind: Kind,
    is_straggler: bool,
    arrival_ms: float,
    pause_ms: float,
) -> Plan:
    # An urgent request is short by its nature.
    is_straggler = is_straggler and not kind.is_urgent
    factor = source.randint(*STRAGGLER_FACTORS) if is_straggler else 1
    steps: list[Step] = []
    turns = source.randint(*kind.turns)
    for turn in range(turns):
        if turn and pause_ms:
            steps.append(Pause(source.expovariate(1 / pause_ms)))
        max_tokens = source.randint(*kind.tokens) * factor
        steps.append(Chat(kind.model, source.randint(20, 200), max_tokens))
        operation = kind.operation if turn == turns - 1 else kind.lookup
        body = {"program": number, "turn": turn}
        steps.append(Tool(kind.service, operation, body))
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
