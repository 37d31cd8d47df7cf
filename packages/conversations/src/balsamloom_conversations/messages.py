"""MessagePack messages exchanged with storage hosts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgpack

from balsamloom_conversations import completeness, turns, usage_entries

# Larger numbers fit into no column of the database.
MAX_INTEGER = 2**63 - 1


class InvalidMessageError(ValueError):
    """A message is malformed."""


class ListQuery(NamedTuple):
    """Request for the turns that a host stored after a sequence number."""

    after: int
    limit: int


class Listing(NamedTuple):
    """Page of the turns that a host stores.

    ``is_leaving`` is set while the host is evacuated and refuses new turns.
    """

    disk_id: str
    is_leaving: bool
    has_more: bool
    entries: tuple[turns.ListingEntry, ...]


class ClaimQuery(NamedTuple):
    """Request for a host's claim, and the hosts to fence for the sender."""

    sender: str
    fenced: frozenset[str]


class DiskClaim(NamedTuple):
    """What a host says of the disk that it has now."""

    disk_id: str
    claim: completeness.Claim
    fences: completeness.Fences


class SettledTurn(NamedTuple):
    """Turn and the tokens that it used of its program's budget."""

    turn: turns.Turn
    settlement: usage_entries.Settlement


class ReadQuery(NamedTuple):
    """Request for turns, in this order.

    The answer has at least one turn if any is stored, and others up to
    ``max_bytes``.
    """

    turn_ids: tuple[str, ...]
    max_bytes: int


def encode_turn(turn: turns.Turn) -> bytes:
    """Encode a turn."""
    return _pack(list(turn))


def decode_turn(body: bytes) -> turns.Turn:
    """Decode a turn.

    :raises InvalidMessageError: it is malformed.
    """
    return _parse_turn(_unpack(body))


def encode_settled_turn(settled: SettledTurn) -> bytes:
    """Encode a turn and its settlement."""
    return _pack([list(settled.turn), list(settled.settlement)])


def decode_settled_turn(body: bytes) -> SettledTurn:
    """Decode a turn and its settlement.

    :raises InvalidMessageError: they are malformed.
    """
    match _unpack(body):
        case [turn, [str(program_id), str(reservation_id), used_tokens]]:
            settlement = usage_entries.Settlement(
                program_id, reservation_id, _parse_count(used_tokens)
            )
            return SettledTurn(_parse_turn(turn), settlement)
        case _:
            raise InvalidMessageError("not a turn with its settlement")


def encode_turns(batch: Sequence[turns.Turn]) -> bytes:
    """Encode several turns."""
    return _pack([list(turn) for turn in batch])


def decode_turns(body: bytes) -> list[turns.Turn]:
    """Decode several turns.

    :raises InvalidMessageError: they are malformed.
    """
    return [_parse_turn(value) for value in _parse_list(_unpack(body))]


def encode_names(names: Sequence[str]) -> bytes:
    """Encode identifiers of turns or names of hosts."""
    return _pack(list(names))


def decode_names(body: bytes) -> list[str]:
    """Decode identifiers of turns or names of hosts.

    :raises InvalidMessageError: they are malformed.
    """
    return [_parse_text(value) for value in _parse_list(_unpack(body))]


def encode_lookup(result: turns.HostLookup) -> bytes:
    """Encode the result of a chain lookup at one host."""
    match result:
        case turns.Chain(group_id, data):
            return _pack(["chain", group_id, data])
        case turns.ChainEnd(group_id, data, missing_id):
            return _pack(["chain_end", group_id, data, missing_id])
        case turns.Absent():
            return _pack(["absent"])
        case turns.Unsure(reason):
            return _pack(["unsure", reason])


def decode_lookup(body: bytes) -> turns.HostLookup:
    """Decode the result of a chain lookup at one host.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case ["chain", str(group_id), bytes(data)]:
            return turns.Chain(group_id, data)
        case ["chain_end", str(group_id), bytes(data), str(missing_id)]:
            return turns.ChainEnd(group_id, data, missing_id)
        case ["absent"]:
            return turns.Absent()
        case ["unsure", str(reason)]:
            return turns.Unsure(reason)
        case _:
            raise InvalidMessageError("not a chain lookup result")


def encode_query(query: ListQuery) -> bytes:
    """Encode a request for a listing."""
    return _pack(list(query))


def decode_query(body: bytes) -> ListQuery:
    """Decode a request for a listing.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [int(after), int(limit)]:
            return ListQuery(after, limit)
        case _:
            raise InvalidMessageError("not a listing request")


