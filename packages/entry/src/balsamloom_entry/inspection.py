"""Status, dumps and partition ownership as seen by an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from balsamloom_core import errors, events, results
from balsamloom_entry import components as process_components
from balsamloom_membership import addresses
from balsamloom_state import ownership, partitions

if TYPE_CHECKING:
    from balsamloom_entry import session as sessions


class Inspection:
    """State of the process for callers and operators.

    :param session: membership of the process.
    :param components: components of the process.
    """

    def __init__(
        self,
        session: sessions.Session,
        components: process_components.Components,
    ) -> None:
        self._session = session
        self._components = components

    def address(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the address to which a caller should send its requests.

        :param query: ``program_id``, ``customer``, ``failure_domain``.
        """
        program_id = query.get("program_id", "")
        if program_id:
            answer = self._session.addresses.for_program(program_id)
        else:
            answer = self._session.addresses.for_new_program(
                query.get("customer", ""), query.get("failure_domain", "")
            )
        return _to_json(answer, self._components.settings["address_valid_ms"])

    def status(self) -> dict[str, Any]:
        """Return a summary of the state."""
        owner = self._session.owner
        return {
            "member_id": self._session.member.member_id,
            "http_address": self._session.member.http_address,
            "peer_address": self._session.member.peer_address,
            "failure_domain": self._session.member.failure_domain,
            "is_joined": self._session.is_joined,
            "is_leaving": self._session.is_leaving,
            "map_version": owner.map.version,
            "members": len(owner.map.members),
            "partitions": len(owner.owned_partitions()),
            "configuration_revision": self._components.configuration.revision,
            "requests_in_progress": self._session.router.in_progress,
        }

    def dump(self) -> dict[str, Any]:
        """Return the full state."""
        events.log(events.Event.DUMP_WRITTEN)
        return {
            "status": self.status(),
            "session": self._session.describe(),
            **self._components.dumps.dump(),
        }

    def set_faults(self, document: dict[str, Any]) -> dict[str, Any]:
        """Replace the set of blocked links to peers.

        :param document: ``blocked_peers``, a list of addresses or member ids
            that replaces the former list; ``incoming`` and ``outgoing`` select
            the blocked directions, both by default.
        :raises BalsamloomError: if the settings do not allow it.
        """
        if not self._components.settings["fault_injection"]:
            raise errors.BalsamloomError(
                results.ResultCode.UNKNOWN_PATH,
                "fault injection is off in the settings of this process",
            )
        blocked = document.get("blocked_peers", [])
        self._components.links.clear()
        for peer in blocked:
            self._components.links.block(
                peer,
                bool(document.get("outgoing", True)),
                bool(document.get("incoming", True)),
            )
        return {"blocked_peers": blocked}


class Ownership:
    """Partition ownership as seen by this process.

    :param session: membership of the process.
    """

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @property
    def member_id(self) -> str:
        """Return this process's member id."""
        return self._session.member.member_id

    def owner_of(self, partition: int) -> partitions.Member | None:
        """Return the owner of a partition, none if it has no owner.

        It is this process in every state but remote and unowned.

        :param partition: number of the partition.
        """
        owner = self._session.owner
        match owner.partition_state(partition):
            case ownership.RemoteState(member):
                return member
            case ownership.UnownedState():
                return None
            case _:
                return owner.member

    def owner_for_new_program(self) -> partitions.Member | None:
        """Return a member that accepts new programs, preferably this one."""
        owner = self._session.owner
        if not self._session.is_leaving and owner.owned_partitions():
            return owner.member
        suspected = self._session.liveness.suspected()
        owned = {entry.member_id for entry in owner.map.owners.values()}
        usable = [
            member.member_id
            for member in owner.map.members.values()
            if not member.is_leaving
            and member.member_id in owned - suspected - {self.member_id}
        ]
        if not usable:
            return None
        order = partitions.rank(self.member_id, usable)
        return owner.map.members[order[0]]


def _to_json(answer: addresses.AddressAnswer, valid_ms: int) -> dict[str, Any]:
    return {
        "address": answer.address,
        "valid_ms": min(answer.valid_ms, valid_ms),
        "alternatives": list(answer.alternatives),
    }
