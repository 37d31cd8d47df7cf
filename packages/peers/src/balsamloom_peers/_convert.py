"""Conversion between plain data and protobuf messages."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from balsamloom_peers import messages, peer_pb2


def heartbeat_to_protobuf(
    message_class: Any, content: messages.Heartbeat, sequence: int
) -> Any:
    """Return a protobuf heartbeat request or reply.

    :param message_class: protobuf class.
    :param content: plain data.
    :param sequence: sequence number of the request.
    """
    return message_class(
        member_id=content.member_id,
        map_version=content.map_version,
        configuration_revision=content.configuration_revision,
        calls_in_progress=content.calls_in_progress,
        server_states=[
            peer_pb2.ServerState(**state._asdict())
            for state in content.server_states
        ],
        server_shares=[
            peer_pb2.ServerShare(**share._asdict())
            for share in content.server_shares
        ],
        is_leaving=content.is_leaving,
        sequence=sequence,
    )


def heartbeat_from_protobuf(message: Any) -> messages.Heartbeat:
    """Return the plain data of a heartbeat request or reply.

    :param message: protobuf message.
    """
    return messages.Heartbeat(
        message.member_id,
        message.map_version,
        message.configuration_revision,
        message.calls_in_progress,
        tuple(
            messages.ServerState(
                state.server_id,
                state.incarnation,
                state.is_leaving,
                state.origin,
            )
            for state in message.server_states
        ),
        tuple(
            messages.ServerShare(
                share.server_id,
                share.in_flight,
                share.limit,
                share.is_ejected,
            )
            for share in message.server_shares
        ),
        message.is_leaving,
    )


def headers_to_protobuf(headers: Iterable[tuple[str, str]]) -> list[Any]:
    """Return protobuf headers.

    :param headers: names and values.
    """
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def headers_from_protobuf(
    headers: Iterable[Any],
) -> tuple[tuple[str, str], ...]:
    """Return names and values of protobuf headers.

    :param headers: protobuf headers.
    """
    return tuple((header.name, header.value) for header in headers)