def encode_read_query(query: ReadQuery) -> bytes:
    """Encode a request for turns."""
    return _pack([list(query.turn_ids), query.max_bytes])


def decode_read_query(body: bytes) -> ReadQuery:
    """Decode a request for turns.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [list(turn_ids), int(max_bytes)]:
            parsed = tuple(_parse_text(turn_id) for turn_id in turn_ids)
            return ReadQuery(parsed, max_bytes)
        case _:
            raise InvalidMessageError("not a request for turns")


def encode_batch(batch: turns.TurnBatch) -> bytes:
    """Encode a batch of turns."""
    return _pack([[list(turn) for turn in batch.turns], batch.left_bytes])


def decode_batch(body: bytes) -> turns.TurnBatch:
    """Decode a batch of turns.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [list(found), int(left_bytes)]:
            parsed = tuple(_parse_turn(value) for value in found)
            return turns.TurnBatch(parsed, left_bytes)
        case _:
            raise InvalidMessageError("not a batch of turns")


def encode_listing(listing: Listing) -> bytes:
    """Encode a listing."""
    entries = [list(entry) for entry in listing.entries]
    return _pack([*listing[:3], entries])


def decode_listing(body: bytes) -> Listing:
    """Decode a listing.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [str(disk_id), bool(is_leaving), bool(has_more), list(entries)]:
            parsed = tuple(_parse_entry(entry) for entry in entries)
            return Listing(disk_id, is_leaving, has_more, parsed)
        case _:
            raise InvalidMessageError("not a listing")


def encode_claim_query(query: ClaimQuery) -> bytes:
    """Encode a request for a claim."""
    return _pack([query.sender, sorted(query.fenced)])


def decode_claim_query(body: bytes) -> ClaimQuery:
    """Decode a request for a claim.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [str(sender), list(fenced)]:
            return ClaimQuery(sender, _parse_names(fenced))
        case _:
            raise InvalidMessageError("not a request for a claim")


def encode_claim(said: DiskClaim) -> bytes:
    """Encode what a host says of its disk."""
    claim = said.claim
    by_host = said.fences.by_host
    return _pack(
        [
            said.disk_id,
            claim.has_turns,
            claim.has_usage,
            sorted(claim.replaced_hosts),
            claim.losses,
            said.fences.is_complete,
            {name: sorted(by_host[name]) for name in sorted(by_host)},
        ]
    )


def decode_claim(body: bytes) -> DiskClaim:
    """Decode what a host says of its disk.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [
            str(disk_id),
            bool(has_turns),
            bool(has_usage),
            list(replaced),
            losses,
            bool(has_fences),
            dict(by_host),
        ]:
            claim = completeness.Claim(
                has_turns,
                has_usage,
                _parse_names(replaced),
                _parse_count(losses),
            )
            fenced = {
                _parse_text(name): _parse_names(hosts)
                for name, hosts in by_host.items()
            }
            fences = completeness.Fences(has_fences, fenced)
            return DiskClaim(disk_id, claim, fences)
        case _:
            raise InvalidMessageError("not a claim")


def encode_usage_entries(
    entries: Sequence[usage_entries.UsageEntry],
) -> bytes:
    """Encode usage entries."""
    return _pack([list(entry) for entry in entries])


def decode_usage_entries(body: bytes) -> list[usage_entries.UsageEntry]:
    """Decode usage entries.

    :raises InvalidMessageError: they are malformed.
    """
    values = _parse_list(_unpack(body))
    return [_parse_usage_entry(value) for value in values]


def encode_usage_query(query: usage_entries.ListQuery) -> bytes:
    """Encode a request for a page of usage entries."""
    return _pack(list(query))


def decode_usage_query(body: bytes) -> usage_entries.ListQuery:
    """Decode a request for a page of usage entries.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [str(program_id), str(holder_id), limit]:
            count = _parse_count(limit)
            return usage_entries.ListQuery(program_id, holder_id, count)
        case _:
            raise InvalidMessageError("not a request for usage entries")


