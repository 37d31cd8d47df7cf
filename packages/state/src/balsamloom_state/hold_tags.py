"""Engine memory that no call needs any more."""

from __future__ import annotations

from balsamloom_core import errors, identifiers
from balsamloom_state import local, ownership


class TagCheck:
    """Compares tags of engine memory with the programs that are here.

    :param state: state of the member.
    """

    def __init__(self, state: local.LocalState) -> None:
        self._state = state

    def is_gone(self, tag: str) -> bool:
        """Return whether held memory belongs to no program or former owner.

        Memory of a live program is kept between its calls, since the next
        call uses it again. A tag of a higher epoch is kept, as the partition
        has moved away then.

        :param tag: ``<program_id>/<epoch>/<call>``; false for another form
            and for partitions that are not served here.
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
