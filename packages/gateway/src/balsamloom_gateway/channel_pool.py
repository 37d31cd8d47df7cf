"""Idle connections to servers, kept for the next exchanges."""

from __future__ import annotations

from balsamloom_core import clock as clocks
from balsamloom_gateway import channels


class ChannelPool:
    """Idle connections to one address, the latest used first.

    :param address: ``host:port``.
    :param clock: time source.
    :param idle_limit_ms: longest idle time before a connection is closed.
    """

    def __init__(
        self, address: str, clock: clocks.Clock, idle_limit_ms: float
    ) -> None:
        self.address = address
        self._clock = clock
        self._idle_limit_ms = idle_limit_ms
        # Appending and popping are atomic, so no lock is needed.
        self._idle: list[channels.Channel] = []

    def take(
        self, connect_timeout_ms: float, idle_limit_ms: float | None = None
    ) -> tuple[channels.Channel, bool]:
        """Return a connection and whether it was used before.

        :param idle_limit_ms: connections that idled longer are closed.
        :raises ConnectError: no connection could be made.
        """
        limit_ms = self._idle_limit_ms
        if idle_limit_ms is not None:
            limit_ms = min(limit_ms, idle_limit_ms)
        while self._idle:
            try:
                channel = self._idle.pop()
            except IndexError:
                break
            idle_ms = self._clock.now_ms() - channel.last_used_ms
            allowed_ms = min(limit_ms, channel.idle_limit_ms or limit_ms)
            if idle_ms < allowed_ms and channel.is_quiet():
                return channel, True
            channel.close()
        return self.connect(connect_timeout_ms), False

    def connect(self, timeout_ms: float) -> channels.Channel:
        """Return a new connection.

        :raises ConnectError: no connection could be made.
        """
        return channels.connect(self.address, timeout_ms, self._clock)

    def give_back(self, channel: channels.Channel) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if channel.is_reusable:
            self._idle.append(channel)
        else:
            channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            try:
                self._idle.pop().close()
            except IndexError:
                return
