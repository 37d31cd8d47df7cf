"""Identifiers of programs and members."""

from __future__ import annotations

import re
import secrets

from balsamloom_core import errors, results

_PROGRAM_PATTERN = re.compile(r"p([0-9a-f]{3})-([0-9a-f]{16})")
_RANDOM_BYTES = 8
MAX_PARTITIONS = 0x1000


def new_program_id(partition: int) -> str:
    """Return a fresh program identifier.

    :param partition: partition that the program belongs to, 0 to 4095.
    :raises ValueError: for another partition, whose identifier could not be
        read back.
    """
    if not 0 <= partition < MAX_PARTITIONS:
        raise ValueError(f"partition {partition}; accepted: 0 to 4095")
    return f"p{partition:03x}-{secrets.token_hex(_RANDOM_BYTES)}"


def partition_of(program_id: str) -> int:
    """Return the partition that a program belongs to.

    :param program_id: identifier given by :func:`new_program_id`.
    :raises BalsamloomError: if the identifier has another form.
    """
    match = _PROGRAM_PATTERN.fullmatch(program_id)
    if match is None:
        raise errors.BalsamloomError(
            results.ResultCode.UNKNOWN_PROGRAM,
            f"program identifier {program_id!r} is not of the form pXXX-<16 "
            f"hex digits>",
        )
    return int(match.group(1), 16)


def entry_name(member_id: str) -> str:
    """Return the name of the entry process that a member id belongs to.

    :param member_id: identifier from :func:`new_member_id`.
    """
    return member_id.rpartition("-")[0]


def new_member_id(name: str) -> str:
    """Return an identifier for one run of an entry process.

    :param name: name of the entry process in its settings.
    """
    return f"{name}-{secrets.token_hex(4)}"