def encode_usage_page(page: Sequence[usage_entries.StoredEntry]) -> bytes:
    """Encode a page of usage entries."""
    return _pack([[list(entry), left_ms] for entry, left_ms in page])


def decode_usage_page(body: bytes) -> list[usage_entries.StoredEntry]:
    """Decode a page of usage entries.

    :raises InvalidMessageError: it is malformed.
    """
    return [_parse_stored_entry(value) for value in _parse_list(_unpack(body))]


def encode_usage(usage: usage_entries.StoredUsage) -> bytes:
    """Encode the usage of a program at one host."""
    entries = [list(entry) for entry in usage.entries]
    return _pack(
        [
            entries,
            usage.is_complete,
            dict(usage.settlements),
            list(usage.replaced_hosts),
        ]
    )


def decode_usage(body: bytes) -> usage_entries.StoredUsage:
    """Decode the usage of a program at one host.

    :raises InvalidMessageError: it is malformed.
    """
    match _unpack(body):
        case [
            list(entries),
            bool(is_complete),
            dict(settlements),
            list(replaced),
        ]:
            return usage_entries.StoredUsage(
                tuple(_parse_usage_entry(value) for value in entries),
                is_complete,
                {
                    _parse_text(name): _parse_count(tokens)
                    for name, tokens in settlements.items()
                },
                tuple(_parse_text(name) for name in replaced),
            )
        case _:
            raise InvalidMessageError("not the usage of a program")


def _parse_stored_entry(value: Any) -> usage_entries.StoredEntry:
    match value:
        case [entry, int(left_ms) | float(left_ms)]:
            parsed = _parse_usage_entry(entry)
            return usage_entries.StoredEntry(parsed, float(left_ms))
        case _:
            raise InvalidMessageError("not a stored usage entry")


def _parse_usage_entry(value: Any) -> usage_entries.UsageEntry:
    match value:
        case [str(program_id), str(holder_id), running, used, sequence]:
            return usage_entries.UsageEntry(
                program_id,
                holder_id,
                tuple(_parse_running(turn) for turn in _parse_list(running)),
                _parse_count(used),
                _parse_count(sequence),
            )
        case _:
            raise InvalidMessageError("not a usage entry")


def _parse_running(value: Any) -> tuple[str, int]:
    match value:
        case [str(reservation_id), tokens]:
            return reservation_id, _parse_count(tokens)
        case _:
            raise InvalidMessageError("not a running turn")


def _parse_count(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_INTEGER:
        raise InvalidMessageError("not a count")
    return value


def _parse_entry(value: Any) -> turns.ListingEntry:
    match value:
        case [int(sequence), str(turn_id), str(group_id)]:
            return turns.ListingEntry(sequence, turn_id, group_id)
        case _:
            raise InvalidMessageError("not a listing entry")


def _parse_turn(value: Any) -> turns.Turn:
    match value:
        case [
            str(turn_id),
            str(previous_id),
            str(group_id),
            bytes(turn_input),
            bytes(turn_output),
            int(retention_ms) | float(retention_ms),
        ]:
            return turns.Turn(
                turn_id,
                previous_id,
                group_id,
                turn_input,
                turn_output,
                float(retention_ms),
            )
        case _:
            raise InvalidMessageError("not a turn")


def _parse_text(value: Any) -> str:
    if not isinstance(value, str):
        raise InvalidMessageError("not a string")
    return value


def _parse_names(value: Any) -> frozenset[str]:
    return frozenset(_parse_text(name) for name in _parse_list(value))


def _parse_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise InvalidMessageError("not a list")
    return value


def _pack(value: Any) -> bytes:
    packed: bytes = msgpack.packb(value, use_bin_type=True)
    return packed


def _unpack(body: bytes) -> Any:
    try:
        return msgpack.unpackb(body, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise InvalidMessageError(str(error)) from error
