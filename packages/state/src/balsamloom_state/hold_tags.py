"""Detection of engine memory (KV cache) that is no longer needed."""

from __future__ import annotations

from balsamloom_core import errors, identifiers
from balsamloom_state import local, ownership


class HoldTagChecker:
    """Checks the tags of held engine memory against the owned programs.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state

    def is_stale(self, tag: str) -> bool:
        """Return whether memory is held for an ended program or an old epoch.

        The memory of a live program is kept between calls because the next
        call reuses it. A tag of a higher epoch is kept because the partition
        has moved to another member.

        :param tag: ``<program_id>/<epoch>/<call>``; malformed tags and tags
            of partitions that this member does not serve are not stale.
        """
        program_id, _, rest = tag.partition("/")
        epoch_text = rest.partition("/")[0]
        try:
            partition = identifiers.partition_of(program_id)
        except errors.BalsamloomError:
            return False
        state = self._state.owned.state(partition)
        if (
            not isinstance(state, ownership.ServingState)
            or self._state.journal.is_deposed
        ):
            return False
        if not epoch_text.isdecimal() or int(epoch_text) > state.epoch:
            return False
        program = self._state.table.get(program_id)
        is_live = program is not None and not program.is_ended
        return int(epoch_text) < state.epoch or not is_live
