"""What a storage host may say of its disk, and on which evidence.

An acknowledged record lies on as many hosts as there are copies. A host that
has lost its disk, or records on it, lacks some of those that it acknowledged
until it has examined other hosts. Readers count the hosts that may lack
records, so a host says that it lacks none only on evidence, and the statement
is as durable as the records. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple


class Claim(NamedTuple):
    """Statement of a storage host about its disk.

    With ``has_turns`` and ``has_usage`` it lacks no turn and no usage entry
    that it acknowledged, on this disk or an earlier one. ``replaced_hosts``
    are gone, and this host has the usage entries that they stored.
    ``losses`` counts how often records of this disk were lost.
    """

    has_turns: bool
    has_usage: bool
    replaced_hosts: frozenset[str] = frozenset()
    losses: int = 0

    def after_loss(self) -> Claim:
        """Return the statement after records of this disk were lost."""
        return Claim(False, False, losses=self.losses + 1)

    def common(self, other: Claim) -> Claim:
        """Return what both of two statements about a disk say."""
        return self._replace(
            has_turns=self.has_turns and other.has_turns,
            has_usage=self.has_usage and other.has_usage,
            replaced_hosts=self.replaced_hosts & other.replaced_hosts,
        )


class Fences(NamedTuple):
    """Hosts that do not count for a write of usage entries beside this one.

    A host that replaces another one has the remaining hosts fence it first,
    so that no entry that is written later lies on the replaced host and on
    such a host alone. ``by_host`` maps the replacing hosts to the replaced
    ones. A new disk knows none of the fences of the disk before, so they are
    not ``is_complete`` there.
    """

    is_complete: bool
    by_host: Mapping[str, frozenset[str]] = {}

    def of(self, name: str) -> frozenset[str]:
        """Return the hosts that are fenced for another one."""
        return self.by_host.get(name, frozenset())

    def hosts(self, own: str) -> frozenset[str]:
        """Return the hosts that are fenced for others than this host.

        Its own replacements need no fence here, since it has what it stores.
        """
        others = [hosts for name, hosts in self.by_host.items() if name != own]
        return frozenset().union(*others)

    def with_host(self, name: str, fenced: frozenset[str]) -> Fences:
        """Return the fences once a host fences others, instead of before."""
        by_host = {**self.by_host, name: fenced}
        return self._replace(
            by_host={one: hosts for one, hosts in by_host.items() if hosts}
        )


NOTHING = Claim(has_turns=False, has_usage=False)
EVERYTHING = Claim(has_turns=True, has_usage=True)


class Source(NamedTuple):
    """Another host as it was found in a round of examining all of them.

    ``is_read`` says that all of its records were examined and those that
    were missing here fetched. ``claim`` is what it says of its own disk,
    both before and after that; ``None`` if it did not say or the statement
    changed meanwhile. ``fenced`` are the hosts that it had fenced for this
    host before it was read. Without ``is_up`` it is expected to store
    nothing, and with ``is_long_gone`` whatever it had has expired.
    """

    name: str
    is_read: bool
    is_up: bool
    claim: Claim | None = None
    fenced: frozenset[str] = frozenset()
    is_long_gone: bool = False


def judge(
    own: Claim, sources: Sequence[Source], copies: int, is_disk_old: bool
) -> Claim:
    """Return what a host may say of its disk after a round.

    The host itself is one of those that may lack a record, so fewer others
    than ``copies`` less one may not have been read or lack records.

    :param own: what it has said so far.
    :param sources: all other registered hosts.
    :param copies: number of hosts that acknowledge a record.
    :param is_disk_old: whether the disk has been in use for longer than any
        record is kept, so that nothing of an earlier disk can be missing.
    """
    if not sources and not is_disk_old:
        return own
    replaced = own.replaced_hosts & _not_read(sources)
    # This host read whatever the hosts have that replaced these.
    covered = replaced | (_replaced_by(sources) & _not_read(sources))
    without_turns = [one.name for one in sources if not _has_turns(one)]
    without_usage = [
        one.name
        for one in sources
        if not _has_usage(one) and one.name not in covered
    ]
    # Whatever another host has was examined, or nothing can be missing.
    has_all = is_disk_old or all(source.is_read for source in sources)
    has_turns = own.has_turns or has_all or len(without_turns) + 1 < copies
    has_usage = own.has_usage or has_all or len(without_usage) + 1 < copies
    if has_usage:
        replaced |= {
            source.name
            for source in sources
            if not source.is_up
            and _can_replace(source.name, sources, replaced, copies)
        }
    return own._replace(
        has_turns=has_turns, has_usage=has_usage, replaced_hosts=replaced
    )


def replaceable(
    own: Claim, sources: Sequence[Source], copies: int
) -> frozenset[str]:
    """Return the hosts that this one replaces once the others fence them."""
    if not own.has_usage:
        return frozenset()
    down = {
        source.name
        for source in sources
        if not (source.is_up or source.is_long_gone)
    }
    return frozenset(
        source.name
        for source in sources
        if not source.is_up
        and len(down - own.replaced_hosts | {source.name}) < copies
    )


def _can_replace(
    name: str, sources: Sequence[Source], replaced: Set[str], copies: int
) -> bool:
    """Return whether a host that lacks none itself has all of another one.

    Each entry of the other host lies on one more host that had it when it was
    read, and has fenced the other one since before.

    :param replaced: hosts that fenced the other one before they went, or of
        which all entries were here before it went.
    """
    unsure = {
        source.name
        for source in sources
        if source.name not in replaced
        and not source.is_long_gone
        and not (_has_usage(source) and name in source.fenced)
    }
    return len(unsure | {name}) < copies


def _not_read(sources: Sequence[Source]) -> frozenset[str]:
    return frozenset(one.name for one in sources if not one.is_read)


def _replaced_by(sources: Sequence[Source]) -> frozenset[str]:
    """Return the hosts that those replaced which lack no entry."""
    found: frozenset[str] = frozenset()
    for source in sources:
        if source.claim is not None and _has_usage(source):
            found |= source.claim.replaced_hosts
    return found


def _has_turns(source: Source) -> bool:
    claim = source.claim
    return source.is_read and claim is not None and claim.has_turns


def _has_usage(source: Source) -> bool:
    claim = source.claim
    return source.is_read and claim is not None and claim.has_usage
