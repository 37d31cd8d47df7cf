"""Routing of calls to routes and services."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from balsamloom_gateway import traffic


class RouteTable:
    """Routes of one configuration, by host name.

    :param routes: routes of the active configuration.
    """

    def __init__(self, routes: Iterable[traffic.Route]) -> None:
        self._by_host: dict[str, list[traffic.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> traffic.Route | None:
        """Return the route whose path prefix is the longest match.

        :param host: value of the ``Host`` field.
        :param path: path with its percent-encoding.
        :return: ``None`` if no route matches.
        """
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_name(host: str) -> str:
    name, _, port = host.rpartition(":")
    return name.lower() if name and port.isdigit() else host.lower()


def choose_service(route: traffic.Route, key: str) -> str:
    """Return the service that runs a call.

    All calls with one key get the same service while the shares stay, so
    that engines can reuse the prefixes of earlier prompts.

    :param key: program or request identifier.
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    position = zlib.crc32(key.encode()) / 2**32 * total
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.service
    return max(shares, key=lambda share: share.weight).service


def is_conversation_route(route: traffic.Route) -> bool:
    """Return whether calls of a route are turns that must be stored."""
    return route.is_stateful and route.kind is traffic.RouteKind.STREAMING
