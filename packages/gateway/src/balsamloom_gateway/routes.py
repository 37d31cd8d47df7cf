"""Choice of the route and the service for a call."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from balsamloom_gateway import traffic


class RouteTable:
    """Routes of one configuration, by host name.

    :param routes: routes in force.
    """

    def __init__(self, routes: Iterable[traffic.Route]) -> None:
        self._by_host: dict[str, list[traffic.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> traffic.Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` field.
        :param path: undecoded path.
        """
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_name(host: str) -> str:
    name, _, port = host.rpartition(":")
    return name.lower() if name and port.isdigit() else host.lower()


def choose_service(route: traffic.Route, subject: str) -> str:
    """Return the service that runs a call.

    All calls of one subject get the same service while the shares stay, so
    that an engine finds the parts of earlier prompts.

    :param subject: program or request identifier.
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = zlib.crc32(subject.encode()) / 2**32 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return max(shares, key=lambda share: share.weight).service
