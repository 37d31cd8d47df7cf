"""Settings of the scheduling policies and their JSON schema."""

from __future__ import annotations

import dataclasses
from typing import Any

from balsamloom_core import settings as core_settings


def _choice(default: str, description: str, *others: str) -> Any:
    schema = {
        "type": "string",
        "enum": [default, *others],
        "description": description,
    }
    return dataclasses.field(default=default, metadata=schema)


def _number(
    default: float, description: str, minimum: float, maximum: float
) -> Any:
    schema = {
        "type": "number",
        "minimum": minimum,
        "maximum": maximum,
        "description": description,
    }
    return dataclasses.field(default=default, metadata=schema)


def _integer(
    default: int, description: str, minimum: int, maximum: int
) -> Any:
    schema = {
        "type": "integer",
        "minimum": minimum,
        "maximum": maximum,
        "description": description,
    }
    return dataclasses.field(default=default, metadata=schema)


@dataclasses.dataclass(frozen=True)
class PolicySettings:
    """Settings that operators may change; see ``docs/scheduling.md``."""

    routing: str = _choice(
        "learned", "choice of server", "random", "round_robin"
    )
    ordering: str = _choice("attained_service", "order of waiting", "fifo")
    admission: str = _choice("adaptive", "early refusal", "none")
    limits: str = _choice("adaptive", "limit per server", "static", "none")
    health: str = _choice("outlier", "ejection of slow servers", "none")
    prefixes: str = _choice("bounded", "prefix affinity", "none")

    candidate_count: int = _integer(3, "servers compared per call", 1, 64)
    report_valid_ms: float = _number(
        2000, "age at which a load report has no weight left", 1, 60000
    )
    eject_ratio: float = _number(
        3, "slowness against own and pool level that ejects", 1.5, 100
    )
    return_ratio: float = _number(
        1.8, "slowness of a trial call below which a server returns", 1, 100
    )
    ejected_share: float = _number(
        1 / 3, "largest share of a pool ejected at a time", 0, 1 / 3
    )
    trial_interval_ms: float = _number(
        200, "time to the first trial call", 1, 60000
    )
    trial_interval_max_ms: float = _number(
        1500, "longest time between trial calls", 1, 60000
    )
    ejection_max_ms: float = _number(
        10000, "time after which a server without trials returns", 1, 600000
    )
    check_interval_ms: float = _number(
        50, "time between checks of calls in flight", 1, 10000
    )
    initial_limit: float = _number(
        16, "limit of a server that states none, per process", 1, 10000
    )
    limit_max: float = _number(
        256, "largest limit of a server, per process", 1, 10000
    )
    limit_tolerance: float = _number(
        2, "latency against the lowest level that lowers a limit", 1, 100
    )
    peer_valid_ms: float = _number(
        3000, "age at which a peer's counts are dropped", 1, 60000
    )
    level_base_ms: float = _number(
        500, "attained service of the first level", 1, 600000
    )
    new_program_levels: int = _integer(
        3, "levels that a new program's first call waits behind", 0, 12
    )
    ageing_ms: float = _number(
        2000, "waiting time that raises a call by one level", 1, 600000
    )
    long_level: int = _integer(4, "first level that counts as long", 1, 12)
    long_share: float = _number(
        0.8, "largest share of slots held by long calls", 0.1, 1
    )
    urgent_share: float = _number(
        0.5, "share of slots of urgent calls while others wait", 0, 1
    )
    urgent_extra_slots: int = _integer(
        1, "slots per server above the limit for urgent calls", 0, 16
    )
    queue_target_ms: float = _number(
        300, "estimated wait at which new programs are refused", 1, 600000
    )
    under_way_factor: float = _number(
        20, "multiple of queue_target_ms for programs under way", 1, 100
    )
    fair_share_slack: float = _number(
        1.25, "multiple of the fair share a customer may use", 1, 100
    )
    retry_share: float = _number(0.1, "retries and hedges per call", 0, 1)
    retry_burst: float = _number(
        10, "retries and hedges saved up at most", 0, 1000
    )
    retry_delay_ms: float = _number(
        50, "upper end of the first retry's jitter", 0, 60000
    )
    retry_max: int = _integer(3, "retries of one call", 0, 10)
    hedge_ratio: float = _number(
        2, "slowness of a call at which it is hedged", 1, 100
    )
    prefix_entries: int = _integer(
        20000, "prefixes remembered per pool", 0, 10000000
    )
    prefix_load_bound: float = _number(
        1.25, "load against the mean at which affinity ends", 1, 100
    )


def _schema() -> dict[str, Any]:
    properties = {
        field.name: {**field.metadata, "default": field.default}
        for field in dataclasses.fields(PolicySettings)
    }
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
    }


SCHEMA: dict[str, Any] = _schema()


def from_document(document: dict[str, Any]) -> PolicySettings:
    """Return the settings of a configuration section.

    :param document: JSON object; missing names take the default.
    :raises SettingsError: if the document fails the schema.
    """
    core_settings.check(document, SCHEMA)
    return PolicySettings(**document)
