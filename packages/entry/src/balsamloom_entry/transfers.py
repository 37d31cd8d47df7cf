"""Transfer of the programs of a partition between members."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from balsamloom_core import errors, events
from balsamloom_peers import client as peer_clients
from balsamloom_peers import messages
from balsamloom_peers import server as peer_servers
from balsamloom_state import owner as owners
from balsamloom_state import partitions, records_pb2, segments

TRANSFER_TIMEOUT_MS = 10_000
HEADROOM_BYTES = 4_096


class PartitionTransfer:
    """Sends partitions to other members over gRPC.

    :param peers: channels to the peers.
    :param member_id: own member id.
    """

    def __init__(self, peers: peer_clients.PeerPool, member_id: str) -> None:
        self._peers = peers
        self._member_id = member_id

    def send_partition(
        self,
        receiver: partitions.Member,
        partition: int,
        epoch: int,
        records: Sequence[records_pb2.Record],
    ) -> bool:
        """Send the records of a partition to its future owner.

        :param receiver: future owner.
        :param partition: number of the partition.
        :param epoch: epoch of the partition at the receiver.
        :param records: snapshots of its programs.
        :return: whether the receiver has made the records durable; false also
            if the batch exceeds the size limit of messages.
        """
        batch = segments.pack_batch(records)
        if len(batch) + HEADROOM_BYTES > peer_servers.MAX_MESSAGE_BYTES:
            return False
        transfer = messages.Transfer(self._member_id, partition, epoch, batch)
        try:
            client = self._peers.client(receiver.peer_address)
            return client.transfer_partition(
                transfer, TRANSFER_TIMEOUT_MS
            ).is_accepted
        except errors.BalsamloomError:
            return False


def receive(
    owner: owners.ProgramOwner, transfer: messages.Transfer
) -> messages.TransferResult:
    """Make a partition durable that a peer has sent.

    :param owner: program owner of this process.
    :param transfer: message of the peer.
    """
    try:
        batch = records_pb2.RecordBatch()
        batch.ParseFromString(zlib.decompress(transfer.compressed_batch))
    except (zlib.error, ValueError) as error:
        events.log(
            events.Event.PEER_MESSAGE_DAMAGED,
            member_id=transfer.sender_member_id,
            cause=repr(error),
        )
        return messages.TransferResult(False, "damaged batch")
    is_accepted = owner.receive_partition(
        transfer.sender_member_id,
        transfer.partition,
        transfer.epoch,
        batch.records,
    )
    return messages.TransferResult(is_accepted)
