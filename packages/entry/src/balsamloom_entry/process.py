"""Wiring of one entry process."""

from __future__ import annotations

import threading
from typing import Any, TypedDict

import urllib3

from balsamloom_core import clock as clocks
from balsamloom_core import dumps, events, identifiers
from balsamloom_platform import store as stores
from balsamloom_state import journal, partitions, programs

PEER_CHECK_INTERVAL_MS = 500
PEER_CHECK_TIMEOUT_MS = 400
FAILURES_UNTIL_TAKEOVER = 4


class EntrySettings(TypedDict):
    """Checked settings of an entry process."""

    name: str
    http_address: str
    peer_address: str
    failure_domain: str
    store_address: str
    engines: list[str]
    tools: dict[str, str]


class EntryProcess:
    """State of one entry process, passed to its parts.

    :param settings: checked settings.
    :param http_address: address that callers use, with the bound port.
    """

    def __init__(self, settings: EntrySettings, http_address: str) -> None:
        self.settings = settings
        self.clock = clocks.Clock()
        self.member = partitions.Member(
            identifiers.new_member_id(settings["name"]),
            http_address,
            settings["peer_address"],
            settings["failure_domain"],
        )
        self.store = stores.EtcdGateway(settings["store_address"])
        self.journal = journal.Journal(
            self.store, self.member.member_id, self.clock
        )
        self.programs = programs.ProgramTable()
        self.pool = urllib3.PoolManager(num_pools=64, maxsize=512)
        self.dumps = dumps.DumpRegistry()
        self.partition_map = partitions.EMPTY
        self._failures: dict[str, int] = {}
        self._ended = threading.Event()

    def start(self) -> None:
        """Join the map and start the background threads."""
        self.journal.start()
        self.dumps.register("journal", self.journal.describe)
        self.partition_map = partitions.update(self.store, self._joined)
        threading.Thread(target=self._check_peers, daemon=True).start()
        events.log(
            events.Event.PROCESS_STARTED,
            member_id=self.member.member_id,
            http_address=self.member.http_address,
        )

    def stop(self) -> None:
        """Commit what is waiting and end the background threads."""
        self._ended.set()
        self.journal.close(timeout_ms=5_000)

    def owner_of(self, program_id: str) -> partitions.Member | None:
        """Return the owner of a program in the map last seen.

        :param program_id: identifier of the program.
        """
        partition = identifiers.partition_of(program_id)
        return self.partition_map.owner_of(partition)

    def refresh_map(self) -> None:
        """Read the partition map again."""
        self.partition_map, _ = partitions.load(self.store)

    def _joined(
        self, current: partitions.PartitionMap
    ) -> partitions.PartitionMap:
        members = {**current.members, self.member.member_id: self.member}
        owners = dict(current.owners)
        for number in range(current.partition_count):
            if number not in owners:
                owners[number] = partitions.Ownership(self.member.member_id, 1)
        owners = _shared_out(owners, self.member.member_id, members)
        return current._replace(members=members, owners=owners)

    def _check_peers(self) -> None:
        while not self._ended.wait(PEER_CHECK_INTERVAL_MS / clocks.MS_PER_S):
            try:
                self.refresh_map()
            except stores.StoreUnavailable:
                continue
            for member in list(self.partition_map.members.values()):
                if member.member_id != self.member.member_id:
                    self._check_peer(member)

    def _check_peer(self, member: partitions.Member) -> None:
        if self._is_reachable(member):
            self._failures.pop(member.member_id, None)
            return
        failures = self._failures.get(member.member_id, 0) + 1
        self._failures[member.member_id] = failures
        if failures >= FAILURES_UNTIL_TAKEOVER:
            self._take_over(member)

    def _is_reachable(self, member: partitions.Member) -> bool:
        timeout = urllib3.Timeout(total=PEER_CHECK_TIMEOUT_MS / 1000)
        url = f"http://{member.http_address}/v1/status"
        try:
            self.pool.request("GET", url, timeout=timeout, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _take_over(self, member: partitions.Member) -> None:
        survivors = [
            candidate
            for candidate in self.partition_map.members
            if candidate != member.member_id
        ]
        if partitions.rank(member.member_id, survivors)[0] != (
            self.member.member_id
        ):
            return
        events.log(events.Event.TAKEOVER_STARTED, member_id=member.member_id)
        records = journal.seal(
            self.store, member.member_id, self.member.member_id
        )
        unknown = self.programs.replay(records)
        if records:
            self.journal.wait(self.journal.append(records), 5_000)
        self.partition_map = partitions.update(
            self.store, lambda current: self._inherited(current, member)
        )
        events.log(
            events.Event.TAKEOVER_FINISHED,
            member_id=member.member_id,
            unknown_calls=unknown,
        )

    def _inherited(
        self, current: partitions.PartitionMap, member: partitions.Member
    ) -> partitions.PartitionMap | None:
        if member.member_id not in current.members:
            return None
        members = dict(current.members)
        del members[member.member_id]
        owners = dict(current.owners)
        for number in current.partitions_of(member.member_id):
            epoch = owners[number].epoch + 1
            owners[number] = partitions.Ownership(self.member.member_id, epoch)
        return current._replace(members=members, owners=owners)


def _shared_out(
    owners: dict[int, partitions.Ownership],
    joiner_id: str,
    members: dict[str, Any],
) -> dict[int, partitions.Ownership]:
    share = len(owners) // len(members)
    held = [
        number
        for number, ownership in owners.items()
        if ownership.member_id == joiner_id
    ]
    if len(held) >= share:
        return owners
    counts: dict[str, int] = {}
    result = dict(owners)
    for number, ownership in owners.items():
        count = counts.get(ownership.member_id, 0)
        if count >= share and len(held) < share:
            epoch = ownership.epoch + 1
            result[number] = partitions.Ownership(joiner_id, epoch)
            held.append(number)
        counts[ownership.member_id] = count + 1
    return result
