"""Messages between a host and a granter.

A message is a JSON object. It carries durations and counts, never times of
a clock, and names only workspaces in which something changes.
"""

from __future__ import annotations

import math
import types
from collections.abc import Mapping
from typing import Any, NamedTuple

from balsamloom_quotas import programs

MAX_ENTRIES = 10_000
MAX_TOKENS = 1_000_000
MAX_NUMBER = 2**53


class InvalidMessageError(ValueError):
    """Malformed message of another host."""


class Entry(NamedTuple):
    """What a host holds and wants of one workspace.

    ``held`` are tokens that it keeps, ``returned`` tokens that it gives back,
    ``wanted`` tokens that it asks for. ``is_urgent`` tells that callers were
    or would be refused.
    """

    workspace: str
    held: int
    returned: int
    wanted: int
    is_urgent: bool


class LeaseRequest(NamedTuple):
    """Request of a host to a granter.

    ``run`` identifies the run of the host's process. ``number`` rises with
    each request of a run to a granter. ``applied`` is that of the last one
    whose answer the host applied; answers to others are lost. ``granters`` are
    those by the members that the host knows; ``had_others`` tells whether this
    run has named others before, ``was_leased`` whether it has got tokens from
    this granter; what earlier builds do not tell counts as true. ``rates`` are
    the demand of the workspaces for which a granter last told a share; earlier
    builds send none.
    """

    host: str
    run: str
    number: int
    applied: int
    granters: tuple[str, ...]
    entries: tuple[Entry, ...]
    had_others: bool = True
    rates: Mapping[str, programs.Rates] = types.MappingProxyType({})
    was_leased: bool = True


class Answer(NamedTuple):
    """Answer of a granter.

    ``is_active`` tells whether it grants now; else no lease was changed.
    ``granted`` are additional tokens by workspace, ``wait_ms`` estimates when
    more can be had of those of which less than wanted was granted. Tokens of
    ``ended`` workspaces that the host held are no longer leased to it.
    ``shares`` are parts of the programs that may make requests, of the
    workspaces whose tokens are short; earlier builds send none.
    """

    is_active: bool
    granted: Mapping[str, int]
    wait_ms: Mapping[str, float]
    ended: tuple[str, ...] = ()
    shares: Mapping[str, float] = types.MappingProxyType({})


INACTIVE = Answer(False, {}, {})


def encode_request(request: LeaseRequest) -> dict[str, Any]:
    """Encode a request as a JSON object."""
    return {
        "host": request.host,
        "run": request.run,
        "number": request.number,
        "applied": request.applied,
        "granters": list(request.granters),
        "entries": [
            [*entry[:4], int(entry.is_urgent)] for entry in request.entries
        ],
        "had_others": request.had_others,
        "was_leased": request.was_leased,
        "rates": {name: list(rates) for name, rates in request.rates.items()},
    }


def decode_request(body: Any) -> LeaseRequest:
    """Decode a request.

    :raises InvalidMessageError: it is malformed.
    """
    try:
        entries = _list(body["entries"])
        return LeaseRequest(
            _name(body["host"]),
            _name(body["run"]),
            _count(body["number"], MAX_NUMBER),
            _count(body["applied"], MAX_NUMBER),
            tuple(_name(name) for name in _list(body["granters"])),
            tuple(_decode_entry(entry) for entry in entries),
            body.get("had_others") is not False,
            {
                _name(name): _decode_rates(rates)
                for name, rates in body.get("rates", {}).items()
            },
            body.get("was_leased") is not False,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidMessageError(f"quota request: {error!r}") from error


def encode_answer(answer: Answer) -> dict[str, Any]:
    """Encode an answer as a JSON object."""
    waits = {name: round(wait) for name, wait in answer.wait_ms.items()}
    return {
        "is_active": answer.is_active,
        "granted": dict(answer.granted),
        "wait_ms": waits,
        "ended": list(answer.ended),
        "shares": dict(answer.shares),
    }


def decode_answer(body: Any) -> Answer:
    """Decode an answer.

    :raises InvalidMessageError: it is malformed.
    """
    try:
        if not isinstance(body["is_active"], bool):
            raise InvalidMessageError("quota answer: is_active")
        granted = {
            _name(name): _count(tokens)
            for name, tokens in body["granted"].items()
        }
        waits = {
            _name(name): _amount(wait)
            for name, wait in body["wait_ms"].items()
        }
        ended = tuple(_name(name) for name in _list(body["ended"]))
        shares = {
            _name(name): _amount(share)
            for name, share in body.get("shares", {}).items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidMessageError(f"quota answer: {error!r}") from error
    return Answer(body["is_active"], granted, waits, ended, shares)


def _decode_entry(entry: Any) -> Entry:
    workspace, held, returned, wanted, is_urgent = _list(entry)[:5]
    return Entry(
        _name(workspace),
        _count(held),
        _count(returned),
        _count(wanted),
        _count(is_urgent, 1) == 1,
    )


def _decode_rates(value: Any) -> programs.Rates:
    admitted_per_s, unnamed_per_s = _list(value)[:2]
    return programs.Rates(_amount(admitted_per_s), _amount(unnamed_per_s))


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list) or len(value) > MAX_ENTRIES:
        raise InvalidMessageError(f"not a list of {MAX_ENTRIES} at most")
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise InvalidMessageError("not a name")
    return value


def _count(value: Any, limit: int = MAX_TOKENS) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidMessageError("not a whole number")
    if not 0 <= value <= limit:
        raise InvalidMessageError(f"{value} is not in 0 to {limit}")
    return value


def _amount(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidMessageError("not a number")
    if not math.isfinite(value) or value < 0:
        raise InvalidMessageError(f"{value} is not from 0 on")
    return float(value)
