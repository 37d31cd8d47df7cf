"""When a host has to stop trusting the keys that it knows."""

from __future__ import annotations

from typing import NamedTuple


class RevocationPolicy(NamedTuple):
    """What the operators ask of hosts that are cut off from the records.

    A strict host accepts no key once its copy of the records is older than
    ``max_age_ms``; another one goes on with what it knows.
    """

    is_strict: bool
    max_age_ms: float

    def may_lack_revocations(self, age_ms: float | None) -> bool:
        """Return whether keys must not be accepted.

        :param age_ms: age of the copy, ``None`` before the first read.
        """
        if not self.is_strict:
            return False
        return age_ms is None or age_ms > self.max_age_ms


LENIENT = RevocationPolicy(is_strict=False, max_age_ms=0.0)
