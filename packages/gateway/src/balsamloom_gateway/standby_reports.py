"""Reports of a budget holder's changed usage to its standbys."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from balsamloom_core import clock as clocks
from balsamloom_core import events
from balsamloom_gateway import background, failures, ledger, standbys, usages


class StandbyReports:
    """Tracks the programs whose usage standbys do not know yet.

    The lock is held during each call except :meth:`send`.

    :param accounts: accounts by program.
    :param knows_all: returns whether programs never reported are new.
    :param clock: time source.
    :param changed: lock of the accounts; notified when reports are due.
    """

    def __init__(
        self,
        accounts: Mapping[str, ledger.Account],
        knows_all: Callable[[], bool],
        clock: clocks.Clock,
        changed: threading.Condition,
    ) -> None:
        self._accounts = accounts
        self._knows_all = knows_all
        self._clock = clock
        self._changed = changed
        self._unreported: set[str] = set()
        self._is_sending = False
        # Whether reports are to be sent again once the present ones are.
        self._must_repeat = False

    @property
    def is_due(self) -> bool:
        """Return whether there are programs to report."""
        return bool(self._unreported)

    def mark_due(self, program_id: str) -> None:
        """Mark a program whose usage has changed."""
        if not self._unreported:
            self._changed.notify_all()
        self._unreported.add(program_id)

    def add_corrections(self, accounts: Iterable[ledger.Account]) -> None:
        """Mark those programs of which standbys may count too much."""
        self._unreported.update(
            account.program_id
            for account in accounts
            if account.has_reported_unrecorded
        )

    def send(self, receivers: standbys.Standbys) -> None:
        """Send what is due; reports that are not confirmed remain due.

        Does not wait for the answers, as turns wait for the caller's thread.
        """
        with self._changed:
            if not self._unreported:
                return
            self._must_repeat = self._is_sending
            if self._is_sending:
                return
            self._is_sending = True
        background.start(lambda: self._send_all(receivers), self._clock)

    def _send_all(self, receivers: standbys.Standbys) -> None:
        try:
            self._send_once(receivers)
            while self._is_repeated():
                self._send_once(receivers)
        except Exception as error:
            # They are sent again with the next ones.
            failures.log(events.Event.BACKGROUND_FAILED, self.send, error)
            self._is_sending = False

    def _is_repeated(self) -> bool:
        with self._changed:
            must_repeat = self._must_repeat
            self._must_repeat = False
            self._is_sending = must_repeat
            return must_repeat

    def _send_once(self, receivers: standbys.Standbys) -> None:
        with self._changed:
            is_complete = self._knows_all()
            reports = self._collect(receivers)
        for standby, found in reports.items():
            if receivers.report(standby, found, is_complete):
                self._confirm(standby, found)

    def _collect(
        self, receivers: standbys.Standbys
    ) -> dict[str, list[usages.UsageReport]]:
        """Return the reports to send, by standby."""
        reports: dict[str, list[usages.UsageReport]] = {}
        for program_id in list(self._unreported):
            account = self._accounts.get(program_id)
            members = receivers.of(program_id)
            stale = _outdated(account, members) if account else ()
            if not stale:
                self._unreported.discard(program_id)
            for standby in stale:
                assert account is not None
                report = account.next_report()
                reports.setdefault(standby, []).append(report)
        return reports

    def _confirm(
        self, standby: str, reports: Sequence[usages.UsageReport]
    ) -> None:
        with self._changed:
            for report in reports:
                account = self._accounts.get(report.usage.program_id)
                if account is not None:
                    account.reported_usage[standby] = report.usage


def _outdated(account: ledger.Account, members: Iterable[str]) -> list[str]:
    """Return the standbys that have not confirmed the current usage."""
    return [
        standby
        for standby in members
        if account.reported_usage.get(standby) != account.usage
    ]
