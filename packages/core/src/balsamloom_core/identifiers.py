"""Identifiers of programs and members."""

from __future__ import annotations

import re
import secrets

from balsamloom_core import errors, results

_PROGRAM_PATTERN = re.compile(r"p([0-9a-f]{3})-([0-9a-f]{16})")
_RANDOM_BYTES = 8
MAX_PARTITIONS = 0x1000


def new_program_id(partition: int) -> str:
    """Return a new program identifier.

    :param partition: partition of the program, 0 to 4095.
    :raises ValueError: if the partition is out of range; it would not fit
        the three hex digits of the identifier.
    """
    if not 0 <= partition < MAX_PARTITIONS:
        raise ValueError(f"partition {partition}; accepted: 0 to 4095")
    return f"p{partition:03x}-{secrets.token_hex(_RANDOM_BYTES)}"


def partition_of(program_id: str) -> int:
    """Return the partition of a program.

    :param program_id: identifier from :func:`new_program_id`.
    :raises BalsamloomError: if the identifier is malformed.
    """
    match = _PROGRAM_PATTERN.fullmatch(program_id)
    if match is None:
        raise errors.BalsamloomError(
            results.ResultCode.UNKNOWN_PROGRAM,
            f"program identifier {program_id!r}; accepted: p<3 hex digits>-"
            f"<16 hex digits>",
        )
    return int(match.group(1), 16)


def entry_name(member_id: str) -> str:
    """Return the name of the entry process from its member identifier.

    :param member_id: identifier from :func:`new_member_id`.
    """
    return member_id.rpartition("-")[0]


def new_member_id(name: str) -> str:
    """Return a new identifier for one run of an entry process.

    :param name: name of the entry process in its settings.
    """
    return f"{name}-{secrets.token_hex(4)}"
